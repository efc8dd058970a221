//! Requests between VMs over TCP: one connection to each VM, on which many
//! requests are multiplexed, each with its own number and timeout.

use std::{
    any::Any,
    collections::HashMap,
    fmt, io,
    net::{Shutdown, SocketAddr},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use futures_lite::{AsyncReadExt, AsyncWriteExt};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use smol::{
    channel::{Sender, bounded},
    lock::Mutex as AsyncMutex,
    net::{TcpListener, TcpStream},
};

use crate::{
    frame::{FrameCodec, MAX_FRAME_BYTES},
    message::{PeerReply, PeerRequest, ShortHash},
    metrics::Metrics,
    task::{self, Task, within, within_running},
    tunnel::{self, TunnelStream},
};

/// Timeout for connecting to another VM.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The number of a request that gets no reply.
const NO_REPLY: u64 = 0;

/// Why a request to another VM got no reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum PeerError {
    /// The request was not sent.
    NotSent(String),
    /// The request may have been carried out.
    OutcomeUnknown(String),
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PeerError::NotSent(reason) => write!(f, "not sent: {reason}"),
            PeerError::OutcomeUnknown(reason) => {
                write!(f, "outcome unknown: {reason}")
            }
        }
    }
}

/// A request or a reply with the number that matches one to the other.
#[derive(Serialize, Deserialize)]
struct Envelope<T> {
    number: u64,
    body: T,
}

type Pending = Arc<Mutex<HashMap<u64, Sender<PeerReply>>>>;

/// An open connection to one VM, on the client side.
struct ClientConnection {
    writer: AsyncMutex<TcpStream>,
    pending: Pending,
    is_closed: Arc<AtomicBool>,
    _reader: Task<()>,
}

impl ClientConnection {
    /// Writes a frame. If it is not written as a whole, also since the future
    /// is dropped, the connection is closed: what follows half a frame cannot
    /// be read.
    async fn write(&self, frame: &[u8]) -> io::Result<()> {
        let mut writer = self.writer.lock().await;
        if self.is_closed.load(Ordering::Relaxed) {
            return Err(io::ErrorKind::NotConnected.into());
        }
        let mut unfinished = CloseIfUnfinished {
            is_closed: &self.is_closed,
            stream: writer.clone(),
            is_finished: false,
        };
        let written = write_frame(&mut writer, frame).await;
        unfinished.is_finished = written.is_ok();
        written
    }
}

/// Closes a connection when it is dropped, unless a write has finished.
struct CloseIfUnfinished<'a> {
    is_closed: &'a AtomicBool,
    stream: TcpStream,
    is_finished: bool,
}

impl Drop for CloseIfUnfinished<'_> {
    fn drop(&mut self) {
        if !self.is_finished {
            self.is_closed.store(true, Ordering::Relaxed);
            // Ends the reader, and so the waits for replies.
            let _ = self.stream.shutdown(Shutdown::Both);
        }
    }
}

/// Sends requests to other VMs.
pub(crate) struct PeerClient {
    codec: FrameCodec,
    metrics: Arc<Metrics>,
    connections: AsyncMutex<HashMap<SocketAddr, Arc<ClientConnection>>>,
    next_number: AtomicU64,
}

impl PeerClient {
    pub(crate) fn new(codec: FrameCodec, metrics: Arc<Metrics>) -> PeerClient {
        PeerClient {
            codec,
            metrics,
            connections: AsyncMutex::new(HashMap::new()),
            next_number: AtomicU64::new(1),
        }
    }

    /// Sends a request and waits at most `limit` for its reply, after at most
    /// [`CONNECT_TIMEOUT`] for the connection.
    pub(crate) async fn call(
        &self,
        address: SocketAddr,
        request: PeerRequest,
        limit: Duration,
    ) -> Result<PeerReply, PeerError> {
        let connection =
            within(CONNECT_TIMEOUT, self.connection(address)).await;
        let connection = connected(connection)?;
        let work = self.exchange(&connection, request);
        let reply = within(limit, work).await;
        self.replied(address, &connection, reply, limit).await
    }

    /// Does the same as [`PeerClient::call`] with another limit for the
    /// connection; for both limits, the time counts in which this process
    /// runs.
    pub(crate) async fn call_while_running(
        &self,
        address: SocketAddr,
        request: PeerRequest,
        connect_limit: Duration,
        limit: Duration,
    ) -> Result<PeerReply, PeerError> {
        let connection =
            within_running(connect_limit, self.connection(address)).await;
        let connection = connected(connection)?;
        let work = self.exchange(&connection, request);
        let reply = within_running(limit, work).await;
        self.replied(address, &connection, reply, limit).await
    }

