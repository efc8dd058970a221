//! Carrying out a request: attempts at upstreams until one answers.
//!
//! A request that may not be repeated is sent a second time only when the
//! first upstream stated that it did not run, or nothing of it can have
//! arrived. Everything else goes by the route's attempts, the time left and
//! the retry budget.

use std::{
    sync::{Arc, OnceLock},
    time::Duration,
};

use bytes::Bytes;
use futures_lite::FutureExt;
use hyper::{HeaderMap, StatusCode};

use crate::{
    clock::BootInstant,
    crashes::{crash_check, digest::RequestDigest},
    error::{Error, ErrorKind},
    gateway::{
        Gateway,
        inbound::{AttemptHead, Inbound},
        relay_events::EventRelay,
        trace::{End, Trace},
    },
    http_client::{Call, Exchange, Reuse, SendError},
    id::{ModelId, ServiceId, VersionId},
    message::ShortHash,
    placing::{
        admission,
        health::AttemptOutcome,
        member::{Member, PrefillGuard},
        pool::{PickCriteria, PickError, PrefixAffinity},
        upstream::InFlightGuard,
    },
    platform::headers::{self, AnswerHead},
    rollouts::choice::VersionChoice,
    store_sync::route::{Organisation, Repeat, Route},
    task,
};

/// Time left below which no further attempt is made: it could not answer.
const LEAST_LEFT: Duration = Duration::from_millis(5);

/// Largest answer that is held whole.
const ANSWER_LIMIT_BYTES: u64 = 16 << 20;

/// Part of its aim after which a short repeatable request is tried elsewhere.
const RETRY_AFTER_AIM: f64 = 0.6;

/// Wait that is taken, beside the time to read it, for each token of a prompt
/// that need not be read again: reading it holds up what runs beside it and
/// takes memory from other prompts. Measured in `docs/ROUNDS.md`.
const KEPT_TOKEN_WAIT: Duration = Duration::from_micros(300);

/// Part of the aim that this wait may take at most.
const KEPT_PROMPT_WAIT_PART: f64 = 0.25;

/// Time for which an upstream may give no sign of life while it has work.
const SILENCE_LIMIT: Duration = Duration::from_millis(900);

/// Upstreams that a request may fail to reach beyond its attempts.
const UNREACHED: usize = 4;

/// Time for which the head of a stream is waited for whatever is expected.
const HEAD_LEAST: Duration = Duration::from_millis(500);

/// Expected time to read a prompt from which the other VMs are told at once
/// that it is being read: they would send theirs to the same upstream until
/// the next beat says so. On a calm simulated day with six VMs, 4 of 1,253
/// attempts at engines were given up as silent with it, and 60 of 1,298
/// without.
const TOLD_READING: Duration = Duration::from_millis(80);

/// How many times the expected time the head of a stream may take.
const HEAD_FACTOR: f64 = 2.5;

/// Part of the time expected for the prompts it reads that is added to that.
const READING_PART: f64 = 1.5;

/// The most that is added; an upstream that died seems to read for ever.
const READING_PATIENCE_MOST: Duration = Duration::from_millis(2500);

/// Time between two looks at a silent upstream.
pub(crate) const WATCH_PERIOD: Duration = Duration::from_millis(150);

/// Wait that a caller is told when every upstream is cold and has what it
/// bears.
const RETRY_AFTER_COLD: Duration = Duration::from_millis(400);

/// A request on its way.
pub(crate) struct Job {
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) route: Arc<Route>,
    pub(crate) service: ServiceId,
    pub(crate) organisation: Option<Organisation>,
    pub(crate) inbound: Inbound,
    pub(crate) body: Bytes,
    /// When the caller, or the operator's limit, gives up.
    pub(crate) deadline: BootInstant,
    pub(crate) started_at: BootInstant,
    /// The model to ask, where the caller leaves the choice.
    pub(crate) model: Option<ModelId>,
    /// Lives of upstreams that were asked.
    pub(crate) tried: Vec<ShortHash>,
    /// Upstreams that the request was sent to, of those.
    pub(crate) sent: u32,
    /// Whether it may have run anywhere.
    pub(crate) may_have_run: bool,
    /// What it is known again by, once that was asked.
    pub(crate) digest: OnceLock<RequestDigest>,
}

