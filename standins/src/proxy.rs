//! A fault-injecting proxy for TCP and UDP, run inside the test's process.

use std::{
    io,
    net::{SocketAddr, TcpListener as StdTcpListener},
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use async_global_executor::{Task, spawn};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol::{
    Timer,
    net::{TcpListener, TcpStream, UdpSocket},
};

/// Interval at which idle connections poll the mode.
const MODE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Length of the queue of connections that are not accepted yet.
const BACKLOG: i32 = 128;

/// How the proxy treats connections and datagrams.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Mode {
    /// Forwards everything.
    #[default]
    Pass,
    /// Closes open and new connections, and drops datagrams.
    Cut,
    /// Closes all connections and stops listening, as if the target's process
    /// had ended; drops datagrams.
    Gone,
    /// Keeps connections open but forwards nothing; drops datagrams.
    Stall,
    /// Like [`Mode::Stall`], and new connections get no reply either.
    Silent,
    /// Delays each read or datagram by this long.
    Delay(Duration),
    /// Forwards requests, and closes the connection when the response begins.
    DropAnswers,
    /// Forwards requests, and drops responses with the connection left open.
    MuteAnswers,
    /// Forwards this many response bytes of each connection, then closes it.
    Truncate(usize),
    /// Drops, reorders and duplicates datagrams, each with this probability;
    /// forwards TCP.
    Lossy(f64),
}

type SharedMode = Arc<Mutex<Mode>>;

/// Counts one connection of a proxy as open until it is dropped.
struct OpenConnection(Arc<AtomicUsize>);