    /// Returns the result of an exchange that was given `limit`. Without a
    /// reply, the connection is not used again.
    async fn replied(
        &self,
        address: SocketAddr,
        connection: &Arc<ClientConnection>,
        reply: Option<Result<PeerReply, PeerError>>,
        limit: Duration,
    ) -> Result<PeerReply, PeerError> {
        match reply {
            Some(Ok(reply)) => Ok(reply),
            Some(Err(error)) => {
                self.disconnect(address, connection).await;
                Err(error)
            }
            None => {
                self.disconnect(address, connection).await;
                Err(PeerError::OutcomeUnknown(format!(
                    "no reply in {limit:?}"
                )))
            }
        }
    }

    /// Sends a request to which the receiver does not reply. It may get lost.
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        request: PeerRequest,
    ) -> Result<(), PeerError> {
        let connection =
            within(CONNECT_TIMEOUT, self.connection(address)).await;
        let connection = connected(connection)?;
        let body = Envelope { number: NO_REPLY, body: request };
        let frame = self.codec.seal(&body);
        count_bytes(&self.metrics, frame.len());
        let sent = connection.write(&frame).await;
        if let Err(error) = sent {
            self.disconnect(address, &connection).await;
            return Err(PeerError::OutcomeUnknown(error.to_string()));
        }
        Ok(())
    }

    async fn exchange(
        &self,
        connection: &ClientConnection,
        request: PeerRequest,
    ) -> Result<PeerReply, PeerError> {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let frame = self.codec.seal(&Envelope { number, body: request });
        let (sender, receiver) = bounded(1);
        connection
            .pending
            .lock()
            .expect("pending lock")
            .insert(number, sender);
        let sent = connection.write(&frame).await;
        count_bytes(&self.metrics, frame.len());
        let reply = match sent {
            Ok(()) => receiver.recv().await.ok(),
            Err(_) => None,
        };
        connection.pending.lock().expect("pending lock").remove(&number);
        reply
            .ok_or_else(|| PeerError::OutcomeUnknown("connection lost".into()))
    }

    /// Returns the open connection to a VM, or opens one.
    async fn connection(
        &self,
        address: SocketAddr,
    ) -> io::Result<Arc<ClientConnection>> {
        if let Some(connection) = self.connections.lock().await.get(&address)
            // A closed connection never recovers, even if the VM is back.
            && !connection.is_closed.load(Ordering::Relaxed)
        {
            return Ok(connection.clone());
        }
        // Connects without the lock: an unreachable VM would delay the
        // requests to all others until the timeout.
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let pending: Pending = Arc::default();
        let is_closed = Arc::new(AtomicBool::new(false));
        let replies =
            read_replies(stream.clone(), self.codec.clone(), pending.clone());
        let closed = is_closed.clone();
        let reader = async move {
            replies.await;
            closed.store(true, Ordering::Relaxed);
        };
        let connection = Arc::new(ClientConnection {
            writer: AsyncMutex::new(stream),
            pending,
            is_closed,
            _reader: task::spawn(reader),
        });
        self.connections.lock().await.insert(address, connection.clone());
        Ok(connection)
    }

    async fn disconnect(
        &self,
        address: SocketAddr,
        connection: &Arc<ClientConnection>,
    ) {
        let mut connections = self.connections.lock().await;
        let same = connections
            .get(&address)
            .is_some_and(|c| Arc::ptr_eq(c, connection));
        if same {
            connections.remove(&address);
        }
    }
}

/// Returns the connection, or the error of an attempt to open it; `None`
/// stands for a timeout.
fn connected(
    connection: Option<io::Result<Arc<ClientConnection>>>,
) -> Result<Arc<ClientConnection>, PeerError> {
    match connection {
        Some(Ok(connection)) => Ok(connection),
        Some(Err(error)) => Err(PeerError::NotSent(error.to_string())),
        None => Err(PeerError::NotSent("connecting".into())),
    }
}

async fn read_replies(
    mut stream: TcpStream,
    codec: FrameCodec,
    pending: Pending,
) {
    while let Ok(frame) = read_frame(&mut stream).await {
        let Ok(reply) = codec.open::<Envelope<PeerReply>>(&frame) else {
            break;
        };
        let waiting =
            pending.lock().expect("pending lock").remove(&reply.number);
        if let Some(waiting) = waiting {
            // The caller may have given up; the reply is then dropped.
            let _ = waiting.try_send(reply.body);
        }
    }
    // Dropping the senders notifies every caller that the connection is lost.
    pending.lock().expect("pending lock").clear();
}

/// Opens a stream to an upstream through another VM.
///
/// # Errors
///
/// If the VM cannot be reached or does not connect to the upstream.
pub(crate) async fn open_tunnel(
    codec: &FrameCodec,
    address: SocketAddr,
    upstream: ShortHash,
) -> io::Result<TunnelStream> {
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let body = PeerRequest::ConnectUpstream { upstream };
    let frame = codec.seal(&Envelope { number: 0, body });
    write_frame(&mut stream, &frame).await?;
    let reply = read_frame(&mut stream).await?;
    let reply = codec.open::<Envelope<PeerReply>>(&reply);
    match reply.map(|reply| reply.body) {
        Ok(PeerReply::Done) => Ok(TunnelStream::new(stream)),
        Ok(PeerReply::Rejected(reason)) => Err(io::Error::other(reason)),
        _ => Err(io::ErrorKind::InvalidData.into()),
    }
}

