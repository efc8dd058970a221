//! Stand-in for a plain service that counts the calls it runs.

use std::{
    path::PathBuf,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use argh::FromArgs;
use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use serde_json::json;
use smol::Timer;
use trillium::{Conn, Handler, KnownHeaderName};

use crate::web::{self, Record, RecordKind, Records};

/// Run a plain service.
#[derive(FromArgs)]
#[argh(subcommand, name = "service")]
pub struct Service {
    /// port; 0 lets the kernel choose
    #[argh(option, default = "0")]
    port: u16,
    /// name
    #[argh(option)]
    name: String,
    /// time of one call, in milliseconds
    #[argh(option, default = "0")]
    latency_ms: u64,
    /// file for the records of what ran
    #[argh(option)]
    records: Option<PathBuf>,
}

/// Faults to inject into the service, set through `/admin/faults`.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct ServiceFaults {
    /// How many of the next calls run but lose their response.
    pub lose_next: u32,
    /// Extra latency of each call, in milliseconds.
    pub slow_ms: u64,
    /// Rejects each call with 503 and this `Retry-After`, in seconds; zero for
    /// never.
    pub rest_s: u32,
    /// Signals in each response that it is leaving, but not in `/load`.
    pub says_leaving: bool,
    /// Rate limit that each response signals, in requests a second from all
    /// VMs together; zero for none.
    pub rate_limit_per_s: u32,
}

struct State {
    name: String,
    latency: Duration,
    records: Records,
    faults: Mutex<ServiceFaults>,
    running: AtomicU32,
    runs: AtomicU64,
    rejected: AtomicU64,
    /// Milliseconds since the Unix epoch; zero when the service isn't leaving.
    leaving_since: AtomicU64,
}

impl Service {
    /// Serves until the process ends.
    pub fn run(self) {
        let state = State {
            name: self.name,
            latency: Duration::from_millis(self.latency_ms),
            records: Records::open(self.records.as_deref()),
            faults: Mutex::default(),
            running: AtomicU32::new(0),
            runs: AtomicU64::new(0),
            rejected: AtomicU64::new(0),
            leaving_since: AtomicU64::new(0),
        };
        web::run(self.port, Shared(Arc::new(state)));
    }
}

struct Shared(Arc<State>);

#[async_trait]
impl Handler for Shared {
    async fn run(&self, mut conn: Conn) -> Conn {
        let state = &self.0;
        match conn.path() {
            "/load" => {
                let load = json!({
                    "running": state.running.load(Ordering::Relaxed),
                    "waiting": 0,
                    "leaving":
                        state.leaving_since.load(Ordering::Relaxed) > 0,
                });
                web::json(conn, 200, &load)
            }
            "/admin/counts" => {
                let counts = json!({
                    "runs": state.runs.load(Ordering::Relaxed),
                    "turned_away": state.rejected.load(Ordering::Relaxed),
                });
                web::json(conn, 200, &counts)
            }
            "/admin/leave" => {
                let now = web::unix_ms();
                state.leaving_since.store(now, Ordering::Relaxed);
                conn.ok("")
            }
            "/admin/faults" => {
                if let Some(faults) = web::read_json(&mut conn).await {
                    *state.faults.lock().unwrap() = faults;
                }
                conn.ok("")
            }
            _ => state.call(conn).await,
        }
    }
}

impl State {
    async fn call(&self, mut conn: Conn) -> Conn {
        let body = match web::body(&mut conn).await {
            Ok(body) => body,
            // A request whose body is incomplete does not run.
            Err(_) => return conn.with_status(400).halt(),
        };
        let faults = *self.faults.lock().unwrap();
        if faults.says_leaving {
            conn.response_headers_mut().insert("lupinseam-leaving", "1");
        }
        if faults.rate_limit_per_s > 0 {
            let rate = faults.rate_limit_per_s.to_string();
            let headers = conn.response_headers_mut();
            headers.insert("lupinseam-rate-limit", rate);
        }
        if faults.rest_s > 0 {
            self.rejected.fetch_add(1, Ordering::Relaxed);
            let retry_after_s = faults.rest_s.to_string();
            return conn
                .with_response_header(
                    KnownHeaderName::RetryAfter,
                    retry_after_s,
                )
                .with_status(503)
                .halt();
        }
        self.running.fetch_add(1, Ordering::Relaxed);
        let run = self.runs.fetch_add(1, Ordering::Relaxed) + 1;
        let key = web::header(&conn, "idempotency-key");
        self.records.write(&self.record(&conn, key.clone()));
        let time = self.latency + Duration::from_millis(faults.slow_ms);
        if !time.is_zero() {
            Timer::after(time).await;
        }
        self.running.fetch_sub(1, Ordering::Relaxed);
        if self.loses_response() {
            return web::abort_connection(conn);
        }
        let answer = json!({
            "service": self.name,
            "run": run,
            "key": key,
            "received_bytes": body.len(),
        });
        web::json(conn, 200, &answer)
    }

    fn record(&self, conn: &Conn, key: Option<String>) -> Record {
        let leaving = self.leaving_since.load(Ordering::Relaxed);
        Record {
            at_unix_ms: web::unix_ms(),
            upstream: self.name.clone(),
            happened: RecordKind::Run,
            request: web::header(conn, "lupinseam-request")
                .unwrap_or_default(),
            attempt: web::header(conn, "lupinseam-attempt")
                .and_then(|text| text.parse().ok())
                .unwrap_or(0),
            key,
            what: format!("{} {}", conn.method(), conn.path()),
            leaving_since_unix_ms: (leaving > 0).then_some(leaving),
            epoch: None,
            resumed: false,
        }
    }

    /// Whether an injected fault drops the response of the current call.
    fn loses_response(&self) -> bool {
        let mut faults = self.faults.lock().unwrap();
        let loses = faults.lose_next > 0;
        faults.lose_next = faults.lose_next.saturating_sub(1);
        loses
    }
}
