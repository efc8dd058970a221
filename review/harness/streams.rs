//! Replicas of models that stream, with slots and memory, and their clients.

use std::{
    io::{BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    ops::Range,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Request, read_request, response},
    site::{Record, Site},
};

/// Time between two events of a stream.
const GAP: Duration = Duration::from_millis(100);

/// Requests that wait for a slot beside those that have one.
const QUEUE: usize = 2;

/// Tokens of an event.
const EVENT_TOKENS: u64 = 6;

/// The slots and the memory of a replica.
#[derive(Clone, Copy)]
pub struct Size {
    pub slots: usize,
    pub tokens: u64,
}

/// A request at the replica.
struct Run {
    number: u64,
    /// 0 is the most urgent.
    priority: u64,
    prompt: u64,
    made: u64,
    is_preempted: bool,
}

impl Run {
    fn tokens(&self) -> u64 {
        self.prompt + EVENT_TOKENS * self.made
    }
}

/// A replica that streams; clones are the same one.
#[derive(Clone)]
pub struct StreamReplica {
    pub id: String,
    pub address: SocketAddr,
    size: Size,
    /// The confidence that each model states in its answers.
    confidences: Vec<(String, u64)>,
    runs: Arc<Mutex<Vec<Run>>>,
    begun: Arc<Mutex<Vec<String>>>,
    record: Record,
}

impl StreamReplica {
    pub fn start(id: &str, size: Size, record: &Record) -> StreamReplica {
        StreamReplica::start_models(id, size, &[], record)
    }

    /// Starts one whose models state a confidence.
    pub fn start_models(
        id: &str,
        size: Size,
        confidences: &[(&str, u64)],
        record: &Record,
    ) -> StreamReplica {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let replica = StreamReplica {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            size,
            confidences: confidences
                .iter()
                .map(|(model, confidence)| ((*model).to_owned(), *confidence))
                .collect(),
            runs: Arc::default(),
            begun: Arc::default(),
            record: record.clone(),
        };
        let served = replica.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                thread::spawn(move || served.serve(stream));
            }
        });
        replica
    }

    /// Writes its entry into the store, as the replica does.
    pub fn register(&self, site: &Site, service: &str, model: &str) {
        let StreamReplica { id, address, size, .. } = self;
        let value = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\
             \"zone\":\"plateau\",\"version\":\"v1\",\"capacity\":{},\
             \"state\":\"ready\",\"warmup_left_ms\":0,\"phase\":\"unified\",\
             \"models\":[{{\"name\":\"{model}\",\"version\":1,\
             \"adapters\":[]}}],\"sequence\":1}}",
            size.slots
        );
        site.store.put(&format!("servers/{id}"), &value);
    }

    /// Returns the ids of the requests whose first event it has made, once for
    /// each run.
    pub fn begun(&self) -> Vec<String> {
        self.begun.lock().unwrap().clone()
    }

    fn confidence(&self, model: &str) -> String {
        let mut stated = self.confidences.iter();
        let found = stated.find(|(own, _)| own == model);
        found.map_or(String::new(), |(_, confidence)| {
            format!("Lupinseam-Confidence: {confidence}\r\n")
        })
    }

    fn load(&self) -> String {
        let all = self.runs.lock().unwrap().len();
        let slots = self.size.slots;
        let running = all.min(slots);
        let waiting = all - running;
        format!("Lupinseam-Instance-Load: {running},{waiting},{slots}\r\n")
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let _ = writer.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            let id = request.header("lupinseam-attempt-id").to_owned();
            let expected = request.header("lupinseam-expected-instance");
            let is_other = !expected.is_empty() && expected != self.id;
            let run = if is_other { None } else { self.admit(&request) };
            let Some(number) = run else {
                let status = if is_other { 421 } else { 503 };
                let headers = format!(
                    "Lupinseam-Attempt-Id: {id}\r\n\
                     Lupinseam-Not-Executed: 1\r\n{}",
                    self.load()
                );
                self.record
                    .line(&format!("{id} rejected by {}: {status}", self.id));
                let bytes = response(status, &headers, "");
                if writer.write_all(&bytes).is_err() {
                    return;
                }
                continue;
            };
            let after: Option<u64> =
                request.header("last-event-id").parse().ok();
            let after = after.map_or(0, |after| after + 1);
            let model = request.header("lupinseam-model").to_owned();
            self.record
                .line(&format!("{id} runs at {}, model {model}", self.id));
            let events = request.parameter("events").parse().unwrap_or(1);
            let confidence = self.confidence(&model);
            let sent = self.stream(
                &mut writer,
                number,
                &id,
                after..events,
                &confidence,
            );
            self.runs.lock().unwrap().retain(|run| run.number != number);
            let end = if sent { "has ended" } else { "lost its connection" };
            self.record.line(&format!("{id} {end} at {}", self.id));
            if !sent {
                return;
            }
        }
    }

    /// Takes a request in, if there is a slot or a place in the queue.
    fn admit(&self, request: &Request) -> Option<u64> {
        static LAST: AtomicU64 = AtomicU64::new(0);
        let mut runs = self.runs.lock().unwrap();
        if runs.len() >= self.size.slots + QUEUE {
            return None;
        }
        let count = request.header("lupinseam-token-count");
        let prompt = count.split(',').next()?.parse().ok()?;
        let priority = request.header("lupinseam-request-priority");
        let number = LAST.fetch_add(1, Ordering::Relaxed);
        runs.push(Run {
            number,
            priority: priority.parse().unwrap_or(5),
            prompt,
            made: 0,
            is_preempted: false,
        });
        Some(number)
    }

    /// Decides whether a request runs: if it has a slot, and if memory has room
    /// for it. If memory runs out, the newest of the least urgent is preempted
    /// until there is room for it again.
    fn may_run(&self, number: u64) -> Option<bool> {
        let mut runs = self.runs.lock().unwrap();
        let place = runs.iter().position(|run| run.number == number)?;
        if place >= self.size.slots {
            return Some(false);
        }
        let slots = self.size.slots;
        let used = |runs: &[Run]| -> u64 {
            let running = runs.iter().take(slots);
            let running = running.filter(|run| !run.is_preempted);
            running.map(Run::tokens).sum()
        };
        while used(&runs) > self.size.tokens {
            let running = runs.iter_mut().filter(|run| !run.is_preempted);
            let last = running.max_by_key(|run| (run.priority, run.number))?;
            last.is_preempted = true;
        }
        let others = used(&runs);
        let run = runs.iter_mut().find(|run| run.number == number)?;
        if run.is_preempted && others + run.tokens() <= self.size.tokens {
            run.is_preempted = false;
        }
        Some(!run.is_preempted)
    }

    /// Sends the events; returns whether the connection took them all.
    fn stream(
        &self,
        writer: &mut TcpStream,
        number: u64,
        id: &str,
        Range { start: mut next, end: events }: Range<u64>,
        confidence: &str,
    ) -> bool {
        let mut has_begun = false;
        let mut was_running = true;
        while next < events {
            thread::sleep(GAP);
            if is_closed(writer) {
                return false;
            }
            let runs = self.may_run(number).unwrap_or(false);
            if runs != was_running {
                let what = match (runs, has_begun) {
                    (true, _) => "goes on",
                    (false, true) => "is preempted",
                    (false, false) => "waits",
                };
                self.record.line(&format!("{id} {what} at {}", self.id));
                was_running = runs;
            }
            if !runs {
                continue;
            }
            let mut bytes = Vec::new();
            if !has_begun {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nLupinseam-Attempt-Id: {id}\r\n\
                     Lupinseam-Response-Seal: {}.{id}\r\n\
                     Lupinseam-Weight-Versions: 1\r\n\
                     Content-Type: text/event-stream\r\n{}{confidence}\
                     Transfer-Encoding: chunked\r\n\r\n",
                    self.id,
                    self.load()
                );
                bytes.extend_from_slice(head.as_bytes());
                has_begun = true;
                self.begun.lock().unwrap().push(id.to_owned());
            }
            let event = format!("id: {next}\ndata: piece {next}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            bytes.extend_from_slice(chunk.as_bytes());
            if writer.write_all(&bytes).is_err() {
                return false;
            }
            let mut runs = self.runs.lock().unwrap();
            if let Some(run) = runs.iter_mut().find(|r| r.number == number) {
                run.made += 1;
            }
            next += 1;
        }
        writer.write_all(b"0\r\n\r\n").is_ok()
    }
}

