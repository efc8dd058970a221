//! Checks that `std::time::Instant` is used in `src/clock.rs` only.
//!
//! `std::time::Instant` stops while a VM is suspended. After a suspension of
//! ten seconds, a VM that used it would consider key freshness proofs, leases
//! and heartbeats ten seconds younger than they are: it would accept a revoked
//! key, believe that it still holds a lease and that a dead VM is alive.

use std::{
    fs,
    path::{Path, PathBuf},
};

/// The only module that may read the clocks of the operating system.
const CLOCK: &str = "src/clock.rs";

/// Texts in the source that read or name `std::time::Instant`.
const STD_INSTANT: &[&str] = &["Instant::now()", "time::Instant", " Instant,"];

/// Collects all files below a folder.
fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("the source folder is readable") {
        let path = entry.expect("the folder entry is readable").path();
        match path.is_dir() {
            true => sources(&path, found),
            false => found.push(path),
        }
    }
}

/// Returns whether a line reads or names `std::time::Instant`. `BootInstant`,
/// the type of the project's own clock, is allowed.
fn uses_std_instant(line: &str) -> bool {
    let line = line.replace("BootInstant", "");
    STD_INSTANT.iter().any(|text| line.contains(text))
}

#[test]
fn no_source_uses_a_clock_that_stops_during_suspension() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    for folder in ["src", "platform"] {
        sources(&root.join(folder), &mut files);
    }
    assert!(files.len() > 50, "only {} source files were found", files.len());
    let mut uses = Vec::new();
    for path in files.iter().filter(|path| !path.ends_with(CLOCK)) {
        let text =
            fs::read_to_string(path).expect("the source file is readable");
        let lines = text.lines().enumerate();
        let found = lines.filter(|(_, line)| uses_std_instant(line));
        uses.extend(
            found.map(|(at, line)| format!("{path:?}:{}: {line}", at + 1)),
        );
    }
    assert!(uses.is_empty(), "{}", uses.join("\n"));
}
