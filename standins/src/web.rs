//! Code that the stand-ins share: serving HTTP, closing connections without a
//! response, and records of what ran.

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

/// Size of the largest request body that a stand-in reads, in bytes.
const BODY_LIMIT_BYTES: u64 = 4 << 20;

/// Serves a stand-in on a loopback port (zero for an ephemeral one) and prints
/// its address as a line of JSON.
///
/// # Panics
///
/// When the port cannot be bound, without which a stand-in is useless.
pub fn run(port: u16, handler: impl Handler) {
    let listener = TcpListener::bind(("127.0.0.1", port))
        .expect("the loopback port can be bound");
    let address =
        listener.local_addr().expect("a bound listener has an address");
    listener
        .set_nonblocking(true)
        .expect("a listener can be made non-blocking");
    println!("{}", serde_json::json!({ "address": address.to_string() }));
    let listener = smol::net::TcpListener::try_from(listener)
        .expect("the executor accepts the listener");
    trillium_smol::config()
        .with_nodelay()
        .with_prebound_server(listener)
        .run(handler);
}

/// Returns the current time in milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}

/// Sets a JSON response.
pub fn json(conn: Conn, status: u16, value: &impl Serialize) -> Conn {
    let text = serde_json::to_string(value).unwrap_or_default();
    conn.with_status(status)
        .with_response_header(KnownHeaderName::ContentType, "application/json")
        .with_body(text)
        .halt()
}

/// Reads the whole body of a request.
///
/// # Errors
///
/// When the body cannot be read whole or exceeds the size limit.
pub async fn body(conn: &mut Conn) -> Result<Vec<u8>, trillium::Error> {
    let body = conn.request_body().await.with_max_len(BODY_LIMIT_BYTES);
    body.read_bytes().await
}

/// Reads the body of a request as JSON; `None` when it cannot be parsed.
pub async fn read_json<T: DeserializeOwned>(conn: &mut Conn) -> Option<T> {
    serde_json::from_slice(&body(conn).await.ok()?).ok()
}

/// Returns a header of a request.
pub fn header(conn: &Conn, name: &'static str) -> Option<String> {
    conn.request_headers().get_str(name).map(str::to_owned)
}

/// Aborts the connection before the response is complete.
pub fn abort_connection(conn: Conn) -> Conn {
    let body = Body::new_streaming(BrokenBody, Some(1));
    conn.with_status(200).with_body(body).halt()
}

/// A body that fails on its first read, so that the server closes the
/// connection.
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

/// A response body whose chunks arrive through a channel; `None` closes the
/// connection before the body is complete.
pub struct ChannelBody {
    chunks: Pin<Box<Receiver<Option<Bytes>>>>,
    current: Bytes,
}

impl ChannelBody {
    /// Creates a body of the chunks that the channel receives.
    pub fn new(chunks: Receiver<Option<Bytes>>) -> ChannelBody {
        ChannelBody { chunks: Box::pin(chunks), current: Bytes::new() }
    }
}

impl AsyncRead for ChannelBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        while self.current.is_empty() {
            match self.chunks.as_mut().poll_next(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(None) => return Poll::Ready(Ok(0)),
                Poll::Ready(Some(Some(chunk))) => self.current = chunk,
                Poll::Ready(Some(None)) => {
                    let error = io::ErrorKind::ConnectionAborted.into();
                    return Poll::Ready(Err(error));
                }
            }
        }
        let length = self.current.len().min(buf.len());
        let head = self.current.split_to(length);
        buf[..length].copy_from_slice(&head);
        Poll::Ready(Ok(length))
    }
}

/// Kind of an upstream's [`Record`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordKind {
    /// The upstream started to process a request.
    Run,
    /// The upstream completed the response to a request.
    Done,
    /// The engine accepted an order.
    Order,
    /// The engine rejected an order with an old epoch.
    OrderRefused,
}

/// One line of an upstream's records, which the checks compare with the
/// responses that callers received.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Time of the event, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// Name of the upstream.
    pub upstream: String,
    /// Kind of the event.
    pub happened: RecordKind,
    /// The request's id as the router sent it; empty for orders.
    pub request: String,
    /// The attempt's number as the router sent it; zero without one.
    pub attempt: u32,
    /// The request's idempotency key, if it has one.
    pub key: Option<String>,
    /// The `model@version`, the method and path of a service call, or the
    /// order's action, version and issuer.
    pub what: String,
    /// When the upstream began to leave, in milliseconds since the Unix epoch;
    /// `None` when it was not leaving.
    pub leaving_since_unix_ms: Option<u64>,
    /// The epoch of an order; `None` for requests.
    pub epoch: Option<u64>,
    /// Whether the request resumed a stream that was interrupted earlier.
    pub resumed: bool,
}

/// Writer of a stand-in's records to a file, which remains after the process
/// is killed.
pub struct Records(Option<Mutex<File>>);

impl Records {
    /// Opens the file to append to it; without a path, no records are kept.
    ///
    /// # Panics
    ///
    /// When the file cannot be opened, since checks would pass for lack of
    /// records.
    pub fn open(path: Option<&Path>) -> Records {
        let open = |path: &Path| {
            let file = OpenOptions::new().create(true).append(true).open(path);
            Mutex::new(file.expect("the file for records can be opened"))
        };
        Records(path.map(open))
    }

    /// Writes a record straight to the file, so that it is kept even when the
    /// process is killed right afterwards.
    pub fn write(&self, record: &Record) {
        let Some(file) = &self.0 else { return };
        let mut line =
            serde_json::to_vec(record).expect("a record serializes to JSON");
        line.push(b'\n');
        let mut file =
            file.lock().expect("the lock of the records is not poisoned");
        file.write_all(&line).expect("the record can be written to its file");
    }
}

/// Reads the records of a file; a missing file has none.
///
/// # Errors
///
/// When the file cannot be read or a line cannot be parsed as a record.
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

/// Parses the address in a field of the JSON line that a process prints.
///
/// # Errors
///
/// When the line is no JSON or the field holds no address.
pub fn printed_address(line: &str, field: &str) -> Result<SocketAddr, String> {
    let value: serde_json::Value = serde_json::from_str(line)
        .map_err(|error| format!("cannot parse `{line}` as JSON: {error}"))?;
    value[field]
        .as_str()
        .and_then(|text| text.parse().ok())
        .ok_or_else(|| format!("no address in field `{field}` of `{line}`"))
}
