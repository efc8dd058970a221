//! An HTTP client that knows whether a request may have left.
//!
//! The promises about "not run" rest on one distinction: a call that failed
//! with [`SendError::NotSent`] reached nobody, any other failure may have
//! been carried out by the other side. Dropping an [`Exchange`] closes its
//! connection, which cancels the work at an upstream.

use std::{
    collections::HashMap,
    fmt, io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::{
    HeaderMap, Method, Request, Response,
    body::{Body, Incoming},
    client::conn::http1::{self, SendRequest},
    header::{CONNECTION, CONTENT_LENGTH, HOST, HeaderValue},
};
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;

use crate::{
    clock::{BootInstant, SharedClock},
    task::{self, Task, within},
};

/// Idle connections kept for each address.
const IDLE_LIMIT: usize = 64;

/// Time after which an idle connection is not used again.
const IDLE_LIFETIME: Duration = Duration::from_secs(20);

/// Headers that belong to a connection and are not passed on.
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

/// Why a call brought no whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendError {
    /// Nothing of the request can have been received.
    NotSent(String),
    /// The request may have been received.
    Broken(String),
    /// The answer is larger than allowed.
    TooLarge,
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SendError::NotSent(reason) => write!(f, "not sent: {reason}"),
            SendError::Broken(reason) => write!(f, "broken: {reason}"),
            SendError::TooLarge => f.write_str("answer too large"),
        }
    }
}

impl std::error::Error for SendError {}

/// Whether a call may use a connection that carried another one before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// Use an idle connection if there is one, and keep it afterwards.
    Pooled,
    /// Open a connection for this call alone.
    Fresh,
}

/// Whether anything takes connections at an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listening {
    /// A connection was taken.
    Yes,
    /// The machine is there and refuses connections.
    No,
    /// Nothing came back in time.
    Unknown,
}

/// One request to be sent.
#[derive(Clone, Debug)]
pub struct Call {
    /// Where to.
    pub address: SocketAddr,
    /// The method.
    pub method: Method,
    /// The path, with its query.
    pub path: String,
    /// Headers, without `Host` and `Content-Length`.
    pub headers: HeaderMap,
    /// The body.
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

    /// Adds a header; one whose value cannot stand in a header is left out.
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

/// A connection and the task that moves its bytes; dropping it closes it.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
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
            let usable = now.saturating_duration_since(entry.since)
                < IDLE_LIFETIME
                && entry.connection.sender.is_ready();
            if usable {
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
        if connection.sender.is_closed() {
            return;
        }
        let mut idle = self.idle.lock().expect("pool lock");
        let list = idle.entry(address).or_default();
        if list.len() < IDLE_LIMIT {
            list.push(Idle { connection, since: now });
        }
    }
}

/// A client for all outgoing HTTP of the process.
#[derive(Clone)]
pub struct HttpClient {
    pool: Arc<Pool>,
    connect_timeout: Duration,
    clock: SharedClock,
}

impl HttpClient {
    /// Creates a client with its own pool of connections.
    pub fn new(connect_timeout: Duration, clock: SharedClock) -> HttpClient {
        HttpClient { pool: Arc::default(), connect_timeout, clock }
    }

