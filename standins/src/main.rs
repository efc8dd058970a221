//! Command line of the stand-ins: one subcommand for each stand-in, for the
//! demo, the measurements and the soak, and `vm` for the router itself.

use std::process::ExitCode;

use argh::FromArgs;
use async_global_executor::block_on;
use standins::{
    demo::Demo, engine::Engine, kv::Kv, list::List, measure::Measure, process,
    rating::Rating, service::Service, soak::Soak,
};

/// Stand-ins, demo and measurements of lupinseam; not shipped.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Kv(Kv),
    List(List),
    Engine(Engine),
    Service(Service),
    Rating(Rating),
    Demo(Demo),
    Measure(Measure),
    Soak(Soak),
}

fn main() -> ExitCode {
    process::end_with_parent();
    let arguments: Vec<String> = std::env::args().collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    // The router parses its own command line.
    if words.get(1) == Some(&"vm") {
        return lupinseam::cli::run(&words[1..]);
    }
    let arguments: Arguments = argh::from_env();
    match arguments.command {
        Command::Kv(kv) => kv.run(),
        Command::List(list) => list.run(),
        Command::Engine(engine) => engine.run(),
        Command::Service(service) => service.run(),
        Command::Rating(rating) => rating.run(),
        Command::Measure(measure) => {
            return exit_code(block_on(measure.run()));
        }
        Command::Soak(soak) => return exit_code(soak.run()),
        Command::Demo(demo) => return exit_code(block_on(demo.run())),
    }
    ExitCode::SUCCESS
}

fn exit_code(outcome: Result<bool, String>) -> ExitCode {
    match outcome {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(reason) => {
            eprintln!("standins: {reason}");
            ExitCode::from(2)
        }
    }
}
