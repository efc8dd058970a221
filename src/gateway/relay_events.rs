//! Relays a stream of server-sent events and resumes it at another upstream
//! when it breaks.
//!
//! Only whole events are relayed, each once and in order. When the connection
//! to an upstream breaks or the upstream stays silent, the rest is requested
//! from another one, starting after the last relayed event; the caller sees a
//! single response. If no upstream can continue, the response is aborted so
//! that the caller cannot take it for complete.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_lite::FutureExt;

use crate::{
    clock::BootInstant,
    gateway::{
        forward::{
            Attempt, AttemptError, Job, Reply, ReplyBody,
            SILENCE_CHECK_INTERVAL, UnknownCause,
        },
        trace::{RequestEnd, Trace},
    },
    http_client::Exchange,
    placing::{
        cascade::{NoEscalation, calibration::RatedAnswer},
        health::AttemptOutcome,
        member::Member,
        retry_reason::RetryReason,
    },
    platform::headers::{self, ResponseHead},
    sse::Splitter,
    task,
};

/// Longest silence within a stream before another upstream is asked, as a
/// fraction of the target for the gap between two events.
const STALL_FRACTION: f64 = 0.45;

/// Longest silence within a stream if the route has no such target.
const STALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest prefill backlog of an upstream at which the prefill time of a
/// further prompt is recorded: with more, the time includes the wait for those
/// prefills.
const MAX_OTHER_PREFILL: Duration = Duration::from_millis(20);

/// Silence after which the rest of a stream counts as lost even if its
/// upstream seems healthy.
const MAX_STALL: Duration = Duration::from_millis(2500);

/// The stream ended early and could not be resumed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StreamAborted;

impl std::fmt::Display for StreamAborted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the stream ended early and could not be resumed")
    }
}

impl std::error::Error for StreamAborted {}

/// A stream of events from one upstream.
struct UpstreamStream {
    attempt: Attempt,
    exchange: Exchange,
    events: Splitter,
    /// Whether a whole event has been read.
    has_begun: bool,
}

/// A stream from an upstream whose first events, or its end, have been read.
pub(crate) struct OpenedStream {
    source: UpstreamStream,
    head: Reply,
    first: Bytes,
    last_event: Option<u64>,
    ended: bool,
}

/// What was read from an upstream.
enum StreamRead {
    Events(Bytes),
    End,
}

/// Why nothing more can be read from an upstream.
enum StreamError {
    Broken(String),
    Silent,
}

impl StreamError {
    fn cause(&self) -> UnknownCause {
        match self {
            StreamError::Broken(_) => UnknownCause::Broken,
            StreamError::Silent => UnknownCause::Silent,
        }
    }

    fn reason(&self) -> String {
        match self {
            StreamError::Broken(reason) => reason.clone(),
            StreamError::Silent => String::new(),
        }
    }
}

impl UpstreamStream {
    fn new(attempt: Attempt, exchange: Exchange) -> UpstreamStream {
        let events = Splitter::default();
        UpstreamStream { attempt, exchange, events, has_begun: false }
    }

    /// Returns the next whole events after the event id `last`, and advances
    /// `last`.
    async fn next(
        &mut self,
        job: &Job,
        last: &mut Option<u64>,
        limit: Duration,
    ) -> Result<StreamRead, StreamError> {
        // Only a whole event ends a silence: bytes without one may come for
        // ever.
        let since = job.gateway.clock.now();
        let member = self.attempt.member.clone();
        loop {
            let ready = self.take_events(last)?;
            if !ready.is_empty() {
                self.has_begun = true;
                member.record_activity(job.gateway.clock.now());
                return Ok(StreamRead::Events(ready));
            }
            let read = async {
                let chunk = self.exchange.next_chunk().await;
                chunk.map_err(|error| StreamError::Broken(error.to_string()))
            };
            let silent = async {
                job.wait_for_stall(&member, since, limit).await;
                Err(StreamError::Silent)
            };
            match read.or(silent).await? {
                Some(chunk) => self.events.push(&chunk),
                None if !self.events.is_empty() => {
                    return Err(StreamError::Broken("within an event".into()));
                }
                // An upstream that crashes before the first event closes its
                // connection like one that has no events to send.
                None if !self.exchange.is_framed() && !self.has_begun => {
                    return Err(StreamError::Broken("before an event".into()));
                }
                None => return Ok(StreamRead::End),
            }
        }
    }

