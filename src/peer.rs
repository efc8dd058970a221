//! Requests between VMs over TCP: one connection for each pair, many
//! requests on it at once, each with its own number and time limit.

use std::{
    collections::HashMap,
    fmt, io,
    net::SocketAddr,
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
    frame::{FRAME_LIMIT_BYTES, FrameCodec},
    message::{PeerReply, PeerRequest},
    metrics::Metrics,
    task::{self, Task, within},
};

/// Longest time to connect to another VM.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// Why another VM gave no reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum PeerError {
    /// Nothing can have arrived there.
    NotSent(String),
    /// It may have been carried out there.
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

#[derive(Serialize, Deserialize)]
struct Numbered<T> {
    number: u64,
    body: T,
}

type Pending = Arc<Mutex<HashMap<u64, Sender<PeerReply>>>>;

/// An open connection to one VM.
struct Link {
    writer: AsyncMutex<TcpStream>,
    pending: Pending,
    is_closed: Arc<AtomicBool>,
    _reader: Task<()>,
}

/// Sends requests to other VMs.
pub(crate) struct PeerClient {
    codec: FrameCodec,
    metrics: Arc<Metrics>,
    links: AsyncMutex<HashMap<SocketAddr, Arc<Link>>>,
    next_number: AtomicU64,
}

impl PeerClient {
    pub(crate) fn new(codec: FrameCodec, metrics: Arc<Metrics>) -> PeerClient {
        PeerClient {
            codec,
            metrics,
            links: AsyncMutex::new(HashMap::new()),
            next_number: AtomicU64::new(1),
        }
    }

    /// Sends a request and waits for its reply, at most `limit`.
    pub(crate) async fn call(
        &self,
        address: SocketAddr,
        request: PeerRequest,
        limit: Duration,
    ) -> Result<PeerReply, PeerError> {
        let link = match within(CONNECT_LIMIT, self.link(address)).await {
            Some(Ok(link)) => link,
            Some(Err(e)) => return Err(PeerError::NotSent(e.to_string())),
            None => return Err(PeerError::NotSent("connecting".into())),
        };
        let work = self.exchange(&link, request);
        match within(limit, work).await {
            Some(Ok(reply)) => Ok(reply),
            Some(Err(error)) => {
                self.forget(address, &link).await;
                Err(error)
            }
            None => {
                self.forget(address, &link).await;
                Err(PeerError::OutcomeUnknown(format!(
                    "no reply in {limit:?}"
                )))
            }
        }
    }

    async fn exchange(
        &self,
        link: &Link,
        request: PeerRequest,
    ) -> Result<PeerReply, PeerError> {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let frame = self.codec.seal(&Numbered { number, body: request });
        let (sender, receiver) = bounded(1);
        link.pending.lock().expect("pending lock").insert(number, sender);
        let sent = {
            let mut writer = link.writer.lock().await;
            write_frame(&mut writer, &frame).await
        };
        count_bytes(&self.metrics, frame.len());
        let reply = match sent {
            Ok(()) => receiver.recv().await.ok(),
            Err(_) => None,
        };
        link.pending.lock().expect("pending lock").remove(&number);
        reply
            .ok_or_else(|| PeerError::OutcomeUnknown("connection lost".into()))
    }

    async fn link(&self, address: SocketAddr) -> io::Result<Arc<Link>> {
        if let Some(link) = self.links.lock().await.get(&address)
            // Only a new connection tells whether a VM is there again.
            && !link.is_closed.load(Ordering::Relaxed)
        {
            return Ok(link.clone());
        }
        // Not under the lock: a VM that is gone would hold up the requests
        // to all others until the time to connect is over.
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let pending: Pending = Arc::default();
        let is_closed = Arc::new(AtomicBool::new(false));
        let replies =
            read_replies(stream.clone(), self.codec.clone(), pending.clone());
        let closes = is_closed.clone();
        let reader = async move {
            replies.await;
            closes.store(true, Ordering::Relaxed);
        };
        let link = Arc::new(Link {
            writer: AsyncMutex::new(stream),
            pending,
            is_closed,
            _reader: task::spawn(reader),
        });
        self.links.lock().await.insert(address, link.clone());
        Ok(link)
    }

    async fn forget(&self, address: SocketAddr, link: &Arc<Link>) {
        let mut links = self.links.lock().await;
        let same = links.get(&address).is_some_and(|l| Arc::ptr_eq(l, link));
        if same {
            links.remove(&address);
        }
    }
}

async fn read_replies(
    mut stream: TcpStream,
    codec: FrameCodec,
    pending: Pending,
) {
    while let Ok(frame) = read_frame(&mut stream).await {
        let Ok(reply) = codec.open::<Numbered<PeerReply>>(&frame) else {
            break;
        };
        let waiting =
            pending.lock().expect("pending lock").remove(&reply.number);
        if let Some(waiting) = waiting {
            // The asker may have given up; its reply is then dropped.
            let _ = waiting.try_send(reply.body);
        }
    }
    // Dropping the senders tells every asker that the connection is lost.
    pending.lock().expect("pending lock").clear();
}

/// Answers the requests of other VMs.
pub(crate) trait PeerService: Send + Sync + 'static {
    /// Answers one request.
    fn answer(
        self: Arc<Self>,
        request: PeerRequest,
    ) -> impl Future<Output = PeerReply> + Send;
}

/// Accepts connections of other VMs for as long as it is polled.
pub(crate) async fn serve<S: PeerService>(
    listener: TcpListener,
    codec: FrameCodec,
    metrics: Arc<Metrics>,
    service: Arc<S>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let connection = Connection {
                    codec: codec.clone(),
                    metrics: metrics.clone(),
                    service: service.clone(),
                };
                task::spawn(connection.run(stream)).detach();
            }
            // Out of file descriptors, say; others must be closed first.
            Err(_) => task::sleep(Duration::from_millis(50)).await,
        }
    }
}

struct Connection<S> {
    codec: FrameCodec,
    metrics: Arc<Metrics>,
    service: Arc<S>,
}

impl<S: PeerService> Connection<S> {
    async fn run(self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let writer = Arc::new(AsyncMutex::new(stream.clone()));
        while let Ok(frame) = read_frame(&mut stream).await {
            let request = match self.open::<PeerRequest>(&frame) {
                Some(request) => request,
                None => return,
            };
            let codec = self.codec.clone();
            let metrics = self.metrics.clone();
            let service = self.service.clone();
            let writer = writer.clone();
            task::spawn(async move {
                let body = service.answer(request.body).await;
                let number = request.number;
                let reply = codec.seal(&Numbered { number, body });
                count_bytes(&metrics, reply.len());
                let mut writer = writer.lock().await;
                // An asker that is gone needs no reply.
                let _ = write_frame(&mut writer, &reply).await;
            })
            .detach();
        }
    }

    fn open<T: DeserializeOwned>(&self, frame: &[u8]) -> Option<Numbered<T>> {
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
    let mut whole = Vec::with_capacity(length.len() + frame.len());
    whole.extend_from_slice(&length);
    whole.extend_from_slice(frame);
    stream.write_all(&whole).await
}

async fn read_frame(stream: &mut TcpStream) -> io::Result<Vec<u8>> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).await?;
    let length = u32::from_be_bytes(length) as usize;
    if length > FRAME_LIMIT_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut frame = vec![0; length];
    stream.read_exact(&mut frame).await?;
    Ok(frame)
}
