//! Relays a stream of server-sent events and resumes it at another upstream
//! when it breaks.
//!
//! Only whole events are relayed, each once and in order. When the connection
//! to an upstream breaks or the upstream stays silent, the rest is requested
//! from another one, starting after the last relayed event; the caller sees a
//! single response. A silent upstream is given up only once another one has
//! accepted the rest, since it may still go on. If no upstream can continue,
//! the response is aborted so that the caller cannot take it for complete.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use futures_lite::{FutureExt, future};

use crate::{
    clock::BootInstant,
    gateway::{
        answer_loss::AnswerLoss,
        caller_connection::CallerConnection,
        forward::{
            Answer, Attempt, AttemptError, Job, NoAttempt, PendingHead, Reply,
            SILENCE_CHECK_INTERVAL, SendResult, UnknownCause, silence_limit,
        },
        trace::{EndedTrace, RequestEnd, Trace},
    },
    http_client::Exchange,
    id::ModelId,
    placing::{
        cascade::{NoEscalation, calibration::RatedAnswer},
        health::AttemptOutcome,
        member::Member,
        pool::PickError,
        retry_reason::RetryReason,
    },
    platform::headers,
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
    /// Whether its silence is recorded for the health of the upstream.
    is_lost: bool,
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
        UpstreamStream {
            attempt,
            exchange,
            events: Splitter::default(),
            has_begun: false,
            is_lost: false,
        }
    }

    /// Returns the next whole events after the event id `last`, and advances
    /// `last`. Gives up once the upstream has been silent for too long
    /// (`limit` or more) and another one can be asked.
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
        let silent = async {
            job.wait_for_stall(&member, since, limit).await;
            Err(StreamError::Silent)
        };
        self.read(job, last).or(silent).await
    }

    /// Returns the next whole events after the event id `last`, and advances
    /// `last`.
    async fn read(
        &mut self,
        job: &Job,
        last: &mut Option<u64>,
    ) -> Result<StreamRead, StreamError> {
        loop {
            let ready = self.take_events(last)?;
            if !ready.is_empty() {
                self.has_begun = true;
                let member = &self.attempt.member;
                member.record_activity(job.gateway.clock.now());
                return Ok(StreamRead::Events(ready));
            }
            let chunk = self.exchange.next_chunk().await;
            match chunk.map_err(|e| StreamError::Broken(e.to_string()))? {
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
    /// for so long (`limit` or more) that it is to be resumed elsewhere, and
    /// until another upstream can take it. Returns also when nothing more can
    /// come: at the deadline, or once the upstream has been replaced.
    ///
    /// Whether it can be resumed is checked repeatedly: another upstream may
    /// become available once it has room, or its backoff or a network
    /// partition is over.
    async fn wait_for_stall(
        &self,
        member: &Member,
        since: BootInstant,
        limit: Duration,
    ) {
        loop {
            let now = self.gateway.clock.now();
            let left = self.time_left(now);
            if left.is_zero() || member.is_superseded() {
                return;
            }
            let waited = now.saturating_duration_since(since);
            let max_silence = silence_limit(member, limit, now);
            let pool = &self.gateway.pool;
            let is_stalled = waited >= MAX_STALL
                || pool.seems_dead(member, waited, max_silence, now);
            if is_stalled && self.may_resume(now) && self.can_pick_other(now) {
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
            body: Bytes::new(),
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
        let gateway = self.gateway.clone();
        let read = exchange.read_within(&gateway.memory, LIMIT_BYTES);
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
        let body = answer.body;
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
    pub(crate) fn into_answer(self, job: Job, trace: Trace) -> Answer {
        let relay = EventRelay {
            job,
            trace: Some(trace),
            model: self.source.attempt.model.clone(),
            source: Some(self.source),
            successor: None,
            first: Some(self.first),
            last_event: self.last_event,
            failure: String::new(),
            ended: self.ended,
            ended_trace: None,
        };
        Answer::Events(self.head, Box::new(relay))
    }
}

/// Relays a stream to its caller, across the upstreams that it comes from.
///
/// An upstream that is silent keeps the stream until another one has accepted
/// the rest of it: what it sends meanwhile is relayed. One that goes on before
/// that keeps it.
pub(crate) struct EventRelay {
    job: Job,
    trace: Option<Trace>,
    /// The model that makes the events.
    model: Option<ModelId>,
    /// Where the events come from; `None` once its connection has broken.
    source: Option<UpstreamStream>,
    /// Another upstream that was asked for the rest of the stream.
    successor: Option<Successor>,
    first: Option<Bytes>,
    last_event: Option<u64>,
    /// Why the last upstream that failed did.
    failure: String,
    ended: bool,
    /// The trace, once all events have been read.
    ended_trace: Option<EndedTrace>,
}

/// An upstream that was asked for the rest of a stream and has not accepted it.
struct Successor {
    attempt: Attempt,
    head: PendingHead,
}

/// What comes next from the upstreams of a stream.
enum RelayStep {
    /// Events, their end, or a failure of the source.
    Source(Result<StreamRead, StreamError>),
    /// The successor has responded, or is given up.
    Successor(Box<Option<SendResult>>),
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
            if self.source.is_none() && self.successor.is_none() {
                self.resume().await?;
            }
            match self.step().await {
                RelayStep::Source(Ok(StreamRead::Events(events))) => {
                    // The successor would repeat what has just arrived.
                    self.cancel_successor();
                    if let Some(trace) = &mut self.trace {
                        trace.record_body_part();
                    }
                    return Ok(Some(events));
                }
                RelayStep::Source(Ok(StreamRead::End)) => self.ended = true,
                RelayStep::Source(Err(StreamError::Silent))
                    if self.may_wait() =>
                {
                    // Without a successor, more may still come from here.
                    if self.begin_successor()? {
                        self.record_lost_source();
                    }
                }
                RelayStep::Source(Err(error)) => self.end_source(&error),
                RelayStep::Successor(sent) => self.take_over(*sent),
            }
        }
    }

    async fn step(&mut self) -> RelayStep {
        let EventRelay { job, source, successor, last_event, .. } = self;
        let job: &Job = job;
        // While a successor is asked, silence changes nothing.
        let is_asked = successor.is_some();
        let from_successor = async {
            match successor {
                Some(successor) => {
                    let sent = successor.head.wait(job).await;
                    RelayStep::Successor(Box::new(sent))
                }
                None => future::pending().await,
            }
        };
        let from_source = async {
            match source {
                Some(source) if is_asked => {
                    RelayStep::Source(source.read(job, last_event).await)
                }
                Some(source) => {
                    let limit = job.stall_timeout();
                    let read = source.next(job, last_event, limit).await;
                    RelayStep::Source(read)
                }
                None => future::pending().await,
            }
        };
        from_source.or(from_successor).await
    }

    /// Closes the connection to the successor, which stops it.
    fn cancel_successor(&mut self) {
        let Some(successor) = self.successor.take() else { return };
        self.job.record_arrival(&successor.attempt);
        self.end_attempt(&successor.attempt, "cancelled", "");
        self.keep_version();
    }

    /// Records that the session stays at the version of the source.
    fn keep_version(&self) {
        if let Some(source) = &self.source {
            let software = &source.attempt.member.entry.software;
            let now = self.job.gateway.clock.now();
            drop(self.job.begin_session(software, now));
        }
    }

    fn finish(&mut self) {
        self.cancel_successor();
        if let Some(source) = self.source.take() {
            self.job.learn_service_time(&source.attempt);
            let is_framed = source.exchange.is_framed();
            self.job.record_completion(&source.attempt, is_framed);
            source.exchange.finish();
            if let Some(mut trace) = self.trace.take() {
                trace.end_attempt_of(source.attempt.number, "answered", "");
                self.ended_trace = Some(trace.end(RequestEnd::Answered(200)));
            }
        }
    }

    /// Ends a stream of which the caller has asked for the head alone.
    pub(crate) fn end_at_head(mut self) -> Option<EndedTrace> {
        let trace = self.trace.take();
        trace.map(|trace| trace.end(RequestEnd::Answered(200)))
    }

    /// Whether more may come from a silent upstream.
    fn may_wait(&self) -> bool {
        let now = self.job.gateway.clock.now();
        now < self.job.deadline
            && self
                .source
                .as_ref()
                .is_some_and(|source| !source.attempt.member.is_superseded())
    }

    /// Records that nothing more is expected from the upstream, once.
    fn record_lost_source(&mut self) {
        if let Some(source) = &mut self.source
            && !std::mem::replace(&mut source.is_lost, true)
        {
            let outcome = AttemptOutcome::Lost;
            self.job.record_attempt(&source.attempt, outcome, None);
        }
    }

    /// Gives up the upstream that the events come from. Closing its connection
    /// stops it.
    fn end_source(&mut self, error: &StreamError) {
        self.record_lost_source();
        let Some(source) = self.source.take() else { return };
        self.failure = error.reason();
        let label = error.cause().label();
        self.end_attempt(&source.attempt, label, &error.reason());
    }

    /// Asks another upstream for the rest of a stream that has lost its own,
    /// as soon as one can take it and the retry budget allows it.
    async fn resume(&mut self) -> Result<(), StreamAborted> {
        while !self.begin_successor()? {
            task::sleep(SILENCE_CHECK_INTERVAL).await;
        }
        Ok(())
    }

    /// Asks another upstream for the rest of the stream; returns whether one
    /// was asked.
    ///
    /// # Errors
    ///
    /// [`StreamAborted`] if none may be asked any more and the stream has no
    /// upstream left.
    fn begin_successor(&mut self) -> Result<bool, StreamAborted> {
        let now = self.job.gateway.clock.now();
        let Some(trace) = &mut self.trace else { return Err(StreamAborted) };
        if now >= self.job.deadline || !self.job.may_be_sent_again() {
            return self.abort_without_source();
        }
        if !self.job.gateway.can_retry(&self.job.service) {
            return Ok(false);
        }
        // The upstream is chosen before a retry is taken from the budget:
        // without one, the budget is left to other requests.
        let mut attempt = match self.job.try_begin_attempt(trace, now) {
            Ok(attempt) => attempt,
            Err(NoAttempt::NoUpstream(
                PickError::NoCandidate | PickError::Evacuated,
            )) => return self.abort_without_source(),
            // One may have room, or be over its backoff, before the deadline.
            Err(NoAttempt::NoUpstream(
                PickError::BackingOff(_) | PickError::Cold | PickError::Full,
            )) => return Ok(false),
            Err(NoAttempt::Rejected(error)) => {
                self.failure = error.to_string();
                return self.abort_without_source();
            }
        };
        // The rest must come from the model that has made the events so far.
        attempt.model.clone_from(&self.model);
        if !self.job.try_retry(RetryReason::Resumed) {
            self.end_attempt(
                &attempt,
                "not_sent",
                "the retry budget is spent",
            );
            self.job.tried.pop();
            self.keep_version();
            return Ok(false);
        }
        let limit = self.job.head_timeout(&attempt);
        let head = self.job.begin_send(&attempt, self.last_event, limit);
        self.successor = Some(Successor { attempt, head });
        Ok(true)
    }

    /// Continues the stream at the successor if it has accepted it. Otherwise
    /// the stream stays with its upstream, if it still has one.
    fn take_over(&mut self, sent: Option<SendResult>) {
        let Some(Successor { mut attempt, .. }) = self.successor.take() else {
            return;
        };
        let Some(trace) = &mut self.trace else { return };
        let received = self.job.receive_head(&attempt, sent, trace);
        let (label, reason) = match received {
            Ok((mut exchange, _)) if exchange.status == 200 => {
                self.end_source(&StreamError::Silent);
                exchange.allow_end_at_close();
                attempt.prefill = None;
                self.source = Some(UpstreamStream::new(attempt, exchange));
                return;
            }
            Ok((exchange, _)) => {
                let outcome = AttemptOutcome::Failed;
                self.job.record_attempt(&attempt, outcome, None);
                ("failed", format!("status {}", exchange.status))
            }
            Err(AttemptError::NotRun(label, reason)) => (label, reason),
            Err(AttemptError::Unknown(cause, reason)) => {
                let outcome = AttemptOutcome::Lost;
                self.job.record_attempt(&attempt, outcome, None);
                (cause.label(), reason)
            }
            Err(AttemptError::LowConfidence(..)) => ("poor", String::new()),
            Err(AttemptError::Failed(reply)) => {
                ("failed", format!("status {}", reply.status))
            }
        };
        self.end_attempt(&attempt, label, &reason);
        self.failure = reason;
        self.keep_version();
    }

    fn end_attempt(&mut self, attempt: &Attempt, label: &str, reason: &str) {
        if let Some(trace) = &mut self.trace {
            trace.record_digest(self.job.digest());
            trace.end_attempt_of(attempt.number, label, reason);
        }
    }

    /// Aborts the stream unless it still has an upstream; returns false, since
    /// no other one was asked.
    fn abort_without_source(&mut self) -> Result<bool, StreamAborted> {
        if self.source.is_some() {
            return Ok(false);
        }
        if let Some(trace) = self.trace.take() {
            let now = self.job.gateway.clock.now();
            let loss = match self.job.time_left(now).is_zero() {
                true => AnswerLoss::TimedOut,
                false => AnswerLoss::StreamLost,
            };
            trace.lose(loss, std::mem::take(&mut self.failure));
        }
        Err(StreamAborted)
    }
}

/// Turns the relay into the body of an HTTP response on this connection.
/// `guard` counts the request as in flight until the body ends.
pub(crate) fn into_body(
    relay: Box<EventRelay>,
    guard: crate::gateway::RequestGuard,
    connection: Arc<CallerConnection>,
) -> impl futures_lite::Stream<
    Item = Result<hyper::body::Frame<Bytes>, StreamAborted>,
> + Send {
    let state = Some((relay, guard, connection));
    futures_lite::stream::unfold(state, |state| async move {
        let (mut relay, guard, connection) = state?;
        match relay.next().await {
            Ok(Some(events)) => {
                let frame = hyper::body::Frame::data(events);
                Some((Ok(frame), Some((relay, guard, connection))))
            }
            Ok(None) => {
                if let Some(trace) = relay.ended_trace.take() {
                    connection.record_buffered(trace);
                }
                None
            }
            Err(broken) => {
                // If the error came in the same poll as the last events, the
                // HTTP library would drop those events unsent.
                futures_lite::future::yield_now().await;
                Some((Err(broken), None))
            }
        }
    })
}
