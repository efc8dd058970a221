//! Responses to callers: complete, streamed, or an error.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use futures_lite::{AsyncRead, Stream};
use serde_json::json;
use smol::channel::{Receiver, Sender};

use crate::{error::Error, id::RequestId};

/// A header of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Header {
    pub(crate) name: String,
    pub(crate) value: String,
}

impl Header {
    pub(crate) fn new(
        name: impl Into<String>,
        value: impl Into<String>,
    ) -> Header {
        Header { name: name.into(), value: value.into() }
    }
}

/// A response to a caller.
pub(crate) enum Answer {
    /// A response whose body is complete.
    Whole { status: u16, headers: Vec<Header>, body: Bytes },
    /// A response whose body is sent in parts, with status 200.
    Streamed { headers: Vec<Header>, body: StreamBody },
}

impl Answer {
    /// Returns the response to an error.
    pub(crate) fn error_response(
        error: &Error,
        id: Option<&RequestId>,
    ) -> Answer {
        let answer = error.kind().answer();
        let mut headers =
            vec![Header::new("content-type", "application/json")];
        if let Some(wait) = error.retry_after() {
            let seconds = wait.as_secs_f64().ceil().max(1.0) as u64;
            headers.push(Header::new("retry-after", seconds.to_string()));
        }
        Answer::Whole {
            status: answer.status,
            headers,
            body: Bytes::from(error_json(error, id).to_string()),
        }
    }

    /// Adds a header.
    pub(crate) fn add_header(&mut self, header: Header) {
        match self {
            Answer::Whole { headers, .. }
            | Answer::Streamed { headers, .. } => headers.push(header),
        }
    }
}

/// Returns the JSON body of the response to an error.
pub(crate) fn error_json(
    error: &Error,
    id: Option<&RequestId>,
) -> serde_json::Value {
    let answer = error.kind().answer();
    json!({ "error": {
        "code": answer.code,
        "message": error.to_string(),
        "run": answer.run.as_str(),
        "retry": answer.retry.to_string(),
        "decision": id.map(ToString::to_string),
    }})
}

/// A part of a streamed body, or the signal that it will not be completed.
pub(crate) type StreamPart = Result<Bytes, BodyAborted>;

/// The body was aborted before its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BodyAborted;

/// A body that is read while its parts arrive.
///
/// If it is aborted, reading fails, so that the server closes the connection
/// without the terminator of a complete body. The same happens if the sender
/// is dropped without sending [`StreamBody::END`].
pub(crate) struct StreamBody {
    parts: Pin<Box<Receiver<StreamPart>>>,
    current: Bytes,
    ended: bool,
    _caller_guard: Option<Sender<()>>,
}

impl StreamBody {
    /// The empty part that marks the end of a body.
    pub(crate) const END: Bytes = Bytes::new();

    /// Creates a body from the parts that arrive on a channel.
    pub(crate) fn new(parts: Receiver<StreamPart>) -> StreamBody {
        StreamBody {
            parts: Box::pin(parts),
            current: Bytes::new(),
            ended: false,
            _caller_guard: None,
        }
    }

    /// Holds `guard` for as long as the body; dropping it signals that the
    /// caller is no longer connected.
    pub(crate) fn attach_caller_guard(&mut self, guard: Sender<()>) {
        self._caller_guard = Some(guard);
    }
}

impl AsyncRead for StreamBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        while self.current.is_empty() {
            if self.ended {
                return Poll::Ready(Ok(0));
            }
            match self.parts.as_mut().poll_next(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Some(Ok(part))) if part.is_empty() => {
                    self.ended = true;
                }
                Poll::Ready(Some(Ok(part))) => self.current = part,
                Poll::Ready(Some(Err(BodyAborted)) | None) => {
                    let error = io::ErrorKind::ConnectionAborted.into();
                    return Poll::Ready(Err(error));
                }
            }
        }
        let length = self.current.len().min(buf.len());
        let part = self.current.split_to(length);
        buf[..length].copy_from_slice(&part);
        Poll::Ready(Ok(length))
    }
}

#[cfg(test)]
mod tests {
    use futures_lite::AsyncReadExt;
    use smol::channel::unbounded;

    use super::*;

    fn read(parts: Vec<StreamPart>) -> io::Result<Vec<u8>> {
        let (sender, receiver) = unbounded();
        for part in parts {
            sender.try_send(part).unwrap();
        }
        drop(sender);
        let mut whole = Vec::new();
        let mut body = StreamBody::new(receiver);
        smol::block_on(body.read_to_end(&mut whole))?;
        Ok(whole)
    }

    #[test]
    fn only_a_body_with_an_end_part_reads_to_its_end() {
        let part = || Ok(Bytes::from_static(b"ab"));
        let ended = read(vec![part(), part(), Ok(StreamBody::END)]);
        assert_eq!(ended.unwrap(), b"abab");
        assert!(read(vec![part(), Err(BodyAborted)]).is_err());
        assert!(read(vec![part()]).is_err());
    }
}
