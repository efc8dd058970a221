//! The command line: starts the servers, and calls a running VM's operators'
//! API.

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
    request_timeline::RequestTimeline,
    settings::Settings,
    task,
};

/// The operators' address that commands call by default.
const DEFAULT_OPERATORS: &str = "127.0.0.1:8081";

/// The environment variable that holds the operators' key.
const KEY_VARIABLE: &str = "LUPINSEAM_KEY";

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const CALL_TIMEOUT: Duration = Duration::from_secs(15);
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

/// Run one entry VM in front of a platform until SIGTERM or SIGINT.
#[derive(FromArgs)]
#[argh(subcommand, name = "gateway")]
struct GatewayCommand {
    /// settings file (INI)
    #[argh(option)]
    settings: PathBuf,
}

/// Check a settings file and report every error.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// the file is for a VM in front of a platform
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
    #[argh(option, default = "default_operators()")]
    operators: SocketAddr,
}

/// Print one template and its revision.
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
struct TemplateGet {
    /// operators' address of any VM
    #[argh(option, default = "default_operators()")]
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
    #[argh(option, default = "default_operators()")]
    operators: SocketAddr,
    /// revision that the edit is based on; omit it for a new template
    #[argh(option)]
    revision: Option<u64>,
    /// reason for the edit, which is stored with it
    #[argh(option, default = "String::from(\"by an operator\")")]
    reason: String,
    /// organisation
    #[argh(positional)]
    organisation: String,
    /// JSON file with the template
    #[argh(positional)]
    file: PathBuf,
}

/// Remove a template.
#[derive(FromArgs)]
#[argh(subcommand, name = "remove")]
struct TemplateRemove {
    /// operators' address of any VM
    #[argh(option, default = "default_operators()")]
    operators: SocketAddr,
    /// revision that the removal is based on
    #[argh(option)]
    revision: u64,
    /// organisation
    #[argh(positional)]
    organisation: String,
}

/// Read and add versions, and change their state.
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
    #[argh(option, default = "default_operators()")]
    operators: SocketAddr,
}

/// Add or replace a version from a JSON file.
#[derive(FromArgs)]
#[argh(subcommand, name = "put")]
struct VersionPut {
    /// operators' address of any VM
    #[argh(option, default = "default_operators()")]
    operators: SocketAddr,
    /// revision that the edit is based on; omit it for a new version
    #[argh(option)]
    revision: Option<u64>,
    /// model
    #[argh(positional)]
    model: String,
    /// version
    #[argh(positional)]
    version: String,
    /// JSON file with the entry
    #[argh(positional)]
    file: PathBuf,
}