    /// Sends a request and waits for the head of the answer.
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
                    Err(TryError::Unsent(back)) => request = *back,
                    Err(TryError::Sent(error)) => return Err(error),
                }
            }
        }
        let connection = self.connect(call.address).await?;
        match try_send(connection, request).await {
            Ok((response, connection)) => {
                Ok(self.exchange(&call, response, connection, reuse))
            }
            Err(TryError::Unsent(_)) => {
                Err(SendError::NotSent("connection closed".to_owned()))
            }
            Err(TryError::Sent(error)) => Err(error),
        }
    }

    /// Sends a request and reads the whole answer, all within `limit`.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::send`]; a time-out counts as
    /// [`SendError::Broken`].
    pub async fn fetch(
        &self,
        call: Call,
        limit: Duration,
        body_limit_bytes: u64,
    ) -> Result<FullResponse, SendError> {
        let work = async {
            let exchange = self.send(call, Reuse::Pooled).await?;
            exchange.read_to_end(body_limit_bytes).await
        };
        let timed_out =
            || Err(SendError::Broken(format!("no answer in {limit:?}")));
        within(limit, work).await.unwrap_or_else(timed_out)
    }

    /// Sends a request if `may_send` still holds once it is connected.
    ///
    /// The question is asked at the last moment before the first byte goes
    /// out. Returns the status of the answer, all within `limit`.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::send`].
    pub async fn send_checked(
        &self,
        call: Call,
        limit: Duration,
        may_send: &(dyn Fn() -> bool + Sync),
    ) -> Result<u16, SendError> {
        let work = async {
            let request =
                call.request(Reuse::Fresh).map_err(SendError::NotSent)?;
            let connection = self.connect(call.address).await?;
            if !may_send() {
                let reason = "no longer allowed to send".to_owned();
                return Err(SendError::NotSent(reason));
            }
            match try_send(connection, request).await {
                Ok((response, _)) => Ok(response.status().as_u16()),
                Err(TryError::Unsent(_)) => {
                    Err(SendError::NotSent("connection closed".into()))
                }
                Err(TryError::Sent(error)) => Err(error),
            }
        };
        let timed_out =
            || Err(SendError::Broken(format!("no answer in {limit:?}")));
        within(limit, work).await.unwrap_or_else(timed_out)
    }

    /// Whether anything takes connections at an address.
    pub async fn probe(&self, address: SocketAddr) -> Listening {
        let connecting =
            within(self.connect_timeout, TcpStream::connect(address));
        match connecting.await {
            Some(Ok(_)) => Listening::Yes,
            Some(Err(error)) if is_refusal(&error) => Listening::No,
            Some(Err(_)) | None => Listening::Unknown,
        }
    }

    fn exchange(
        &self,
        call: &Call,
        response: Response<Incoming>,
        connection: Connection,
        reuse: Reuse,
    ) -> Exchange {
        let (head, body) = response.into_parts();
        let framed = body.size_hint().exact().is_some()
            || head.headers.contains_key(hyper::header::TRANSFER_ENCODING);
        Exchange {
            status: head.status.as_u16(),
            headers: head.headers,
            body,
            framed,
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
        let connecting =
            within(self.connect_timeout, TcpStream::connect(address));
        let stream = match connecting.await {
            Some(Ok(stream)) => stream,
            Some(Err(error)) => {
                return Err(SendError::NotSent(error.to_string()));
            }
            None => {
                return Err(SendError::NotSent("connect timed out".into()));
            }
        };
        let not_sent =
            |error: &dyn fmt::Display| SendError::NotSent(error.to_string());
        stream.set_nodelay(true).map_err(|e| not_sent(&e))?;
        let (sender, driver) = http1::handshake(FuturesIo::new(stream))
            .await
            .map_err(|e| not_sent(&e))?;
        let driver = task::spawn(async move {
            // A failure of the connection reaches its exchange as well.
            let _ = driver.await;
        });
        Ok(Connection { sender, _driver: driver })
    }
}

fn is_refusal(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::ConnectionRefused
}

enum TryError {
    Unsent(Box<Request<Full<Bytes>>>),
    Sent(SendError),
}

async fn try_send(
    mut connection: Connection,
    request: Request<Full<Bytes>>,
) -> Result<(Response<Incoming>, Connection), TryError> {
    match connection.sender.try_send_request(request).await {
        Ok(response) => Ok((response, connection)),
        Err(mut error) => match error.take_message() {
            Some(request) => Err(TryError::Unsent(Box::new(request))),
            None => {
                let reason = error.into_error().to_string();
                Err(TryError::Sent(SendError::Broken(reason)))
            }
        },
    }
}

/// An answer read to its end.
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
    /// A header as text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// An answer whose head has arrived and whose body may still come.
pub struct Exchange {
    /// The HTTP status.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
    body: Incoming,
    framed: bool,
    ends_at_close: bool,
    address: SocketAddr,
    connection: Option<Connection>,
    pool: Option<Arc<Pool>>,
    clock: SharedClock,
}

impl Exchange {
    /// A header as text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Takes a body without a length or chunks for whole when its connection
    /// was closed, rather than reset.
    pub fn allow_end_at_close(&mut self) {
        self.ends_at_close = true;
    }

    /// The next part of the body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// [`SendError::Broken`] when the body ends before it is whole. A body
    /// without a length or chunks cannot be told from a cut one, and counts
    /// as broken.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, SendError> {
        if !self.framed && !self.ends_at_close {
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

    /// Reads the whole body and gives the connection back to the pool.
    ///
    /// # Errors
    ///
    /// [`SendError::TooLarge`] beyond `limit_bytes`, and as
    /// [`Exchange::next_chunk`].
    pub async fn read_to_end(
        mut self,
        limit_bytes: u64,
    ) -> Result<FullResponse, SendError> {
        let mut whole = BytesMut::new();
        while let Some(chunk) = self.next_chunk().await? {
            if (whole.len() + chunk.len()) as u64 > limit_bytes {
                return Err(SendError::TooLarge);
            }
            whole.extend_from_slice(&chunk);
        }
        if self.framed {
            self.release();
        }
        Ok(FullResponse {
            status: self.status,
            headers: std::mem::take(&mut self.headers),
            body: whole.freeze(),
        })
    }

    /// Gives the connection back to the pool after a body read to its end.
    pub fn finish(mut self) {
        if self.framed {
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
