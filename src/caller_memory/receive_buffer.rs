//! Bounds the bytes that arrive at a socket before they are read.
//!
//! The kernel lets the receive buffer of a connection grow for as long as its
//! peer sends fast, and bytes that nobody reads stay there. The size is set
//! before a connection is open: what the peer has been told that it may send
//! cannot be taken back.

use std::{
    io,
    net::{SocketAddr, TcpStream as StdTcpStream},
    os::fd::AsFd,
};

use rustix::{
    io::Errno,
    net::{self, AddressFamily, SocketFlags, SocketType, sockopt},
};
use smol::{
    Async,
    net::{TcpListener, TcpStream},
};

/// Size of the receive buffer of a caller's connection. The kernel doubles
/// it, for its own administration.
const CALLER_BYTES: usize = 16 << 10;

/// Connections that may wait to be accepted.
const MAX_PENDING: i32 = 256;

/// Size for a large body, so that it arrives fast on a link with a delay.
const LARGE_BODY_BYTES: usize = 64 << 10;

/// Size for the answers of an upstream.
const UPSTREAM_BYTES: usize = 32 << 10;

/// Memory of a larger buffer, beyond what a connection takes anyway.
pub(crate) const ENLARGED_BYTES: u64 = 2 * LARGE_BODY_BYTES as u64;

/// Listens for callers.
///
/// # Errors
///
/// If the address cannot be bound.
pub(crate) async fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address).await?;
    bound_listener(&listener);
    Ok(listener)
}

/// Bounds the connections that wait to be accepted, and the receive buffers of
/// those that will be.
pub(crate) fn bound_listener(listener: &impl AsFd) {
    set(listener, CALLER_BYTES);
    // Where this is not possible, the queue keeps its length.
    let _ = net::listen(listener, MAX_PENDING);
}

/// Enlarges the buffer of a connection, on which a large body arrives.
pub(crate) fn enlarge(stream: &TcpStream) {
    set(stream, LARGE_BODY_BYTES);
}

/// Connects to an upstream.
///
/// # Errors
///
/// If the connection cannot be opened.
pub(crate) async fn connect_upstream(
    address: SocketAddr,
) -> io::Result<TcpStream> {
    let family = match address {
        SocketAddr::V4(_) => AddressFamily::INET,
        SocketAddr::V6(_) => AddressFamily::INET6,
    };
    let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
    let socket = net::socket_with(family, SocketType::STREAM, flags, None)?;
    set(&socket, UPSTREAM_BYTES);
    match net::connect(&socket, &address) {
        Ok(()) | Err(Errno::INPROGRESS) => {}
        Err(error) => return Err(error.into()),
    }
    let stream = Async::new(StdTcpStream::from(socket))?;
    stream.writable().await?;
    match stream.get_ref().take_error()? {
        Some(error) => Err(error),
        None => Ok(stream.into()),
    }
}

fn set(socket: &impl AsFd, bytes: usize) {
    // Where this is not possible, the buffer keeps its size.
    let _ = sockopt::set_socket_recv_buffer_size(socket, bytes);
}
