//! The command line: the server, and what operators do from a shell.

use std::{
    io::Write, net::SocketAddr, path::PathBuf, process::ExitCode, sync::Arc,
    time::Duration,
};

use argh::FromArgs;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use hyper::Method;
use serde_json::{Value, json};

use crate::{
    api::{
        server::{Addresses, Server},
        template::VersionState,
    },
    clock::SystemClock,
    error::Error,
    gateway::{self, settings::GatewaySettings},
    http_client::{Call, FullResponse, HttpClient},
    logging,
    settings::Settings,
    story::Story,
    task,
};

/// Where operators' commands go unless told otherwise.
const USUAL_OPERATORS: &str = "127.0.0.1:8081";

/// The environment variable that holds the operators' key.
const KEY_VARIABLE: &str = "LUPINSEAM_KEY";

const CONNECT_LIMIT: Duration = Duration::from_secs(2);
const CALL_LIMIT: Duration = Duration::from_secs(15);
const ANSWER_LIMIT_BYTES: u64 = 256 << 20;

/// A model-aware router for versions and cascades.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Serve(Serve),
    Gateway(GatewayCommand),
    Check(Check),
    Template(TemplateCommand),
    Version(VersionCommand),
    Explain(Explain),
    Status(Status),
    Bills(Bills),
}

/// Run one entry VM until SIGTERM or SIGINT.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// settings file (INI)
    #[argh(option)]
    settings: PathBuf,
}

/// Run one entry VM before a platform until SIGTERM or SIGINT.
#[derive(FromArgs)]
#[argh(subcommand, name = "gateway")]
struct GatewayCommand {
    /// settings file (INI)
    #[argh(option)]
    settings: PathBuf,
}

/// Check a settings file and report every fault.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// the file is that of a VM before a platform
    #[argh(switch)]
    gateway: bool,
    /// settings file (INI)
    #[argh(positional)]
    file: PathBuf,
}