    fn take_events(
        &mut self,
        last: &mut Option<u64>,
    ) -> Result<Bytes, StreamError> {
        let mut ready = BytesMut::new();
        loop {
            let next = self.events.next();
            let event = match next {
                Ok(Some(event)) => event,
                Ok(None) => return Ok(ready.freeze()),
                Err(_) => {
                    return Err(StreamError::Broken("event too large".into()));
                }
            };
            if event.is_comment() {
                continue;
            }
            if let Some(id) = event.id {
                if last.is_some_and(|last| id <= last) {
                    continue;
                }
                *last = Some(id);
            }
            ready.extend_from_slice(&event.raw);
        }
    }
}

impl Job {
    /// Waits until a stream from this upstream has been silent since `since`
    /// for so long (`limit` or more) that it is to be resumed elsewhere.
    ///
    /// Whether it can be resumed is checked repeatedly: another upstream may
    /// become available once its backoff or a network partition is over.
    async fn wait_for_stall(
        &self,
        member: &Member,
        since: BootInstant,
        limit: Duration,
    ) {
        loop {
            let now = self.gateway.clock.now();
            let left = self.time_left(now);
            if self.may_resume(now) {
                let max_wait = self.time_left(since).min(MAX_STALL);
                self.wait_for_silence(member, since, Some(limit), max_wait)
                    .await;
                return;
            }
            if left.is_zero() || member.is_superseded() {
                return;
            }
            task::sleep(left.min(SILENCE_CHECK_INTERVAL)).await;
        }
    }

    /// Requests a stream from one upstream and waits for its first events.
    pub(crate) async fn fetch_stream(
        &mut self,
        attempt: Attempt,
        trace: &mut Trace,
    ) -> Result<OpenedStream, AttemptError> {
        let limit = self.head_timeout(&attempt);
        let sent = self.send(&attempt, None, limit, trace).await;
        let (exchange, head) = match sent {
            Ok(sent) => sent,
            Err(error) => {
                self.record_error(&attempt, &error);
                return Err(error);
            }
        };
        // A failure is no answer, whatever its head says.
        if exchange.status == 200
            && let (Some(confidence), Some(model)) =
                (head.confidence, &attempt.model)
        {
            let curve = &self.gateway.settings.confidence_curve;
            let answer = RatedAnswer::new(model.clone(), confidence, curve);
            let now = self.gateway.clock.now();
            let calibration = &self.gateway.calibration;
            calibration.record(&answer, self.dropped.as_ref(), now);
            let mut escalation = self.escalation(&attempt, &answer);
            if escalation.decision.is_ok()
                && !self.try_retry(RetryReason::LargerModel)
            {
                escalation.decision = Err(NoEscalation::NoAttempt);
            }
            trace.record_confidence(confidence, &escalation);
            if let Ok(model) = escalation.decision {
                // The model has read the prompt when the head arrives.
                let waited = now.saturating_duration_since(attempt.began_at);
                self.record_version_answer(
                    &attempt,
                    AttemptOutcome::Success,
                    Some(waited),
                );
                return Err(AttemptError::LowConfidence(model, answer));
            }
        }
        self.open(attempt, exchange, trace).await
    }

    async fn open(
        &mut self,
        attempt: Attempt,
        mut exchange: Exchange,
        trace: &mut Trace,
    ) -> Result<OpenedStream, AttemptError> {
        exchange.allow_end_at_close();
        let status = exchange.status;
        let headers = headers::response_headers(&exchange.headers);
        if status != 200 {
            return Err(self.read_failure(attempt, exchange, headers).await);
        }
        let mut last_event = self.request.last_event;
        let mut source = UpstreamStream::new(attempt, exchange);
        let limit = self.first_event_timeout();
        let read = source.next(self, &mut last_event, limit).await;
        let (first, ended) = match read {
            Ok(StreamRead::Events(first)) => (first, false),
            Ok(StreamRead::End) => (Bytes::new(), true),
            Err(error) => {
                let error =
                    AttemptError::Unknown(error.cause(), error.reason());
                self.record_error(&source.attempt, &error);
                return Err(error);
            }
        };
        let now = self.gateway.clock.now();
        let waited = now.saturating_duration_since(source.attempt.began_at);
        source.attempt.prefill = None;
        self.learn_prefill_time(&source.attempt, waited);
        self.record_attempt(
            &source.attempt,
            AttemptOutcome::Success,
            Some(waited),
        );
        trace.record_body_part();
        let head = Reply {
            status: hyper::StatusCode::OK,
            headers,
            body: ReplyBody::Whole(Bytes::new()),
        };
        Ok(OpenedStream { source, head, first, last_event, ended })
    }

