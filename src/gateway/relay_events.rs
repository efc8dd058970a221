//! Relaying a stream of events, resumed at another upstream when it breaks.
//!
//! Only whole events go out, each once and in order. When an upstream breaks
//! off or falls silent, the rest is asked for after the last event that went
//! out; the caller sees one answer. If nobody can go on, the answer is cut
//! so that it cannot be taken for whole.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_lite::FutureExt;

use crate::{
    clock::BootInstant,
    gateway::{
        forward::{Attempt, Fault, Job, Reply, ReplyBody, WATCH_PERIOD},
        trace::{End, Trace},
    },
    http_client::Exchange,
    id::ModelId,
    placing::{
        cascade::{EscalationInput, NoEscalation, escalation_target},
        health::AttemptOutcome,
        member::Member,
    },
    platform::headers::{self, AnswerHead},
    sse::Splitter,
    task,
    unit::Percent,
};

/// Longest silence within a stream before another upstream is asked, as a
/// part of the pause that is still in time.
const PAUSE_PART: f64 = 0.45;

/// The same where the route states no pause.
const PAUSE_LIMIT: Duration = Duration::from_secs(2);

/// Reading that may be under way at an upstream while the time of another
/// prompt is still worth learning from.
const FREE_READING: Duration = Duration::from_millis(20);

/// Silence after which the rest of a stream counts as lost although its
/// upstream is well.
const LOST_AFTER: Duration = Duration::from_millis(2500);

/// The stream broke off for good.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BodyAborted;

impl std::fmt::Display for BodyAborted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the stream broke off")
    }
}

impl std::error::Error for BodyAborted {}

/// A stream from one upstream.
struct Source {
    attempt: Attempt,
    exchange: Exchange,
    events: Splitter,
}

/// A stream whose first events are here.
pub(crate) struct Opened {
    source: Source,
    head: Reply,
    first: Bytes,
    last_event: Option<u64>,
    ended: bool,
}

/// What a source brought.
enum Brought {
    Events(Bytes),
    End,
}

/// Why a source brings nothing more.
enum Stop {
    Broken(String),
    Silent,
}

impl Stop {
    fn label(&self) -> &'static str {
        match self {
            Stop::Broken(_) => "broken",
            Stop::Silent => "silent",
        }
    }

    fn reason(&self) -> String {
        match self {
            Stop::Broken(reason) => reason.clone(),
            Stop::Silent => String::new(),
        }
    }
}

impl Source {
    /// The next whole events after `last`, which is moved on.
    async fn next(
        &mut self,
        job: &Job,
        last: &mut Option<u64>,
        limit: Duration,
    ) -> Result<Brought, Stop> {
        loop {
            let ready = self.take_events(last)?;
            if !ready.is_empty() {
                return Ok(Brought::Events(ready));
            }
            let member = self.attempt.member.clone();
            let read = async {
                let chunk = self.exchange.next_chunk().await;
                chunk.map_err(|error| Stop::Broken(error.to_string()))
            };
            let silent = async {
                job.watch_stream(&member, limit).await;
                Err(Stop::Silent)
            };
            match read.or(silent).await? {
                Some(chunk) => {
                    self.events.push(&chunk);
                    member.record_activity(job.gateway.clock.now());
                }
                None if self.events.is_empty() => return Ok(Brought::End),
                None => {
                    return Err(Stop::Broken("within an event".into()));
                }
            }
        }
    }

