//! What all stand-ins share: serving HTTP, breaking off, and records.

use std::{
    fs::{File, OpenOptions},
    io::{self, Write},
    net::{SocketAddr, TcpListener},
    path::Path,
    pin::Pin,
    sync::Mutex,
    task::{Context, Poll},
    time::{SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use futures_lite::{AsyncRead, Stream};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use smol::channel::Receiver;
use trillium::{Body, Conn, Handler, KnownHeaderName};

/// Largest body that a stand-in reads.
const BODY_LIMIT_BYTES: u64 = 4 << 20;

/// Runs a stand-in on a port that the kernel chooses, and prints it.
///
/// # Panics
///
/// When no port can be bound; a stand-in is of no use then.
pub fn run(port: u16, handler: impl Handler) {
    let listener = TcpListener::bind(("127.0.0.1", port)).expect("a port");
    let address = listener.local_addr().expect("a bound port");
    listener.set_nonblocking(true).expect("a listener");
    println!("{}", serde_json::json!({ "address": address.to_string() }));
    let listener =
        smol::net::TcpListener::try_from(listener).expect("a usable listener");
    trillium_smol::config()
        .with_nodelay()
        .with_prebound_server(listener)
        .run(handler);
}

/// Milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}

/// Answers with JSON.
pub fn json(conn: Conn, status: u16, value: &impl Serialize) -> Conn {
    let text = serde_json::to_string(value).unwrap_or_default();
    conn.with_status(status)
        .with_response_header(KnownHeaderName::ContentType, "application/json")
        .with_body(text)
        .halt()
}

/// Reads the body of a request.
///
/// # Errors
///
/// What the library says when the body cannot be read.
pub async fn body(conn: &mut Conn) -> Result<Vec<u8>, trillium::Error> {
    let body = conn.request_body().await.with_max_len(BODY_LIMIT_BYTES);
    body.read_bytes().await
}

/// Reads the body of a request as JSON.
pub async fn read_json<T: DeserializeOwned>(conn: &mut Conn) -> Option<T> {
    serde_json::from_slice(&body(conn).await.ok()?).ok()
}

/// A header of a request.
pub fn header(conn: &Conn, name: &'static str) -> Option<String> {
    conn.request_headers().get_str(name).map(str::to_owned)
}

/// Closes the connection without an answer.
pub fn abort_connection(conn: Conn) -> Conn {
    let body = Body::new_streaming(BrokenBody, Some(1));
    conn.with_status(200).with_body(body).halt()
}

struct BrokenBody;

impl AsyncRead for BrokenBody {
    fn poll_read(
        self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
        _buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()))
    }
}

/// A body whose parts come through a channel; `None` breaks it off.
pub struct ChannelBody {
    parts: Pin<Box<Receiver<Option<Bytes>>>>,
    current: Bytes,
}

impl ChannelBody {
    /// Creates a body of what the channel brings.
    pub fn new(parts: Receiver<Option<Bytes>>) -> ChannelBody {
        ChannelBody { parts: Box::pin(parts), current: Bytes::new() }
    }
}

impl AsyncRead for ChannelBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        while self.current.is_empty() {
            match self.parts.as_mut().poll_next(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(None) => return Poll::Ready(Ok(0)),
                Poll::Ready(Some(Some(part))) => self.current = part,
                Poll::Ready(Some(None)) => {
                    let error = io::ErrorKind::ConnectionAborted.into();
                    return Poll::Ready(Err(error));
                }
            }
        }
        let length = self.current.len().min(buf.len());
        let part = self.current.split_to(length);
        buf[..length].copy_from_slice(&part);
        Poll::Ready(Ok(length))
    }
}

/// What happened at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Happened {
    /// It began to work on a request.
    Run,
    /// It ended that work with a whole answer.
    Done,
    /// It carried out an order.
    Order,
    /// It refused an order with an old epoch.
    OrderRefused,
}

/// One line of an upstream's records: what really ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// When, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// The upstream.
    pub upstream: String,
    /// What happened.
    pub happened: Happened,
    /// The request, by the router's id.
    pub request: String,
    /// The attempt.
    pub attempt: u32,
    /// The caller's key, if any.
    pub key: Option<String>,
    /// The version, or the method and path of a service call.
    pub what: String,
    /// Since when the upstream had been leaving, if it was.
    pub leaving_since_unix_ms: Option<u64>,
    /// The epoch, for orders.
    pub epoch: Option<u64>,
    /// Whether it went on with a stream begun elsewhere.
    pub resumed: bool,
}

/// Records of one stand-in, in a file that outlives its process.
pub struct Records(Option<Mutex<File>>);

impl Records {
    /// Opens the file, or keeps no records without one.
    ///
    /// # Panics
    ///
    /// When the file cannot be opened: nothing could be proved then.
    pub fn open(path: Option<&Path>) -> Records {
        let open = |path: &Path| {
            let file = OpenOptions::new().create(true).append(true).open(path);
            Mutex::new(file.expect("a file for records"))
        };
        Records(path.map(open))
    }

    /// Writes a record before anything else happens.
    pub fn write(&self, record: &Record) {
        let Some(file) = &self.0 else { return };
        let mut line = serde_json::to_vec(record).expect("a record");
        line.push(b'\n');
        let mut file = file.lock().expect("records lock");
        file.write_all(&line).expect("a record is written");
    }
}

/// Reads the records of a file.
///
/// # Errors
///
/// When the file cannot be read or a line is no record.
pub fn read_records(path: &Path) -> io::Result<Vec<Record>> {
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) if error.kind() == io::ErrorKind::NotFound => {
            return Ok(Vec::new());
        }
        Err(error) => return Err(error),
    };
    let lines = text.lines().filter(|line| !line.is_empty());
    lines.map(|line| Ok(serde_json::from_str(line)?)).collect()
}

/// The address in the line that a stand-in prints.
///
/// # Errors
///
/// When the line has none.
pub fn announced(line: &str, field: &str) -> Result<SocketAddr, String> {
    let value: serde_json::Value = serde_json::from_str(line)
        .map_err(|error| format!("`{line}`: {error}"))?;
    value[field]
        .as_str()
        .and_then(|text| text.parse().ok())
        .ok_or_else(|| format!("`{line}` has no {field}"))
}
