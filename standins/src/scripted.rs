//! An upstream of the platform whose response to each request is scripted.

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

/// One step of a script, run in order for each request.
#[derive(Clone, Debug)]
pub enum Step {
    /// Sends these bytes as given.
    Send(Vec<u8>),
    /// Sends these bytes over and over, with a pause after each time, until
    /// the router closes the connection.
    SendEndlessly(Vec<u8>, Duration),
    /// Waits this long.
    Wait(Duration),
    /// Closes the connection.
    Close,
    /// Crashes the upstream: stops listening and closes all its connections.
    Crash,
}

/// A script: returns the steps that handle a request. It may block, such as
/// for a slot.
pub type Script = Box<dyn Fn(&RawRequest) -> Vec<Step> + Send + Sync>;

struct Shared {
    script: Mutex<Arc<Script>>,
    received: Mutex<Vec<RawRequest>>,
    /// Ids of the attempts whose connection closed before the response ended.
    abandoned: Mutex<Vec<String>>,
    /// Open connections by number, to close them on a crash.
    open: Mutex<HashMap<u64, TcpStream>>,
    has_crashed: AtomicBool,
}

/// A running upstream; clones control the same one.
#[derive(Clone)]
pub struct Upstream {
    /// The upstream's id in the platform's documents.
    pub id: String,
    /// The address on which it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Upstream {
    /// Starts an upstream on an ephemeral port of the loopback address.
    ///
    /// # Panics
    ///
    /// When no port can be bound.
    pub fn start(id: &str, script: Script) -> Upstream {
        let listener = TcpListener::bind("127.0.0.1:0")
            .expect("a loopback port can be bound");
        let address =
            listener.local_addr().expect("a bound listener has an address");
        let shared = Arc::new(Shared {
            script: Mutex::new(Arc::new(script)),
            received: Mutex::default(),
            abandoned: Mutex::default(),
            open: Mutex::default(),
            has_crashed: AtomicBool::new(false),
        });
        let served = shared.clone();
        thread::spawn(move || {
            let streams = listener.incoming().flatten();
            for (number, stream) in (0..).zip(streams) {
                if served.has_crashed.load(Ordering::SeqCst) {
                    // Returning drops the listener, so that further
                    // connections are refused.
                    return;
                }
                if let Ok(copy) = stream.try_clone() {
                    served.open.lock().unwrap().insert(number, copy);
                }
                let served = served.clone();
                thread::spawn(move || {
                    serve(&served, &stream, address);
                    // The connection closes when its last handle is dropped.
                    served.open.lock().unwrap().remove(&number);
                });
            }
        });
        Upstream { id: id.to_owned(), address, shared }
    }

    /// Replaces the script for the requests that follow.
    pub fn set_script(&self, script: Script) {
        *self.shared.script.lock().unwrap() = Arc::new(script);
    }

    /// Returns the requests received so far, in order of arrival.
    pub fn received(&self) -> Vec<RawRequest> {
        self.shared.received.lock().unwrap().clone()
    }

    /// Whether the upstream has crashed, by a script or by
    /// [`Upstream::crash`].
    pub fn has_crashed(&self) -> bool {
        self.shared.has_crashed.load(Ordering::SeqCst)
    }

    /// Crashes the upstream: stops listening and closes its connections.
    pub fn crash(&self) {
        self.shared.crash(self.address);
    }

    /// Returns the ids of the attempts whose connection the router closed
    /// before the response was sent whole.
    pub fn abandoned(&self) -> Vec<String> {
        self.shared.abandoned.lock().unwrap().clone()
    }
}

impl Shared {
    fn record_abandoned(&self, request: &RawRequest) {
        let id = request.header("lupinseam-attempt-id");
        self.abandoned.lock().unwrap().push(id.to_owned());
    }

