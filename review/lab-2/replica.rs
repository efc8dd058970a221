//! A stand-in for a replica of a plain service. It can crash, start again
//! under its id, and announce in its answers that it leaves.

use std::{
    io::{self, BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Request},
    record::Record,
};

/// Events of a streamed answer, and the pause before each: a summary of 49
/// events of 6 tokens, of some 5 ms each beside other requests.
pub const EVENTS: u64 = 49;
const EVENT_PAUSE: Duration = Duration::from_millis(33);

/// A request that has arrived at a replica.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Duration,
    pub replica: String,
    pub id: String,
    pub path: String,
    /// Whether the answer said that the replica leaves.
    pub said_leaving: bool,
}

pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;

#[derive(Default)]
struct State {
    is_down: bool,
    is_leaving: bool,
    open: Vec<TcpStream>,
}

/// A replica at an address that stays its own.
#[derive(Clone)]
pub struct Replica {
    pub id: String,
    pub address: SocketAddr,
    /// Time that a request takes.
    work: Duration,
    /// Paths that contain this text crash the replica.
    poison: &'static str,
    state: Arc<Mutex<State>>,
    arrivals: Arrivals,
    record: Record,
}

impl Replica {
    pub fn start(
        id: &str,
        work: Duration,
        poison: &'static str,
        arrivals: &Arrivals,
        record: &Record,
    ) -> io::Result<Replica> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let replica = Replica {
            id: id.to_owned(),
            address: listener.local_addr()?,
            work,
            poison,
            state: Arc::default(),
            arrivals: arrivals.clone(),
            record: record.clone(),
        };
        replica.clone().listen(listener)?;
        Ok(replica)
    }

    fn listen(self, listener: TcpListener) -> io::Result<()> {
        listener.set_nonblocking(true)?;
        thread::spawn(move || {
            while !self.state.lock().unwrap().is_down {
                match listener.accept() {
                    Ok((stream, _)) => self.clone().begin(stream),
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        Ok(())
    }

    fn begin(self, stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else { return };
        let Ok(kept) = stream.try_clone() else { return };
        let mut state = self.state.lock().unwrap();
        if state.is_down {
            return;
        }
        state.open.push(kept);
        drop(state);
        thread::spawn(move || {
            let mut reader = BufReader::new(reading);
            let mut writer = stream;
            while let Ok(Some(request)) = http::read_request(&mut reader) {
                if !self.serve(&request, &mut writer) {
                    return;
                }
            }
        });
    }

    fn serve(&self, request: &Request, stream: &mut TcpStream) -> bool {
        let id = request.header("lupinseam-attempt-id").to_owned();
        let said_leaving = self.state.lock().unwrap().is_leaving;
        let arrival = Arrival {
            at: self.record.elapsed(),
            replica: self.id.clone(),
            id: id.clone(),
            path: request.path.clone(),
            said_leaving,
        };
        self.record.line(&format!(
            "{} runs {id} {}{}",
            self.id,
            request.path,
            if said_leaving { ", answers that it leaves" } else { "" }
        ));
        self.arrivals.lock().unwrap().push(arrival);
        if !self.poison.is_empty() && request.path.contains(self.poison) {
            self.record.line(&format!("{} crashes under {id}", self.id));
            self.crash();
            return false;
        }
        if request.path.starts_with("/once/") {
            return self.stream(&id, stream);
        }
        thread::sleep(self.work);
        let seal = format!("seal.{id}");
        let mut headers = vec![
            ("Lupinseam-Attempt-Id", id.as_str()),
            ("Lupinseam-Response-Seal", seal.as_str()),
        ];
        if said_leaving {
            headers.push(("Server-Leaving", "1"));
        }
        stream.write_all(&http::answer(200, &headers, &self.id)).is_ok()
    }

    /// Answers with events, as an engine that runs several requests does.
    fn stream(&self, id: &str, stream: &mut TcpStream) -> bool {
        let head = format!(
            "HTTP/1.1 200 OK\r\nLupinseam-Attempt-Id: {id}\r\n\
             Lupinseam-Response-Seal: seal.{id}\r\n\
             Lupinseam-Weight-Versions: 1\r\n\
             Content-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        let mut is_open = stream.write_all(head.as_bytes()).is_ok();
        for number in 1..=EVENTS {
            thread::sleep(EVENT_PAUSE);
            let event = format!("id: {number}\ndata: piece {number}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            is_open = is_open && stream.write_all(chunk.as_bytes()).is_ok();
            if !is_open {
                self.record.line(&format!(
                    "{} was at event {number} of {EVENTS} of {id} when its \
                     connection was closed",
                    self.id
                ));
                return false;
            }
        }
        stream.write_all(b"0\r\n\r\n").is_ok()
    }

    /// Ends the listener and all connections.
    pub fn crash(&self) {
        let mut state = self.state.lock().unwrap();
        state.is_down = true;
        for stream in state.open.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub fn is_down(&self) -> bool {
        self.state.lock().unwrap().is_down
    }

    /// Starts again at the same address.
    pub fn start_again(&self) -> io::Result<()> {
        let listener = TcpListener::bind(self.address)?;
        let mut state = self.state.lock().unwrap();
        state.is_down = false;
        state.is_leaving = false;
        drop(state);
        self.clone().listen(listener)
    }

    /// Has all answers say from now on that the replica leaves.
    pub fn leave(&self) {
        self.state.lock().unwrap().is_leaving = true;
    }
}

pub fn unix_ms() -> u128 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis())
}