/// Handles the requests of other VMs.
pub(crate) trait PeerService: Send + Sync + 'static {
    /// Handles one request and returns the reply.
    fn answer(
        self: Arc<Self>,
        request: PeerRequest,
    ) -> impl Future<Output = PeerReply> + Send;

    /// Connects to an upstream for another VM, or returns why it does not.
    fn connect_upstream(
        self: Arc<Self>,
        upstream: ShortHash,
    ) -> impl Future<Output = Result<RelayedUpstream, String>> + Send;
}

/// A connection to an upstream for another VM.
pub(crate) struct RelayedUpstream {
    /// The connection.
    pub(crate) stream: TcpStream,
    /// Counts it as a request in flight.
    pub(crate) _guard: Box<dyn Any + Send>,
}

/// Accepts connections of other VMs, for as long as it is polled.
pub(crate) async fn serve<S: PeerService>(
    listener: TcpListener,
    codec: FrameCodec,
    metrics: Arc<Metrics>,
    service: Arc<S>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let connection = ServerConnection {
                    codec: codec.clone(),
                    metrics: metrics.clone(),
                    service: service.clone(),
                };
                task::spawn(connection.run(stream)).detach();
            }
            // The process may be out of file descriptors: waits for other
            // connections to close.
            Err(_) => task::sleep(Duration::from_millis(50)).await,
        }
    }
}

/// An accepted connection of another VM.
struct ServerConnection<S> {
    codec: FrameCodec,
    metrics: Arc<Metrics>,
    service: Arc<S>,
}

impl<S: PeerService> ServerConnection<S> {
    async fn run(self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let writer = Arc::new(AsyncMutex::new(stream.clone()));
        while let Ok(frame) = read_frame(&mut stream).await {
            let request = match self.open::<PeerRequest>(&frame) {
                Some(request) => request,
                None => return,
            };
            if let PeerRequest::ConnectUpstream { upstream } = request.body {
                return self.serve_tunnel(stream, upstream).await;
            }
            let codec = self.codec.clone();
            let metrics = self.metrics.clone();
            let service = self.service.clone();
            let writer = writer.clone();
            task::spawn(async move {
                let body = service.answer(request.body).await;
                let number = request.number;
                if number == NO_REPLY {
                    return;
                }
                let reply = codec.seal(&Envelope { number, body });
                count_bytes(&metrics, reply.len());
                let mut writer = writer.lock().await;
                // If this fails, the caller is gone and needs no reply.
                let _ = write_frame(&mut writer, &reply).await;
            })
            .detach();
        }
    }

    /// Connects to an upstream, and relays bytes until either side closes.
    async fn serve_tunnel(self, mut vm: TcpStream, upstream: ShortHash) {
        let connected = self.service.connect_upstream(upstream).await;
        let body = match &connected {
            Ok(_) => PeerReply::Done,
            Err(reason) => PeerReply::Rejected(reason.clone()),
        };
        let reply = self.codec.seal(&Envelope { number: 0, body });
        if write_frame(&mut vm, &reply).await.is_err() {
            return;
        }
        if let Ok(relayed) = connected {
            let sent = tunnel::serve(vm, relayed.stream.clone()).await;
            let bytes = &self.metrics.peer_bytes;
            bytes.with_label_values(&["relay"]).inc_by(sent);
        }
    }

    fn open<T: DeserializeOwned>(&self, frame: &[u8]) -> Option<Envelope<T>> {
        match self.codec.open(frame) {
            Ok(message) => Some(message),
            Err(fault) => {
                let label = fault.as_str();
                let dropped = &self.metrics.frames_dropped;
                dropped.with_label_values(&[label]).inc();
                None
            }
        }
    }
}

fn count_bytes(metrics: &Metrics, bytes: usize) {
    let counter = metrics.peer_bytes.with_label_values(&["tcp"]);
    counter.inc_by(bytes as u64 + 4);
}

async fn write_frame(stream: &mut TcpStream, frame: &[u8]) -> io::Result<()> {
    let length = (frame.len() as u32).to_be_bytes();
    let mut bytes = Vec::with_capacity(length.len() + frame.len());
    bytes.extend_from_slice(&length);
    bytes.extend_from_slice(frame);
    stream.write_all(&bytes).await
}

async fn read_frame(stream: &mut TcpStream) -> io::Result<Vec<u8>> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).await?;
    let length = u32::from_be_bytes(length) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut frame = vec![0; length];
    stream.read_exact(&mut frame).await?;
    Ok(frame)
}

#[cfg(test)]
mod tests;