    fn take_events(&mut self, last: &mut Option<u64>) -> Result<Bytes, Stop> {
        let mut ready = BytesMut::new();
        loop {
            let next = self.events.next();
            let event = match next {
                Ok(Some(event)) => event,
                Ok(None) => return Ok(ready.freeze()),
                Err(_) => return Err(Stop::Broken("event too large".into())),
            };
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
    /// Returns when a stream from this upstream, which has been silent for
    /// `limit` or longer, is to be asked for elsewhere.
    ///
    /// Whether that is possible is looked at again and again: an upstream may
    /// be left only once a rest or a cut is over.
    async fn watch_stream(&self, member: &Member, limit: Duration) {
        let since = self.gateway.clock.now();
        loop {
            let now = self.gateway.clock.now();
            let left = self.left(now);
            if self.may_resume(now) {
                let most = self.left(since).min(LOST_AFTER);
                self.watch_silence(member, since, Some(limit), most).await;
                return;
            }
            if left.is_zero() || member.is_superseded() {
                return;
            }
            task::sleep(left.min(WATCH_PERIOD)).await;
        }
    }

    /// Asks one upstream for a stream, up to its first events.
    pub(crate) async fn ask_stream(
        &mut self,
        attempt: Attempt,
        trace: &mut Trace,
    ) -> Result<Opened, Fault> {
        let limit = self.head_limit(&attempt);
        let sent = self.send(&attempt, None, limit, trace).await;
        let (exchange, head) = match sent {
            Ok(sent) => sent,
            Err(fault) => {
                if let Some(verdict) = fault.verdict() {
                    self.judge(&attempt, verdict, None);
                }
                return Err(fault);
            }
        };
        if let (Some(confidence), Some(model)) =
            (head.confidence, &attempt.model)
        {
            let larger = self.larger(&attempt, model, confidence);
            trace.note_confidence(confidence, larger.as_ref().err().copied());
            if let Ok(model) = larger
                && self.gateway.try_retry(&self.service)
            {
                return Err(Fault::Poor(model));
            }
        }
        self.open(attempt, exchange, trace).await
    }

    /// The larger model to ask instead of the one that has answered.
    fn larger(
        &self,
        attempt: &Attempt,
        model: &ModelId,
        confidence: Percent,
    ) -> Result<ModelId, NoEscalation> {
        let now = self.gateway.clock.now();
        let doubt = EscalationInput {
            route: &self.route,
            model,
            confidence,
            started_at: self.started_at,
            has_attempt: self.has_attempt(),
            tokens: attempt.tokens,
        };
        let times = &self.gateway.read_times;
        let larger =
            escalation_target(&doubt, times, attempt.read_before, now)?;
        // An answer that is at hand is better than one that nobody gives.
        match self.can_ask_again(now) {
            true => Ok(larger),
            false => Err(NoEscalation::NoUpstream),
        }
    }

    async fn open(
        &mut self,
        attempt: Attempt,
        mut exchange: Exchange,
        trace: &mut Trace,
    ) -> Result<Opened, Fault> {
        exchange.allow_end_at_close();
        let status = exchange.status;
        let headers = headers::answer_headers(&exchange.headers);
        if status != 200 {
            return Err(self.failed(attempt, exchange, headers).await);
        }
        let mut last_event = self.inbound.last_event;
        let mut source =
            Source { attempt, exchange, events: Splitter::default() };
        let limit = self.first_limit();
        let brought = source.next(self, &mut last_event, limit).await;
        let (first, ended) = match brought {
            Ok(Brought::Events(first)) => (first, false),
            Ok(Brought::End) => (Bytes::new(), true),
            Err(stop) => {
                self.judge(&source.attempt, AttemptOutcome::Lost, None);
                return Err(Fault::Unknown(stop.label(), stop.reason()));
            }
        };
        let now = self.gateway.clock.now();
        let waited = now.saturating_duration_since(source.attempt.began_at);
        source.attempt.reading = None;
        self.learn_read_time(&source.attempt, waited);
        self.judge(&source.attempt, AttemptOutcome::Success, Some(waited));
        trace.part();
        let head = Reply {
            status: hyper::StatusCode::OK,
            headers,
            body: ReplyBody::Whole(Bytes::new()),
        };
        Ok(Opened { source, head, first, last_event, ended })
    }

    /// Reads the answer of an upstream that did not open a stream.
    async fn failed(
        &mut self,
        attempt: Attempt,
        exchange: Exchange,
        headers: hyper::HeaderMap,
    ) -> Fault {
        const LIMIT_BYTES: u64 = 1 << 20;
        let status = exchange.status;
        let left = self.left(self.gateway.clock.now());
        let read = exchange.read_to_end(LIMIT_BYTES);
        let Some(Ok(answer)) = task::within(left, read).await else {
            self.judge(&attempt, AttemptOutcome::Lost, None);
            return Fault::Unknown("broken", format!("status {status}"));
        };
        if status >= 500 {
            self.judge(&attempt, AttemptOutcome::Failed, None);
        }
        let status = hyper::StatusCode::from_u16(status)
            .unwrap_or(hyper::StatusCode::BAD_GATEWAY);
        let body = ReplyBody::Whole(answer.body);
        Fault::Failed(Box::new(Reply { status, headers, body }))
    }

    fn learn_read_time(&self, attempt: &Attempt, waited: Duration) {
        let was_free = attempt.read_before < FREE_READING;
        if let (true, Some(model)) = (was_free, &attempt.model) {
            let times = &self.gateway.read_times;
            times.record(model, attempt.tokens, waited);
        }
    }

    fn first_limit(&self) -> Duration {
        self.pause_limit().max(self.route.latency_target)
    }

    fn pause_limit(&self) -> Duration {
        let aim = self.route.event_gap_target;
        aim.map_or(PAUSE_LIMIT, |pause| pause.mul_f64(PAUSE_PART))
    }
}

impl Opened {
    /// The answer that goes on as its events come.
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

/// A stream on its way to its caller.
pub(crate) struct EventRelay {
    job: Job,
    trace: Option<Trace>,
    source: Option<Source>,
    first: Option<Bytes>,
    last_event: Option<u64>,
    ended: bool,
}

impl EventRelay {
    /// The next events, or `None` after the last.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, BodyAborted> {
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
            let limit = self.job.pause_limit();
            let Some(source) = &mut self.source else {
                return Err(BodyAborted);
            };
            let last = &mut self.last_event;
            match source.next(&self.job, last, limit).await {
                Ok(Brought::Events(events)) => {
                    if let Some(trace) = &mut self.trace {
                        trace.part();
                    }
                    return Ok(Some(events));
                }
                Ok(Brought::End) => self.ended = true,
                // Nobody else can be asked, and it may still go on.
                Err(Stop::Silent) if self.must_wait() => {}
                Err(stop) => self.resume(stop).await?,
            }
        }
    }

    fn finish(&mut self) {
        if let Some(source) = self.source.take() {
            self.job.learn_service_time(&source.attempt);
            self.job.note_ran_whole();
            source.exchange.finish();
        }
        if let Some(mut trace) = self.trace.take() {
            trace.end_attempt("answered", "");
            trace.end(End::Answered(200));
        }
    }

    /// Whether a silent source is all there is, more may come from it, and
    /// there is time left.
    fn must_wait(&self) -> bool {
        let now = self.job.gateway.clock.now();
        let is_over = |source: &Source| source.attempt.member.is_superseded();
        now < self.job.deadline
            && !self.source.as_ref().is_none_or(is_over)
            && !self.job.may_resume(now)
    }

    /// Asks another upstream for the rest.
    async fn resume(&mut self, stop: Stop) -> Result<(), BodyAborted> {
        let Some(source) = self.source.take() else {
            return Err(BodyAborted);
        };
        let mut reason = stop.reason();
        self.job.judge(&source.attempt, AttemptOutcome::Lost, None);
        self.note_end(stop.label(), &reason);
        // The upstream that is given up must stop before another goes on.
        let model = source.attempt.model.clone();
        drop(source);
        loop {
            let now = self.job.gateway.clock.now();
            if !self.job.may_resume(now) {
                return self.break_off(reason);
            }
            // Where nobody is left to ask, nothing is taken from the budget,
            // which other requests need.
            let mut attempt = match self.begin(now) {
                Ok(attempt) => attempt,
                Err(nobody) => return self.break_off(nobody),
            };
            attempt.model.clone_from(&model);
            if !self.job.gateway.try_retry(&self.job.service) {
                self.note_end("not_sent", "the retry budget is spent");
                return self.break_off(reason);
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

    /// Chooses the upstream that is asked for the rest.
    fn begin(&mut self, now: BootInstant) -> Result<Attempt, String> {
        let Some(trace) = &mut self.trace else {
            return Err("ended".to_owned());
        };
        self.job.begin(trace, now).map_err(|error| error.to_string())
    }

    async fn try_resume(
        &mut self,
        mut attempt: Attempt,
    ) -> Result<Source, String> {
        let Some(trace) = &mut self.trace else {
            return Err("ended".to_owned());
        };
        let limit = self.job.head_limit(&attempt);
        let last = self.last_event;
        let sent = self.job.send(&attempt, last, limit, trace).await;
        let failed = |relay: &mut EventRelay, label, reason: String| {
            relay.note_end(label, &reason);
            Err(reason)
        };
        match sent {
            Ok((mut exchange, AnswerHead { .. }))
                if exchange.status == 200 =>
            {
                exchange.allow_end_at_close();
                attempt.reading = None;
                let events = Splitter::default();
                Ok(Source { attempt, exchange, events })
            }
            Ok((exchange, _)) => {
                self.job.judge(&attempt, AttemptOutcome::Failed, None);
                let reason = format!("status {}", exchange.status);
                failed(self, "failed", reason)
            }
            Err(Fault::NotRun(label, reason)) => failed(self, label, reason),
            Err(Fault::Unknown(label, reason)) => {
                self.job.judge(&attempt, AttemptOutcome::Lost, None);
                failed(self, label, reason)
            }
            Err(Fault::Poor(_)) => failed(self, "poor", String::new()),
            Err(Fault::Failed(reply)) => {
                failed(self, "failed", format!("status {}", reply.status))
            }
        }
    }

    fn note_end(&mut self, label: &str, reason: &str) {
        if let Some(trace) = &mut self.trace {
            trace.note_digest(self.job.digest());
            trace.end_attempt(label, reason);
        }
    }

    fn break_off(&mut self, reason: String) -> Result<(), BodyAborted> {
        if let Some(trace) = self.trace.take() {
            trace.end(End::Broken(reason));
        }
        Err(BodyAborted)
    }
}

/// The relay as a body of an HTTP answer.
pub(crate) fn into_body(
    relay: Box<EventRelay>,
    held: crate::gateway::Held,
) -> impl futures_lite::Stream<
    Item = Result<hyper::body::Frame<Bytes>, BodyAborted>,
> + Send {
    let state = Some((relay, held));
    futures_lite::stream::unfold(state, |state| async move {
        let (mut relay, held) = state?;
        match relay.next().await {
            Ok(Some(events)) => {
                let frame = hyper::body::Frame::data(events);
                Some((Ok(frame), Some((relay, held))))
            }
            Ok(None) => None,
            Err(broken) => {
                // An error in the turn that brought the last events would
                // have the HTTP library drop them unsent.
                futures_lite::future::yield_now().await;
                Some((Err(broken), None))
            }
        }
    })
}