/// Change a version's state to rolling_out, serving, draining or withdrawn.
#[derive(FromArgs)]
#[argh(subcommand, name = "state")]
struct VersionSet {
    /// operators' address of any VM
    #[argh(option, default = "default_operators()")]
    operators: SocketAddr,
    /// stage of the rollout, from 0
    #[argh(option, default = "0")]
    stage: u8,
    /// reason for the edit, which is stored with it
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

/// Explain why a request was routed as it was, or why it was rejected.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
struct Explain {
    /// operators' address of any VM
    #[argh(option, default = "default_operators()")]
    operators: SocketAddr,
    /// print the record as JSON
    #[argh(switch)]
    json: bool,
    /// log file of a VM in front of a platform; may be repeated; if given, no
    /// VM is called
    #[argh(option)]
    log: Vec<PathBuf>,
    /// decision id, as in the header Lupinseam-Decision; with --log, the id
    /// that the caller gave its request
    #[argh(positional)]
    id: String,
}

/// Print the status of a VM and what it knows of the fleet.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
struct Status {
    /// operators' address of any VM
    #[argh(option, default = "default_operators()")]
    operators: SocketAddr,
}

/// Read bills from the ledger.
#[derive(FromArgs)]
#[argh(subcommand, name = "bills")]
struct Bills {
    /// operators' address of any VM
    #[argh(option, default = "default_operators()")]
    operators: SocketAddr,
    /// only bills of this organisation
    #[argh(option)]
    organisation: Option<String>,
    /// only bills from this time on, in milliseconds since the Unix epoch
    #[argh(option)]
    from_ms: Option<u64>,
    /// only bills before this time, in milliseconds since the Unix epoch
    #[argh(option)]
    to_ms: Option<u64>,
}

fn default_operators() -> SocketAddr {
    DEFAULT_OPERATORS.parse().expect("constant")
}

/// Runs the program with `arguments`, of which the first is its name.
pub fn run(arguments: &[&str]) -> ExitCode {
    let (name, rest) = match arguments.split_first() {
        Some((name, rest)) => (*name, rest),
        None => ("lupinseam", arguments),
    };
    match Arguments::from_args(&[name], rest) {
        Ok(arguments) => run_command(arguments.command),
        Err(exit) => {
            let is_help = exit.status.is_ok();
            match is_help {
                true => println!("{}", exit.output),
                false => eprintln!("{}", exit.output),
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
            run_explain_logs(&explain)
        }
        other => match task::block_on(call_operators(other)) {
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
        Err(errors) => {
            for error in errors {
                println!("{error}");
            }
            ExitCode::FAILURE
        }
    }
}

/// Prints the timeline of a request from log files.
fn run_explain_logs(explain: &Explain) -> ExitCode {
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
    match RequestTimeline::find(&explain.id, &logs) {
        Some(timeline) => {
            print!("{timeline}");
            ExitCode::SUCCESS
        }
        None => {
            eprintln!("lupinseam: {} was not found in these logs", explain.id);
            ExitCode::FAILURE
        }
    }
}

fn run_serve(command: &Serve) -> ExitCode {
    let settings = match Settings::from_file(&command.settings) {
        Ok(settings) => settings,
        Err(errors) => {
            for error in errors {
                eprintln!("{error}");
            }
            return ExitCode::FAILURE;
        }
    };
    match serve(settings) {
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
        Err(errors) => {
            for error in errors {
                eprintln!("{error}");
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

/// Runs the server until a signal, then stops it gracefully.
///
/// The exit code is 3 when requests were cut off or bills were lost.
fn serve(settings: Settings) -> Result<ExitCode, Error> {
    logging::start(&settings.log)?;
    task::block_on(async {
        let server = Server::bind(settings)?.start()?;
        print_addresses(server.addresses());
        wait_for_signal().await;
        let report = server.stop().await;
        let is_clean = report.cut == 0 && report.lost_bills == 0;
        Ok(if is_clean { ExitCode::SUCCESS } else { ExitCode::from(3) })
    })
}

/// Prints the addresses on which the VM listens, so that a process that starts
/// it with port 0 learns the ports.
fn print_addresses(addresses: Addresses) {
    let line = json!({
        "callers": addresses.callers.to_string(),
        "operators": addresses.operators.to_string(),
        "peers": addresses.peers.to_string(),
    });
    let mut out = std::io::stdout();
    // Standard output may be closed; the log has the addresses too.
    let _ = writeln!(out, "{line}");
    let _ = out.flush();
}

/// Waits for SIGTERM or SIGINT.
async fn wait_for_signal() {
    match Signals::new([Signal::Term, Signal::Int]) {
        Ok(mut signals) => {
            signals.next().await;
        }
        // Without a signal handler no graceful shutdown is possible, and the
        // VM keeps running.
        Err(_) => std::future::pending().await,
    }
}

/// Calls the operators' API of a VM as the command requires.
async fn call_operators(command: Command) -> Result<FullResponse, String> {
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
            return Err("the command does not call a VM".to_owned());
        }
    };
    let call = match std::env::var(KEY_VARIABLE) {
        Ok(key) => call.header("authorization", &format!("Bearer {key}")),
        Err(_) => call,
    };
    HttpClient::new(CONNECT_TIMEOUT, Arc::new(SystemClock))
        .fetch(call, CALL_TIMEOUT, ANSWER_LIMIT_BYTES)
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
            Ok((put.operators, with_precondition(call, put.revision)))
        }
        TemplateAction::Remove(remove) => {
            let path = format!("/templates/{}", remove.organisation);
            let call = Call::new(remove.operators, Method::DELETE, path);
            let call = with_precondition(call, Some(remove.revision));
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
            Ok((put.operators, with_precondition(call, put.revision)))
        }
        VersionAction::State(set) => {
            let state = parse_state(&set.state, set.stage)?;
            let body = json!({ "state": state, "reason": set.reason });
            let path =
                format!("/versions/{}/{}/state", set.model, set.version);
            let call = Call::new(set.operators, Method::POST, path)
                .body(body.to_string());
            Ok((set.operators, call))
        }
    }
}

fn parse_state(name: &str, stage: u8) -> Result<VersionState, String> {
    match name {
        "rolling_out" => Ok(VersionState::RollingOut { stage }),
        "serving" => Ok(VersionState::Serving),
        "draining" => Ok(VersionState::Draining),
        "withdrawn" => Ok(VersionState::Withdrawn),
        _ => Err(format!(
            "`{name}` is not one of rolling_out, serving, draining, withdrawn"
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

/// Adds the header that makes an edit conditional: on `revision`, or on the
/// entry not existing yet when it is `None`.
fn with_precondition(call: Call, revision: Option<u64>) -> Call {
    match revision {
        Some(revision) => call.header("if-match", &format!("\"{revision}\"")),
        None => call.header("if-none-match", "*"),
    }
}

fn read_file(path: &PathBuf) -> Result<Vec<u8>, String> {
    std::fs::read(path)
        .map_err(|error| format!("cannot read {}: {error}", path.display()))
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
