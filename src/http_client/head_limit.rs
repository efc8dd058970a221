//! Bounds what a peer may send before the head of its response.
//!
//! A peer may send any number of interim responses first. Each of them is
//! small, so no limit of the parser ends them, and a connection on which they
//! arrive without a pause would occupy its thread for ever.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
};

use futures_lite::{AsyncRead, AsyncWrite};

/// Maximum number of bytes of a response's head and all interim responses.
/// The parser accepts less for one head.
const MAX_BYTES: u64 = 512 << 10;

/// How many bytes may still arrive on a connection; only limited while it
/// waits for the head of a response.
#[derive(Clone, Debug)]
pub(super) struct HeadLimit(Arc<AtomicU64>);

impl HeadLimit {
    /// Begins to count, for a response that is waited for.
    pub(super) fn start(&self) {
        self.0.store(MAX_BYTES, Ordering::Relaxed);
    }

    /// Lifts the limit: the head has arrived.
    pub(super) fn lift(&self) {
        self.0.store(u64::MAX, Ordering::Relaxed);
    }

    fn left(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    fn count(&self, bytes: usize) {
        self.0.fetch_sub(bytes as u64, Ordering::Relaxed);
    }
}

impl Default for HeadLimit {
    /// Returns one that limits nothing.
    fn default() -> HeadLimit {
        HeadLimit(Arc::new(AtomicU64::new(u64::MAX)))
    }
}

/// A stream of which no more is read than its limit allows.
#[derive(Debug)]
pub(super) struct LimitedStream<S> {
    stream: S,
    limit: HeadLimit,
}

impl<S> LimitedStream<S> {
    pub(super) fn new(stream: S, limit: HeadLimit) -> LimitedStream<S> {
        LimitedStream { stream, limit }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for LimitedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let left = usize::try_from(self.limit.left()).unwrap_or(usize::MAX);
        if left == 0 {
            return Poll::Ready(Err(too_long()));
        }
        let most = buffer.len().min(left);
        let read =
            Pin::new(&mut self.stream).poll_read(context, &mut buffer[..most]);
        let count = ready!(read)?;
        self.limit.count(count);
        Poll::Ready(Ok(count))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for LimitedStream<S> {
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

fn too_long() -> io::Error {
    io::Error::new(
        io::ErrorKind::InvalidData,
        format!("no head of a response within {MAX_BYTES} bytes"),
    )
}
