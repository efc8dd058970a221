//! The connection of a caller: which responses it has taken, and why it ended.

use std::{
    convert::Infallible,
    io::{self, IoSlice},
    pin::Pin,
    sync::{
        Arc, Mutex, OnceLock,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use futures_lite::{AsyncRead, AsyncWrite};
use hyper::body::{Body, Frame, SizeHint};
use smol::{
    Timer,
    channel::{Receiver, Sender, bounded},
    net::TcpStream,
};

use crate::{
    caller_memory::{
        claim::MemoryClaim,
        receive_buffer::{self, ENLARGED_BYTES},
    },
    gateway::{
        answer_loss::AnswerLoss, relay_events::StreamAborted,
        trace::EndedTrace,
    },
    task,
};

/// Time for which the rest of a body is read and discarded, so that its caller
/// can read why the request was rejected.
const DISCARD_TIME: Duration = Duration::from_secs(1);

/// Bytes of the rest that are read at most.
const MAX_DISCARDED_BYTES: usize = 1 << 20;

/// Interval between two checks whether a request has its answer.
const ANSWER_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Time that a request has for its answer once its body gives way.
const REJECTION_TIME: Duration = Duration::from_millis(500);

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
pub(crate) struct CallerConnection {
    end: Arc<ConnectionEnd>,
    stream: TcpStream,
    /// Its share of the memory that callers may take.
    claim: MemoryClaim,
    /// The requests whose responses are in the buffer of the HTTP library.
    buffered: Mutex<Vec<EndedTrace>>,
    /// The number of requests whose responses are not written.
    open_requests: AtomicUsize,
    is_reading_body: AtomicBool,
    /// Whether its receive buffer was enlarged.
    is_enlarged: AtomicBool,
    /// Whether the caller has to read before more can be written.
    is_write_blocked: AtomicBool,
    must_discard_rest: AtomicBool,
    /// Closed when the body that is being read gives way.
    body_revoked: (Sender<Infallible>, Receiver<Infallible>),
}

impl CallerConnection {
    /// Creates the state of a connection that has just been accepted.
    pub(crate) fn new(
        stream: TcpStream,
        claim: MemoryClaim,
    ) -> CallerConnection {
        claim.await_sender();
        CallerConnection {
            end: Arc::default(),
            stream,
            claim,
            buffered: Mutex::default(),
            open_requests: AtomicUsize::new(0),
            is_reading_body: AtomicBool::new(false),
            is_enlarged: AtomicBool::new(false),
            is_write_blocked: AtomicBool::new(false),
            must_discard_rest: AtomicBool::new(false),
            body_revoked: bounded(1),
        }
    }

    /// Enlarges the receive buffer for a large body, if there is room.
    pub(crate) fn expect_large_body(&self) {
        if !self.is_enlarged.load(Ordering::Relaxed)
            && self.claim.try_add(ENLARGED_BYTES)
        {
            self.is_enlarged.store(true, Ordering::Relaxed);
            receive_buffer::enlarge(&self.stream);
        }
    }

    /// Records that the head of a request has arrived.
    pub(crate) fn begin_request(&self) {
        self.open_requests.fetch_add(1, Ordering::Relaxed);
        self.claim.keep();
    }

    /// Records that the caller is to send a body, or has sent more of it.
    pub(crate) fn await_body(&self) {
        self.is_reading_body.store(true, Ordering::Relaxed);
        self.claim.await_sender();
    }

    /// Records that a body has ended.
    pub(crate) fn end_body(&self) {
        self.is_reading_body.store(false, Ordering::Relaxed);
        self.claim.keep();
    }

    /// Waits until the body that is being read has to give way.
    pub(crate) async fn body_revoked(&self) {
        // Nothing is ever sent, so this returns once the channel is closed.
        let _ = self.body_revoked.1.recv().await;
    }

    /// Waits until the connection has to be closed, since its caller stands
    /// still and others need room. A request that has arrived meanwhile is
    /// answered first.
    pub(crate) async fn revoked(&self) {
        self.claim.revoked().await;
        if self.is_reading_body.load(Ordering::Relaxed) {
            self.body_revoked.1.close();
            task::sleep(REJECTION_TIME).await;
        }
        while self.has_open_requests()
            && !self.is_write_blocked.load(Ordering::Relaxed)
        {
            task::sleep(ANSWER_CHECK_INTERVAL).await;
        }
    }

    /// Has what the caller still sends read and discarded once the connection
    /// is closed. Closing it with bytes that are not read would reset it, and
    /// the caller might lose the response.
    pub(crate) fn discard_rest(&self) {
        self.must_discard_rest.store(true, Ordering::Relaxed);
    }

    /// Records that the body was read to its end, so that nothing is to be
    /// discarded.
    pub(crate) fn keep_rest(&self) {
        self.must_discard_rest.store(false, Ordering::Relaxed);
    }

    /// Records whether the caller has to read before more can be written.
    fn set_write_blocked(&self, is_blocked: bool) {
        let was_blocked =
            self.is_write_blocked.swap(is_blocked, Ordering::Relaxed);
        match (was_blocked, is_blocked) {
            (false, true) => self.claim.await_reader(),
            (true, false) if self.has_open_requests() => self.claim.keep(),
            (true, false) => self.claim.await_sender(),
            _ => {}
        }
    }

    fn has_open_requests(&self) -> bool {
        self.open_requests.load(Ordering::Relaxed) > 0
    }

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
        if written.is_empty() {
            return;
        }
        let count = written.len();
        let open = self.open_requests.fetch_sub(count, Ordering::Relaxed);
        if open == count {
            self.claim.await_sender();
        }
        written.into_iter().for_each(EndedTrace::complete);
    }
}

/// The transport of a connection, which records what ends it.
pub(crate) struct CallerStream {
    stream: TcpStream,
    connection: Arc<CallerConnection>,
    /// Discards the rest of a body; `None` before.
    discard: Option<Discard>,
}

/// What is left to be discarded of a body that is not used.
struct Discard {
    timeout: Timer,
    left_bytes: usize,
}

impl CallerStream {
    pub(crate) fn new(
        stream: TcpStream,
        connection: Arc<CallerConnection>,
    ) -> CallerStream {
        CallerStream { stream, connection, discard: None }
    }

    /// Reads and discards what the caller still sends, within the limits.
    fn poll_discard(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let discard = self.discard.get_or_insert_with(|| Discard {
            timeout: Timer::after(DISCARD_TIME),
            left_bytes: MAX_DISCARDED_BYTES,
        });
        let mut rest = [0; 4096];
        while discard.left_bytes > 0
            && Pin::new(&mut discard.timeout).poll(context).is_pending()
        {
            let read =
                Pin::new(&mut self.stream).poll_read(context, &mut rest);
            match ready!(read) {
                Ok(count @ 1..) => {
                    discard.left_bytes =
                        discard.left_bytes.saturating_sub(count);
                }
                _ => break,
            }
        }
        Poll::Ready(())
    }

    fn record_written(&self, written: &Poll<io::Result<usize>>) {
        self.connection.set_write_blocked(written.is_pending());
        if let Poll::Ready(Err(error)) = written {
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
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_written(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let stream = Pin::new(&mut self.stream);
        let written = stream.poll_write_vectored(context, slices);
        self.record_written(&written);
        written
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
        if self.discard.is_none() {
            ready!(Pin::new(&mut self.stream).poll_close(context))?;
        }
        let must_discard = &self.connection.must_discard_rest;
        if must_discard.load(Ordering::Relaxed) {
            ready!(self.poll_discard(context));
        }
        Poll::Ready(Ok(()))
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
