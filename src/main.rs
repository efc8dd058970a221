//! The executable, a thin wrapper around [`lupinseam::cli`].

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    lupinseam::cli::run(&arguments)
}