/// Read and edit the templates of organisations.
#[derive(FromArgs)]
#[argh(subcommand, name = "template")]
struct TemplateCommand {
    #[argh(subcommand)]
    action: TemplateAction,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum TemplateAction {
    List(TemplateList),
    Get(TemplateGet),
    Put(TemplatePut),
    Remove(TemplateRemove),
}

/// List all templates.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
struct TemplateList {
    /// operators' address of any VM
    #[argh(option, default = "usual_operators()")]
    operators: SocketAddr,
}

/// Print one template and its revision.
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
struct TemplateGet {
    /// operators' address of any VM
    #[argh(option, default = "usual_operators()")]
    operators: SocketAddr,
    /// organisation
    #[argh(positional)]
    organisation: String,
}

/// Add or replace a template from a JSON file.
#[derive(FromArgs)]
#[argh(subcommand, name = "put")]
struct TemplatePut {
    /// operators' address of any VM
    #[argh(option, default = "usual_operators()")]
    operators: SocketAddr,
    /// revision that the edit was made on; left out for a new template
    #[argh(option)]
    revision: Option<u64>,
    /// why, for the record
    #[argh(option, default = "String::from(\"by an operator\")")]
    reason: String,
    /// organisation
    #[argh(positional)]
    organisation: String,
    /// file with the template
    #[argh(positional)]
    file: PathBuf,
}

/// Remove a template.
#[derive(FromArgs)]
#[argh(subcommand, name = "remove")]
struct TemplateRemove {
    /// operators' address of any VM
    #[argh(option, default = "usual_operators()")]
    operators: SocketAddr,
    /// revision that the removal was decided on
    #[argh(option)]
    revision: u64,
    /// organisation
    #[argh(positional)]
    organisation: String,
}

/// Read versions, add them, and move them through their life.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct VersionCommand {
    #[argh(subcommand)]
    action: VersionAction,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum VersionAction {
    List(VersionList),
    Put(VersionPut),
    State(VersionSet),
}

/// List all versions of all models.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
struct VersionList {
    /// operators' address of any VM
    #[argh(option, default = "usual_operators()")]
    operators: SocketAddr,
}

/// Add or replace a version from a JSON file.
#[derive(FromArgs)]
#[argh(subcommand, name = "put")]
struct VersionPut {
    /// operators' address of any VM
    #[argh(option, default = "usual_operators()")]
    operators: SocketAddr,
    /// revision that the edit was made on; left out for a new version
    #[argh(option)]
    revision: Option<u64>,
    /// model
    #[argh(positional)]
    model: String,
    /// version
    #[argh(positional)]
    version: String,
    /// file with the entry
    #[argh(positional)]
    file: PathBuf,
}

/// Move a version to rolling_out, serving, draining or withdrawn.
#[derive(FromArgs)]
#[argh(subcommand, name = "state")]
struct VersionSet {
    /// operators' address of any VM
    #[argh(option, default = "usual_operators()")]
    operators: SocketAddr,
    /// stage of the roll-out, from 0
    #[argh(option, default = "0")]
    stage: u8,
    /// why, for the record
    #[argh(option, default = "String::from(\"by an operator\")")]
    reason: String,
    /// model
    #[argh(positional)]
    model: String,
    /// version
    #[argh(positional)]
    version: String,
    /// rolling_out, serving, draining or withdrawn
    #[argh(positional)]
    state: String,
}

/// Say why a request went where it went, or why it was refused.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
struct Explain {
    /// operators' address of any VM
    #[argh(option, default = "usual_operators()")]
    operators: SocketAddr,
    /// print the record as JSON
    #[argh(switch)]
    json: bool,
    /// log file of a VM before a platform; may be given several times, and no
    /// VM is asked then
    #[argh(option)]
    log: Vec<PathBuf>,
    /// decision id, as in the header Lupinseam-Decision, or in logs the id
    /// that the caller gave its request
    #[argh(positional)]
    id: String,
}

/// Print what a VM knows of itself and the fleet.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
struct Status {
    /// operators' address of any VM
    #[argh(option, default = "usual_operators()")]
    operators: SocketAddr,
}

/// Read bills from the ledger.
#[derive(FromArgs)]
#[argh(subcommand, name = "bills")]
struct Bills {
    /// operators' address of any VM
    #[argh(option, default = "usual_operators()")]
    operators: SocketAddr,
    /// of one organisation only
    #[argh(option)]
    organisation: Option<String>,
    /// from this time, in milliseconds since the Unix epoch
    #[argh(option)]
    from_ms: Option<u64>,
    /// before this time, in milliseconds since the Unix epoch
    #[argh(option)]
    to_ms: Option<u64>,
}

fn usual_operators() -> SocketAddr {
    USUAL_OPERATORS.parse().expect("constant")
}

/// Runs the program with these arguments, the name of the program first.
pub fn run(arguments: &[&str]) -> ExitCode {
    let (name, rest) = match arguments.split_first() {
        Some((name, rest)) => (*name, rest),
        None => ("lupinseam", arguments),
    };
    match Arguments::from_args(&[name], rest) {
        Ok(arguments) => run_command(arguments.command),
        Err(early) => {
            let is_help = early.status.is_ok();
            match is_help {
                true => println!("{}", early.output),
                false => eprintln!("{}", early.output),
            }
            ExitCode::from(u8::from(!is_help))
        }
    }
}

fn run_command(command: Command) -> ExitCode {
    match command {
        Command::Serve(serve) => run_serve(&serve),
        Command::Gateway(command) => run_gateway(command),
        Command::Check(check) => run_check(&check),
        Command::Explain(explain) if !explain.log.is_empty() => {
            run_explain(&explain)
        }
        other => match task::block_on(ask(other)) {
            Ok(answer) => print_answer(&answer),
            Err(reason) => {
                eprintln!("lupinseam: {reason}");
                ExitCode::FAILURE
            }
        },
    }
}

fn run_check(check: &Check) -> ExitCode {
    let checked = match check.gateway {
        true => GatewaySettings::from_file(&check.file).map(|_| ()),
        false => Settings::from_file(&check.file).map(|_| ()),
    };
    match checked {
        Ok(()) => {
            println!("{}: no fault", check.file.display());
            ExitCode::SUCCESS
        }
        Err(faults) => {
            for fault in faults {
                println!("{fault}");
            }
            ExitCode::FAILURE
        }
    }
}

/// Tells the story of a request from log files.
fn run_explain(explain: &Explain) -> ExitCode {
    let mut logs = Vec::new();
    for path in &explain.log {
        let name = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => logs.push((name, text)),
            Err(error) => {
                eprintln!("lupinseam: {name}: {error}");
                return ExitCode::FAILURE;
            }
        }
    }
    match Story::find(&explain.id, &logs) {
        Some(story) => {
            print!("{story}");
            ExitCode::SUCCESS
        }
        None => {
            eprintln!("lupinseam: {} is in none of these logs", explain.id);
            ExitCode::FAILURE
        }
    }
}

