//! Processes that are started, paused, stopped and ended from here.

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::OnceLock,
    time::{Duration, Instant},
};

use rustix::process::{
    Pid, Signal, kill_process, set_parent_process_death_signal,
};
use smol::Timer;

use crate::web;

/// Threads of each process; entry VMs are small.
const THREADS: &str = "2";

/// What can go wrong when a fleet is made or asked.
pub type FleetResult<T> = Result<T, String>;

/// Set for the processes of a fleet.
pub(crate) const FLEET_VARIABLE: &str = "STANDINS_FLEET";

/// Lets a process of a fleet end with the one that started it, however that
/// ends, so that a test that is killed leaves nothing behind.
pub fn end_with_parent() {
    if std::env::var_os(FLEET_VARIABLE).is_some() {
        let _ = set_parent_process_death_signal(Some(Signal::KILL));
    }
}

/// A process that this one started, and ends.
pub struct Process {
    name: String,
    child: Child,
    first_line: String,
    is_paused: bool,
}

impl Process {
    /// Starts this program anew with other arguments.
    ///
    /// # Errors
    ///
    /// When it does not start or says nothing.
    pub fn start(name: &str, arguments: &[String]) -> FleetResult<Process> {
        let program = program()?;
        let mut child = Command::new(program)
            .args(arguments)
            .env("ASYNC_GLOBAL_EXECUTOR_THREADS", THREADS)
            .env(FLEET_VARIABLE, "1")
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|error| format!("starting {name}: {error}"))?;
        let out = child.stdout.take().ok_or("no standard output")?;
        let mut first_line = String::new();
        BufReader::new(out)
            .read_line(&mut first_line)
            .map_err(|error| format!("reading from {name}: {error}"))?;
        if first_line.is_empty() {
            let _ = child.kill();
            let status = child.wait();
            return Err(format!("{name} ended at once: {status:?}"));
        }
        let name = name.to_owned();
        Ok(Process { name, child, first_line, is_paused: false })
    }

    /// An address in the line that it printed.
    ///
    /// # Errors
    ///
    /// When there is none.
    pub fn address(&self, field: &str) -> FleetResult<SocketAddr> {
        web::announced(self.first_line.trim(), field)
    }

    /// The process's id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Freezes it.
    pub fn pause(&mut self) {
        self.signal(Signal::STOP);
        self.is_paused = true;
    }

    /// Lets it go on.
    pub fn resume(&mut self) {
        self.signal(Signal::CONT);
        self.is_paused = false;
    }

    /// Asks it to stop as planned.
    pub fn terminate(&mut self) {
        self.signal(Signal::TERM);
    }

    /// Kills it.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for its end; `None` when that takes longer than `limit`.
    pub async fn wait(&mut self, limit: Duration) -> Option<i32> {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.code();
            }
            Timer::after(Duration::from_millis(20)).await;
        }
        None
    }

    fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).ok();
        if let Some(pid) = id.and_then(Pid::from_raw) {
            let _ = kill_process(pid, signal);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if self.is_paused {
            self.resume();
        }
        self.kill();
    }
}

impl std::fmt::Display for Process {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} (process {})", self.name, self.id())
    }
}

static PROGRAM: OnceLock<PathBuf> = OnceLock::new();

/// Sets the program that processes are started of; tests name it, being
/// another one.
pub fn set_program(path: impl Into<PathBuf>) {
    // The first word holds; all tests of one binary say the same.
    let _ = PROGRAM.set(path.into());
}

fn program() -> FleetResult<PathBuf> {
    match PROGRAM.get() {
        Some(path) => Ok(path.clone()),
        None => std::env::current_exe().map_err(|error| error.to_string()),
    }
}

/// Starts a stand-in with these further words.
pub(crate) fn stand_in(name: &str, more: &[&str]) -> FleetResult<Process> {
    let mut arguments = strings(&[name]);
    arguments.extend(strings(more));
    Process::start(name, &arguments)
}

/// Words of a command line.
pub(crate) fn strings(texts: &[&str]) -> Vec<String> {
    texts.iter().map(|text| (*text).to_owned()).collect()
}
