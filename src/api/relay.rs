//! Relaying a streamed answer, and resuming it when its upstream dies.
//!
//! Events carry numbers. When a stream breaks off, another replica of the
//! same version is asked for what follows the last number that went out.
//! A stream that cannot be resumed ends in an error event and a broken
//! connection, never in the mark of a whole answer.

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
        decision::AttemptEnd,
        dispatch::{AttemptFault, SelectedUpstream, fault_of},
        queue::Pass,
        request::{Planned, Request},
        template::VersionEntry,
    },
    chains::claim::ClaimOutcome,
    error::{Error, ErrorKind},
    event::Event,
    http_client::Exchange,
    id::UpstreamId,
    sse::{self, Splitter},
    task::{self, within},
    unit::MicroCost,
};

/// Parts that wait for a slow caller before the upstream is held back.
const PARTS_WAITING: usize = 32;

/// Longest silence within a stream.
const SILENCE_LIMIT: Duration = Duration::from_secs(30);

/// Bytes of an answer that are kept for its rating.
const RATED_BYTES: usize = 16 * 1024;

/// A stream from one upstream.
struct Source {
    exchange: Exchange,
    splitter: Splitter,
    _chosen: SelectedUpstream,
}

impl Source {
    /// The next event, or `None` when the upstream closed the stream.
    async fn next(&mut self) -> Result<Option<sse::Event>, AttemptFault> {
        loop {
            let ready = self.splitter.next();
            if let Some(event) = ready.map_err(|_| AttemptFault::TooLarge)? {
                return Ok(Some(event));
            }
            let chunk = within(SILENCE_LIMIT, self.exchange.next_chunk());
            match chunk.await {
                None => return Err(AttemptFault::TimedOut),
                Some(Err(error)) => return Err(fault_of(error)),
                Some(Ok(None)) => return Ok(None),
                Some(Ok(Some(bytes))) => self.splitter.push(&bytes),
            }
        }
    }
}

/// What has gone out so far.
#[derive(Default)]
struct Progress {
    last_id: Option<u64>,
    events: u64,
    used: Option<TokenUsage>,
    text: String,
}

/// How relaying one upstream's stream ended.
enum Ended {
    /// The whole answer has gone out, but for its last event.
    Done(sse::Event),
    /// The upstream broke off.
    Broken(AttemptFault),
    /// The caller went away.
    CallerGone,
}

/// Why no stream began.
enum NoStream {
    /// The upstream answered, but not with a stream.
    Answer(Answer),
    /// The request failed.
    Failed(Error),
}

/// Runs a streamed request until its first event, then in the background.
pub(crate) async fn run(mut request: Request<Planned>, pass: Pass) -> Answer {
    let entry = request.state.plan.steps[0].entry.clone();
    let mut pass = Some(pass);
    let mut tried = Vec::new();
    let opened = open(&mut request, &entry, &mut tried, &mut pass).await;
    let (source, first) = match opened {
        Ok(opened) => opened,
        Err(NoStream::Failed(error)) => {
            return request.core.settle(Err(error));
        }
        Err(NoStream::Answer(answer)) => {
            return request.core.settle(Ok(answer));
        }
    };
    let now = request.core.vm.clock.now();
    request.core.first_part_at = Some(now);
    let waited = now.saturating_duration_since(request.core.started);
    request.add_evidence(&entry, false, Some(waited));
    let (sender, receiver) = bounded(PARTS_WAITING);
    let mut headers = vec![
        Header::new("content-type", "text/event-stream"),
        Header::new("cache-control", "no-cache"),
        Header::new(
            "lupinseam-decision",
            request.core.decision.id.to_string(),
        ),
    ];
    headers.extend(request.session_header(&entry));
    let relay = Relay { request, entry, tried, sender };
    task::spawn(relay.run(source, first)).detach();
    Answer::Streamed { headers, body: StreamBody::new(receiver) }
}

