//! The connection of a caller: which responses it has taken, and why it ended.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::{Arc, Mutex, OnceLock},
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use futures_lite::{AsyncRead, AsyncWrite};
use hyper::body::{Body, Frame, SizeHint};
use smol::net::TcpStream;

use crate::gateway::{
    answer_loss::AnswerLoss, relay_events::StreamAborted, trace::EndedTrace,
};

/// Why a connection ended; the first cause counts.
#[derive(Debug, Default)]
pub(crate) struct ConnectionEnd(OnceLock<(AnswerLoss, String)>);

impl ConnectionEnd {
    /// Records a cause, and what is known beyond that.
    pub(crate) fn record(&self, loss: AnswerLoss, reason: &str) {
        self.0.get_or_init(|| (loss, reason.to_owned()));
    }

    /// Returns the cause; `None` if none is known.
    pub(crate) fn cause(&self) -> Option<(AnswerLoss, String)> {
        self.0.get().cloned()
    }
}

/// The connection of a caller. Responses that it has not written when it is
/// dropped are lost.
#[derive(Default)]
pub(crate) struct CallerConnection {
    end: Arc<ConnectionEnd>,
    /// The requests whose responses are in the buffer of the HTTP library.
    buffered: Mutex<Vec<EndedTrace>>,
}

impl CallerConnection {
    pub(crate) fn end(&self) -> &Arc<ConnectionEnd> {
        &self.end
    }

    /// Records that the HTTP library has the whole response to a request.
    pub(crate) fn record_buffered(&self, trace: EndedTrace) {
        self.buffered.lock().expect("buffered lock").push(trace);
    }

    /// Records that the buffer of the HTTP library is empty.
    fn record_flushed(&self) {
        let mut buffered = self.buffered.lock().expect("buffered lock");
        let written = std::mem::take(&mut *buffered);
        drop(buffered);
        written.into_iter().for_each(EndedTrace::complete);
    }
}

/// The transport of a connection, which records what ends it.
pub(crate) struct CallerStream {
    stream: TcpStream,
    connection: Arc<CallerConnection>,
}

impl CallerStream {
    pub(crate) fn new(
        stream: TcpStream,
        connection: Arc<CallerConnection>,
    ) -> CallerStream {
        CallerStream { stream, connection }
    }

    fn record_written(&self, written: &io::Result<usize>) {
        if let Err(error) = written {
            let end = self.connection.end();
            end.record(AnswerLoss::WriteFailed, &error.to_string());
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read =
            ready!(Pin::new(&mut self.stream).poll_read(context, buffer));
        let end = self.connection.end();
        match &read {
            Ok(0) if !buffer.is_empty() => {
                end.record(AnswerLoss::CallerLeft, "");
            }
            Ok(_) => {}
            Err(error) => {
                end.record(AnswerLoss::CallerLeft, &error.to_string());
            }
        }
        Poll::Ready(read)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written =
            ready!(Pin::new(&mut self.stream).poll_write(context, bytes));
        self.record_written(&written);
        Poll::Ready(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(
            Pin::new(&mut self.stream).poll_write_vectored(context, slices)
        );
        self.record_written(&written);
        Poll::Ready(written)
    }

    /// The HTTP library flushes the transport only once it has written all
    /// that it has buffered.
    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        let flushed = ready!(Pin::new(&mut self.stream).poll_flush(context));
        if flushed.is_ok() {
            self.connection.record_flushed();
        }
        Poll::Ready(flushed)
    }

    fn poll_close(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}

/// The body of a response that is known whole.
pub(crate) struct WholeBody {
    /// `None` once the HTTP library has them.
    bytes: Option<Bytes>,
    trace: Option<EndedTrace>,
    connection: Arc<CallerConnection>,
}

impl WholeBody {
    pub(crate) fn new(
        bytes: Bytes,
        trace: EndedTrace,
        connection: Arc<CallerConnection>,
    ) -> WholeBody {
        WholeBody { bytes: Some(bytes), trace: Some(trace), connection }
    }
}

impl Body for WholeBody {
    type Data = Bytes;
    type Error = StreamAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamAborted>>> {
        if let Some(trace) = self.trace.take() {
            self.connection.record_buffered(trace);
        }
        let frame = self.bytes.take().map(|bytes| Ok(Frame::data(bytes)));
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        let bytes = self.bytes.as_ref();
        SizeHint::with_exact(bytes.map_or(0, Bytes::len) as u64)
    }
}
