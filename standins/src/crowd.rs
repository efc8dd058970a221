//! Callers that send what no request needs, or stop within it, and keep their
//! connections open.

use std::{
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use crate::{
    footprint::Footprint,
    gateway_site::{HttpReply, exchange, wait_until},
};

/// Connections that a caller usually opens, one after the other.
const CONNECTIONS: usize = 4;

/// Pause before another connection.
const PAUSE: Duration = Duration::from_millis(50);

/// Timeout of a read or write.
const STEP: Duration = Duration::from_millis(100);

/// Timeouts of writes in a row after which a caller waits, since nobody reads
/// what it sends.
const MAX_IDLE_STEPS: usize = 10;

/// Size of the pieces in which bytes are written.
const BLOCK_BYTES: usize = 16 << 10;

/// Times that [`ask_until_served`] asks before it gives up.
const TRIES: usize = 40;

/// Pause of [`ask_until_served`] if it is told none.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Interval between two readings of a footprint.
const READING_INTERVAL: Duration = Duration::from_millis(10);

/// What a caller sends on each connection.
#[derive(Clone, Debug)]
pub struct Form {
    /// What comes first.
    pub start: Vec<u8>,
    /// What follows, repeatedly.
    pub rest: Vec<u8>,
    /// How often the rest follows.
    pub repetitions: usize,
    /// Pause before each repetition; without one, they follow in blocks.
    pub pause: Duration,
    /// Whether the caller reads what it is sent.
    pub reads: bool,
    /// Connections that the caller opens, if the earlier ones are closed.
    pub connections: usize,
}

impl Form {
    /// Creates a form of which a caller sends all that is read, and of which
    /// it reads the answer.
    pub fn new(
        start: impl Into<Vec<u8>>,
        rest: impl Into<Vec<u8>>,
        repetitions: usize,
    ) -> Form {
        Form {
            start: start.into(),
            rest: rest.into(),
            repetitions,
            pause: Duration::ZERO,
            reads: true,
            connections: CONNECTIONS,
        }
    }

    /// Returns the number of repetitions that are written at once.
    fn block_repetitions(&self) -> usize {
        match self.pause.is_zero() {
            true => BLOCK_BYTES.div_ceil(self.rest.len().max(1)),
            false => 1,
        }
    }
}

/// Callers that have connected, and keep their connections open until this is
/// dropped.
pub struct Crowd {
    shared: Arc<Shared>,
    callers: Vec<JoinHandle<()>>,
}

#[derive(Default)]
struct Shared {
    /// Number of callers that have nothing left to send.
    settled: AtomicUsize,
    is_over: AtomicBool,
}

impl Crowd {
    /// Starts a number of callers of a listener.
    pub fn start(address: SocketAddr, callers: usize, form: &Form) -> Crowd {
        let shared = Arc::<Shared>::default();
        let callers = (0..callers)
            .map(|_| {
                let (shared, form) = (shared.clone(), form.clone());
                thread::spawn(move || run_caller(address, &form, &shared))
            })
            .collect();
        Crowd { shared, callers }
    }

    /// Returns whether each caller has sent all that it can.
    pub fn has_settled(&self) -> bool {
        self.shared.settled.load(Ordering::SeqCst) == self.callers.len()
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.shared.is_over.store(true, Ordering::SeqCst);
        for caller in self.callers.drain(..) {
            // A caller that panicked has printed why.
            let _ = caller.join();
        }
    }
}

impl Shared {
    fn is_over(&self) -> bool {
        self.is_over.load(Ordering::SeqCst)
    }
}

/// Sends the form on one connection after another, and keeps the first one
/// open that is not closed by the other side.
fn run_caller(address: SocketAddr, form: &Form, shared: &Shared) {
    let mut has_settled = false;
    let mut settle = || {
        if !has_settled {
            shared.settled.fetch_add(1, Ordering::SeqCst);
            has_settled = true;
        }
    };
    for _ in 0..form.connections {
        if shared.is_over() {
            break;
        }
        if let Ok(mut stream) = TcpStream::connect(address) {
            let _ = stream.set_read_timeout(Some(STEP));
            let _ = stream.set_write_timeout(Some(STEP));
            if send(&mut stream, form, shared, &mut settle).is_some() {
                settle();
                hold(&mut stream, form, shared);
            }
        }
        thread::sleep(PAUSE);
    }
    settle();
}

/// Sends the form as far as the other side reads it; returns `None` if the
/// connection is closed. Calls `settle` once only pauses are left.
fn send(
    stream: &mut TcpStream,
    form: &Form,
    shared: &Shared,
    settle: &mut dyn FnMut(),
) -> Option<()> {
    let each = form.block_repetitions();
    let mut left = form.repetitions;
    let mut block = form.start.clone();
    loop {
        let mut bytes = block.as_slice();
        let mut idle_steps = 0;
        while !bytes.is_empty() {
            match stream.write(bytes) {
                Ok(count) => {
                    bytes = &bytes[count..];
                    idle_steps = 0;
                }
                Err(error) if is_timeout(&error) => {
                    idle_steps += 1;
                    if idle_steps == MAX_IDLE_STEPS || shared.is_over() {
                        return Some(());
                    }
                }
                Err(_) => return None,
            }
        }
        if left == 0 || shared.is_over() {
            return Some(());
        }
        if !form.pause.is_zero() {
            settle();
            thread::sleep(form.pause);
        }
        let count = each.min(left);
        left -= count;
        block = form.rest.repeat(count);
    }
}

/// Keeps a connection open until it is closed or the crowd is over.
fn hold(stream: &mut TcpStream, form: &Form, shared: &Shared) {
    let mut buffer = [0; 4096];
    while !shared.is_over() {
        let received = match form.reads {
            true => stream.read(&mut buffer),
            false => stream.peek(&mut buffer[..1]),
        };
        match received {
            Ok(0) => return,
            Ok(_) if !form.reads => thread::sleep(STEP),
            Ok(_) => {}
            Err(error) if is_timeout(&error) => {}
            Err(_) => return,
        }
    }
}

fn is_timeout(error: &std::io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
    )
}

