//! A fault-injecting proxy for TCP and UDP, run inside the test's process.

use std::{
    io,
    net::{SocketAddr, TcpListener as StdTcpListener},
    sync::{Arc, Mutex},
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

/// Time between two looks at the mode by idle connections.
const LOOK: Duration = Duration::from_millis(20);

/// What the proxy does with what passes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Mode {
    /// Passes everything.
    #[default]
    Pass,
    /// Closes all connections, old and new, drops datagrams.
    Cut,
    /// Closes all connections and listens no more, as if it had ended.
    Gone,
    /// Keeps connections and passes nothing.
    Stall,
    /// Passes everything later.
    Delay(Duration),
    /// Passes requests, and closes instead of passing answers.
    DropAnswers,
    /// Passes requests, and swallows answers without a word.
    MuteAnswers,
    /// Passes this many bytes of each answer, then closes.
    Truncate(usize),
    /// Drops, doubles and reorders a share of the datagrams.
    Lossy(f64),
}

type SharedMode = Arc<Mutex<Mode>>;

/// A proxy on a port of its own.
pub struct Proxy {
    /// Where the proxy listens.
    pub address: SocketAddr,
    /// Where it leads.
    pub target: SocketAddr,
    mode: SharedMode,
    _tasks: Vec<Task<()>>,
}

impl Proxy {
    /// Starts a proxy of a TCP port.
    ///
    /// # Errors
    ///
    /// When no port can be bound.
    pub fn tcp(target: SocketAddr) -> io::Result<Proxy> {
        let listener = StdTcpListener::bind(("127.0.0.1", 0))?;
        let address = listener.local_addr()?;
        let mode = SharedMode::default();
        let task = spawn(accept(listener, target, mode.clone()));
        Ok(Proxy { address, target, mode, _tasks: vec![task] })
    }

    /// Starts a proxy of a port for both TCP and UDP.
    ///
    /// # Errors
    ///
    /// When no port can be bound for both.
    pub fn both(target: SocketAddr, seed: u64) -> io::Result<Proxy> {
        const TRIES: u32 = 16;
        let mut last = io::ErrorKind::AddrInUse.into();
        for _ in 0..TRIES {
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
            let tcp = spawn(accept(listener, target, mode.clone()));
            let udp = spawn(forward(socket, target, mode.clone(), seed));
            return Ok(Proxy {
                address,
                target,
                mode,
                _tasks: vec![tcp, udp],
            });
        }
        Err(last)
    }

    /// Changes what the proxy does, also for open connections.
    pub fn set(&self, mode: Mode) {
        *self.mode.lock().unwrap() = mode;
        if mode == Mode::Gone {
            // Wakes what listens, so that it ends at once.
            drop(std::net::TcpStream::connect(self.address));
        }
    }

    /// What the proxy does.
    pub fn mode(&self) -> Mode {
        *self.mode.lock().unwrap()
    }
}

async fn accept(
    listener: StdTcpListener,
    target: SocketAddr,
    mode: SharedMode,
) {
    let Ok(address) = listener.local_addr() else { return };
    let mut listener = TcpListener::try_from(listener).ok();
    while let Some(open) = &listener {
        let Ok((client, _)) = open.accept().await else { return };
        match current(&mode) {
            Mode::Cut => drop(client),
            Mode::Gone => {
                drop(client);
                drop(listener.take());
                listener = listen_again(address, &mode).await;
            }
            _ => spawn(connect(client, target, mode.clone())).detach(),
        }
    }
}

/// Listens at an address once more when it is no longer to be gone.
async fn listen_again(
    address: SocketAddr,
    mode: &SharedMode,
) -> Option<TcpListener> {
    loop {
        Timer::after(LOOK).await;
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
    let answers = copy(server, client, mode, true);
    requests.or(answers).await;
}

/// Copies one direction until it ends or the mode ends it.
async fn copy(
    mut from: TcpStream,
    mut to: TcpStream,
    mode: SharedMode,
    is_answer: bool,
) {
    let mut buffer = vec![0; 16 * 1024];
    let mut passed = 0;
    loop {
        let read = async { Some(from.read(&mut buffer).await) };
        let timer = async {
            Timer::after(LOOK).await;
            None
        };
        let length = match read.or(timer).await {
            None if is_closed(&mode) => return,
            None => continue,
            Some(Ok(0) | Err(_)) => return,
            Some(Ok(length)) => length,
        };
        let mut part = &buffer[..length];
        match current(&mode) {
            Mode::Pass | Mode::Lossy(_) => {}
            Mode::Cut | Mode::Gone => return,
            Mode::Stall => wait_out_stall(&mode).await,
            Mode::Delay(time) => {
                Timer::after(time).await;
            }
            Mode::DropAnswers if is_answer => return,
            Mode::DropAnswers => {}
            Mode::MuteAnswers if is_answer => continue,
            Mode::MuteAnswers => {}
            Mode::Truncate(limit) if is_answer => {
                let left = limit.saturating_sub(passed);
                part = &part[..part.len().min(left)];
                let _ = to.write_all(part).await;
                if part.len() < length {
                    return;
                }
                passed += length;
                continue;
            }
            Mode::Truncate(_) => {}
        }
        if to.write_all(part).await.is_err() {
            return;
        }
        passed += length;
    }
}

fn is_closed(mode: &SharedMode) -> bool {
    matches!(current(mode), Mode::Cut | Mode::Gone)
}

async fn wait_out_stall(mode: &SharedMode) {
    while current(mode) == Mode::Stall {
        Timer::after(LOOK).await;
    }
}

async fn forward(
    socket: std::net::UdpSocket,
    target: SocketAddr,
    mode: SharedMode,
    seed: u64,
) {
    let Ok(socket) = UdpSocket::try_from(socket) else { return };
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut buffer = vec![0; 65_536];
    let mut held: Option<Vec<u8>> = None;
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
            // Held back until after the next one.
            held = Some(datagram.to_vec());
            continue;
        }
        let _ = socket.send_to(datagram, target).await;
        if rng.random_bool(share) {
            let _ = socket.send_to(datagram, target).await;
        }
        if let Some(late) = held.take() {
            let _ = socket.send_to(&late, target).await;
        }
    }
}

fn current(mode: &SharedMode) -> Mode {
    *mode.lock().unwrap()
}
