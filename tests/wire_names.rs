//! Checks that names of the platform's protocol (headers, paths, JSON keys)
//! appear in the adapter under `platform/` only, and not in `src/`.

use std::{
    fs,
    path::{Path, PathBuf},
};

/// Names that only the platform's protocol uses, in lower case.
///
/// Names that the router uses too are left out, since finding them proves
/// nothing: ordinary words such as `version`, and names that its own API had
/// first (the header with the deadline, and claims in progress).
const WIRE_NAMES: &[&str] = &[
    "lupinseam-attempt-id",
    "lupinseam-prefix-hash",
    "lupinseam-response-seal",
    "lupinseam-tenant",
    "lupinseam-expected-instance",
    "lupinseam-instance-load",
    "lupinseam-not-executed",
    "server-leaving",
    "server-limit",
    "store-era",
    "lupinseam-model\"",
    "lupinseam-token-count",
    "lupinseam-request-priority",
    "lupinseam-length-hint",
    "lupinseam-confidence",
    "lupinseam-hold",
    "lupinseam-pin-ms",
    "api-key",
    "kv-from",
    "kv-fetch",
    "/lupinseam/",
    "op/config",
    "op/rollout",
    "status/rollout",
    "servers/",
    "path_prefix=",
    "since_revision",
    "key_file",
    "expected_revision",
    "target_latency_ms",
    "itl_target_ms",
    "traffic_split",
    "session_affinity",
    "warmup_left_ms",
    "non_idempotent",
    "tenants",
];

/// Collects the Rust files below a folder, without `tests.rs` modules.
fn sources(folder: &Path, into: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("the source folder is readable") {
        let path = entry.expect("the folder entry is readable").path();
        let is_tests = path.file_name().is_some_and(|n| n == "tests.rs");
        if path.is_dir() {
            sources(&path, into);
        } else if !is_tests && path.extension().is_some_and(|e| e == "rs") {
            into.push(path);
        }
    }
}

/// Returns each occurrence of a wire name below a folder, as `file: name`.
fn wire_names_in(folder: &str) -> Vec<String> {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    sources(&root.join(folder), &mut files);
    assert!(!files.is_empty(), "no source files in {folder}");
    let mut found = Vec::new();
    for file in files {
        let text =
            fs::read_to_string(&file).expect("the source file is readable");
        let text = text.to_ascii_lowercase();
        for name in WIRE_NAMES.iter().filter(|name| text.contains(**name)) {
            found.push(format!("{}: {name}", file.display()));
        }
    }
    found
}

#[test]
fn no_wire_name_appears_outside_the_adapter() {
    let found = wire_names_in("src");
    assert!(found.is_empty(), "{found:#?}");
}

#[test]
fn the_search_finds_the_names_in_the_adapter() {
    assert!(wire_names_in("platform").len() > WIRE_NAMES.len() / 2);
}