/// Opens a stream and waits for its first event.
async fn open(
    request: &mut Request<Planned>,
    entry: &VersionEntry,
    tried: &mut Vec<UpstreamId>,
    pass: &mut Option<Pass>,
) -> Result<(Source, sse::Event), NoStream> {
    let repeatable = request.state.repeatable;
    loop {
        let chosen =
            request.choose_for(entry, tried).map_err(NoStream::Failed)?;
        pass.take();
        tried.push(chosen.upstream.record.id.clone());
        request.core.begin_attempt(&chosen, Some(entry), MicroCost::default());
        let sending = request.sending(entry, tried.len());
        let limit = sending.limit;
        let fault = match request.core.ask(&chosen, sending).await {
            Err(fault) => fault,
            Ok(exchange) if exchange.status != 200 => {
                let answer = refused(request, exchange).await;
                let again = repeatable && is_refusal_to_run(&answer);
                match answer {
                    Some(_)
                        if again && request.core.may_retry(tried.len()) =>
                    {
                        continue;
                    }
                    Some(answer) => return Err(NoStream::Answer(answer)),
                    None => AttemptFault::Broken,
                }
            }
            Ok(exchange) => {
                let mut source = Source {
                    exchange,
                    splitter: Splitter::default(),
                    _chosen: chosen,
                };
                match within(limit, source.next()).await {
                    Some(Ok(Some(first))) => return Ok((source, first)),
                    Some(Ok(None)) => AttemptFault::Broken,
                    Some(Err(fault)) => fault,
                    None => AttemptFault::TimedOut,
                }
            }
        };
        request.core.end_attempt(fault.end());
        request.note_fault(entry, fault);
        request
            .core
            .go_on(fault, repeatable, tried.len())
            .map_err(NoStream::Failed)?;
    }
}

/// Reads an answer that is no stream.
async fn refused(
    request: &mut Request<Planned>,
    exchange: Exchange,
) -> Option<Answer> {
    let limit = request.core.vm.settings.requests.answer_limit_bytes;
    let answer = exchange.read_to_end(limit).await.ok()?;
    let status = answer.status;
    request.core.end_attempt(AttemptEnd::Answered { status });
    let content_type = answer.header("content-type").unwrap_or("text/plain");
    let headers = vec![Header::new("content-type", content_type)];
    Some(Answer::Whole { status, headers, body: answer.body })
}

/// Whether an engine's answer says that it did not take the request.
fn is_refusal_to_run(answer: &Option<Answer>) -> bool {
    matches!(answer, Some(Answer::Whole { status: 503 | 409, .. }))
}

/// A stream on its way to the caller.
struct Relay {
    request: Request<Planned>,
    entry: VersionEntry,
    tried: Vec<UpstreamId>,
    sender: Sender<StreamPart>,
}

impl Relay {
    async fn run(mut self, mut source: Source, first: sse::Event) {
        let mut progress = Progress::default();
        let mut next = Some(first);
        loop {
            let ended = self.pass_on(&mut source, next, &mut progress).await;
            self.note_use(&progress);
            match ended {
                Ended::Done(last) => {
                    drop(source);
                    return self.finish(last, progress).await;
                }
                Ended::CallerGone => {
                    // Dropping the source cancels the work upstream.
                    drop(source);
                    self.request.core.end_attempt(AttemptEnd::Cancelled);
                    let gone = Error::new(ErrorKind::UpstreamFailed)
                        .context("the caller went away");
                    return self.request.core.settle_stream(Some(&gone));
                }
                Ended::Broken(fault) => {
                    self.request.core.end_attempt(fault.end());
                    self.request.note_fault(&self.entry, fault);
                    drop(source);
                }
            }
            match self.resume(&progress).await {
                Ok((resumed, event)) => {
                    source = resumed;
                    next = Some(event);
                }
                Err(error) => return self.break_off(error).await,
            }
        }
    }

    /// Passes events on until the stream ends in one way or another.
    async fn pass_on(
        &self,
        source: &mut Source,
        mut next: Option<sse::Event>,
        progress: &mut Progress,
    ) -> Ended {
        loop {
            let event = match next.take() {
                Some(event) => event,
                None => match source.next().await {
                    Ok(Some(event)) => event,
                    Ok(None) => return Ended::Broken(AttemptFault::Broken),
                    Err(fault) => return Ended::Broken(fault),
                },
            };
            if event.is_done() {
                return Ended::Done(event);
            }
            if !progress.take(&event) {
                continue;
            }
            if self.sender.send(Ok(event.raw)).await.is_err() {
                return Ended::CallerGone;
            }
        }
    }

