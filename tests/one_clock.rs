//! Every age that decides goes by one clock.
//!
//! While a VM is suspended, the steady clock that `std` reads stands still.
//! Ten seconds later a key that was taken away would still seem proven, a lease
//! held, and another VM alive: the proof, the lease and the beat are believed
//! ten seconds younger than they are.

use std::{
    fs,
    path::{Path, PathBuf},
};

/// The module that reads the clocks of the operating system.
const CLOCK: &str = "src/clock.rs";

/// How the clock that stands still is read, or named.
const STEADY: &[&str] = &["Instant::now()", "time::Instant", " Instant,"];

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("a folder of sources") {
        let path = entry.expect("an entry").path();
        match path.is_dir() {
            true => sources(&path, found),
            false => found.push(path),
        }
    }
}

/// Whether a line reads or names the steady clock; the type of the one clock
/// has a name of its own.
fn is_steady(line: &str) -> bool {
    let line = line.replace("BootInstant", "");
    STEADY.iter().any(|text| line.contains(text))
}

#[test]
fn nothing_decides_by_a_clock_that_stands_still_while_a_vm_is_suspended() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    for folder in ["src", "platform"] {
        sources(&root.join(folder), &mut files);
    }
    assert!(files.len() > 50, "only {} sources were found", files.len());
    let mut faults = Vec::new();
    for path in files.iter().filter(|path| !path.ends_with(CLOCK)) {
        let text = fs::read_to_string(path).expect("a source");
        let lines = text.lines().enumerate();
        let steady = lines.filter(|(_, line)| is_steady(line));
        faults.extend(
            steady.map(|(at, line)| format!("{path:?}:{}: {line}", at + 1)),
        );
    }
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}