/// Reads the footprint of a process again and again, and keeps the largest
/// values.
pub struct FootprintWatch {
    is_over: Arc<AtomicBool>,
    peak: Arc<Mutex<Footprint>>,
    reader: Option<JoinHandle<()>>,
}

impl FootprintWatch {
    /// Starts to watch a process and its listener.
    pub fn start(process_id: u32, listener: SocketAddr) -> FootprintWatch {
        let is_over = Arc::new(AtomicBool::new(false));
        let peak = Arc::new(Mutex::new(Footprint::default()));
        let reader = thread::spawn({
            let (is_over, peak) = (is_over.clone(), peak.clone());
            move || {
                while !is_over.load(Ordering::SeqCst) {
                    let Some(now) = Footprint::of(process_id, listener) else {
                        return;
                    };
                    let mut peak = peak.lock().unwrap();
                    let descriptors = peak.descriptors.max(now.descriptors);
                    if now.held_bytes() > peak.held_bytes() {
                        *peak = now;
                    }
                    peak.descriptors = descriptors;
                    drop(peak);
                    thread::sleep(READING_INTERVAL);
                }
            }
        });
        FootprintWatch { is_over, peak, reader: Some(reader) }
    }

    /// Returns the most bytes held at one moment, and the most descriptors.
    pub fn peak(&self) -> Footprint {
        *self.peak.lock().unwrap()
    }
}

impl Drop for FootprintWatch {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::SeqCst);
        if let Some(reader) = self.reader.take() {
            // A reader that panicked has printed why.
            let _ = reader.join();
        }
    }
}

/// Sends a request until the response is 200, and comes back when it is told
/// to; returns the last response.
pub fn ask_until_served(address: SocketAddr, request: &[u8]) -> HttpReply {
    let mut reply = HttpReply::default();
    for _ in 0..TRIES {
        reply = exchange(address, request);
        if reply.status == 200 {
            break;
        }
        let pause = reply.header("retry-after").parse();
        let pause = pause.map_or(RETRY_PAUSE, Duration::from_secs_f64);
        thread::sleep(pause);
    }
    reply
}

/// The most that a process may hold.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Resident memory and unread bytes together, in bytes.
    pub memory_bytes: u64,
    /// Number of open descriptors.
    pub descriptors: u64,
}

/// Checks that a process stays within its bounds with a crowd at its listener,
/// and that `others` are served before, meanwhile and afterwards.
///
/// # Panics
///
/// If they are not, or the process ends.
pub fn assert_bounded(
    process_id: u32,
    address: SocketAddr,
    callers: usize,
    form: &Form,
    bounds: Bounds,
    others: &dyn Fn(&str),
) {
    others("before");
    println!("before: {:?}", Footprint::of(process_id, address));
    let watch = FootprintWatch::start(process_id, address);
    let crowd = Crowd::start(address, callers, form);
    wait_until("the crowd has sent what it can", || crowd.has_settled());
    others("beside the crowd");
    drop(crowd);
    others("afterwards");
    let peak = watch.peak();
    println!("most at one moment: {peak:?}");
    assert!(peak.held_bytes() <= bounds.memory_bytes, "{peak:?}");
    assert!(peak.descriptors <= bounds.descriptors, "{peak:?}");
    let lives = Footprint::of(process_id, address).is_some();
    assert!(lives, "the process has ended");
}
