//! Child processes that tests start, pause, stop and kill.

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

/// Executor threads of each process: few, since entry VMs are small.
const THREADS: &str = "2";

/// Result of starting a fleet or calling it; the error is a message for the
/// reader of the test's output.
pub type FleetResult<T> = Result<T, String>;

/// Environment variable that is set for the processes of a fleet.
pub(crate) const FLEET_VARIABLE: &str = "STANDINS_FLEET";

/// Has the kernel kill this process when the one that started it ends, if it
/// belongs to a fleet, so that a test that is killed leaves no processes.
pub fn end_with_parent() {
    if std::env::var_os(FLEET_VARIABLE).is_some() {
        let _ = set_parent_process_death_signal(Some(Signal::KILL));
    }
}

/// A child process, killed when this is dropped.
pub struct Process {
    name: String,
    child: Child,
    first_line: String,
    is_paused: bool,
}

impl Process {
    /// Starts the program of [`set_program`], by default the current one, and
    /// waits for the first line that it prints.
    ///
    /// # Errors
    ///
    /// When it does not start, or ends without printing a line.
    pub fn start(name: &str, arguments: &[String]) -> FleetResult<Process> {
        let program = program()?;
        let mut child = Command::new(program)
            .args(arguments)
            .env("ASYNC_GLOBAL_EXECUTOR_THREADS", THREADS)
            .env(FLEET_VARIABLE, "1")
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|error| format!("cannot start {name}: {error}"))?;
        let out =
            child.stdout.take().ok_or("the process has no standard output")?;
        let mut first_line = String::new();
        BufReader::new(out)
            .read_line(&mut first_line)
            .map_err(|error| format!("cannot read from {name}: {error}"))?;
        if first_line.is_empty() {
            let _ = child.kill();
            let status = child.wait();
            return Err(format!(
                "{name} ended before it printed a line: {status:?}"
            ));
        }
        let name = name.to_owned();
        Ok(Process { name, child, first_line, is_paused: false })
    }

    /// Returns an address from the JSON line that the process printed first.
    ///
    /// # Errors
    ///
    /// When the line is no JSON or `field` holds no address.
    pub fn address(&self, field: &str) -> FleetResult<SocketAddr> {
        web::printed_address(self.first_line.trim(), field)
    }

    /// Returns the operating system's id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Suspends the process with `SIGSTOP`.
    pub fn pause(&mut self) {
        self.signal(Signal::STOP);
        self.is_paused = true;
    }

    /// Resumes the process with `SIGCONT`.
    pub fn resume(&mut self) {
        self.signal(Signal::CONT);
        self.is_paused = false;
    }

    /// Asks for a graceful shutdown with `SIGTERM`.
    pub fn terminate(&mut self) {
        self.signal(Signal::TERM);
    }

    /// Kills the process with `SIGKILL` and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for the process to end and returns its exit code; `None` when it
    /// takes longer than `limit` or a signal ended it.
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

/// Sets the program that [`Process::start`] runs. Tests must call it, since
/// their own binary is not the program.
pub fn set_program(path: impl Into<PathBuf>) {
    // The first call wins; all tests of one binary set the same program.
    let _ = PROGRAM.set(path.into());
}

fn program() -> FleetResult<PathBuf> {
    match PROGRAM.get() {
        Some(path) => Ok(path.clone()),
        None => std::env::current_exe().map_err(|error| error.to_string()),
    }
}

/// Starts the stand-in of subcommand `name` with further arguments.
pub(crate) fn start_stand_in(
    name: &str,
    more: &[&str],
) -> FleetResult<Process> {
    let mut arguments = strings(&[name]);
    arguments.extend(strings(more));
    Process::start(name, &arguments)
}

/// Returns owned copies of command-line arguments.
pub(crate) fn strings(texts: &[&str]) -> Vec<String> {
    texts.iter().map(|text| (*text).to_owned()).collect()
}
