//! The platform's names stand in `platform/` and nowhere else.

use std::{
    fs,
    path::{Path, PathBuf},
};

/// Names that only the platform uses. Ordinary words of the router, such as
/// `version`, tell nothing, and neither do names that its own interface had
/// before: the header with the deadline, and claims in progress.
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

fn sources(folder: &Path, into: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        let is_tests = path.file_name().is_some_and(|n| n == "tests.rs");
        if path.is_dir() {
            sources(&path, into);
        } else if !is_tests && path.extension().is_some_and(|e| e == "rs") {
            into.push(path);
        }
    }
}

fn found(folder: &str) -> Vec<String> {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    sources(&root.join(folder), &mut files);
    assert!(!files.is_empty(), "nothing to search in {folder}");
    let mut found = Vec::new();
    for file in files {
        let text = fs::read_to_string(&file).expect("a source file");
        let text = text.to_ascii_lowercase();
        for name in WIRE_NAMES.iter().filter(|name| text.contains(**name)) {
            found.push(format!("{}: {name}", file.display()));
        }
    }
    found
}

#[test]
fn no_wire_name_stands_outside_the_adapter() {
    let found = found("src");
    assert!(found.is_empty(), "{found:#?}");
}

#[test]
fn the_search_finds_the_names_where_they_belong() {
    assert!(found("platform").len() > WIRE_NAMES.len() / 2);
}
