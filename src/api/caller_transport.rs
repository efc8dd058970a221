//! The transport of a caller's connection, within the memory of the VM.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use futures_lite::{AsyncRead, AsyncWrite};
use smol::net::{TcpListener, TcpStream};
use trillium::{Conn, Info};
use trillium_server_common::{Server, Transport};
use trillium_smol::SmolTransport;

use crate::{
    caller_memory::{account::CallerMemory, claim::MemoryClaim},
    intake::connection_capacity::ConnectionCapacity,
    task,
};

/// Interval between two checks whether connections that stand still are to be
/// closed.
const ROOM_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between two checks whether there is room for a connection.
const ACCEPT_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Bytes of a request head that the memory of its connection covers.
const COVERED_HEAD_BYTES: usize = 4 << 10;

/// Memory that the HTTP library takes for each further byte of a head.
const HEAD_FACTOR: u64 = 9;

/// The connections of callers that are open, and how many may be.
pub(crate) struct CallerConnections {
    pub(crate) memory: Arc<CallerMemory>,
    pub(crate) capacity: ConnectionCapacity,
    open: AtomicUsize,
}

impl CallerConnections {
    /// Creates the state of a listener that has accepted none.
    pub(crate) fn new(
        memory: Arc<CallerMemory>,
        capacity: ConnectionCapacity,
    ) -> CallerConnections {
        CallerConnections { memory, capacity, open: AtomicUsize::new(0) }
    }

    /// Closes connections that stand still whenever few more can be accepted;
    /// never returns.
    pub(crate) async fn make_room_loop(self: Arc<CallerConnections>) {
        loop {
            self.make_room();
            task::sleep(ROOM_CHECK_INTERVAL).await;
        }
    }

    fn make_room(&self) {
        let open = self.open.load(Ordering::Relaxed);
        if self.memory.is_scarce() || self.capacity.is_nearly_full(open) {
            self.memory.make_room_for_connections();
        }
    }

    /// Waits until there is room for another connection, and counts it.
    async fn wait_for_room(
        self: &Arc<CallerConnections>,
    ) -> (OpenConnection, MemoryClaim) {
        loop {
            self.make_room();
            let open = self.open.load(Ordering::Relaxed);
            if self.capacity.has_room(open)
                && let Some(claim) = self.memory.claim_connection()
            {
                self.open.fetch_add(1, Ordering::Relaxed);
                return (OpenConnection(self.clone()), claim);
            }
            task::sleep(ACCEPT_CHECK_INTERVAL).await;
        }
    }
}

/// Counts a connection until it is dropped.
struct OpenConnection(Arc<CallerConnections>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The listener for callers, which accepts connections that there is room for.
pub(crate) struct CallerListener {
    pub(crate) listener: TcpListener,
    pub(crate) connections: Arc<CallerConnections>,
}

impl Server for CallerListener {
    type Transport = CallerTransport;

    const DESCRIPTION: &'static str = "";

    fn accept(
        &mut self,
    ) -> Pin<Box<dyn Future<Output = io::Result<CallerTransport>> + Send + '_>>
    {
        Box::pin(async {
            let (open, claim) = self.connections.wait_for_room().await;
            let (stream, _) = self.listener.accept().await?;
            claim.await_sender();
            Ok(CallerTransport {
                stream: SmolTransport::from(stream),
                claim,
                turn: Mutex::new(ConnectionTurn::Caller),
                head_bytes: 0,
                is_write_blocked: false,
                is_revoked: false,
                _open: open,
            })
        })
    }

    fn info(&self) -> Info {
        // The address of a bound listener is known.
        self.listener.local_addr().map(Info::from).unwrap_or_default()
    }

    fn spawn(work: impl Future<Output = ()> + Send + 'static) {
        task::spawn(work).detach();
    }

    fn block_on(work: impl Future<Output = ()> + 'static) {
        task::block_on(work);
    }
}

/// Who has to act next on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionTurn {
    /// The caller, which has an answer, or has sent nothing yet.
    Caller,
    /// This VM, which handles a request.
    Vm,
    /// The caller, which is to send the body of a request.
    Body,
    /// This VM, which writes the answer; the caller once it is written.
    Answered,
}

