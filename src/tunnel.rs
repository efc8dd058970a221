//! Byte streams to an upstream that run through another VM.
//!
//! The VM that cannot reach an upstream opens a connection to one that can,
//! and asks it to connect. From then on the connection carries the bytes of an
//! ordinary HTTP connection: requests as they are, and responses in chunks
//! that are each preceded by their length. A chunk without bytes marks the
//! end: a response that ends when its connection closes is complete only if
//! the upstream closed it, and not if the other VM was lost.
//!
//! The other VM decides nothing: attempts, deadlines, retries and the
//! cancellation of a request stay with the VM that received it. When either
//! side of the stream closes, so does the other.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    task::{Context, Poll, ready},
};

use futures_lite::{
    AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, future,
};
use smol::net::TcpStream;

/// Size of the buffer of each direction.
const BUFFER_BYTES: usize = 16 << 10;

/// Length of the number before each chunk.
const LENGTH_BYTES: usize = 4;

/// The end of a stream at the VM that asked for it.
#[derive(Debug)]
pub(crate) struct TunnelStream {
    stream: TcpStream,
    length: [u8; LENGTH_BYTES],
    /// Number of bytes of `length` that have been read.
    length_read: usize,
    /// Number of bytes of the current chunk that have not been read.
    chunk_left: usize,
    has_ended: bool,
}

impl TunnelStream {
    /// Creates the stream on a connection whose other side runs [`serve`].
    pub(crate) fn new(stream: TcpStream) -> TunnelStream {
        TunnelStream {
            stream,
            length: [0; LENGTH_BYTES],
            length_read: 0,
            chunk_left: 0,
            has_ended: false,
        }
    }

    /// Reads until a chunk begins or the stream has ended.
    fn poll_chunk(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        while self.chunk_left == 0 && !self.has_ended {
            let rest = &mut self.length[self.length_read..];
            let read = Pin::new(&mut self.stream).poll_read(context, rest);
            match ready!(read)? {
                0 => return Poll::Ready(Err(lost())),
                count => self.length_read += count,
            }
            if self.length_read == LENGTH_BYTES {
                self.length_read = 0;
                self.chunk_left = u32::from_be_bytes(self.length) as usize;
                self.has_ended = self.chunk_left == 0;
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for TunnelStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_chunk(context))?;
        if self.has_ended {
            return Poll::Ready(Ok(0));
        }
        let most = buffer.len().min(self.chunk_left);
        let read =
            Pin::new(&mut self.stream).poll_read(context, &mut buffer[..most]);
        let count = ready!(read)?;
        if count == 0 && most > 0 {
            return Poll::Ready(Err(lost()));
        }
        self.chunk_left -= count;
        Poll::Ready(Ok(count))
    }
}

impl AsyncWrite for TunnelStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
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

fn lost() -> io::Error {
    io::Error::new(
        io::ErrorKind::UnexpectedEof,
        "the connection to the other VM was lost",
    )
}

/// Copies between the VM that asked for a stream and its upstream, until
/// either side closes; returns the number of bytes sent to the VM.
pub(crate) async fn serve(vm: TcpStream, upstream: TcpStream) -> u64 {
    let requests = async {
        copy_requests(vm.clone(), upstream.clone()).await;
        0
    };
    let responses = copy_responses(upstream.clone(), vm.clone());
    future::or(requests, responses).await
}

async fn copy_requests(mut vm: TcpStream, mut upstream: TcpStream) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(count @ 1..) = vm.read(&mut buffer).await {
        if upstream.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}

async fn copy_responses(mut upstream: TcpStream, mut vm: TcpStream) -> u64 {
    let mut buffer = vec![0; LENGTH_BYTES + BUFFER_BYTES];
    let mut sent = 0;
    loop {
        // A reset is not the end of a response, so nothing marks it as such.
        let read = upstream.read(&mut buffer[LENGTH_BYTES..]).await;
        let Ok(count) = read else { return sent };
        let length = (count as u32).to_be_bytes();
        buffer[..LENGTH_BYTES].copy_from_slice(&length);
        let chunk = &buffer[..LENGTH_BYTES + count];
        if vm.write_all(chunk).await.is_err() {
            return sent;
        }
        sent += chunk.len() as u64;
        if count == 0 {
            return sent;
        }
    }
}

#[cfg(test)]
mod tests;
