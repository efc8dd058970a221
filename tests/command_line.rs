//! The command line of the shipped program.

use std::process::{Command, Output};

fn lupinseam(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_lupinseam"))
        .args(arguments)
        .output()
        .expect("the program runs")
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
        assert!(output.status.success(), "{arguments:?}");
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        assert!(text.contains("Usage:"), "{arguments:?}: {text}");
    }
}

#[test]
fn check_reports_every_fault_and_fails() {
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
        assert!(text.contains(expected), "{expected} is not in {text}");
    }
}

#[test]
fn a_vm_that_is_not_there_is_named() {
    let output = lupinseam(&["status", "--operators", "127.0.0.1:1"]);
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(text.contains("127.0.0.1:1"), "{text}");
}
