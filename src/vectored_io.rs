//! Lets the HTTP library write bodies from where they are in memory.
//!
//! It copies each body into a buffer of its own first if the transport does
//! not state that it writes several slices at once.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    task::{Context, Poll},
};

use futures_lite::{AsyncRead, AsyncWrite};
use hyper::rt::{Read, ReadBufCursor, Write};
use smol_hyper::rt::FuturesIo;

/// A transport for the HTTP library.
#[derive(Debug)]
pub(crate) struct VectoredIo<T>(FuturesIo<T>);

impl<T> VectoredIo<T> {
    pub(crate) fn new(transport: T) -> VectoredIo<T> {
        VectoredIo(FuturesIo::new(transport))
    }
}

impl<T: AsyncRead + Unpin> Read for VectoredIo<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_read(context, buffer)
    }
}

impl<T: AsyncWrite + Unpin> Write for VectoredIo<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(self.0.get_mut()).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(context)
    }
}