/// Whether the other side has closed a connection on which nothing is due.
fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(count) => count == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    }
}

/// What a client got of a stream.
pub struct Streamed {
    pub status: u16,
    /// The ids of the events, in their order.
    pub ids: Vec<u64>,
    /// Whether the answer has its end.
    pub is_whole: bool,
    pub sent_at: Instant,
    pub ended_at: Instant,
}

/// Sends a request for a stream as a client does, and reads the answer to its
/// end. `text` is the whole request.
pub fn read_stream(
    callers: SocketAddr,
    text: &str,
    limit: Duration,
) -> Option<Streamed> {
    let mut stream =
        TcpStream::connect_timeout(&callers, Duration::from_secs(1)).ok()?;
    let _ = stream.set_nodelay(true);
    stream.write_all(text.as_bytes()).ok()?;
    let sent_at = Instant::now();
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    while sent_at.elapsed() < limit && !ends(&bytes) {
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
            Err(error)
                if matches!(
                    error.kind(),
                    std::io::ErrorKind::WouldBlock
                        | std::io::ErrorKind::TimedOut
                ) => {}
            Err(_) => break,
        }
    }
    let ended_at = Instant::now();
    let answer = String::from_utf8_lossy(&bytes).into_owned();
    let status = answer.split(' ').nth(1).and_then(|s| s.parse().ok());
    let ids = answer.lines().filter_map(|line| line.strip_prefix("id: "));
    Some(Streamed {
        status: status.unwrap_or(0),
        ids: ids.filter_map(|id| id.trim().parse().ok()).collect(),
        is_whole: ends(&bytes),
        sent_at,
        ended_at,
    })
}

/// Whether these bytes are a whole answer, by its length or its last chunk.
fn ends(bytes: &[u8]) -> bool {
    let text = String::from_utf8_lossy(bytes);
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let head = head.to_ascii_lowercase();
    if head.contains("transfer-encoding: chunked") {
        return body == "0\r\n\r\n" || body.ends_with("\r\n0\r\n\r\n");
    }
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "))
        .and_then(|length| length.trim().parse().ok());
    length.is_some_and(|length: usize| body.len() >= length)
}
