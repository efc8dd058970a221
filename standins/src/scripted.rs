//! An upstream of the platform that does what a script says.

use std::{
    collections::HashMap,
    io::{BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::http_raw::{RawRequest, answer, chunk, read_request};

/// One thing that the upstream does with a request.
#[derive(Clone, Debug)]
pub enum Act {
    /// Sends these bytes.
    Send(Vec<u8>),
    /// Waits.
    Wait(Duration),
    /// Closes the connection.
    Close,
    /// Ends the whole upstream: it listens no more, and all connections are
    /// closed.
    Crash,
}

/// What the upstream does with a request.
pub type Script = Box<dyn Fn(&RawRequest) -> Vec<Act> + Send + Sync>;

struct Shared {
    script: Mutex<Script>,
    received: Mutex<Vec<RawRequest>>,
    gone: Mutex<Vec<String>>,
    /// Connections that are open, by number.
    open: Mutex<HashMap<u64, TcpStream>>,
    has_crashed: AtomicBool,
}

/// A running upstream.
#[derive(Clone)]
pub struct Upstream {
    /// Its name.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Upstream {
    /// Starts an upstream on a port that the kernel chooses.
    ///
    /// # Panics
    ///
    /// When no port can be bound.
    pub fn start(id: &str, script: Script) -> Upstream {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("a bound port");
        let shared = Arc::new(Shared {
            script: Mutex::new(script),
            received: Mutex::default(),
            gone: Mutex::default(),
            open: Mutex::default(),
            has_crashed: AtomicBool::new(false),
        });
        let served = shared.clone();
        thread::spawn(move || {
            let streams = listener.incoming().flatten();
            for (number, stream) in (0..).zip(streams) {
                if served.has_crashed.load(Ordering::SeqCst) {
                    // Dropping the listener refuses whoever comes next.
                    return;
                }
                if let Ok(copy) = stream.try_clone() {
                    served.open.lock().unwrap().insert(number, copy);
                }
                let served = served.clone();
                thread::spawn(move || {
                    serve(&served, &stream, address);
                    // The connection closes with its last copy.
                    served.open.lock().unwrap().remove(&number);
                });
            }
        });
        Upstream { id: id.to_owned(), address, shared }
    }

    /// Gives it another script.
    pub fn set_script(&self, script: Script) {
        *self.shared.script.lock().unwrap() = script;
    }

    /// What it has received, but for questions about its health.
    pub fn received(&self) -> Vec<RawRequest> {
        self.shared.received.lock().unwrap().clone()
    }

    /// Whether a request has ended it.
    pub fn has_crashed(&self) -> bool {
        self.shared.has_crashed.load(Ordering::SeqCst)
    }

    /// Ends it, as a crash does.
    pub fn crash(&self) {
        self.shared.crash(self.address);
    }

    /// Ids of requests whose connection was closed while it worked on them.
    pub fn abandoned(&self) -> Vec<String> {
        self.shared.gone.lock().unwrap().clone()
    }
}

impl Shared {
    fn crash(&self, address: SocketAddr) {
        self.has_crashed.store(true, Ordering::SeqCst);
        // Wakes the thread that listens, so that it ends.
        drop(TcpStream::connect(address));
        for (_, stream) in self.open.lock().unwrap().drain() {
            // A peer that is gone already needs no farewell.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve(shared: &Shared, stream: &TcpStream, address: SocketAddr) {
    let Ok(reading) = stream.try_clone() else { return };
    let mut reader = BufReader::new(reading);
    let mut writer = stream;
    while let Ok(Some(request)) = read_request(&mut reader) {
        shared.received.lock().unwrap().push(request.clone());
        let acts = (shared.script.lock().unwrap())(&request);
        for act in acts {
            match act {
                Act::Send(bytes) => {
                    if writer.write_all(&bytes).is_err() {
                        let id = request.header("lupinseam-attempt-id");
                        shared.gone.lock().unwrap().push(id.to_owned());
                        return;
                    }
                }
                Act::Wait(time) => thread::sleep(time),
                Act::Close => {
                    // A peer that is gone already needs no farewell.
                    let _ = stream.shutdown(Shutdown::Both);
                    return;
                }
                Act::Crash => {
                    shared.crash(address);
                    return;
                }
            }
        }
    }
}

/// The headers that every answer carries: the request's id and a seal.
pub fn stamped<'a>(
    request: &'a RawRequest,
    more: &[(&'a str, &'a str)],
) -> Vec<(&'a str, &'a str)> {
    let id = request.header("lupinseam-attempt-id");
    let mut headers =
        vec![("Lupinseam-Attempt-Id", id), ("Lupinseam-Response-Seal", "s")];
    headers.extend_from_slice(more);
    headers
}

/// A script that answers every request whole.
pub fn answers(status: u16, body: &'static str) -> Script {
    Box::new(move |request| {
        vec![Act::Send(answer(status, &stamped(request, &[]), body))]
    })
}

/// A script that declines every request as not run.
pub fn declines() -> Script {
    Box::new(|request| {
        let more = [("Lupinseam-Not-Executed", "1")];
        vec![Act::Send(answer(503, &stamped(request, &more), ""))]
    })
}

/// How a streamed answer goes.
#[derive(Clone, Copy, Debug)]
pub struct Streamed {
    /// The last event.
    pub last: u64,
    /// The event after which it breaks off, within the next one.
    pub breaks_after: Option<u64>,
    /// The pause before each event.
    pub pause: Duration,
    /// What the model thinks of its answer.
    pub confidence: u8,
}

impl Default for Streamed {
    fn default() -> Streamed {
        Streamed {
            last: 5,
            breaks_after: None,
            pause: Duration::ZERO,
            confidence: 100,
        }
    }
}

/// A script that streams events, from the one asked for on.
pub fn streams(
    plan: impl Fn(&RawRequest) -> Streamed + Send + Sync + 'static,
) -> Script {
    Box::new(move |request| stream_acts(request, plan(request)))
}

fn stream_acts(request: &RawRequest, plan: Streamed) -> Vec<Act> {
    let confidence = plan.confidence.to_string();
    let more = [
        ("content-type", "text/event-stream"),
        ("transfer-encoding", "chunked"),
        ("Lupinseam-Confidence", &confidence),
    ];
    let mut head = String::from("HTTP/1.1 200 OK\r\n");
    for (name, value) in stamped(request, &more) {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut acts = vec![Act::Send(head.into_bytes())];
    let after: u64 = request.header("last-event-id").parse().unwrap_or(0);
    for id in after + 1..=plan.last {
        if plan.breaks_after.is_some_and(|last| id > last) {
            acts.push(Act::Send(chunk(&format!("id: {id}\ndata: ha"))));
            acts.push(Act::Close);
            return acts;
        }
        acts.push(Act::Wait(plan.pause));
        acts.push(Act::Send(chunk(&format!("id: {id}\ndata: e{id}\n\n"))));
    }
    acts.push(Act::Send(b"0\r\n\r\n".to_vec()));
    acts
}