    /// Reads the response of an upstream that did not open a stream.
    async fn read_failure(
        &mut self,
        attempt: Attempt,
        exchange: Exchange,
        headers: hyper::HeaderMap,
    ) -> AttemptError {
        const LIMIT_BYTES: u64 = 1 << 20;
        let status = exchange.status;
        let limit = self.body_timeout(self.gateway.clock.now());
        let read = exchange.read_to_end(LIMIT_BYTES);
        let Some(Ok(answer)) = task::within(limit, read).await else {
            self.record_attempt(&attempt, AttemptOutcome::Lost, None);
            return AttemptError::Unknown(
                UnknownCause::Broken,
                format!("status {status}"),
            );
        };
        if status >= 500 {
            self.record_attempt(&attempt, AttemptOutcome::Failed, None);
        }
        let status = hyper::StatusCode::from_u16(status)
            .unwrap_or(hyper::StatusCode::BAD_GATEWAY);
        let body = ReplyBody::Whole(answer.body);
        AttemptError::Failed(Box::new(Reply { status, headers, body }))
    }

    fn learn_prefill_time(&self, attempt: &Attempt, waited: Duration) {
        let was_idle = attempt.prefill_before < MAX_OTHER_PREFILL;
        if let (true, Some(model)) = (was_idle, &attempt.model) {
            let times = &self.gateway.prefill_times;
            self.learn_prefill_slowness(attempt, model, waited);
            // The speed of a model must not depend on where it was asked.
            let now = self.gateway.clock.now();
            let usual = waited.div_f64(attempt.member.slowness(now));
            times.record(model, attempt.prompt_tokens, usual);
        }
    }

    fn first_event_timeout(&self) -> Duration {
        self.stall_timeout().max(self.route.latency_target)
    }

    fn stall_timeout(&self) -> Duration {
        let target = self.route.event_gap_target;
        target.map_or(STALL_TIMEOUT, |gap| gap.mul_f64(STALL_FRACTION))
    }
}

impl OpenedStream {
    /// Returns the response whose body relays the events as they arrive.
    pub(crate) fn into_reply(self, job: Job, trace: Trace) -> Reply {
        let relay = EventRelay {
            job,
            trace: Some(trace),
            source: Some(self.source),
            first: Some(self.first),
            last_event: self.last_event,
            ended: self.ended,
        };
        Reply { body: ReplyBody::Events(Box::new(relay)), ..self.head }
    }
}

/// Relays a stream to its caller, across the upstreams that it comes from.
pub(crate) struct EventRelay {
    job: Job,
    trace: Option<Trace>,
    source: Option<UpstreamStream>,
    first: Option<Bytes>,
    last_event: Option<u64>,
    ended: bool,
}

impl EventRelay {
    /// Returns the next events, or `None` after the last.
    pub(crate) async fn next(
        &mut self,
    ) -> Result<Option<Bytes>, StreamAborted> {
        if let Some(first) = self.first.take()
            && !first.is_empty()
        {
            return Ok(Some(first));
        }
        loop {
            if self.ended {
                self.finish();
                return Ok(None);
            }
            let limit = self.job.stall_timeout();
            let Some(source) = &mut self.source else {
                return Err(StreamAborted);
            };
            let last = &mut self.last_event;
            match source.next(&self.job, last, limit).await {
                Ok(StreamRead::Events(events)) => {
                    if let Some(trace) = &mut self.trace {
                        trace.record_body_part();
                    }
                    return Ok(Some(events));
                }
                Ok(StreamRead::End) => self.ended = true,
                // No other upstream can continue; this one still may.
                Err(StreamError::Silent) if self.must_keep_waiting() => {}
                Err(error) => self.resume(error).await?,
            }
        }
    }

    fn finish(&mut self) {
        if let Some(source) = self.source.take() {
            self.job.learn_service_time(&source.attempt);
            let is_framed = source.exchange.is_framed();
            self.job.record_completion(&source.attempt, is_framed);
            source.exchange.finish();
        }
        if let Some(mut trace) = self.trace.take() {
            trace.end_attempt("answered", "");
            trace.end(RequestEnd::Answered(200));
        }
    }

    /// Whether to keep waiting for a silent upstream: there is time left, more
    /// may come from it, and no other upstream can take over.
    fn must_keep_waiting(&self) -> bool {
        let now = self.job.gateway.clock.now();
        let is_superseded =
            |source: &UpstreamStream| source.attempt.member.is_superseded();
        now < self.job.deadline
            && !self.source.as_ref().is_none_or(is_superseded)
            && !self.job.may_resume(now)
    }

