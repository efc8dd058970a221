//! Stand-ins and checks of the review cases 6 to 10; the standard library is
//! all that they need.
//!
//! `lab CASE FOLDER` runs one case from the root of the repository, writes
//! `record.txt` into the folder, and exits with 1 if the rule was broken, 0 if
//! it held and 2 if the case could not run. `TROUBLE=0` leaves the disruption
//! out.

mod added;
mod forgotten;
mod http;
mod json;
mod leaving;
mod record;
mod replica;
mod restarted;
mod site;
mod store;

use std::{path::Path, process::exit};

/// What a case has found.
pub enum Verdict {
    Held,
    Broken,
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &args[..] else {
        eprintln!("usage: lab CASE FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let folder = Path::new(folder);
    let outcome = match case.as_str() {
        "added" => added::run(folder, trouble),
        "forgotten" => forgotten::run(folder, trouble),
        "leaving" => leaving::run(folder, trouble),
        "restarted" => restarted::run(folder, trouble),
        other => Err(format!("no case `{other}`")),
    };
    match outcome {
        Ok(Verdict::Held) => exit(0),
        Ok(Verdict::Broken) => exit(1),
        Err(reason) => {
            eprintln!("the case could not run: {reason}");
            exit(2);
        }
    }
}
