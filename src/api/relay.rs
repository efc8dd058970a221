//! Relays a streamed answer and resumes it when its upstream fails.
//!
//! Server-sent events carry numbers in their `id`. When a stream breaks,
//! another replica of the same version is asked for the events after the last
//! number that was forwarded. A stream that cannot be resumed ends in an error
//! event and an aborted connection, never in the end mark of a complete
//! answer.

use std::time::Duration;

use bytes::Bytes;
use serde_json::json;
use smol::channel::{Sender, bounded};

use crate::{
    answer::{
        Answer, BodyAborted, Header, StreamBody, StreamPart, error_json,
    },
    api::{
        chat::TokenUsage,
        decision::AttemptStatus,
        dispatch::{AttemptFault, SelectedUpstream},
        event_reader::EventReader,
        queue::DispatchPermit,
        request::{Planned, Request},
        template::VersionEntry,
    },
    chains::claim::ClaimOutcome,
    error::{Error, ErrorKind},
    event::Event,
    http_client::Exchange,
    id::UpstreamId,
    sse,
    task::{self, within},
    unit::MicroCost,
};

/// Parts buffered for a slow caller before reading from the upstream stops.
const BUFFERED_PARTS: usize = 4;

/// Longest time without an event from the upstream within a stream.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Bytes of text after which no more of an answer is kept for its rating.
const RATED_TEXT_LIMIT_BYTES: usize = 16 * 1024;

/// An open event stream from one upstream.
struct UpstreamStream {
    events: EventReader,
    selected: SelectedUpstream,
}

impl UpstreamStream {
    fn new(exchange: Exchange, selected: SelectedUpstream) -> UpstreamStream {
        let events = EventReader::new(exchange, IDLE_TIMEOUT);
        UpstreamStream { events, selected }
    }
}

/// What has been forwarded to the caller so far.
#[derive(Default)]
struct Progress {
    last_id: Option<u64>,
    events: u64,
    used: Option<TokenUsage>,
    text: String,
}

/// How relaying one upstream's stream ended.
enum RelayEnd {
    /// The answer is complete; only this last event is not forwarded yet.
    Done(sse::Event),
    /// The upstream's stream failed.
    Broken(AttemptFault),
    /// The caller disconnected.
    CallerDisconnected,
}

/// Why no stream was opened.
enum OpenError {
    /// The upstream answered with another status than 200.
    Answer(Answer),
    /// The request failed.
    Failed(Error),
}

/// Dispatches a streamed request.
///
/// Returns once its first event has arrived; the stream is relayed by a
/// background task.
pub(crate) async fn run(
    mut request: Request<Planned>,
    permit: DispatchPermit,
) -> Answer {
    let entry = request.state.plan.steps[0].entry.clone();
    let mut permit = Some(permit);
    let mut tried = Vec::new();
    let opened = open(&mut request, &entry, &mut tried, &mut permit).await;
    let (stream, first) = match opened {
        Ok(opened) => opened,
        Err(OpenError::Failed(error)) => {
            return request.context.settle(Err(error));
        }
        Err(OpenError::Answer(answer)) => {
            return request.context.settle(Ok(answer));
        }
    };
    let now = request.context.vm.clock.now();
    request.context.first_part_at = Some(now);
    let waited = now.saturating_duration_since(request.context.started);
    request.add_evidence(&entry, false, Some(waited));
    let (sender, receiver) = bounded(BUFFERED_PARTS);
    let mut headers = vec![
        Header::new("content-type", "text/event-stream"),
        Header::new("cache-control", "no-cache"),
        Header::new(
            "lupinseam-decision",
            request.context.decision.id.to_string(),
        ),
    ];
    headers.extend(request.session_header(&entry));
    let relay = Relay { request, entry, tried, sender };
    task::spawn(relay.run(stream, first)).detach();
    Answer::Streamed { headers, body: StreamBody::new(receiver) }
}

