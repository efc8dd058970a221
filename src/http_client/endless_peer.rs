//! Peers that send bytes without end until the connection is closed.

use std::{
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread::{self, JoinHandle},
    time::Duration,
};

/// Bytes that a peer may get rid of in a connection that nobody reads any
/// more: the buffers of both sockets, and what the reader may read.
pub(crate) const MAX_SENT_BYTES: u64 = 32 << 20;

/// Size of the blocks in which bytes are sent that come fast.
const BLOCK_BYTES: usize = 16 << 10;

/// Bytes without end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Endless {
    /// What is sent first.
    pub(crate) start: &'static [u8],
    /// What is repeated then.
    pub(crate) rest: &'static [u8],
    /// Time before each repetition; zero for many of them at once.
    pub(crate) pause: Duration,
}

impl Endless {
    /// Sends the bytes until the connection is closed; returns their number.
    pub(crate) fn send(self, mut stream: TcpStream) -> u64 {
        let count = match self.pause.is_zero() {
            true => BLOCK_BYTES.div_ceil(self.rest.len()),
            false => 1,
        };
        let block = self.rest.repeat(count);
        let mut sent = 0;
        let mut next = self.start;
        loop {
            match stream.write(next) {
                Ok(count) => sent += count as u64,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return sent,
            }
            thread::sleep(self.pause);
            next = &block;
        }
    }

    /// Starts a peer that reads what comes first on its only connection and
    /// answers with the bytes.
    pub(crate) fn serve(self) -> (SocketAddr, JoinHandle<u64>) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let peer = thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            let mut request = [0; 4096];
            assert!(stream.read(&mut request).unwrap() > 0);
            self.send(stream)
        });
        (address, peer)
    }
}
