//! An HTTP client that reports whether a request may have been sent.
//!
//! Whether a request can be reported as not run depends on one distinction: a
//! call that failed with [`SendError::NotSent`] reached nobody, while any
//! other failure may have been processed by the other side. Dropping an
//! [`Exchange`] closes its connection, which cancels the work at an upstream.

use std::{
    collections::HashMap,
    fmt,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use futures_lite::future;
use http_body_util::{BodyExt, Full};
use hyper::{
    HeaderMap, Method, Request, Response,
    body::{Body, Incoming},
    client::conn::http1::{self, SendRequest},
    header::{CONNECTION, CONTENT_LENGTH, HOST, HeaderValue},
};

use self::head_limit::{HeadLimit, LimitedStream};
use crate::{
    caller_memory::{
        account::{CallerMemory, Purpose},
        body_buffer::{BodyBuffer, BodyError},
    },
    clock::{BootInstant, SharedClock},
    dialer::{Dialer, DirectDialer},
    task::{self, Task, within},
    vectored_io::VectoredIo,
};

/// Largest number of idle connections that are pooled for each address.
const IDLE_LIMIT: usize = 64;

/// Largest buffer for what has arrived on a connection; also the largest head
/// of a response.
const MAX_BUFFER_BYTES: usize = 32 << 10;

/// Time after which an idle connection is not used again.
const IDLE_LIFETIME: Duration = Duration::from_secs(20);

/// Hop-by-hop headers, which a proxy does not forward.
pub(crate) const HOP_BY_HOP_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

/// Reason why a call got no complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendError {
    /// No byte of the request can have been received.
    NotSent(String),
    /// The request may have been received and processed.
    Broken(String),
    /// The response is larger than allowed.
    TooLarge,
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SendError::NotSent(reason) => write!(f, "not sent: {reason}"),
            SendError::Broken(reason) => write!(f, "broken: {reason}"),
            SendError::TooLarge => f.write_str("response too large"),
        }
    }
}

impl std::error::Error for SendError {}

impl From<BodyError> for SendError {
    fn from(error: BodyError) -> SendError {
        match error {
            BodyError::TooLarge { .. } => SendError::TooLarge,
            BodyError::GivesWay(_) => {
                SendError::Broken("there is no room for the body".to_owned())
            }
            BodyError::NoMemory(error) => SendError::Broken(error.to_string()),
        }
    }
}

/// Whether a call may use a pooled connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// Uses an idle connection if there is one, and returns it to the pool
    /// afterwards.
    Pooled,
    /// Opens a connection for this call alone.
    Fresh,
}

/// Whether anything accepts connections at an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listening {
    /// A connection was accepted.
    Yes,
    /// The machine is up and refuses connections.
    No,
    /// The attempt timed out or failed in another way.
    Unknown,
}

/// A request to be sent.
#[derive(Clone, Debug)]
pub struct Call {
    /// Address to connect to.
    pub address: SocketAddr,
    /// The HTTP method.
    pub method: Method,
    /// The path, including the query.
    pub path: String,
    /// Headers other than `Host` and `Content-Length`.
    pub headers: HeaderMap,
    /// The whole body; may be empty.
    pub body: Bytes,
}

impl Call {
    /// Creates a call without headers or body.
    pub fn new(
        address: SocketAddr,
        method: Method,
        path: impl Into<String>,
    ) -> Call {
        Call {
            address,
            method,
            path: path.into(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
        }
    }

    /// Adds a header; a value that is not valid in a header is ignored.
    #[must_use]
    pub fn header(mut self, name: &'static str, value: &str) -> Call {
        if let Ok(value) = HeaderValue::from_str(value) {
            self.headers.insert(name, value);
        }
        self
    }

    /// Sets the body.
    #[must_use]
    pub fn body(mut self, body: impl Into<Bytes>) -> Call {
        self.body = body.into();
        self
    }

    fn request(&self, reuse: Reuse) -> Result<Request<Full<Bytes>>, String> {
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(self.path.as_str())
            .body(Full::new(self.body.clone()))
            .map_err(|error| error.to_string())?;
        let headers = request.headers_mut();
        *headers = self.headers.clone();
        let host = HeaderValue::from_str(&self.address.to_string())
            .map_err(|error| error.to_string())?;
        headers.entry(HOST).or_insert(host);
        if reuse == Reuse::Fresh {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        let may_omit_length =
            matches!(self.method, Method::GET | Method::HEAD);
        if !self.body.is_empty() || !may_omit_length {
            headers.insert(CONTENT_LENGTH, self.body.len().into());
        }
        Ok(request)
    }
}

/// A connection and the task that drives it; dropping it closes the
/// connection.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    head_limit: HeadLimit,
    /// The VM through which it runs, if it does.
    relay: Option<SocketAddr>,
    _driver: Task<()>,
}

struct Idle {
    connection: Connection,
    since: BootInstant,
}

#[derive(Default)]
struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
}