/// An answer to a caller.
pub(crate) struct Reply {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: ReplyBody,
}

/// The body of an answer.
pub(crate) enum ReplyBody {
    /// All of it.
    Whole(Bytes),
    /// Events as they come.
    Events(Box<EventRelay>),
}

/// An upstream that an attempt goes to, counted as busy with it.
pub(crate) struct Attempt {
    pub(crate) member: Arc<Member>,
    pub(crate) model: Option<ModelId>,
    pub(crate) began_at: BootInstant,
    /// What was being read there before.
    pub(crate) read_before: Duration,
    /// The most that may have been read there before.
    pub(crate) read_most: Duration,
    /// Requests for each slot there before.
    pub(crate) fill_before: f64,
    /// Tokens of the prompt.
    pub(crate) tokens: u64,
    /// The time expected until they are read.
    pub(crate) expected: Duration,
    /// Held until the first event is here.
    pub(crate) reading: Option<PrefillGuard>,
    _in_flight: InFlightGuard,
    _session: Option<SessionUse>,
}

/// An attempt of a session, which counts as under way while it lives.
struct SessionUse {
    gateway: Arc<Gateway>,
    service: ServiceId,
    session: String,
}

impl Drop for SessionUse {
    fn drop(&mut self) {
        let now = self.gateway.clock.now();
        let rollouts = &self.gateway.rollouts;
        rollouts.end_session(&self.service, &self.session, now);
    }
}

