//! The shipped program; everything it does is in the library.

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    lupinseam::cli::run(&arguments)
}