impl Pool {
    fn take(
        &self,
        address: SocketAddr,
        now: BootInstant,
    ) -> Option<Connection> {
        let mut idle = self.idle.lock().expect("pool lock");
        let list = idle.get_mut(&address)?;
        while let Some(entry) = list.pop() {
            let is_usable = now.saturating_duration_since(entry.since)
                < IDLE_LIFETIME
                && entry.connection.sender.is_ready();
            if is_usable {
                return Some(entry.connection);
            }
        }
        None
    }

    fn put(
        &self,
        address: SocketAddr,
        connection: Connection,
        now: BootInstant,
    ) {
        // A relayed connection would keep requests on the longer path.
        if connection.sender.is_closed() || connection.relay.is_some() {
            return;
        }
        let mut idle = self.idle.lock().expect("pool lock");
        let list = idle.entry(address).or_default();
        if list.len() < IDLE_LIMIT {
            list.push(Idle { connection, since: now });
        }
    }
}

/// The client for all outgoing HTTP of the process.
#[derive(Clone)]
pub struct HttpClient {
    pool: Arc<Pool>,
    dialer: Arc<dyn Dialer>,
    clock: SharedClock,
}

impl HttpClient {
    /// Creates a client with its own pool of connections.
    pub fn new(connect_timeout: Duration, clock: SharedClock) -> HttpClient {
        let dialer = DirectDialer { timeout: connect_timeout };
        HttpClient::with_dialer(Arc::new(dialer), clock)
    }

    /// Creates a client that opens its connections in another way.
    pub(crate) fn with_dialer(
        dialer: Arc<dyn Dialer>,
        clock: SharedClock,
    ) -> HttpClient {
        HttpClient { pool: Arc::default(), dialer, clock }
    }

