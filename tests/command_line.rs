//! Runs the `lupinseam` binary and checks help, `check` and error output.

use std::process::{Command, Output};

/// Runs the binary with these arguments until it exits.
fn lupinseam(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_lupinseam"))
        .args(arguments)
        .output()
        .expect("the lupinseam binary starts")
}

#[test]
fn every_subcommand_has_help() {
    let commands: [&[&str]; 10] = [
        &["--help"],
        &["serve", "--help"],
        &["check", "--help"],
        &["template", "--help"],
        &["template", "put", "--help"],
        &["version", "--help"],
        &["version", "state", "--help"],
        &["explain", "--help"],
        &["status", "--help"],
        &["bills", "--help"],
    ];
    for arguments in commands {
        let output = lupinseam(arguments);
        assert!(output.status.success(), "{arguments:?} failed");
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        assert!(
            text.contains("Usage:"),
            "{arguments:?} printed no usage: {text}"
        );
    }
}

#[test]
fn check_reports_all_settings_errors_and_exits_with_1() {
    let path = std::env::temp_dir()
        .join(format!("lupinseam-check-{}.ini", std::process::id()));
    std::fs::write(&path, "[vm]\nid = A B\ncolour = blue\n").unwrap();
    let output = lupinseam(&["check", path.to_str().unwrap()]);
    std::fs::remove_file(&path).unwrap();
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    for expected in [
        "[vm] colour: unknown key",
        "[vm] id: `A B`",
        "[vm] data_hall: must be given",
        "[cluster] key: must be given",
    ] {
        assert!(
            text.contains(expected),
            "{expected:?} is not reported in {text}"
        );
    }
}

#[test]
fn status_of_an_unreachable_vm_names_its_address() {
    let output = lupinseam(&["status", "--operators", "127.0.0.1:1"]);
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(text.contains("127.0.0.1:1"), "address is missing: {text}");
}
