//! Runs the review's scripts: a small deployment of the router's own program
//! on loopback addresses, with small stand-ins for the platform's store, the
//! replicas and the clients. Uses the standard library alone.
//!
//! Usage: `harness CASE FOLDER`; `TROUBLE=0` leaves the disruption out.

mod http;
mod json;
mod site;
mod store;
mod streams;

mod bodies_case;
mod drain_case;
mod late_beat_case;
mod limits_case;
mod rollout_case;
mod silence_case;
mod twice_case;
mod watchers_case;

use std::process::exit;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (arguments.get(1), arguments.get(2))
    else {
        eprintln!("usage: harness CASE FOLDER");
        exit(2);
    };
    let has_trouble =
        std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let run = match case.as_str() {
        "drain" => drain_case::run,
        "late-beat" => late_beat_case::run,
        "rollout" => rollout_case::run,
        "silence" => silence_case::run,
        "twice" => twice_case::run,
        "bodies" => bodies_case::run,
        "limits" => limits_case::run,
        "watchers" => watchers_case::run,
        _ => {
            eprintln!("no case {case}");
            exit(2);
        }
    };
    let outcome = std::panic::catch_unwind(|| run(folder, has_trouble));
    exit(match outcome {
        Ok(Ok(true)) => 1,
        Ok(Ok(false)) => 0,
        Ok(Err(reason)) => {
            eprintln!("the case could not run: {reason}");
            2
        }
        Err(_) => 2,
    });
}