    /// Closes the idle connections.
    pub(crate) fn close_idle(&self) {
        self.pool.idle.lock().expect("pool lock").clear();
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// [`SendError::NotSent`] if no byte of the request can have arrived,
    /// [`SendError::Broken`] otherwise.
    pub async fn send(
        &self,
        call: Call,
        reuse: Reuse,
    ) -> Result<Exchange, SendError> {
        let mut request = call.request(reuse).map_err(SendError::NotSent)?;
        if reuse == Reuse::Pooled {
            while let Some(idle) =
                self.pool.take(call.address, self.clock.now())
            {
                match try_send(idle, request).await {
                    Ok((response, connection)) => {
                        return Ok(
                            self.exchange(&call, response, connection, reuse)
                        );
                    }
                    Err(AttemptError::Unsent(back)) => request = *back,
                    Err(AttemptError::Sent(error)) => return Err(error),
                }
            }
        }
        let connection = self.connect(call.address).await?;
        match try_send(connection, request).await {
            Ok((response, connection)) => {
                Ok(self.exchange(&call, response, connection, reuse))
            }
            Err(AttemptError::Unsent(_)) => {
                Err(SendError::NotSent("connection closed".to_owned()))
            }
            Err(AttemptError::Sent(error)) => Err(error),
        }
    }

    /// Sends a request and reads the whole response, all within `limit`.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::send`] and [`Exchange::read_to_end`]; a timeout counts
    /// as [`SendError::Broken`].
    pub async fn fetch(
        &self,
        call: Call,
        limit: Duration,
        body_limit_bytes: u64,
    ) -> Result<FullResponse, SendError> {
        let attempt = async {
            let exchange = self.send(call, Reuse::Pooled).await?;
            exchange.read_to_end(body_limit_bytes).await
        };
        let timed_out =
            || Err(SendError::Broken(format!("no response within {limit:?}")));
        within(limit, attempt).await.unwrap_or_else(timed_out)
    }

    /// Sends a request if `may_send` still returns true once it is connected.
    ///
    /// `may_send` is called immediately before the first byte is sent. Returns
    /// the status of the response; all of it must complete within `limit`.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::send`]; [`SendError::NotSent`] too if `may_send`
    /// returns false, and [`SendError::Broken`] on a timeout.
    pub async fn send_checked(
        &self,
        call: Call,
        limit: Duration,
        may_send: &(dyn Fn() -> bool + Sync),
    ) -> Result<u16, SendError> {
        let attempt = async {
            let request =
                call.request(Reuse::Fresh).map_err(SendError::NotSent)?;
            let connection = self.connect(call.address).await?;
            if !may_send() {
                let reason = "no longer allowed to send".to_owned();
                return Err(SendError::NotSent(reason));
            }
            match try_send(connection, request).await {
                Ok((response, _)) => Ok(response.status().as_u16()),
                Err(AttemptError::Unsent(_)) => {
                    Err(SendError::NotSent("connection closed".into()))
                }
                Err(AttemptError::Sent(error)) => Err(error),
            }
        };
        let timed_out =
            || Err(SendError::Broken(format!("no response within {limit:?}")));
        within(limit, attempt).await.unwrap_or_else(timed_out)
    }

    /// Returns whether anything accepts connections at an address.
    pub async fn probe(&self, address: SocketAddr) -> Listening {
        self.dialer.probe(address).await
    }

    fn exchange(
        &self,
        call: &Call,
        response: Response<Incoming>,
        connection: Connection,
        reuse: Reuse,
    ) -> Exchange {
        let (head, body) = response.into_parts();
        let is_framed = body.size_hint().exact().is_some()
            || head.headers.contains_key(hyper::header::TRANSFER_ENCODING);
        Exchange {
            status: head.status.as_u16(),
            headers: head.headers,
            body,
            is_framed,
            ends_at_close: false,
            address: call.address,
            connection: Some(connection),
            pool: (reuse == Reuse::Pooled).then(|| self.pool.clone()),
            clock: self.clock.clone(),
        }
    }

    async fn connect(
        &self,
        address: SocketAddr,
    ) -> Result<Connection, SendError> {
        let not_sent =
            |error: &dyn fmt::Display| SendError::NotSent(error.to_string());
        let dialed = self.dialer.dial(address).await;
        let dialed = dialed.map_err(|error| not_sent(&error))?;
        let relay = dialed.relay;
        let head_limit = HeadLimit::default();
        let stream = LimitedStream::new(dialed.stream, head_limit.clone());
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(VectoredIo::new(stream))
            .await
            .map_err(|error| not_sent(&error))?;
        let driver = task::spawn(async move {
            // The exchange sees a failure of the connection as well.
            let _ = driver.await;
        });
        Ok(Connection { sender, head_limit, relay, _driver: driver })
    }
}

/// Reason why sending on a connection failed.
enum AttemptError {
    /// Nothing was sent; returns the request for another attempt.
    Unsent(Box<Request<Full<Bytes>>>),
    /// The request may have been received.
    Sent(SendError),
}

async fn try_send(
    mut connection: Connection,
    request: Request<Full<Bytes>>,
) -> Result<(Response<Incoming>, Connection), AttemptError> {
    connection.head_limit.start();
    match connection.sender.try_send_request(request).await {
        // The library passes on 101, which answers a request for another
        // protocol; none is ever made.
        Ok(response) if response.status().is_informational() => {
            let reason = format!("no response, but {}", response.status());
            Err(AttemptError::Sent(SendError::Broken(reason)))
        }
        Ok(response) => {
            connection.head_limit.lift();
            Ok((response, connection))
        }
        Err(mut error) => match error.take_message() {
            Some(request) => Err(AttemptError::Unsent(Box::new(request))),
            None => {
                let reason = error.into_error().to_string();
                Err(AttemptError::Sent(SendError::Broken(reason)))
            }
        },
    }
}

/// A response that has been read to its end.
#[derive(Clone, Debug)]
pub struct FullResponse {
    /// The HTTP status.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl FullResponse {
    /// Returns a header as text, if it is present and valid text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// A response whose head has arrived and whose body may still be arriving.
pub struct Exchange {
    /// The HTTP status.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
    body: Incoming,
    is_framed: bool,
    ends_at_close: bool,
    address: SocketAddr,
    connection: Option<Connection>,
    pool: Option<Arc<Pool>>,
    clock: SharedClock,
}

impl Exchange {
    /// Returns a header as text, if it is present and valid text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the VM through which the response came, if it did.
    pub(crate) fn relay(&self) -> Option<SocketAddr> {
        self.connection.as_ref()?.relay
    }