/// The transport of a connection, which fails once it has to make room.
pub(crate) struct CallerTransport {
    stream: SmolTransport<TcpStream>,
    claim: MemoryClaim,
    turn: Mutex<ConnectionTurn>,
    /// Bytes that have arrived since the caller has to act.
    head_bytes: usize,
    is_write_blocked: bool,
    is_revoked: bool,
    _open: OpenConnection,
}

impl CallerTransport {
    /// Returns the transport of a request; `None` on other listeners.
    pub(crate) fn of(conn: &Conn) -> Option<&CallerTransport> {
        conn.inner().transport().downcast_ref::<CallerTransport>()
    }

    /// Records that a request is being handled.
    pub(crate) fn begin_request(&self) {
        self.set_turn(ConnectionTurn::Vm);
        self.claim.keep();
    }

    /// Records that the caller is to send a body, or has sent more of it.
    pub(crate) fn await_body(&self) {
        self.set_turn(ConnectionTurn::Body);
        self.claim.await_sender();
    }

    /// Records that a request has its answer, which is to be written.
    pub(crate) fn end_request(&self) {
        self.set_turn(ConnectionTurn::Answered);
        self.claim.keep();
    }

    fn turn(&self) -> ConnectionTurn {
        *self.turn.lock().expect("turn lock")
    }

    fn set_turn(&self, turn: ConnectionTurn) {
        *self.turn.lock().expect("turn lock") = turn;
    }

    /// Fails once others need the room of this connection.
    fn check(&mut self, context: &mut Context<'_>) -> io::Result<()> {
        if !self.is_revoked {
            self.is_revoked = self.claim.poll_revoked(context).is_ready();
        }
        match self.is_revoked {
            true => Err(io::ErrorKind::TimedOut.into()),
            false => Ok(()),
        }
    }

    /// Claims memory for what has arrived of a request head.
    fn count_head(&mut self, count: usize) -> io::Result<()> {
        if self.turn() != ConnectionTurn::Caller {
            return Ok(());
        }
        let before = self.head_bytes.max(COVERED_HEAD_BYTES);
        self.head_bytes += count;
        let further = self.head_bytes.saturating_sub(before) as u64;
        match further == 0 || self.claim.try_add(further * HEAD_FACTOR) {
            true => Ok(()),
            false => Err(io::ErrorKind::OutOfMemory.into()),
        }
    }

    /// Records whether the caller has to read before more can be written.
    fn record_written(&mut self, is_blocked: bool) {
        if self.is_write_blocked != is_blocked {
            self.is_write_blocked = is_blocked;
            match is_blocked {
                true => self.claim.await_reader(),
                false => self.claim.keep(),
            }
        }
    }
}

impl AsyncRead for CallerTransport {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.turn() == ConnectionTurn::Answered {
            self.set_turn(ConnectionTurn::Caller);
            self.head_bytes = 0;
            self.claim.await_sender();
        }
        // A request that is being handled is answered first.
        if self.turn() != ConnectionTurn::Vm {
            self.check(context)?;
        }
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if let Poll::Ready(Ok(count)) = &read {
            self.count_head(*count)?;
        }
        read
    }
}

impl AsyncWrite for CallerTransport {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_written(written.is_pending());
        if written.is_pending() {
            self.check(context)?;
        }
        written
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}

impl Transport for CallerTransport {
    fn set_linger(&mut self, linger: Option<Duration>) -> io::Result<()> {
        self.stream.set_linger(linger)
    }

    fn set_nodelay(&mut self, nodelay: bool) -> io::Result<()> {
        self.stream.set_nodelay(nodelay)
    }

    fn set_ip_ttl(&mut self, ttl: u32) -> io::Result<()> {
        self.stream.set_ip_ttl(ttl)
    }

    fn peer_addr(&self) -> io::Result<Option<std::net::SocketAddr>> {
        self.stream.peer_addr()
    }
}