    /// Resumes the stream at another upstream.
    async fn resume(
        &mut self,
        error: StreamError,
    ) -> Result<(), StreamAborted> {
        let Some(source) = self.source.take() else {
            return Err(StreamAborted);
        };
        let mut reason = error.reason();
        self.job.record_attempt(&source.attempt, AttemptOutcome::Lost, None);
        self.end_attempt(error.cause().label(), &reason);
        // Dropping the connection stops the old upstream before another one
        // continues.
        let model = source.attempt.model.clone();
        drop(source);
        loop {
            let now = self.job.gateway.clock.now();
            if !self.job.may_resume(now) {
                return self.abort(reason);
            }
            // The upstream is chosen before a retry is taken from the budget:
            // without one, the budget is left to other requests.
            let mut attempt = match self.begin_attempt(now) {
                Ok(attempt) => attempt,
                Err(reason) => return self.abort(reason),
            };
            attempt.model.clone_from(&model);
            if !self.job.try_retry(RetryReason::Resumed) {
                self.end_attempt("not_sent", "the retry budget is spent");
                return self.abort(reason);
            }
            match self.try_resume(attempt).await {
                Ok(source) => {
                    self.source = Some(source);
                    return Ok(());
                }
                Err(failure) => reason = failure,
            }
        }
    }

    /// Begins an attempt at the upstream that is to continue the stream.
    fn begin_attempt(&mut self, now: BootInstant) -> Result<Attempt, String> {
        let Some(trace) = &mut self.trace else {
            return Err("ended".to_owned());
        };
        self.job.begin_attempt(trace, now).map_err(|error| error.to_string())
    }

    async fn try_resume(
        &mut self,
        mut attempt: Attempt,
    ) -> Result<UpstreamStream, String> {
        let Some(trace) = &mut self.trace else {
            return Err("ended".to_owned());
        };
        let limit = self.job.head_timeout(&attempt);
        let last = self.last_event;
        let sent = self.job.send(&attempt, last, limit, trace).await;
        let fail = |relay: &mut EventRelay, label, reason: String| {
            relay.end_attempt(label, &reason);
            Err(reason)
        };
        match sent {
            Ok((mut exchange, ResponseHead { .. }))
                if exchange.status == 200 =>
            {
                exchange.allow_end_at_close();
                attempt.prefill = None;
                Ok(UpstreamStream::new(attempt, exchange))
            }
            Ok((exchange, _)) => {
                self.job.record_attempt(
                    &attempt,
                    AttemptOutcome::Failed,
                    None,
                );
                let reason = format!("status {}", exchange.status);
                fail(self, "failed", reason)
            }
            Err(AttemptError::NotRun(label, reason)) => {
                fail(self, label, reason)
            }
            Err(AttemptError::Unknown(cause, reason)) => {
                self.job.record_attempt(&attempt, AttemptOutcome::Lost, None);
                fail(self, cause.label(), reason)
            }
            Err(AttemptError::LowConfidence(..)) => {
                fail(self, "poor", String::new())
            }
            Err(AttemptError::Failed(reply)) => {
                fail(self, "failed", format!("status {}", reply.status))
            }
        }
    }

    fn end_attempt(&mut self, label: &str, reason: &str) {
        if let Some(trace) = &mut self.trace {
            trace.record_digest(self.job.digest());
            trace.end_attempt(label, reason);
        }
    }

    fn abort(&mut self, reason: String) -> Result<(), StreamAborted> {
        if let Some(trace) = self.trace.take() {
            trace.end(RequestEnd::Aborted(reason));
        }
        Err(StreamAborted)
    }
}

/// Turns the relay into the body of an HTTP response. `guard` counts the
/// request as in flight until the body ends.
pub(crate) fn into_body(
    relay: Box<EventRelay>,
    guard: crate::gateway::RequestGuard,
) -> impl futures_lite::Stream<
    Item = Result<hyper::body::Frame<Bytes>, StreamAborted>,
> + Send {
    let state = Some((relay, guard));
    futures_lite::stream::unfold(state, |state| async move {
        let (mut relay, guard) = state?;
        match relay.next().await {
            Ok(Some(events)) => {
                let frame = hyper::body::Frame::data(events);
                Some((Ok(frame), Some((relay, guard))))
            }
            Ok(None) => None,
            Err(broken) => {
                // If the error came in the same poll as the last events, the
                // HTTP library would drop those events unsent.
                futures_lite::future::yield_now().await;
                Some((Err(broken), None))
            }
        }
    })
}