impl OpenConnection {
    fn count(open: &Arc<AtomicUsize>) -> OpenConnection {
        open.fetch_add(1, Ordering::SeqCst);
        OpenConnection(open.clone())
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// A running proxy; dropping it stops the listening.
pub struct Proxy {
    /// The address on which the proxy listens.
    pub address: SocketAddr,
    /// The address that it forwards to.
    pub target: SocketAddr,
    mode: SharedMode,
    /// Number of open TCP connections.
    open: Arc<AtomicUsize>,
    _tasks: Vec<Task<()>>,
}

impl Proxy {
    /// Starts a proxy for a TCP address.
    ///
    /// # Errors
    ///
    /// When no port can be bound.
    pub fn tcp(target: SocketAddr) -> io::Result<Proxy> {
        let listener = StdTcpListener::bind(("127.0.0.1", 0))?;
        let address = listener.local_addr()?;
        let mode = SharedMode::default();
        let open = Arc::default();
        let task =
            spawn(accept(listener, target, mode.clone(), Arc::clone(&open)));
        Ok(Proxy { address, target, mode, open, _tasks: vec![task] })
    }

    /// Starts a proxy for an address that serves both TCP and UDP. The seed is
    /// for the random choices of [`Mode::Lossy`].
    ///
    /// # Errors
    ///
    /// When no port can be bound for both.
    pub fn tcp_and_udp(target: SocketAddr, seed: u64) -> io::Result<Proxy> {
        // The UDP port of the same number may be taken.
        const ATTEMPTS: u32 = 16;
        let mut last = io::ErrorKind::AddrInUse.into();
        for _ in 0..ATTEMPTS {
            let listener = StdTcpListener::bind(("127.0.0.1", 0))?;
            let address = listener.local_addr()?;
            let socket = match std::net::UdpSocket::bind(address) {
                Ok(socket) => socket,
                Err(error) => {
                    last = error;
                    continue;
                }
            };
            let mode = SharedMode::default();
            let open = Arc::default();
            let tcp = spawn(accept(
                listener,
                target,
                mode.clone(),
                Arc::clone(&open),
            ));
            let udp =
                spawn(forward_datagrams(socket, target, mode.clone(), seed));
            return Ok(Proxy {
                address,
                target,
                mode,
                open,
                _tasks: vec![tcp, udp],
            });
        }
        Err(last)
    }

    /// Sets the mode, also for open connections.
    pub fn set_mode(&self, mode: Mode) {
        *self.mode.lock().unwrap() = mode;
        if matches!(mode, Mode::Gone | Mode::Silent) {
            // Wakes the accept loop, so that it stops accepting at once.
            drop(std::net::TcpStream::connect(self.address));
        }
    }

    /// Returns the number of open TCP connections.
    pub fn open_connections(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    /// Returns the current mode.
    pub fn mode(&self) -> Mode {
        *self.mode.lock().unwrap()
    }
}

async fn accept(
    listener: StdTcpListener,
    target: SocketAddr,
    mode: SharedMode,
    open_connections: Arc<AtomicUsize>,
) {
    let Ok(address) = listener.local_addr() else { return };
    let mut listener = TcpListener::try_from(listener).ok();
    while let Some(open) = &listener {
        let Ok((client, _)) = open.accept().await else { return };
        match current(&mode) {
            Mode::Cut => drop(client),
            Mode::Silent => hang(open, address, &mode).await,
            Mode::Gone => {
                drop(client);
                drop(listener.take());
                listener = listen_again(address, &mode).await;
            }
            _ => {
                let counted = OpenConnection::count(&open_connections);
                let mode = mode.clone();
                spawn(async move {
                    connect(client, target, mode).await;
                    drop(counted);
                })
                .detach();
            }
        }
    }
}

/// Leaves new connections without a reply until the mode is no longer
/// [`Mode::Silent`]: the kernel drops their packets while the queue of
/// accepted connections is full.
async fn hang(open: &TcpListener, address: SocketAddr, mode: &SharedMode) {
    if rustix::net::listen(open, 0).is_err() {
        return;
    }
    let mut filling = Vec::new();
    loop {
        let connect = async { TcpStream::connect(address).await.ok() };
        let full = async {
            Timer::after(MODE_POLL_INTERVAL).await;
            None
        };
        match connect.or(full).await {
            Some(stream) => filling.push(stream),
            None => break,
        }
    }
    while current(mode) == Mode::Silent {
        Timer::after(MODE_POLL_INTERVAL).await;
    }
    // If this fails, the queue stays short, which no test depends on.
    let _ = rustix::net::listen(open, BACKLOG);
}

/// Waits until the mode is no longer [`Mode::Gone`], and listens again.
async fn listen_again(
    address: SocketAddr,
    mode: &SharedMode,
) -> Option<TcpListener> {
    loop {
        Timer::after(MODE_POLL_INTERVAL).await;
        if current(mode) != Mode::Gone
            && let Ok(listener) = TcpListener::bind(address).await
        {
            return Some(listener);
        }
    }
}

async fn connect(client: TcpStream, target: SocketAddr, mode: SharedMode) {
    let Ok(server) = TcpStream::connect(target).await else { return };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let requests = copy(client.clone(), server.clone(), mode.clone(), false);
    let responses = copy(server, client, mode, true);
    requests.or(responses).await;
}

/// Copies one direction of a connection until it closes or the mode closes it.
async fn copy(
    mut from: TcpStream,
    mut to: TcpStream,
    mode: SharedMode,
    is_response: bool,
) {
    let mut buffer = vec![0; 16 * 1024];
    let mut forwarded = 0;
    loop {
        let read = async { Some(from.read(&mut buffer).await) };
        let timer = async {
            Timer::after(MODE_POLL_INTERVAL).await;
            None
        };
        let length = match read.or(timer).await {
            None if closes_connections(&mode) => return,
            None => continue,
            Some(Ok(0) | Err(_)) => return,
            Some(Ok(length)) => length,
        };
        let mut part = &buffer[..length];
        match current(&mode) {
            Mode::Pass | Mode::Lossy(_) => {}
            Mode::Cut | Mode::Gone => return,
            Mode::Stall | Mode::Silent => wait_until_unstalled(&mode).await,
            Mode::Delay(time) => {
                Timer::after(time).await;
            }
            Mode::DropAnswers if is_response => return,
            Mode::DropAnswers => {}
            Mode::MuteAnswers if is_response => continue,
            Mode::MuteAnswers => {}
            Mode::Truncate(limit) if is_response => {
                let left = limit.saturating_sub(forwarded);
                part = &part[..part.len().min(left)];
                let _ = to.write_all(part).await;
                if part.len() < length {
                    return;
                }
                forwarded += length;
                continue;
            }
            Mode::Truncate(_) => {}
        }
        if to.write_all(part).await.is_err() {
            return;
        }
        forwarded += length;
    }
}

fn closes_connections(mode: &SharedMode) -> bool {
    matches!(current(mode), Mode::Cut | Mode::Gone)
}

async fn wait_until_unstalled(mode: &SharedMode) {
    while matches!(current(mode), Mode::Stall | Mode::Silent) {
        Timer::after(MODE_POLL_INTERVAL).await;
    }
}

/// Forwards the datagrams that arrive on a socket.
async fn forward_datagrams(
    socket: std::net::UdpSocket,
    target: SocketAddr,
    mode: SharedMode,
    seed: u64,
) {
    let Ok(socket) = UdpSocket::try_from(socket) else { return };
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut buffer = vec![0; 65_536];
    let mut delayed: Option<Vec<u8>> = None;
    while let Ok((length, _)) = socket.recv_from(&mut buffer).await {
        let datagram = &buffer[..length];
        let share = match current(&mode) {
            Mode::Cut | Mode::Gone | Mode::Stall => continue,
            Mode::Lossy(share) => share,
            Mode::Delay(time) => {
                Timer::after(time).await;
                0.0
            }
            _ => 0.0,
        };
        if rng.random_bool(share) {
            continue;
        }
        if rng.random_bool(share) {
            // Reordered: sent after the next datagram.
            delayed = Some(datagram.to_vec());
            continue;
        }
        let _ = socket.send_to(datagram, target).await;
        if rng.random_bool(share) {
            let _ = socket.send_to(datagram, target).await;
        }
        if let Some(late) = delayed.take() {
            let _ = socket.send_to(&late, target).await;
        }
    }
}

fn current(mode: &SharedMode) -> Mode {
    *mode.lock().unwrap()
}