/// Opens a stream and waits for its first event, with retries.
async fn open(
    request: &mut Request<Planned>,
    entry: &VersionEntry,
    tried: &mut Vec<UpstreamId>,
    permit: &mut Option<DispatchPermit>,
) -> Result<(UpstreamStream, sse::Event), OpenError> {
    let repeatable = request.state.repeatable;
    loop {
        let selected =
            request.select_for(entry, tried).map_err(OpenError::Failed)?;
        permit.take();
        tried.push(selected.upstream.record.id.clone());
        request.context.begin_attempt(
            &selected,
            Some(entry),
            MicroCost::default(),
        );
        let outgoing = request.attempt_request(entry, tried.len());
        let limit = outgoing.limit;
        let fault = match request.context.send_head(&selected, outgoing).await
        {
            Err(fault) => fault,
            Ok(exchange) if exchange.status != 200 => {
                let answer = read_whole_answer(request, exchange, limit).await;
                let is_retryable = repeatable && is_rejection(&answer);
                match answer {
                    Some(_)
                        if is_retryable
                            && request.context.may_retry(tried.len()) =>
                    {
                        continue;
                    }
                    Some(answer) => return Err(OpenError::Answer(answer)),
                    None => AttemptFault::Broken,
                }
            }
            Ok(exchange) => {
                let mut stream = UpstreamStream::new(exchange, selected);
                let fault = match within(limit, stream.events.next()).await {
                    Some(Ok(Some(first))) => return Ok((stream, first)),
                    Some(Ok(None)) => AttemptFault::Broken,
                    Some(Err(fault)) => fault,
                    None => AttemptFault::TimedOut,
                };
                request.context.record_broken_stream(&stream.selected, fault);
                fault
            }
        };
        request.context.end_attempt(fault.attempt_status());
        request.record_fault(entry, fault);
        request
            .context
            .check_retry(fault, repeatable, tried.len())
            .map_err(OpenError::Failed)?;
    }
}

/// Reads the body of an answer that is not a stream, within `limit`.
async fn read_whole_answer(
    request: &mut Request<Planned>,
    exchange: Exchange,
    limit: Duration,
) -> Option<Answer> {
    let most = request.context.vm.settings.requests.answer_limit_bytes;
    let answer = within(limit, exchange.read_to_end(most)).await?.ok()?;
    let status = answer.status;
    request.context.end_attempt(AttemptStatus::Answered { status });
    let content_type = answer.header("content-type").unwrap_or("text/plain");
    let headers = vec![Header::new("content-type", content_type)];
    Some(Answer::Whole { status, headers, body: answer.body })
}

/// Returns whether the status says that the engine did not accept the
/// request.
fn is_rejection(answer: &Option<Answer>) -> bool {
    matches!(answer, Some(Answer::Whole { status: 503 | 409, .. }))
}

/// A stream that is being relayed to the caller.
struct Relay {
    request: Request<Planned>,
    entry: VersionEntry,
    tried: Vec<UpstreamId>,
    sender: Sender<StreamPart>,
}

impl Relay {
    /// Relays the stream to its end, resuming it when an upstream fails.
    async fn run(mut self, mut stream: UpstreamStream, first: sse::Event) {
        let mut progress = Progress::default();
        let mut next = Some(first);
        loop {
            let end =
                self.forward_events(&mut stream, next, &mut progress).await;
            self.record_usage(&progress);
            match end {
                RelayEnd::Done(last) => {
                    drop(stream);
                    return self.finish(last, progress).await;
                }
                RelayEnd::CallerDisconnected => {
                    // Closing the connection cancels the work at the upstream.
                    drop(stream);
                    self.request.context.end_attempt(AttemptStatus::Cancelled);
                    let error = Error::new(ErrorKind::UpstreamFailed)
                        .context("the caller disconnected");
                    return self.request.context.settle_stream(Some(&error));
                }
                RelayEnd::Broken(fault) => {
                    let context = &mut self.request.context;
                    context.record_broken_stream(&stream.selected, fault);
                    context.end_attempt(fault.attempt_status());
                    self.request.record_fault(&self.entry, fault);
                    drop(stream);
                }
            }
            match self.resume(&progress).await {
                Ok((resumed, event)) => {
                    stream = resumed;
                    next = Some(event);
                }
                Err(error) => return self.abort(error).await,
            }
        }
    }

    /// Forwards events until the stream ends, fails or the caller disconnects.
    async fn forward_events(
        &self,
        stream: &mut UpstreamStream,
        mut next: Option<sse::Event>,
        progress: &mut Progress,
    ) -> RelayEnd {
        loop {
            let event = match next.take() {
                Some(event) => event,
                None => match stream.events.next().await {
                    Ok(Some(event)) => event,
                    Ok(None) => return RelayEnd::Broken(AttemptFault::Broken),
                    Err(fault) => return RelayEnd::Broken(fault),
                },
            };
            if event.is_done() {
                return RelayEnd::Done(event);
            }
            if !progress.record(&event) {
                continue;
            }
            if self.sender.send(Ok(event.raw)).await.is_err() {
                return RelayEnd::CallerDisconnected;
            }
        }
    }

