//! Checks that callers are served while an upstream sends bytes without end
//! that are no answer, fast or slowly, in a head or a body, until the VM
//! closes the connection.

use std::{
    path::PathBuf,
    sync::{Mutex, MutexGuard},
    thread,
    time::Duration,
};

use standins::{
    gateway_site::{
        HttpReply, MODELS, PLAIN, Site, request, stream_request, wait_until,
    },
    http_raw::RawRequest,
    scripted::{
        Script, Step, Streamed, Upstream, always_responds, response_headers,
        streams,
    },
};

/// Time within which a revoked key must be rejected everywhere; long enough
/// that no test reaches it.
const REVOKE_MS: u64 = 30_000;

/// Size of the blocks of bytes that come fast.
const BLOCK_BYTES: usize = 16 << 10;

/// Time between bytes that come slowly.
const PAUSE: Duration = Duration::from_millis(20);

/// Number of requests of each test, at the same time.
const REQUESTS: usize = 8;

/// Most memory that a VM may have had after a test.
const MAX_MEMORY_BYTES: u64 = 512 << 20;

static SITE_LOCK: Mutex<()> = Mutex::new(());

/// Serializes the tests: sites side by side would slow each other down.
fn lock_site() -> MutexGuard<'static, ()> {
    SITE_LOCK.lock().unwrap_or_else(|failed| failed.into_inner())
}

/// What an upstream sends in place of an answer.
#[derive(Clone, Copy, Debug)]
struct NoAnswer {
    /// Status of the head.
    status: &'static str,
    /// Whether a head comes first, with these lines after the usual headers.
    head: Option<&'static str>,
    /// What follows without end.
    rest: &'static str,
}

const HEADS: [NoAnswer; 4] = [
    NoAnswer { status: "200 OK", head: None, rest: "no answer " },
    NoAnswer {
        status: "200 OK",
        head: None,
        rest: "HTTP/1.1 100 Continue\r\n\r\n",
    },
    NoAnswer { status: "200 OK", head: Some("X-Long: "), rest: "a" },
    NoAnswer { status: "200 OK", head: Some(""), rest: "X-Many: a\r\n" },
];

const CHUNKED: &str = "Transfer-Encoding: chunked\r\n\r\n";

const ERROR: NoAnswer = NoAnswer {
    status: "500 Internal Server Error",
    head: Some(CHUNKED),
    rest: "1\r\na\r\n",
};

const EVENTS: &str = "Content-Type: text/event-stream\r\n\
                      Transfer-Encoding: chunked\r\n\r\n";

const BODIES: [NoAnswer; 6] = [
    ERROR,
    NoAnswer {
        status: "200 OK",
        head: Some("Content-Length: 100000000000\r\n\r\n"),
        rest: "a",
    },
    NoAnswer { status: "200 OK", head: Some(CHUNKED), rest: "1\r\na\r\n" },
    NoAnswer { status: "200 OK", head: Some(CHUNKED), rest: "1" },
    NoAnswer {
        status: "200 OK",
        head: Some("Transfer-Encoding: chunked\r\n\r\n1;x="),
        rest: "a",
    },
    NoAnswer {
        status: "200 OK",
        head: Some("Transfer-Encoding: chunked\r\n\r\n0\r\n"),
        rest: "X-Trailer: a\r\n",
    },
];

const STREAMS: [NoAnswer; 5] = [
    ERROR,
    NoAnswer { status: "200 OK", head: Some(EVENTS), rest: "1\r\na\r\n" },
    NoAnswer { status: "200 OK", head: Some(EVENTS), rest: "5\r\ndata:\r\n" },
    NoAnswer { status: "200 OK", head: Some(EVENTS), rest: "3\r\n:\n\n\r\n" },
    NoAnswer { status: "200 OK", head: Some(EVENTS), rest: "1" },
];

impl NoAnswer {
    /// Returns the script of an upstream that sends it to every request.
    fn script(self, pause: Duration) -> Script {
        let count = match pause.is_zero() {
            true => BLOCK_BYTES.div_ceil(self.rest.len()),
            false => 1,
        };
        let block = self.rest.repeat(count).into_bytes();
        Box::new(move |request| {
            let head = self.head.map(|more| head(request, self.status, more));
            let head = head.map(|head| Step::Send(head.into_bytes()));
            let rest = Step::SendEndlessly(block.clone(), pause);
            head.into_iter().chain([rest]).collect()
        })
    }
}

/// Returns the start of a head of a response, up to these lines.
fn head(request: &RawRequest, status: &str, more: &str) -> String {
    let mut head = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in response_headers(request, &[]) {
        head += &format!("{name}: {value}\r\n");
    }
    head + more
}

/// Starts a site of one VM with these upstreams of a service.
fn site_with(upstreams: &[&Upstream], service: &str) -> Site {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_standins"));
    Site::with_one_vm(program, REVOKE_MS, upstreams, service)
}

/// Sends requests at the same time; returns the replies.
fn ask_all(
    site: &Site,
    text: impl Fn(&str) -> String + Sync,
) -> Vec<HttpReply> {
    let text = &text;
    thread::scope(|scope| {
        let asking: Vec<_> = (0..REQUESTS)
            .map(|number| {
                let ask =
                    move || site.vms[0].ask(&text(&format!("r-{number}")));
                scope.spawn(ask)
            })
            .collect();
        let replies = asking.into_iter().map(|asking| asking.join().unwrap());
        replies.collect()
    })
}

/// Plays requests beside an upstream that sends bytes without end, and one
/// that answers.
fn assert_served(
    no_answers: &[NoAnswer],
    service: &str,
    healthy: fn() -> Script,
    text: fn(&str) -> String,
) {
    for no_answer in no_answers {
        for pause in [Duration::ZERO, PAUSE] {
            let case = format!("{no_answer:?}, pause {pause:?}");
            let endless = Upstream::start("i-1", no_answer.script(pause));
            let answering = Upstream::start("i-2", healthy());
            let site = site_with(&[&endless, &answering], service);
            for reply in ask_all(&site, text) {
                assert_eq!(reply.status, 200, "{case}: {reply:?}");
                assert!(reply.whole, "{case}: {reply:?}");
            }
            let received = endless.received().len();
            assert!(received > 0, "{case}: no request came");
            wait_until("all connections are closed", || {
                endless.abandoned().len() == received
            });
            let memory = site.vms[0].peak_memory_bytes();
            assert!(memory <= MAX_MEMORY_BYTES, "{case}: {memory} bytes");
        }
    }
}

fn responds() -> Script {
    always_responds(200, "x")
}

fn streams_events() -> Script {
    streams(|_| Streamed::default())
}

fn plain_request(id: &str) -> String {
    request("GET", "/read/x", id, "")
}

fn events_request(id: &str) -> String {
    stream_request("/write/x", id)
}

#[test]
fn callers_are_served_beside_heads_without_end() {
    let _guard = lock_site();
    assert_served(&HEADS, PLAIN, responds, plain_request);
}

#[test]
fn callers_are_served_beside_bodies_without_end() {
    let _guard = lock_site();
    assert_served(&BODIES, PLAIN, responds, plain_request);
}

#[test]
fn streams_are_served_beside_heads_without_end() {
    let _guard = lock_site();
    assert_served(&HEADS, MODELS, streams_events, events_request);
}

#[test]
fn streams_are_served_beside_events_without_end() {
    let _guard = lock_site();
    assert_served(&STREAMS, MODELS, streams_events, events_request);
}