/// Why an attempt brought no answer that ends the request.
pub(crate) enum Fault {
    /// It did not run there.
    NotRun(&'static str, String),
    /// It may have run there.
    Unknown(&'static str, String),
    /// It ran and failed; this is the upstream's own answer.
    Failed(Box<Reply>),
    /// A larger model is to be asked.
    Poor(ModelId),
}

impl Fault {
    /// What it says of the upstream, if that is to blame.
    pub(crate) fn verdict(&self) -> Option<AttemptOutcome> {
        match self {
            Fault::NotRun(..) | Fault::Poor(_) => None,
            Fault::Unknown(..) => Some(AttemptOutcome::Lost),
            Fault::Failed(_) => Some(AttemptOutcome::Failed),
        }
    }
}

impl Job {
    /// Carries the request out.
    pub(crate) async fn run(mut self, mut trace: Trace) -> Reply {
        self.gateway.count_request(&self.service);
        loop {
            let now = self.gateway.clock.now();
            if self.left(now) < LEAST_LEFT {
                return self.refuse(trace, ErrorKind::DeadlineExceeded, "");
            }
            let attempt = match self.begin(&mut trace, now) {
                Ok(attempt) => attempt,
                Err(error) => return self.refuse_with(trace, error),
            };
            let fault = match self.route.is_stream {
                true => match self.ask_stream(attempt, &mut trace).await {
                    Ok(opened) => return opened.into_reply(self, trace),
                    Err(fault) => fault,
                },
                false => match self.ask_whole(&attempt, &mut trace).await {
                    Ok(reply) => {
                        trace.end(End::Answered(reply.status.as_u16()));
                        return reply;
                    }
                    Err(fault) => {
                        if let Some(verdict) = fault.verdict() {
                            self.judge(&attempt, verdict, None);
                        }
                        fault
                    }
                },
            };
            if let Err(reply) = self.go_on(fault, &mut trace) {
                return self.end_with(reply, trace);
            }
        }
    }

    /// What the request is known again by.
    pub(crate) fn digest(&self) -> RequestDigest {
        *self.digest.get_or_init(|| {
            let inbound = &self.inbound;
            let organisation = self.organisation.as_ref();
            RequestDigest::of(
                inbound.method.as_str(),
                &inbound.path,
                organisation.map(|o| &o.id),
                &self.body,
            )
        })
    }

    /// The time left at `now`.
    pub(crate) fn left(&self, now: BootInstant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    fn version_choice(&self, now: BootInstant) -> VersionChoice {
        let session = self.inbound.session.as_deref();
        let id = &self.inbound.id;
        self.gateway.rollouts.choose_version(&self.service, session, id, now)
    }

    /// What the request asks of the choice among those not `tried`.
    fn want<'a>(
        &self,
        version: &'a VersionChoice,
        tried: &'a [ShortHash],
    ) -> PickCriteria<'a> {
        let takes = self.gateway.service_times.of(&self.service);
        PickCriteria {
            rule: version.rule.clone(),
            affinity: self.shared_prompt(),
            withdrawn: &version.withdrawn,
            tried,
            max_utilization: admission::utilization_limit(
                self.route.latency_target,
                takes,
            ),
        }
    }

    /// Whether there is an upstream for another attempt, be it the one that
    /// was asked last.
    pub(crate) fn can_ask_again(&self, now: BootInstant) -> bool {
        let tried = self.tried.split_last().map_or(&[][..], |(_, rest)| rest);
        let version = self.version_choice(now);
        let want = self.want(&version, tried);
        self.gateway.pool.can_pick(&self.service, &want, now)
    }

    /// Chooses an upstream and counts it as busy.
    pub(crate) fn begin(
        &mut self,
        trace: &mut Trace,
        now: BootInstant,
    ) -> Result<Attempt, Error> {
        self.check_not_held()?;
        let version = self.version_choice(now);
        let want = self.want(&version, &self.tried);
        let picked = self.gateway.pool.pick(&self.service, &want, now);
        let member = picked.map_err(|no_member| match no_member {
            PickError::NoCandidate => Error::new(ErrorKind::NoUpstream)
                .context(format!("no upstream of {}", self.service)),
            PickError::Evacuated => Error::new(ErrorKind::NoUpstream)
                .context(format!("all of {} is evacuated", self.service)),
            PickError::BackingOff(left) => self.all_backing_off(left),
            PickError::Cold => Error::new(ErrorKind::Overloaded)
                .context(format!("all of {} is cold", self.service))
                .with_retry_after(RETRY_AFTER_COLD),
            PickError::Full => Error::new(ErrorKind::Overloaded)
                .context(format!("{} is full", self.service))
                .with_retry_after(admission::retry_after(
                    self.gateway.service_times.of(&self.service),
                    rand::random(),
                )),
        })?;
        let model = self.model.clone();
        trace.begin(&member, model.clone(), now);
        trace.note_version(&version);
        self.tried.push(member.upstream.short_hash);
        let session = self.use_session(&member.entry.software, now);
        let tokens = self.inbound.prompt_tokens.unwrap_or(0);
        let read_before = member.prefill_backlog(now);
        let read_most = member.max_prefill_backlog(now);
        let fill_before = member.utilization(now);
        let times = &self.gateway.read_times;
        let expected = times.expected(model.as_ref(), tokens);
        let reading = (tokens > 0).then(|| member.begin_prefill(expected));
        if reading.is_some() {
            self.gateway.pool.record_expected_prefill(expected);
        }
        if reading.is_some() && expected >= TOLD_READING {
            self.gateway.early_heartbeat.wake();
        }
        Ok(Attempt {
            _in_flight: member.upstream.begin(),
            _session: session,
            member,
            model,
            began_at: now,
            read_before,
            read_most,
            fill_before,
            tokens,
            expected,
            reading,
        })
    }

    /// The refusal while all upstreams have asked for fewer requests and none
    /// may get one, for this time yet.
    fn all_backing_off(&self, left: Duration) -> Error {
        Error::new(ErrorKind::Overloaded)
            .context(format!(
                "all of {} have asked for fewer requests",
                self.service
            ))
            .with_retry_after(admission::retry_after_backoff(
                left,
                rand::random(),
            ))
    }

    /// Whoever runs this request ends, and all that runs there with it; each
    /// VM and each new try would begin at zero without this.
    fn check_not_held(&self) -> Result<(), Error> {
        let crashes = &self.gateway.crashes;
        if !crashes.has_quarantined() {
            return Ok(());
        }
        let digest = self.digest();
        if !crashes.is_quarantined(digest, self.gateway.clock.now()) {
            return Ok(());
        }
        Err(Error::new(ErrorKind::CrashesUpstreams)
            .context(format!("upstreams have ended under request {digest}")))
    }

    /// Notes that an upstream ran the request to its end.
    pub(crate) fn note_ran_whole(&self) {
        let now = self.gateway.clock.now();
        let crashes = &self.gateway.crashes;
        let changes = crashes.record_completed(self.digest(), now);
        self.gateway.note_crash_changes(&changes);
    }

    /// Notes that an attempt of the request's session goes to a version.
    fn use_session(
        &self,
        software: &VersionId,
        now: BootInstant,
    ) -> Option<SessionUse> {
        let session = self.inbound.session.clone()?;
        let (gateway, service) = (self.gateway.clone(), self.service.clone());
        gateway.rollouts.begin_session(&service, &session, software, now);
        Some(SessionUse { gateway, service, session })
    }

    /// The part of the prompt that is shared with most later requests.
    fn shared_prompt(&self) -> Option<PrefixAffinity> {
        let parts = &self.inbound.prompt;
        let (_, shared) = parts.split_last()?;
        let prefix_hash = shared.last()?.id;
        let tokens = shared.iter().map(|part| part.tokens).sum();
        let times = &self.gateway.read_times;
        let saved = times.expected(self.model.as_ref(), tokens);
        let count = u32::try_from(tokens).unwrap_or(u32::MAX);
        let most = self.route.latency_target.mul_f64(KEPT_PROMPT_WAIT_PART);
        let spared = KEPT_TOKEN_WAIT.saturating_mul(count).min(most);
        Some(PrefixAffinity { prefix_hash, cache_miss_cost: saved + spared })
    }

    fn urgency(&self) -> u8 {
        let organisation = self.organisation.as_ref();
        let own = organisation.and_then(|o| o.priority);
        own.unwrap_or(self.route.priority).min(9)
    }

    /// The call that an attempt makes.
    pub(crate) fn call(
        &self,
        attempt: &Attempt,
        resume_after: Option<u64>,
    ) -> Call {
        let organisation = self.organisation.as_ref();
        let head = AttemptHead {
            time_left: self.left(self.gateway.clock.now()),
            upstream: &attempt.member.entry.id,
            organisation: organisation.map(|o| &o.id),
            model: attempt.model.as_ref(),
            resume_after,
            urgency: self.route.is_stream.then(|| self.urgency()),
        };
        let mut call = Call::new(
            attempt.member.entry.address,
            self.inbound.method.clone(),
            self.inbound.path.clone(),
        );
        call.headers = headers::write_attempt(&self.inbound, &head);
        call.body = self.body.clone();
        call
    }

    /// Sends an attempt and waits for the head of its answer.
    pub(crate) async fn send(
        &mut self,
        attempt: &Attempt,
        resume_after: Option<u64>,
        limit: Duration,
        trace: &mut Trace,
    ) -> Result<(Exchange, AnswerHead), Fault> {
        let reuse = match self.route.repeat {
            Repeat::Any => Reuse::Pooled,
            // On a connection of its own, a failure to connect is known to
            // come before the first byte.
            Repeat::Never => Reuse::Fresh,
        };
        let call = self.call(attempt, resume_after);
        let http = self.gateway.http.clone();
        let can_try_again = self.can_try_again();
        let answered = async {
            let sent = http.send(call, reuse).await;
            sent.map_err(Some)
        };
        let silent = async {
            let (member, since) = (&attempt.member, attempt.began_at);
            let least = can_try_again.then_some(SILENCE_LIMIT);
            self.watch_silence(member, since, least, limit).await;
            Err(None)
        };
        let sent = answered.or(silent).await;
        let exchange = match sent {
            Ok(exchange) => exchange,
            Err(Some(SendError::NotSent(reason))) => {
                let member = &attempt.member;
                self.gateway
                    .judge_upstream(member, AttemptOutcome::Unreachable);
                return Err(Fault::NotRun("unreachable", reason));
            }
            Err(Some(error)) => {
                self.note_sent();
                return Err(Fault::Unknown("broken", error.to_string()));
            }
            Err(None) => {
                self.note_sent();
                return Err(Fault::Unknown("silent", String::new()));
            }
        };
        self.sent += 1;
        let status = exchange.status;
        let head =
            headers::read_answer(status, &exchange.headers, &self.inbound.id);
        let now = self.gateway.clock.now();
        attempt.member.record_activity(now);
        if let Some(statement) = &head.statement {
            trace.note_statement(statement);
            let gateway = &self.gateway;
            gateway.hear(&attempt.member, statement, attempt.began_at);
        }
        if !head.is_ours && !head.not_run {
            self.may_have_run = true;
            let reason = "the answer belongs to another request".to_owned();
            return Err(Fault::Unknown("foreign", reason));
        }
        if head.not_run {
            return Err(Fault::NotRun("declined", status.to_string()));
        }
        self.may_have_run = true;
        Ok((exchange, head))
    }

    fn note_sent(&mut self) {
        self.sent += 1;
        self.may_have_run = true;
    }

    /// Returns when `most` has passed since `since`, or when the upstream has
    /// given no sign of life for `least`, or for longer while it reads long
    /// prompts. Without `least` its silence is no reason to return.
    pub(crate) async fn watch_silence(
        &self,
        member: &Member,
        since: BootInstant,
        least: Option<Duration>,
        most: Duration,
    ) {
        let gateway = &self.gateway;
        loop {
            let now = gateway.clock.now();
            let waited = now.saturating_duration_since(since);
            if waited >= most || member.is_superseded() {
                return;
            }
            let is_dead = least.is_some_and(|least| {
                let patience = patience(member, least, now);
                gateway.pool.seems_dead(member, waited, patience, now)
            });
            if is_dead {
                return;
            }
            task::sleep((most - waited).min(WATCH_PERIOD)).await;
        }
    }

    async fn ask_whole(
        &mut self,
        attempt: &Attempt,
        trace: &mut Trace,
    ) -> Result<Reply, Fault> {
        let takes = self.gateway.service_times.of(&self.service);
        let line = admission::queue_wait(attempt.fill_before, takes);
        let patience =
            self.route.latency_target.mul_f64(RETRY_AFTER_AIM) + line;
        let limit = self.limit(attempt, patience);
        let (mut exchange, _) = self.send(attempt, None, limit, trace).await?;
        exchange.allow_end_at_close();
        let headers = headers::answer_headers(&exchange.headers);
        let now = self.gateway.clock.now();
        let waited = now.saturating_duration_since(attempt.began_at);
        let body_limit = self.left(now);
        let read = exchange.read_to_end(ANSWER_LIMIT_BYTES);
        let answer = match task::within(body_limit, read).await {
            Some(Ok(answer)) => answer,
            Some(Err(error)) => {
                return Err(Fault::Unknown("broken", error.to_string()));
            }
            None => return Err(Fault::Unknown("silent", String::new())),
        };
        self.note_ran_whole();
        let status = status_of(answer.status)?;
        let body = ReplyBody::Whole(answer.body);
        let reply = Reply { status, headers, body };
        if status.is_server_error() {
            return Err(Fault::Failed(Box::new(reply)));
        }
        trace.part();
        trace.end_attempt("answered", "");
        self.judge(attempt, AttemptOutcome::Success, Some(waited));
        self.learn_service_time(attempt);
        Ok(reply)
    }

    /// Takes in what an attempt took that has just ended well, unless it had
    /// to wait for a slot.
    pub(crate) fn learn_service_time(&self, attempt: &Attempt) {
        if attempt.fill_before < 1.0 {
            let now = self.gateway.clock.now();
            let took = now.saturating_duration_since(attempt.began_at);
            self.gateway.service_times.record(&self.service, took);
        }
    }

    /// How long the head of a stream is waited for before another upstream
    /// is asked, since an answer can get lost although its upstream is well;
    /// where none can be asked, to the end.
    pub(crate) fn head_limit(&self, attempt: &Attempt) -> Duration {
        let busy = attempt.read_most + attempt.expected;
        self.limit(attempt, HEAD_LEAST + busy.mul_f64(HEAD_FACTOR))
    }

    /// How long an attempt's answer is waited for: with patience where another
    /// could be made, else to the end.
    fn limit(&self, attempt: &Attempt, patience: Duration) -> Duration {
        let left = self.left(attempt.began_at);
        match self.can_try_again() {
            true => patience.min(left),
            false => left,
        }
    }

    /// Whether another attempt could be made if the one under way failed.
    pub(crate) fn can_try_again(&self) -> bool {
        self.route.repeat == Repeat::Any
            && self.sent + 1 < self.route.attempts
            && self.gateway.has_retry(&self.service)
            && self.has_other_upstream()
    }

    /// Whether an upstream is left that was not asked and may be: without one,
    /// a silent attempt or stream that is given up ends as a failure, where
    /// waiting may still bring the rest.
    fn has_other_upstream(&self) -> bool {
        let now = self.gateway.clock.now();
        self.gateway.pool.has_untried(&self.service, &self.tried, now)
    }

    /// Whether the rest of a stream that broke off may be asked for.
    pub(crate) fn may_resume(&self, now: BootInstant) -> bool {
        self.route.repeat == Repeat::Any
            && now < self.deadline
            && self.has_attempt()
            && self.has_other_upstream()
    }

    /// Whether the route's attempts and the retry budget leave one more.
    pub(crate) fn has_attempt(&self) -> bool {
        self.sent < self.route.attempts
            && self.gateway.has_retry(&self.service)
    }

    /// Records how the attempt's upstream did.
    pub(crate) fn judge(
        &self,
        attempt: &Attempt,
        verdict: AttemptOutcome,
        first_part: Option<Duration>,
    ) {
        let gateway = &self.gateway;
        let now = gateway.clock.now();
        if verdict == AttemptOutcome::Lost {
            crash_check::record_lost_attempt(
                gateway,
                &attempt.member,
                self.digest(),
                attempt.began_at,
            );
        }
        let says_nothing_of_version = verdict == AttemptOutcome::Failed
            && gateway.pool.is_isolated_failure(&attempt.member, now);
        gateway.judge_upstream(&attempt.member, verdict);
        let ended = attempt.member.is_superseded()
            && verdict != AttemptOutcome::Success;
        if says_nothing_of_version || ended {
            return;
        }
        gateway.rollouts.record_answer(
            &self.service,
            &attempt.member.entry.software,
            &self.route.name,
            verdict,
            first_part,
        );
    }

    /// Decides whether another attempt is made after a fault; if not,
    /// returns what the caller gets.
    fn go_on(
        &mut self,
        fault: Fault,
        trace: &mut Trace,
    ) -> Result<(), Outcome> {
        let (is_repeatable, outcome) = match fault {
            Fault::NotRun(label, reason) => {
                trace.end_attempt(label, &reason);
                (true, Outcome::NotRun(reason))
            }
            Fault::Unknown(label, reason) => {
                trace.note_digest(self.digest());
                trace.end_attempt(label, &reason);
                (self.route.repeat == Repeat::Any, Outcome::Unknown(reason))
            }
            Fault::Poor(model) => {
                trace.end_attempt("poor", "");
                self.model = Some(model);
                self.tried.pop();
                return Ok(());
            }
            Fault::Failed(reply) => {
                let status = reply.status.as_u16();
                trace.end_attempt("failed", &status.to_string());
                (self.route.repeat == Repeat::Any, Outcome::Failed(reply))
            }
        };
        // What reached no upstream is no load on them, and costs no retry.
        let may_go_on = is_repeatable
            && self.sent < self.route.attempts
            && self.tried.len() < self.route.attempts as usize + UNREACHED
            && (self.sent == 0 || self.gateway.try_retry(&self.service));
        if may_go_on { Ok(()) } else { Err(outcome) }
    }

    fn end_with(self, outcome: Outcome, trace: Trace) -> Reply {
        match outcome {
            Outcome::Failed(reply) => {
                trace.end(End::Answered(reply.status.as_u16()));
                *reply
            }
            Outcome::NotRun(reason) => {
                let now = self.gateway.clock.now();
                match self.gateway.pool.service_backoff(&self.service, now) {
                    Some(left) => {
                        let error = self.all_backing_off(left).context(reason);
                        self.refuse_with(trace, error)
                    }
                    None => self.refuse(trace, ErrorKind::Overloaded, &reason),
                }
            }
            Outcome::Unknown(reason) => {
                self.refuse(trace, ErrorKind::UpstreamFailed, &reason)
            }
        }
    }

    fn refuse(self, trace: Trace, kind: ErrorKind, reason: &str) -> Reply {
        let error = Error::new(kind).context(reason.to_owned());
        self.refuse_with(trace, error)
    }

    /// The router's own answer; one that promises that the request did not
    /// run is given only when that is so.
    fn refuse_with(self, trace: Trace, error: Error) -> Reply {
        let promises = error.kind().answer().run == crate::error::Run::NotRun;
        let error = match promises && self.may_have_run {
            true => Error::new(ErrorKind::UpstreamFailed)
                .context(error.to_string()),
            false => error,
        };
        refuse(&self.inbound.id, trace, &error)
    }
}

/// How long an upstream may give no sign of life: longer while it reads long
/// prompts, since nothing else comes meanwhile.
fn patience(member: &Member, least: Duration, now: BootInstant) -> Duration {
    let reading = member.max_prefill_backlog(now).mul_f64(READING_PART);
    least + reading.min(READING_PATIENCE_MOST)
}

/// How a request ends when no attempt brought an answer.
enum Outcome {
    NotRun(String),
    Unknown(String),
    Failed(Box<Reply>),
}

fn status_of(status: u16) -> Result<StatusCode, Fault> {
    StatusCode::from_u16(status)
        .map_err(|error| Fault::Unknown("broken", error.to_string()))
}

/// The router's own answer to a request.
pub(crate) fn refuse(id: &str, trace: Trace, error: &Error) -> Reply {
    let answer = error.kind().answer();
    trace.end(End::Refused(answer.status, answer.code, error.to_string()));
    let mut headers = headers::own_answer_headers(id);
    if let Some(wait) = error.retry_after() {
        let wait_s = format!("{:.3}", wait.as_secs_f64());
        if let Ok(value) = wait_s.parse() {
            headers.insert(hyper::header::RETRY_AFTER, value);
        }
    }
    let body = crate::answer::error_json(error, None).to_string();
    headers.insert(
        hyper::header::CONTENT_TYPE,
        hyper::header::HeaderValue::from_static("application/json"),
    );
    Reply {
        status: StatusCode::from_u16(answer.status)
            .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR),
        headers,
        body: ReplyBody::Whole(Bytes::from(body)),
    }
}