    /// Forwards the last event and settles the request.
    async fn finish(mut self, last: sse::Event, progress: Progress) {
        let context = &mut self.request.context;
        context.record_completion();
        context.end_attempt(AttemptStatus::Answered { status: 200 });
        context.set_claim_outcome(ClaimOutcome::Ran {
            status: 200,
            content_type: "text/event-stream".to_owned(),
            body: None,
        });
        let sent = async {
            self.sender.send(Ok(last.raw)).await?;
            self.sender.send(Ok(StreamBody::END)).await
        };
        // A caller that disconnects before the last event was still served.
        let _ = sent.await;
        self.request.rate_in_background(&self.entry, progress.text);
        self.request.context.settle_stream(None);
    }

    /// Opens a stream at another replica that continues after the last event
    /// forwarded.
    async fn resume(
        &mut self,
        progress: &Progress,
    ) -> Result<(UpstreamStream, sse::Event), Error> {
        let failed = |reason: &str| {
            Error::new(ErrorKind::UpstreamFailed)
                .context(reason.to_owned())
                .context("the stream broke")
        };
        let Some(last_id) = progress.last_id else {
            return Err(failed("its events have no ids to resume from"));
        };
        if !self.request.state.repeatable {
            return Err(failed("the request is not repeatable"));
        }
        loop {
            if !self.request.context.may_retry(self.tried.len()) {
                return Err(failed("no further attempt is allowed"));
            }
            let entry = self.entry.clone();
            let selected = self
                .request
                .select_for(&entry, &self.tried)
                .map_err(|_| failed("no other replica is usable"))?;
            self.tried.push(selected.upstream.record.id.clone());
            self.request.context.begin_attempt(
                &selected,
                Some(&entry),
                MicroCost::default(),
            );
            match self.reopen(selected, last_id).await {
                Ok(resumed) => {
                    let upstream = self.tried.last();
                    Event::StreamResumed.log(format_args!(
                        "request {} at {:?}",
                        self.request.context.decision.id, upstream
                    ));
                    return Ok(resumed);
                }
                Err(fault) => {
                    self.request.context.end_attempt(fault.attempt_status())
                }
            }
        }
    }

    /// Asks an upstream for the events after `last_id` and waits for the
    /// first.
    async fn reopen(
        &mut self,
        selected: SelectedUpstream,
        last_id: u64,
    ) -> Result<(UpstreamStream, sse::Event), AttemptFault> {
        let mut outgoing =
            self.request.attempt_request(&self.entry, self.tried.len());
        let limit = outgoing.limit;
        // The standard header for resuming an event stream.
        outgoing
            .headers
            .push(Header::new("last-event-id", last_id.to_string()));
        let exchange =
            self.request.context.send_head(&selected, outgoing).await?;
        if exchange.status != 200 {
            return Err(AttemptFault::Broken);
        }
        let mut stream = UpstreamStream::new(exchange, selected);
        let fault = match within(limit, stream.events.next()).await {
            Some(Ok(Some(event))) => return Ok((stream, event)),
            Some(Ok(None)) => AttemptFault::Broken,
            Some(Err(fault)) => fault,
            None => AttemptFault::TimedOut,
        };
        let context = &self.request.context;
        context.record_broken_stream(&stream.selected, fault);
        Err(fault)
    }

    /// Records the token usage; without one from the engine, the number of
    /// events stands for the output tokens.
    fn record_usage(&mut self, progress: &Progress) {
        let chat = &self.request.state.admitted.call.chat;
        let used = progress.used.unwrap_or(TokenUsage {
            input: chat.input_tokens,
            output: progress.events,
        });
        self.request.context.record_usage(&self.entry, used);
    }

    /// Ends the stream with an error event and an aborted connection.
    async fn abort(self, error: Error) {
        let id = &self.request.context.decision.id;
        Event::AnswerBroken.log(format_args!("request {id}: {error}"));
        let data = error_json(&error, Some(id));
        let event = format!("event: error\ndata: {}\n\n", json!(data));
        // If the caller has disconnected too, there is no one to notify.
        let _ = self.sender.send(Ok(Bytes::from(event))).await;
        let _ = self.sender.send(Err(BodyAborted)).await;
        self.request.context.settle_stream(Some(&error));
    }
}

impl Progress {
    /// Records an event that is about to be forwarded; returns false for one
    /// that was forwarded before.
    fn record(&mut self, event: &sse::Event) -> bool {
        if let Some(id) = event.id {
            if self.last_id.is_some_and(|last| id <= last) {
                return false;
            }
            self.last_id = Some(id);
        }
        self.events += 1;
        if let Some(used) = event.token_usage() {
            self.used = Some(used);
        }
        if self.text.len() < RATED_TEXT_LIMIT_BYTES
            && let Some(text) = event.text()
        {
            self.text.push_str(&text);
        }
        true
    }
}