fn run_serve(serve: &Serve) -> ExitCode {
    let settings = match Settings::from_file(&serve.settings) {
        Ok(settings) => settings,
        Err(faults) => {
            for fault in faults {
                eprintln!("{fault}");
            }
            return ExitCode::FAILURE;
        }
    };
    match start(settings) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("lupinseam: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run_gateway(command: GatewayCommand) -> ExitCode {
    let settings = match GatewaySettings::from_file(&command.settings) {
        Ok(settings) => settings,
        Err(faults) => {
            for fault in faults {
                eprintln!("{fault}");
            }
            return ExitCode::FAILURE;
        }
    };
    match task::block_on(gateway::server::run(settings, command.settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lupinseam: {error}");
            ExitCode::FAILURE
        }
    }
}

fn start(settings: Settings) -> Result<ExitCode, Error> {
    logging::start(&settings.log)?;
    task::block_on(async {
        let server = Server::bind(settings)?.start()?;
        announce(server.addresses());
        wait_for_signal().await;
        let report = server.stop().await;
        let is_clean = report.cut == 0 && report.lost_bills == 0;
        Ok(if is_clean { ExitCode::SUCCESS } else { ExitCode::from(3) })
    })
}

/// Prints where the VM listens, for whoever started it with port 0.
fn announce(addresses: Addresses) {
    let line = json!({
        "callers": addresses.callers.to_string(),
        "operators": addresses.operators.to_string(),
        "peers": addresses.peers.to_string(),
    });
    let mut out = std::io::stdout();
    // Nobody may be reading; the log has the addresses too.
    let _ = writeln!(out, "{line}");
    let _ = out.flush();
}

async fn wait_for_signal() {
    match Signals::new([Signal::Term, Signal::Int]) {
        Ok(mut signals) => {
            signals.next().await;
        }
        // Without signals there is no planned stop; the VM runs on.
        Err(_) => std::future::pending().await,
    }
}

async fn ask(command: Command) -> Result<FullResponse, String> {
    let (address, call) = match command {
        Command::Template(command) => template_call(command.action)?,
        Command::Version(command) => version_call(command.action)?,
        Command::Explain(explain) => {
            let words = if explain.json { "" } else { "?words" };
            let path = format!("/decisions/{}{words}", explain.id);
            get(explain.operators, path)
        }
        Command::Status(status) => get(status.operators, "/status".into()),
        Command::Bills(bills) => bills_call(&bills),
        Command::Serve(_) | Command::Gateway(_) | Command::Check(_) => {
            return Err("not a call".to_owned());
        }
    };
    let call = match std::env::var(KEY_VARIABLE) {
        Ok(key) => call.header("authorization", &format!("Bearer {key}")),
        Err(_) => call,
    };
    HttpClient::new(CONNECT_LIMIT, Arc::new(SystemClock))
        .fetch(call, CALL_LIMIT, ANSWER_LIMIT_BYTES)
        .await
        .map_err(|error| format!("{address}: {error}"))
}

fn get(address: SocketAddr, path: String) -> (SocketAddr, Call) {
    (address, Call::new(address, Method::GET, path))
}

fn template_call(
    action: TemplateAction,
) -> Result<(SocketAddr, Call), String> {
    match action {
        TemplateAction::List(list) => {
            Ok(get(list.operators, "/templates".into()))
        }
        TemplateAction::Get(one) => {
            Ok(get(one.operators, format!("/templates/{}", one.organisation)))
        }
        TemplateAction::Put(put) => {
            let path = format!("/templates/{}", put.organisation);
            let body = read_file(&put.file)?;
            let call = Call::new(put.operators, Method::PUT, path)
                .body(body)
                .header("lupinseam-reason", &put.reason);
            Ok((put.operators, expecting(call, put.revision)))
        }
        TemplateAction::Remove(remove) => {
            let path = format!("/templates/{}", remove.organisation);
            let call = Call::new(remove.operators, Method::DELETE, path);
            let call = expecting(call, Some(remove.revision));
            Ok((remove.operators, call))
        }
    }
}

fn version_call(action: VersionAction) -> Result<(SocketAddr, Call), String> {
    match action {
        VersionAction::List(list) => {
            Ok(get(list.operators, "/versions".into()))
        }
        VersionAction::Put(put) => {
            let path = format!("/versions/{}/{}", put.model, put.version);
            let body = read_file(&put.file)?;
            let call = Call::new(put.operators, Method::PUT, path).body(body);
            Ok((put.operators, expecting(call, put.revision)))
        }
        VersionAction::State(set) => {
            let state = read_state(&set.state, set.stage)?;
            let body = json!({ "state": state, "reason": set.reason });
            let path =
                format!("/versions/{}/{}/state", set.model, set.version);
            let call = Call::new(set.operators, Method::POST, path)
                .body(body.to_string());
            Ok((set.operators, call))
        }
    }
}

fn read_state(name: &str, stage: u8) -> Result<VersionState, String> {
    match name {
        "rolling_out" => Ok(VersionState::RollingOut { stage }),
        "serving" => Ok(VersionState::Serving),
        "draining" => Ok(VersionState::Draining),
        "withdrawn" => Ok(VersionState::Withdrawn),
        _ => Err(format!(
            "`{name}` is none of rolling_out, serving, draining, withdrawn"
        )),
    }
}

fn bills_call(bills: &Bills) -> (SocketAddr, Call) {
    let mut query = Vec::new();
    if let Some(organisation) = &bills.organisation {
        query.push(format!("organisation={organisation}"));
    }
    if let Some(from_ms) = bills.from_ms {
        query.push(format!("from_ms={from_ms}"));
    }
    if let Some(to_ms) = bills.to_ms {
        query.push(format!("to_ms={to_ms}"));
    }
    get(bills.operators, format!("/bills?{}", query.join("&")))
}

fn expecting(call: Call, revision: Option<u64>) -> Call {
    match revision {
        Some(revision) => call.header("if-match", &format!("\"{revision}\"")),
        None => call.header("if-none-match", "*"),
    }
}

fn read_file(path: &PathBuf) -> Result<Vec<u8>, String> {
    std::fs::read(path)
        .map_err(|error| format!("reading {}: {error}", path.display()))
}

fn print_answer(answer: &FullResponse) -> ExitCode {
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let pretty = serde_json::from_str::<Value>(&text)
        .ok()
        .and_then(|value| serde_json::to_string_pretty(&value).ok());
    let text = pretty.unwrap_or(text);
    if (200..300).contains(&answer.status) {
        if let Some(revision) = answer.header("etag") {
            eprintln!("revision {}", revision.trim_matches('"'));
        }
        println!("{}", text.trim_end());
        return ExitCode::SUCCESS;
    }
    eprintln!("{}", text.trim_end());
    ExitCode::FAILURE
}