    /// Sends the last event and settles.
    async fn finish(mut self, last: sse::Event, progress: Progress) {
        let core = &mut self.request.core;
        core.end_attempt(AttemptEnd::Answered { status: 200 });
        core.set_claim_outcome(ClaimOutcome::Ran {
            status: 200,
            content_type: "text/event-stream".to_owned(),
            body: None,
        });
        let sent = async {
            self.sender.send(Ok(last.raw)).await?;
            self.sender.send(Ok(StreamBody::END)).await
        };
        // A caller that left before the last event has still been served.
        let _ = sent.await;
        self.request.learn_sometimes(&self.entry, progress.text);
        self.request.core.settle_stream(None);
    }

    /// Asks another replica of the version for what is missing.
    async fn resume(
        &mut self,
        progress: &Progress,
    ) -> Result<(Source, sse::Event), Error> {
        let failed = |reason: &str| {
            Error::new(ErrorKind::UpstreamFailed)
                .context(reason.to_owned())
                .context("the stream broke off")
        };
        let Some(last_id) = progress.last_id else {
            return Err(failed("its events have no numbers"));
        };
        if !self.request.state.repeatable {
            return Err(failed("the request may not be repeated"));
        }
        loop {
            if !self.request.core.may_retry(self.tried.len()) {
                return Err(failed("no further attempt is allowed"));
            }
            let entry = self.entry.clone();
            let chosen = self
                .request
                .choose_for(&entry, &self.tried)
                .map_err(|_| failed("no other replica is usable"))?;
            self.tried.push(chosen.upstream.record.id.clone());
            self.request.core.begin_attempt(
                &chosen,
                Some(&entry),
                MicroCost::default(),
            );
            match self.reopen(chosen, last_id).await {
                Ok(resumed) => {
                    let upstream = self.tried.last();
                    Event::StreamResumed.log(format_args!(
                        "request {} at {:?}",
                        self.request.core.decision.id, upstream
                    ));
                    return Ok(resumed);
                }
                Err(fault) => self.request.core.end_attempt(fault.end()),
            }
        }
    }

    async fn reopen(
        &mut self,
        chosen: SelectedUpstream,
        last_id: u64,
    ) -> Result<(Source, sse::Event), AttemptFault> {
        let mut sending = self.request.sending(&self.entry, self.tried.len());
        let limit = sending.limit;
        // The header by which event streams are resumed.
        sending
            .headers
            .push(Header::new("last-event-id", last_id.to_string()));
        let exchange = self.request.core.ask(&chosen, sending).await?;
        if exchange.status != 200 {
            return Err(AttemptFault::Broken);
        }
        let splitter = Splitter::default();
        let mut source = Source { exchange, splitter, _chosen: chosen };
        match within(limit, source.next()).await {
            Some(Ok(Some(event))) => Ok((source, event)),
            Some(Ok(None)) => Err(AttemptFault::Broken),
            Some(Err(fault)) => Err(fault),
            None => Err(AttemptFault::TimedOut),
        }
    }

    fn note_use(&mut self, progress: &Progress) {
        let chat = &self.request.state.admitted.call.chat;
        let used = progress.used.unwrap_or(TokenUsage {
            input: chat.input_tokens,
            output: progress.events,
        });
        self.request.core.note_use(&self.entry, used);
    }

    /// Ends the stream visibly broken.
    async fn break_off(self, error: Error) {
        let id = &self.request.core.decision.id;
        Event::AnswerBroken.log(format_args!("request {id}: {error}"));
        let data = error_json(&error, Some(id));
        let event = format!("event: error\ndata: {}\n\n", json!(data));
        // The caller may be gone as well; then nobody needs to know.
        let _ = self.sender.send(Ok(Bytes::from(event))).await;
        let _ = self.sender.send(Err(BodyAborted)).await;
        self.request.core.settle_stream(Some(&error));
    }
}

impl Progress {
    /// Takes in an event; false for one that has gone out before.
    fn take(&mut self, event: &sse::Event) -> bool {
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
        if self.text.len() < RATED_BYTES
            && let Some(text) = event.text()
        {
            self.text.push_str(&text);
        }
        true
    }
}