    fn crash(&self, address: SocketAddr) {
        self.has_crashed.store(true, Ordering::SeqCst);
        // Wakes the listening thread, so that it sees the flag and ends.
        drop(TcpStream::connect(address));
        for (_, stream) in self.open.lock().unwrap().drain() {
            // Fails only when the peer has closed the connection already.
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
        let script = shared.script.lock().unwrap().clone();
        let steps = script(&request);
        for step in steps {
            match step {
                Step::Send(bytes) => {
                    if writer.write_all(&bytes).is_err() {
                        shared.record_abandoned(&request);
                        return;
                    }
                }
                Step::SendEndlessly(bytes, pause) => {
                    while writer.write_all(&bytes).is_ok() {
                        thread::sleep(pause);
                    }
                    shared.record_abandoned(&request);
                    return;
                }
                Step::Wait(time) => thread::sleep(time),
                Step::Close => {
                    // Fails only when the peer has closed it already.
                    let _ = stream.shutdown(Shutdown::Both);
                    return;
                }
                Step::Crash => {
                    shared.crash(address);
                    return;
                }
            }
        }
    }
}

/// Returns the headers that every response must carry (the attempt's id and a
/// seal), followed by `more`.
pub fn response_headers<'a>(
    request: &'a RawRequest,
    more: &[(&'a str, &'a str)],
) -> Vec<(&'a str, &'a str)> {
    let id = request.header("lupinseam-attempt-id");
    let mut headers =
        vec![("Lupinseam-Attempt-Id", id), ("Lupinseam-Response-Seal", "s")];
    headers.extend_from_slice(more);
    headers
}

/// Returns a script that sends this response to every request.
pub fn always_responds(status: u16, body: &'static str) -> Script {
    Box::new(move |request| {
        vec![Step::Send(answer(status, &response_headers(request, &[]), body))]
    })
}

/// Returns a script that responds to every request with 503, marked as not
/// executed.
pub fn always_declines() -> Script {
    Box::new(|request| {
        let more = [("Lupinseam-Not-Executed", "1")];
        vec![Step::Send(answer(503, &response_headers(request, &more), ""))]
    })
}

/// Plan of a streamed response.
#[derive(Clone, Copy, Debug)]
pub struct Streamed {
    /// Id of the last event; ids count from 1.
    pub last: u64,
    /// Id of the last event that is sent whole: the connection closes in the
    /// middle of the next one. `None` to send all.
    pub breaks_after: Option<u64>,
    /// Delay before each event.
    pub pause: Duration,
    /// Id of an event before which the upstream is silent, and for how long.
    pub silence: Option<(u64, Duration)>,
    /// Value of the `Lupinseam-Confidence` header: the model's confidence in
    /// its response.
    pub confidence: u8,
}

impl Default for Streamed {
    fn default() -> Streamed {
        Streamed {
            last: 5,
            breaks_after: None,
            pause: Duration::ZERO,
            silence: None,
            confidence: 100,
        }
    }
}

/// Returns a script that streams events, starting after the request's
/// `Last-Event-ID`.
pub fn streams(
    plan: impl Fn(&RawRequest) -> Streamed + Send + Sync + 'static,
) -> Script {
    Box::new(move |request| stream_steps(request, plan(request)))
}

fn stream_steps(request: &RawRequest, plan: Streamed) -> Vec<Step> {
    let confidence = plan.confidence.to_string();
    let more = [
        ("content-type", "text/event-stream"),
        ("transfer-encoding", "chunked"),
        ("Lupinseam-Confidence", &confidence),
    ];
    let mut head = String::from("HTTP/1.1 200 OK\r\n");
    for (name, value) in response_headers(request, &more) {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut steps = vec![Step::Send(head.into_bytes())];
    let after: u64 = request.header("last-event-id").parse().unwrap_or(0);
    for id in after + 1..=plan.last {
        if plan.breaks_after.is_some_and(|last| id > last) {
            steps.push(Step::Send(chunk(&format!("id: {id}\ndata: ha"))));
            steps.push(Step::Close);
            return steps;
        }
        steps.push(Step::Wait(plan.pause));
        if let Some((_, time)) = plan.silence.filter(|(at, _)| *at == id) {
            steps.push(Step::Wait(time));
        }
        steps.push(Step::Send(chunk(&format!("id: {id}\ndata: e{id}\n\n"))));
    }
    steps.push(Step::Send(b"0\r\n\r\n".to_vec()));
    steps
}