    /// Whether the body has a length or chunked encoding, so that its end is
    /// known from the body itself.
    pub(crate) fn is_framed(&self) -> bool {
        self.is_framed
    }

    /// Treats a body without a length or chunked encoding as complete when its
    /// connection is closed rather than reset.
    pub fn allow_end_at_close(&mut self) {
        self.ends_at_close = true;
    }

    /// Returns the next part of the body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// [`SendError::Broken`] when the body ends early. A body without a length
    /// or chunked encoding cannot be distinguished from a truncated one, and
    /// counts as broken unless [`Exchange::allow_end_at_close`] was called.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, SendError> {
        if !self.is_framed && !self.ends_at_close {
            return Err(SendError::Broken("body has no framing".into()));
        }
        loop {
            let Some(frame) = self.body.frame().await else {
                return Ok(None);
            };
            let frame = frame.map_err(|e| SendError::Broken(e.to_string()))?;
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data));
            }
        }
    }

    /// Reads the whole body and returns the connection to the pool.
    ///
    /// # Errors
    ///
    /// [`SendError::TooLarge`] beyond `limit_bytes`, and as
    /// [`Exchange::next_chunk`].
    pub async fn read_to_end(
        mut self,
        limit_bytes: u64,
    ) -> Result<FullResponse, SendError> {
        let mut body = BytesMut::new();
        while let Some(chunk) = self.next_chunk().await? {
            if (body.len() + chunk.len()) as u64 > limit_bytes {
                return Err(SendError::TooLarge);
            }
            body.extend_from_slice(&chunk);
        }
        if self.is_framed {
            self.release();
        }
        Ok(FullResponse {
            status: self.status,
            headers: std::mem::take(&mut self.headers),
            body: body.freeze(),
        })
    }

    /// Reads the whole body within the memory that callers may take, and
    /// returns the connection to the pool.
    ///
    /// # Errors
    ///
    /// [`SendError::TooLarge`] beyond `limit_bytes`, [`SendError::Broken`] if
    /// there is no room for the body, and as [`Exchange::next_chunk`].
    pub(crate) async fn read_within(
        mut self,
        memory: &Arc<CallerMemory>,
        limit_bytes: u64,
    ) -> Result<FullResponse, SendError> {
        let limit_bytes = usize::try_from(limit_bytes).unwrap_or(usize::MAX);
        let stated = self.body.size_hint().exact();
        let mut buffer = BodyBuffer::new(
            memory.clone(),
            Purpose::Answer,
            limit_bytes,
            stated.and_then(|stated| usize::try_from(stated).ok()),
        );
        while let Some(chunk) = self.next_chunk_within(&buffer).await? {
            buffer.push(&chunk).await?;
        }
        if self.is_framed {
            self.release();
        }
        Ok(FullResponse {
            status: self.status,
            headers: std::mem::take(&mut self.headers),
            body: buffer.finish()?,
        })
    }

    /// Returns the next part of the body, unless what has arrived of it has to
    /// give way first.
    async fn next_chunk_within(
        &mut self,
        buffer: &BodyBuffer,
    ) -> Result<Option<Bytes>, SendError> {
        let next = self.next_chunk();
        let Some(claim) = buffer.claim() else { return next.await };
        let revoked =
            async { Err(BodyError::from(claim.revoked().await).into()) };
        future::or(next, revoked).await
    }

    /// Returns the connection to the pool; the body must have been read to its
    /// end.
    pub fn finish(mut self) {
        if self.is_framed {
            self.release();
        }
    }

    fn release(&mut self) {
        if let (Some(pool), Some(connection)) =
            (self.pool.take(), self.connection.take())
        {
            pool.put(self.address, connection, self.clock.now());
        }
    }
}

mod head_limit;

#[cfg(test)]
mod cut_head_tests;
#[cfg(test)]
pub(crate) mod endless_peer;
#[cfg(test)]
mod endless_tests;
