//! Forwards a request: makes attempts at upstreams until one answers.
//!
//! A request that may not be repeated is sent again only if the first upstream
//! stated that it did not execute it, or if no byte of it can have arrived
//! there. Other retries are limited by the attempts of the route, the time
//! left and the retry budget.

use std::{
    pin::Pin,
    sync::{Arc, OnceLock},
    time::Duration,
};

use bytes::Bytes;
use futures_lite::FutureExt;
use hyper::{HeaderMap, StatusCode};

use crate::{
    clock::BootInstant,
    crashes::{crash_check, subject::Subject},
    error::{Error, ErrorKind},
    gateway::{
        Gateway,
        relay_events::{EventRelay, OpenedStream},
        request_head::{AttemptHead, RequestHead},
        slot_client::{GrantedUpstream, SlotTicket},
        trace::{AttemptNumber, EndedTrace, RequestEnd, Trace},
    },
    http_client::{Call, Exchange, Reuse, SendError},
    id::{ModelId, ServiceId, VersionId},
    message::ShortHash,
    placing::{
        admission,
        cascade::{calibration::RatedAnswer, prefill_times::PrefillTimes},
        event_gap,
        health::AttemptOutcome,
        member::{Member, MemoryGuard, PrefillGuard},
        pool::{PickCriteria, PickError, PrefixAffinity, ServiceLoad},
        retry_reason::RetryReason,
        upstream::InFlightGuard,
    },
    platform::headers::{self, ResponseHead},
    rollouts::{answer_time::AnswerTime, choice::VersionChoice},
    scheduling::{
        organisation_requests::OrganisationGuard,
        organisation_shares::OrganisationShares,
    },
    store_sync::{
        engine::Engine,
        route::{Organisation, Repeat, Route},
    },
    task,
};

/// Minimum time left for another attempt; with less, no answer can arrive
/// before the deadline.
pub(crate) const MIN_TIME_LEFT: Duration = Duration::from_millis(5);

/// Largest response that is buffered whole.
const MAX_RESPONSE_BYTES: u64 = 16 << 20;

/// Fraction of the latency target after which a short repeatable request is
/// retried at another upstream.
const RETRY_AIM_FRACTION: f64 = 0.6;

/// Extra queueing time that is accepted per prompt token that an upstream has
/// cached, on top of the prefill time that the cache saves: a second prefill
/// delays the requests that run beside it and evicts other prompts from the
/// KV cache. `docs/ROUNDS.md` has the figures.
const CACHED_TOKEN_WAIT: Duration = Duration::from_micros(300);

/// Largest fraction of the latency target that this extra wait may take.
const CACHED_PROMPT_WAIT_FRACTION: f64 = 0.25;

/// Time for which an upstream that has work may stay silent before it is
/// taken for dead.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(900);

/// Upstreams that a request may fail to reach in addition to its attempts.
const MAX_CONNECT_FAILURES: usize = 4;

/// Minimum wait for the response head of a stream.
const MIN_HEAD_TIMEOUT: Duration = Duration::from_millis(500);

/// Expected prefill time from which it is announced to the other VMs at once:
/// until the next heartbeat they would send their prompts to the same
/// upstream. On a calm simulated day with six VMs, 4 of 1,253 attempts at
/// engines were given up as silent with this announcement, and 60 of 1,298
/// without it.
const ANNOUNCED_PREFILL_TIME: Duration = Duration::from_millis(80);

/// Factor on the expected prefill time in the wait for the head of a stream.
const HEAD_TIMEOUT_FACTOR: f64 = 2.5;

/// Factor on the prefill time under way at an upstream that is added to its
/// silence timeout.
const PREFILL_PATIENCE_FACTOR: f64 = 1.5;

/// Largest time that is added to the silence timeout: a prefill at an upstream
/// that died never ends.
const MAX_PREFILL_PATIENCE: Duration = Duration::from_millis(2500);

/// Prefill backlog that does not count as a wait for other requests, however
/// short the prompt is.
const MAX_UNCOUNTED_PREFILL: Duration = Duration::from_millis(20);

/// Factor on the usual service time in the wait for the rest of a response.
const BODY_PATIENCE_FACTOR: f64 = 3.0;

/// Interval between two checks of a silent upstream.
pub(crate) const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// `Retry-After` sent when every upstream is warming up and has as many
/// requests as it can take.
const RETRY_AFTER_COLD: Duration = Duration::from_millis(400);

/// A request that is being forwarded.
pub(crate) struct Job {
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) route: Arc<Route>,
    pub(crate) service: ServiceId,
    pub(crate) organisation: Option<Organisation>,
    pub(crate) request: RequestHead,
    pub(crate) body: Bytes,
    /// The deadline of the caller or the time limit of the route, whichever
    /// is earlier.
    pub(crate) deadline: BootInstant,
    pub(crate) started_at: BootInstant,
    /// The model to ask, if the caller leaves the choice to the router.
    pub(crate) model: Option<ModelId>,
    /// The engine that the service runs under the configuration by which
    /// the request was admitted.
    pub(crate) engine: Option<Arc<Engine>>,
    /// The answer of a smaller model that was dropped for the current one.
    pub(crate) dropped: Option<RatedAnswer>,
    /// The upstream incarnations that were chosen for an attempt.
    pub(crate) tried: Vec<ShortHash>,
    /// The number of attempts that may have reached their upstream.
    pub(crate) sent: u32,
    /// Whether any upstream may have executed the request.
    pub(crate) may_have_run: bool,
    /// Whether an attempt is under way of which it is not known yet whether
    /// its upstream has executed the request.
    pub(crate) is_sending: bool,
    /// What a crash under the request may be attributed to; computed on first
    /// use.
    pub(crate) subjects: OnceLock<Vec<Subject>>,
}

/// A response to a caller.
pub(crate) struct Reply {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// What a caller gets.
pub(crate) enum Answer {
    /// A whole response, with the trace of its request.
    Whole(Reply, EndedTrace),
    /// A head, followed by server-sent events, relayed as they arrive.
    Events(Reply, Box<EventRelay>),
}

/// An attempt at one upstream, counted as in flight there while it lives.
pub(crate) struct Attempt {
    pub(crate) member: Arc<Member>,
    pub(crate) model: Option<ModelId>,
    /// Its number in the trace of the request.
    pub(crate) number: AttemptNumber,
    pub(crate) began_at: BootInstant,
    /// Prefill backlog of the upstream when the attempt began.
    pub(crate) prefill_before: Duration,
    /// Upper estimate of that backlog.
    pub(crate) max_prefill_before: Duration,
    /// Requests per slot at the upstream when the attempt began.
    pub(crate) utilization_before: f64,
    /// Tokens of the prompt; 0 if unknown.
    pub(crate) prompt_tokens: u64,
    /// Expected prefill time of the prompt.
    pub(crate) expected_prefill: Duration,
    /// Counts the prefill at the upstream until the first event arrives.
    pub(crate) prefill: Option<PrefillGuard>,
    /// The slot that the coordinator of the service has granted.
    slot: Option<SlotTicket>,
    _in_flight: InFlightGuard,
    _organisation: Option<OrganisationGuard>,
    _memory: Option<MemoryGuard>,
    _session: Option<SessionGuard>,
}

impl Attempt {
    /// Returns a name for the requests whose answers take alike: of the same
    /// route and model.
    fn request_kind(&self, route: &Route) -> String {
        match &self.model {
            Some(model) => format!("{} {model}", route.name),
            None => route.name.clone(),
        }
    }

    /// Returns the time until the first part of the answer, beside the time to
    /// expect.
    fn answer_time(&self, waited: Duration) -> AnswerTime {
        if self.prompt_tokens == 0 {
            return AnswerTime {
                waited,
                expected: Duration::ZERO,
                is_unqueued: self.utilization_before < 1.0,
            };
        }
        let max_queued =
            MAX_UNCOUNTED_PREFILL.max(self.expected_prefill.div_f64(2.0));
        AnswerTime {
            waited,
            // The same at all VMs, which add up their comparisons by model.
            expected: PrefillTimes::unlearned(self.prompt_tokens)
                + self.prefill_before,
            is_unqueued: self.prefill_before <= max_queued,
        }
    }
}

/// An attempt that is sent and whose response head has not arrived. Dropping
/// it closes its connection.
pub(crate) struct PendingHead {
    sending: Pin<Box<dyn Future<Output = SendResult> + Send>>,
    member: Arc<Member>,
    since: BootInstant,
    /// Silence after which the upstream is given up; `None` if no other one
    /// could be asked.
    max_silence: Option<Duration>,
    /// Longest wait since `since`.
    limit: Duration,
}

pub(crate) type SendResult = Result<Exchange, SendError>;

impl PendingHead {
    /// Waits for the head; returns `None` if the upstream is given up before.
    pub(crate) async fn wait(&mut self, job: &Job) -> Option<SendResult> {
        let silent = async {
            job.wait_for_silence(
                &self.member,
                self.since,
                self.max_silence,
                self.limit,
            )
            .await;
            None
        };
        let answered = async { Some(self.sending.as_mut().await) };
        answered.or(silent).await
    }
}

/// Why no attempt begins.
#[derive(Debug)]
pub(crate) enum NoAttempt {
    /// The request may not be sent.
    Rejected(Error),
    /// No upstream may take it from this VM.
    NoUpstream(PickError),
}

impl From<Error> for NoAttempt {
    fn from(error: Error) -> NoAttempt {
        NoAttempt::Rejected(error)
    }
}

/// Marks a session as in use until its attempt ends.
pub(crate) struct SessionGuard {
    gateway: Arc<Gateway>,
    service: ServiceId,
    session: String,
}

impl Drop for SessionGuard {
    fn drop(&mut self) {
        let now = self.gateway.clock.now();
        let rollouts = &self.gateway.rollouts;
        rollouts.end_session(&self.service, &self.session, now);
    }
}

/// Why it is unknown whether an upstream has executed a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UnknownCause {
    /// The connection broke, or what came on it is no response.
    Broken,
    /// The upstream was given up before its response.
    Silent,
    /// The response belongs to another request.
    Foreign,
}

impl UnknownCause {
    /// Returns the label of the attempt's end in the request's line.
    pub(crate) fn label(self) -> &'static str {
        match self {
            UnknownCause::Broken => "broken",
            UnknownCause::Silent => "silent",
            UnknownCause::Foreign => "foreign",
        }
    }
}

/// Why an attempt gave no response for the caller.
pub(crate) enum AttemptError {
    /// The upstream did not execute the request: label and reason.
    NotRun(&'static str, String),
    /// The upstream may have executed the request: cause and reason.
    Unknown(UnknownCause, String),
    /// The upstream executed the request and failed; holds its response.
    Failed(Box<Reply>),
    /// A larger model is worth asking; holds it and the dropped answer.
    LowConfidence(ModelId, RatedAnswer),
}

impl AttemptError {
    /// Returns the outcome to record for the upstream; `None` if it is not at
    /// fault.
    pub(crate) fn outcome(&self) -> Option<AttemptOutcome> {
        match self {
            AttemptError::NotRun(..) | AttemptError::LowConfidence(..) => None,
            AttemptError::Unknown(..) => Some(AttemptOutcome::Lost),
            AttemptError::Failed(_) => Some(AttemptOutcome::Failed),
        }
    }
}

impl Job {
    /// Forwards the request and returns the response for its caller. If this
    /// VM stops before an upstream answers, the response says so.
    pub(crate) async fn run(mut self, mut trace: Trace) -> Answer {
        self.gateway.count_request(&self.service);
        let gateway = self.gateway.clone();
        let forwarding = async { Some(self.forward(&mut trace).await) };
        let stopping = async {
            gateway.answers_due().await;
            None
        };
        match forwarding.or(stopping).await {
            Some(Outcome::Whole(reply)) => {
                let end = RequestEnd::Answered(reply.status.as_u16());
                Answer::Whole(reply, trace.end(end))
            }
            Some(Outcome::Opened(opened)) => opened.into_answer(self, trace),
            Some(Outcome::Rejected(error)) => self.reject_with(trace, error),
            Some(Outcome::Failed(failure)) => self.fail(failure, trace),
            None => {
                self.may_have_run |= self.is_sending;
                self.reject_with(trace, stops_first())
            }
        }
    }

    /// Makes attempts until one gives a response, or none may be made.
    async fn forward(&mut self, trace: &mut Trace) -> Outcome {
        loop {
            if self.gateway.are_answers_due() {
                return Outcome::Rejected(stops_first());
            }
            let now = self.gateway.clock.now();
            if self.time_left(now) < MIN_TIME_LEFT {
                let error = Error::new(ErrorKind::DeadlineExceeded);
                return Outcome::Rejected(error.context(String::new()));
            }
            let granted = match self.acquire_slot(trace).await {
                Ok(granted) => granted,
                Err(error) => return Outcome::Rejected(error),
            };
            // The request may have waited for a slot, which is released with
            // the grant.
            if let Err(error) = self.check_time_to_send() {
                return Outcome::Rejected(error);
            }
            let began = match granted {
                Some(granted) => self.begin_granted(granted, trace),
                None => self.begin_own_or_permitted(trace).await,
            };
            let attempt = match began {
                Ok(attempt) => attempt,
                Err(error) => return Outcome::Rejected(error),
            };
            let error = match self.route.is_stream {
                true => match self.fetch_stream(attempt, trace).await {
                    Ok(opened) => return Outcome::Opened(Box::new(opened)),
                    Err(error) => error,
                },
                false => match self.fetch_whole(&attempt, trace).await {
                    Ok(reply) => return Outcome::Whole(reply),
                    Err(error) => {
                        self.record_error(&attempt, &error);
                        error
                    }
                },
            };
            if let Err(failure) = self.prepare_retry(error, trace) {
                return Outcome::Failed(failure);
            }
        }
    }

    /// Returns what a crash under the request may be attributed to: the whole
    /// request, then the segments of its prompt that others may share.
    pub(crate) fn subjects(&self) -> &[Subject] {
        self.subjects.get_or_init(|| {
            let request = &self.request;
            let organisation = self.organisation.as_ref().map(|o| &o.id);
            let whole = Subject::of_request(
                request.method.as_str(),
                &request.path,
                organisation,
                &self.body,
            );
            let segments = Subject::of_segments(
                &self.service,
                organisation,
                request.shared_segments().iter().map(|segment| segment.id),
            );
            std::iter::once(whole).chain(segments).collect()
        })
    }

    /// Returns the digest that identifies the request when it is sent again.
    pub(crate) fn digest(&self) -> Subject {
        self.subjects()[0]
    }

    /// Returns the time left until the deadline.
    pub(crate) fn time_left(&self, now: BootInstant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    pub(crate) fn version_choice(&self, now: BootInstant) -> VersionChoice {
        let session = self.request.session.as_deref();
        let id = &self.request.id;
        let choice = self.gateway.rollouts.choose_version(
            &self.service,
            &self.route.name,
            session,
            id,
            now,
        );
        match self.gateway.pool.recent_version(&self.service, now) {
            Some(recent) => choice.without_unordered(recent),
            None => choice,
        }
    }

    /// Builds the criteria for choosing an upstream that is not in `tried`.
    pub(crate) fn pick_criteria<'a>(
        &self,
        version: &'a VersionChoice,
        tried: &'a [ShortHash],
    ) -> PickCriteria<'a> {
        let service_time = self.gateway.service_times.of(&self.service);
        PickCriteria {
            rule: version.rule.clone(),
            affinity: self.prefix_affinity(),
            own_prefill: self.expected_uncached_prefill(),
            prefix_prefill: self.expected_shared_prefill(),
            event_gap_target: self.event_gap_target(),
            memory: self.memory_need(),
            withdrawn: &version.withdrawn,
            tried,
            max_utilization: admission::utilization_limit(
                self.route.latency_target,
                service_time,
            ),
        }
    }

    /// Returns the upstreams that were chosen before the current attempt.
    fn tried_before(&self) -> &[ShortHash] {
        self.tried.split_last().map_or(&[], |(_, before)| before)
    }

    /// Whether an upstream is available for another attempt; the one that was
    /// asked last counts as well.
    pub(crate) fn has_upstream_for_retry(&self, now: BootInstant) -> bool {
        let version = self.version_choice(now);
        let criteria = self.pick_criteria(&version, self.tried_before());
        self.gateway.pool.can_pick(&self.service, &criteria, now)
    }

    /// Returns the load of the upstreams that may take the request.
    pub(crate) fn service_load(&self, now: BootInstant) -> ServiceLoad {
        let version = self.version_choice(now);
        let criteria = self.pick_criteria(&version, &[]);
        self.gateway.pool.service_load(&self.service, &criteria, now)
    }

    /// Chooses an upstream that this VM may send a request to, and begins an
    /// attempt at it.
    pub(crate) fn try_begin_attempt(
        &mut self,
        trace: &mut Trace,
        now: BootInstant,
    ) -> Result<Attempt, NoAttempt> {
        self.check_not_quarantined()?;
        self.check_fits_engine()?;
        let version = self.version_choice(now);
        let criteria = self.pick_criteria(&version, &self.tried);
        self.check_share(&criteria, trace, now)?;
        let picked = self.gateway.pool.pick(&self.service, &criteria, now);
        let member = picked.map_err(NoAttempt::NoUpstream)?;
        Ok(self.begin_attempt_at(member, &version, None, trace, now))
    }

    /// Returns the organisation whose share may limit the next attempt: the
    /// first one of a request. Later ones belong to a request that was
    /// admitted.
    fn limited_organisation(&self) -> Option<&Organisation> {
        let is_first = self.sent == 0 && self.tried.is_empty();
        let is_off = self.gateway.settings.organisation_reserve.is_off();
        self.organisation.as_ref().filter(|_| is_first && !is_off)
    }

    /// Rejects a new request of an organisation that is over its share of a
    /// service that is nearly full. Coordinated services have shares of their
    /// own.
    fn check_share(
        &self,
        criteria: &PickCriteria<'_>,
        trace: &mut Trace,
        now: BootInstant,
    ) -> Result<(), Error> {
        let gateway = &self.gateway;
        let Some(organisation) = self.limited_organisation() else {
            return Ok(());
        };
        let coordination = &gateway.slot_client;
        if !self.route.is_stream
            && coordination.is_coordinated(gateway, &self.service, now)
        {
            return Ok(());
        }
        let reserve = gateway.settings.organisation_reserve;
        let fullness = gateway.pool.fullness(&self.service, criteria, now);
        // Below, no requests are counted.
        let limit = reserve.fullness_limit(rand::random());
        let Some(fullness) = fullness.filter(|full| full.share >= limit)
        else {
            return Ok(());
        };
        let service = ShortHash::of(self.service.as_str());
        let by_organisation =
            gateway.organisation_requests.at_service(service, now);
        let counts: Vec<u32> = by_organisation.values().copied().collect();
        let full_requests =
            f64::from(fullness.slots) * criteria.max_utilization;
        let shares = OrganisationShares::new(&counts, full_requests, reserve);
        let organisation = ShortHash::of(organisation.id.as_str());
        let in_flight =
            by_organisation.get(&organisation).copied().unwrap_or(0);
        if !shares.is_above(in_flight, rand::random()) {
            return Ok(());
        }
        trace.record_over_share(in_flight, shares.level());
        Err(self.full("organisation over its share"))
    }

    /// Begins an attempt at the upstream that the coordinator has granted.
    fn begin_granted(
        &mut self,
        granted: GrantedUpstream,
        trace: &mut Trace,
    ) -> Result<Attempt, Error> {
        self.check_not_quarantined()?;
        let now = self.gateway.clock.now();
        let GrantedUpstream { member, version, ticket } = granted;
        let slot = Some(ticket);
        Ok(self.begin_attempt_at(member, &version, slot, trace, now))
    }

    /// Returns the error for a request for which no upstream can be picked.
    pub(crate) fn pick_error(&self, error: PickError) -> Error {
        match error {
            PickError::NoCandidate => Error::new(ErrorKind::NoUpstream)
                .context(format!("service {} has no upstream", self.service)),
            PickError::Evacuated => Error::new(ErrorKind::NoUpstream)
                .context(format!("all of {} is evacuated", self.service)),
            PickError::BackingOff(left) => self.all_backing_off(left),
            PickError::Cold => Error::new(ErrorKind::Overloaded)
                .context(format!("all of {} is cold", self.service))
                .with_retry_after(RETRY_AFTER_COLD),
            PickError::Full => self.full(&format!("{} is full", self.service)),
        }
    }

    /// Returns the error for a request that the upstreams have no room for.
    fn full(&self, reason: &str) -> Error {
        let service_time = self.gateway.service_times.of(&self.service);
        let wait = admission::retry_after(service_time, rand::random());
        Error::new(ErrorKind::Overloaded)
            .context(reason.to_owned())
            .with_retry_after(wait)
    }

    pub(crate) fn begin_attempt_at(
        &mut self,
        member: Arc<Member>,
        version: &VersionChoice,
        slot: Option<SlotTicket>,
        trace: &mut Trace,
        now: BootInstant,
    ) -> Attempt {
        let model = self.model.clone();
        let copy_age = self.gateway.knowledge.copy_age(now);
        let number =
            trace.begin_attempt(&member, model.clone(), copy_age, now);
        trace.record_version(version);
        self.tried.push(member.upstream.short_hash);
        let session = self.begin_session(&member.entry.software, now);
        let prompt_tokens = self.request.prompt_tokens.unwrap_or(0);
        let prefill_before = member.prefill_backlog(now);
        let max_prefill_before = member.max_prefill_backlog(now);
        let utilization_before = member.utilization(now);
        let times = &self.gateway.prefill_times;
        let expected_prefill = times.expected(model.as_ref(), prompt_tokens);
        let prefill = (prompt_tokens > 0)
            .then(|| member.begin_prefill(expected_prefill));
        if prefill.is_some() {
            self.gateway.pool.record_expected_prefill(expected_prefill);
        }
        if prefill.is_some() && expected_prefill >= ANNOUNCED_PREFILL_TIME {
            self.gateway.early_heartbeat.wake();
        }
        let organisation =
            if slot.is_none() { self.count_organisation() } else { None };
        Attempt {
            slot,
            _in_flight: member.upstream.begin(),
            _organisation: organisation,
            _memory: self.memory_need().map(|n| member.occupy_memory(n)),
            _session: session,
            member,
            model,
            number,
            began_at: now,
            prefill_before,
            max_prefill_before,
            utilization_before,
            prompt_tokens,
            expected_prefill,
            prefill,
        }
    }

    /// Counts a request of the organisation at the service, if shares are
    /// limited and it has one.
    fn count_organisation(&self) -> Option<OrganisationGuard> {
        let gateway = &self.gateway;
        if gateway.settings.organisation_reserve.is_off() {
            return None;
        }
        let organisation = self.organisation.as_ref()?;
        let requests = &gateway.organisation_requests;
        Some(requests.begin(
            ShortHash::of(self.service.as_str()),
            ShortHash::of(organisation.id.as_str()),
        ))
    }

    /// Returns the error for a service whose upstreams all back off for at
    /// least `left`.
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

    /// Rejects a request that is known to crash upstreams: an upstream that
    /// crashes takes all its requests along, and without this check every VM
    /// and every retry would crash another one.
    pub(crate) fn check_not_quarantined(&self) -> Result<(), Error> {
        let crashes = &self.gateway.crashes;
        match crashes.has_quarantined() {
            true => self.check_admitted(self.subjects()),
            false => Ok(()),
        }
    }

    /// Rejects a request that is quarantined as a whole, before it waits for a
    /// slot. Unlike [`Job::begin_attempt`], this uses up no trial of a
    /// quarantined segment.
    pub(crate) fn check_whole_not_quarantined(&self) -> Result<(), Error> {
        let crashes = &self.gateway.crashes;
        match crashes.has_quarantined() {
            true => self.check_admitted(&self.subjects()[..1]),
            false => Ok(()),
        }
    }

    fn check_admitted(&self, subjects: &[Subject]) -> Result<(), Error> {
        let now = self.gateway.clock.now();
        self.gateway.crashes.admit(subjects, now).map_err(|subject| {
            Error::new(ErrorKind::CrashesUpstreams).context(format!(
                "upstreams crashed while they ran {} {subject}",
                subject.kind().as_str()
            ))
        })
    }

    /// Records that an upstream ran the request to a successful end.
    /// `is_framed` says whether the answer itself shows that it is whole.
    pub(crate) fn record_completion(
        &self,
        attempt: &Attempt,
        is_framed: bool,
    ) {
        let (gateway, subjects) = (&self.gateway, self.subjects());
        match is_framed {
            true => crash_check::record_completion(gateway, subjects),
            false => crash_check::record_end_at_close(
                gateway,
                &attempt.member,
                subjects,
                attempt.began_at,
            ),
        }
    }

    /// Records which version an attempt of the session goes to; `None` if the
    /// request belongs to no session.
    pub(crate) fn begin_session(
        &self,
        software: &VersionId,
        now: BootInstant,
    ) -> Option<SessionGuard> {
        let session = self.request.session.clone()?;
        let (gateway, service) = (self.gateway.clone(), self.service.clone());
        gateway.rollouts.begin_session(&service, &session, software, now);
        Some(SessionGuard { gateway, service, session })
    }

    /// Returns the prefix of the prompt that later requests share, with the
    /// queueing time that reusing its cache is worth: all segments but the
    /// last, which is the request's own.
    fn prefix_affinity(&self) -> Option<PrefixAffinity> {
        let shared = self.request.shared_segments();
        let prefix_hash = shared.last()?.id;
        let tokens = self.shared_tokens();
        let saved = self.expected_shared_prefill();
        let count = u32::try_from(tokens).unwrap_or(u32::MAX);
        let max_extra_wait =
            self.route.latency_target.mul_f64(CACHED_PROMPT_WAIT_FRACTION);
        let extra_wait =
            CACHED_TOKEN_WAIT.saturating_mul(count).min(max_extra_wait);
        Some(PrefixAffinity {
            prefix_hash,
            cache_miss_cost: saved + extra_wait,
        })
    }

    /// Returns the expected prefill time of the part of the prompt that only
    /// this request has; zero without a prompt.
    fn expected_uncached_prefill(&self) -> Duration {
        match self.request.prompt_tokens {
            None | Some(0) => Duration::ZERO,
            Some(tokens) => {
                let own = tokens.saturating_sub(self.shared_tokens());
                let times = &self.gateway.prefill_times;
                times.expected(self.model.as_ref(), own)
            }
        }
    }

    /// Returns the expected prefill time of the part of the prompt that other
    /// requests may share.
    fn expected_shared_prefill(&self) -> Duration {
        let times = &self.gateway.prefill_times;
        times.expected(self.model.as_ref(), self.shared_tokens())
    }

    /// Returns the longest pause between two events that its caller accepts.
    fn event_gap_target(&self) -> Option<Duration> {
        event_gap::target(&self.route, self.engine.as_deref()?)
    }

    /// Returns the number of prompt tokens that other requests may share.
    pub(crate) fn shared_tokens(&self) -> u64 {
        let shared = self.request.shared_segments().iter();
        shared.map(|part| part.tokens).sum()
    }

    pub(crate) fn priority(&self) -> u8 {
        let organisation = self.organisation.as_ref();
        let own = organisation.and_then(|o| o.priority);
        own.unwrap_or(self.route.priority).min(9)
    }

    /// Builds the HTTP request of an attempt.
    pub(crate) fn call(
        &self,
        attempt: &Attempt,
        resume_after: Option<u64>,
    ) -> Call {
        let organisation = self.organisation.as_ref();
        let head = AttemptHead {
            time_left: self.time_left(self.gateway.clock.now()),
            upstream: &attempt.member.entry.id,
            organisation: organisation.map(|o| &o.id),
            model: attempt.model.as_ref(),
            resume_after,
            priority: self.route.is_stream.then(|| self.priority()),
        };
        let mut call = Call::new(
            attempt.member.entry.address,
            self.request.method.clone(),
            self.request.path.clone(),
        );
        call.headers = headers::write_attempt(&self.request, &head);
        call.body = self.body.clone();
        call
    }

    /// Sends an attempt and waits at most `limit` for its response head.
    pub(crate) async fn send(
        &mut self,
        attempt: &Attempt,
        resume_after: Option<u64>,
        limit: Duration,
        trace: &mut Trace,
    ) -> Result<(Exchange, ResponseHead), AttemptError> {
        let mut pending = self.begin_send(attempt, resume_after, limit);
        self.is_sending = true;
        let sent = pending.wait(self).await;
        let received = self.receive_head(attempt, sent, trace);
        self.is_sending = false;
        received
    }

    /// Begins to send an attempt whose response head is waited for at most
    /// `limit`.
    pub(crate) fn begin_send(
        &self,
        attempt: &Attempt,
        resume_after: Option<u64>,
        limit: Duration,
    ) -> PendingHead {
        let reuse = match self.route.repeat {
            Repeat::Any => Reuse::Pooled,
            // On a new connection, a failure to connect is known to precede
            // the first byte of the request.
            Repeat::Never => Reuse::Fresh,
        };
        let call = self.call(attempt, resume_after);
        let http = self.gateway.http.clone();
        PendingHead {
            sending: Box::pin(async move { http.send(call, reuse).await }),
            member: attempt.member.clone(),
            since: attempt.began_at,
            max_silence: self.can_replace_attempt().then_some(SILENCE_TIMEOUT),
            limit,
        }
    }

    /// Records what came of sending an attempt, and returns the response whose
    /// head has arrived. `sent` is `None` if the upstream was silent.
    pub(crate) fn receive_head(
        &mut self,
        attempt: &Attempt,
        sent: Option<SendResult>,
        trace: &mut Trace,
    ) -> Result<(Exchange, ResponseHead), AttemptError> {
        let exchange = match sent {
            Some(Ok(exchange)) => exchange,
            Some(Err(SendError::NotSent(reason))) => {
                let member = &attempt.member;
                self.gateway
                    .record_outcome(member, AttemptOutcome::Unreachable);
                return Err(AttemptError::NotRun("unreachable", reason));
            }
            Some(Err(error)) => {
                self.record_sent(attempt);
                return Err(AttemptError::Unknown(
                    UnknownCause::Broken,
                    error.to_string(),
                ));
            }
            None => {
                self.record_sent(attempt);
                return Err(AttemptError::Unknown(
                    UnknownCause::Silent,
                    String::new(),
                ));
            }
        };
        self.record_arrival(attempt);
        trace.record_relay(exchange.relay());
        let status = exchange.status;
        let head = headers::read_response(
            status,
            &exchange.headers,
            &self.request.id,
        );
        let now = self.gateway.clock.now();
        attempt.member.record_activity(now);
        if let Some(signals) = &head.signals {
            trace.record_signals(signals);
            let gateway = &self.gateway;
            gateway.apply_signals(&attempt.member, signals, attempt.began_at);
            if let (Some(slot), Some(load)) = (&attempt.slot, signals.load) {
                slot.record_load(load);
            }
        }
        if !head.matches_request && !head.not_executed {
            self.may_have_run = true;
            let reason = "response belongs to another request".to_owned();
            return Err(AttemptError::Unknown(UnknownCause::Foreign, reason));
        }
        if head.not_executed {
            return Err(AttemptError::NotRun("declined", status.to_string()));
        }
        self.may_have_run = true;
        Ok((exchange, head))
    }

    /// Records that the upstream may have executed the request.
    fn record_sent(&mut self, attempt: &Attempt) {
        self.record_arrival(attempt);
        self.may_have_run = true;
    }

    /// Records that the request may have reached the upstream.
    pub(crate) fn record_arrival(&mut self, attempt: &Attempt) {
        self.sent += 1;
        let software = &attempt.member.entry.software;
        let rollouts = &self.gateway.rollouts;
        rollouts.record_sent(&self.service, software, &self.route.name);
    }

    /// Waits until `limit` has passed since `since`, until the upstream has
    /// been replaced by a later incarnation, or until it has been silent for
    /// `max_silence`. While the upstream is busy with long prefills, the
    /// allowed silence is longer. Without `max_silence`, silence does not end
    /// the wait.
    pub(crate) async fn wait_for_silence(
        &self,
        member: &Member,
        since: BootInstant,
        max_silence: Option<Duration>,
        limit: Duration,
    ) {
        let gateway = &self.gateway;
        loop {
            let now = gateway.clock.now();
            let waited = now.saturating_duration_since(since);
            if waited >= limit || member.is_superseded() {
                return;
            }
            let is_dead = max_silence.is_some_and(|max_silence| {
                let max_silence = silence_limit(member, max_silence, now);
                gateway.pool.seems_dead(member, waited, max_silence, now)
            });
            if is_dead {
                return;
            }
            task::sleep((limit - waited).min(SILENCE_CHECK_INTERVAL)).await;
        }
    }

    async fn fetch_whole(
        &mut self,
        attempt: &Attempt,
        trace: &mut Trace,
    ) -> Result<Reply, AttemptError> {
        let service_time = self.gateway.service_times.of(&self.service);
        let queue_wait =
            admission::queue_wait(attempt.utilization_before, service_time)
                .mul_f64(attempt.member.wait_factor(attempt.began_at));
        let max_wait =
            self.route.latency_target.mul_f64(RETRY_AIM_FRACTION) + queue_wait;
        let limit = self.attempt_timeout(attempt, max_wait);
        let (mut exchange, _) = self.send(attempt, None, limit, trace).await?;
        exchange.allow_end_at_close();
        let is_framed = exchange.is_framed();
        let headers = headers::response_headers(&exchange.headers);
        let now = self.gateway.clock.now();
        let waited = now.saturating_duration_since(attempt.began_at);
        let body_limit = self.body_timeout(now);
        let memory = &self.gateway.memory;
        let read = exchange.read_within(memory, MAX_RESPONSE_BYTES);
        let answer = match task::within(body_limit, read).await {
            Some(Ok(answer)) => answer,
            Some(Err(error)) => {
                return Err(AttemptError::Unknown(
                    UnknownCause::Broken,
                    error.to_string(),
                ));
            }
            None => {
                return Err(AttemptError::Unknown(
                    UnknownCause::Silent,
                    String::new(),
                ));
            }
        };
        let status = status_of(answer.status)?;
        if status.is_success() {
            self.record_completion(attempt, is_framed);
        }
        let body = answer.body;
        let reply = Reply { status, headers, body };
        if status.is_server_error() {
            return Err(AttemptError::Failed(Box::new(reply)));
        }
        trace.record_body_part();
        trace.end_attempt("answered", "");
        self.record_attempt(attempt, AttemptOutcome::Success, Some(waited));
        self.learn_service_time(attempt);
        Ok(reply)
    }

    /// Records the service time of an attempt that has just succeeded, unless
    /// the request may have queued for a slot at the upstream.
    pub(crate) fn learn_service_time(&self, attempt: &Attempt) {
        let now = self.gateway.clock.now();
        let took = now.saturating_duration_since(attempt.began_at);
        let rollouts = &self.gateway.rollouts;
        rollouts.record_duration(&self.service, &self.route.name, took);
        if let Some(slot) = &attempt.slot {
            slot.record_service_time(took);
        }
        if attempt.utilization_before < 1.0 {
            self.learn_service_slowness(attempt, took);
        }
        if attempt.utilization_before < 1.0 || attempt.slot.is_some() {
            self.gateway.service_times.record(&self.service, took);
        }
    }

    /// Returns how long to wait for the response head of a stream before
    /// another upstream is asked, since a response can get lost although the
    /// upstream is healthy. If no other can be asked, it is all the time left.
    pub(crate) fn head_timeout(&self, attempt: &Attempt) -> Duration {
        let busy = attempt.max_prefill_before + attempt.expected_prefill;
        let max_wait = MIN_HEAD_TIMEOUT + busy.mul_f64(HEAD_TIMEOUT_FACTOR);
        let wait_factor = attempt.member.wait_factor(attempt.began_at);
        self.attempt_timeout(attempt, max_wait.mul_f64(wait_factor))
    }

    /// Returns how long to wait for the response of an attempt: `max_wait` if
    /// another attempt could replace it, else all the time left.
    fn attempt_timeout(
        &self,
        attempt: &Attempt,
        max_wait: Duration,
    ) -> Duration {
        let left = self.time_left(attempt.began_at);
        match self.can_replace_attempt() {
            true => max_wait.min(left),
            false => left,
        }
    }

    /// Returns how long to wait for the rest of a response whose head has
    /// arrived: not all the time left if another upstream could still respond,
    /// unless the responses of the service usually take that long.
    pub(crate) fn body_timeout(&self, now: BootInstant) -> Duration {
        let left = self.time_left(now);
        if !self.may_resume(now) {
            return left;
        }
        let usual = self.gateway.service_times.of(&self.service);
        let patience = usual
            .map_or(Duration::ZERO, |time| time.mul_f64(BODY_PATIENCE_FACTOR));
        patience.max(left.div_f64(2.0)).min(left)
    }

    /// Whether another attempt could be made if the current one failed.
    pub(crate) fn can_replace_attempt(&self) -> bool {
        self.route.repeat == Repeat::Any
            && self.sent + 1 < self.route.attempts
            && self.gateway.can_retry(&self.service)
            && self.has_other_upstream()
    }

    /// Whether an available upstream has not been tried yet. Without one,
    /// giving up a silent attempt or stream makes the request fail, whereas
    /// its response may still arrive.
    fn has_other_upstream(&self) -> bool {
        let now = self.gateway.clock.now();
        let version = self.version_choice(now);
        let criteria = self.pick_criteria(&version, &self.tried);
        self.gateway.pool.has_untried(&self.service, &criteria, now)
    }

    /// Whether another upstream may be asked for what is left of a response,
    /// or for all of it.
    pub(crate) fn may_resume(&self, now: BootInstant) -> bool {
        now < self.deadline
            && self.has_attempt_left()
            && self.has_other_upstream()
    }

    /// Whether an upstream that has not been tried can take the request now.
    pub(crate) fn can_pick_other(&self, now: BootInstant) -> bool {
        let version = self.version_choice(now);
        let criteria = self.pick_criteria(&version, &self.tried);
        self.gateway.pool.can_pick(&self.service, &criteria, now)
    }

    /// Whether the request may be sent again, and the attempts of the route
    /// and the retry budget leave one more.
    pub(crate) fn has_attempt_left(&self) -> bool {
        self.may_be_sent_again() && self.gateway.can_retry(&self.service)
    }

    /// Whether the request may be sent again, and the attempts of the route
    /// leave one more.
    pub(crate) fn may_be_sent_again(&self) -> bool {
        self.may_run_again() && self.sent < self.route.attempts
    }

    /// Whether another upstream may execute the request, whatever became of
    /// the attempts so far.
    fn may_run_again(&self) -> bool {
        self.route.repeat == Repeat::Any || !self.may_have_run
    }

    /// Takes a further attempt from the retry budget; returns whether one was
    /// left.
    pub(crate) fn try_retry(&self, reason: RetryReason) -> bool {
        self.gateway.try_retry(&self.service, reason)
    }

    /// Records the outcome of an attempt for the health of its upstream, for
    /// rollouts and for the detection of crashes.
    ///
    /// `first_part` is the time until the first part of a good response, or
    /// the time that a live upstream was waited for.
    pub(crate) fn record_attempt(
        &self,
        attempt: &Attempt,
        outcome: AttemptOutcome,
        first_part: Option<Duration>,
    ) {
        let gateway = &self.gateway;
        let now = gateway.clock.now();
        if outcome == AttemptOutcome::Lost {
            crash_check::record_lost_attempt(
                gateway,
                &attempt.member,
                self.subjects(),
                attempt.began_at,
            );
        }
        let is_isolated = outcome == AttemptOutcome::Failed
            && gateway.pool.is_isolated_failure(&attempt.member, now);
        gateway.record_outcome(&attempt.member, outcome);
        let is_superseded_failure = attempt.member.is_superseded()
            && outcome != AttemptOutcome::Success;
        let is_own = gateway.is_own_failure(&attempt.member, outcome, now);
        if is_isolated || is_superseded_failure || is_own {
            return;
        }
        self.record_version_answer(attempt, outcome, first_part);
    }

    /// Records the outcome of an attempt for rollouts.
    pub(crate) fn record_version_answer(
        &self,
        attempt: &Attempt,
        outcome: AttemptOutcome,
        first_part: Option<Duration>,
    ) {
        self.gateway.rollouts.record_answer(
            &self.service,
            &attempt.member.entry.software,
            &attempt.request_kind(&self.route),
            outcome,
            first_part.map(|waited| attempt.answer_time(waited)),
        );
    }

    /// Records the outcome of an attempt that gave no response.
    pub(crate) fn record_error(
        &self,
        attempt: &Attempt,
        error: &AttemptError,
    ) {
        match error {
            AttemptError::Unknown(UnknownCause::Silent, _) => {
                self.record_silent(attempt)
            }
            error => {
                if let Some(outcome) = error.outcome() {
                    self.record_attempt(attempt, outcome, None);
                }
            }
        }
    }

    /// Records that an attempt was given up before the first part of its
    /// answer. If anything else came from its upstream meanwhile, it is known
    /// to be slow.
    pub(crate) fn record_silent(&self, attempt: &Attempt) {
        let now = self.gateway.clock.now();
        let waited = now.saturating_duration_since(attempt.began_at);
        let is_alive = attempt.member.silence(now) < waited;
        let overdue = is_alive.then_some(waited);
        self.record_attempt(attempt, AttemptOutcome::Lost, overdue);
    }

    /// Decides whether another attempt is made after an error; if not,
    /// returns why the request fails.
    fn prepare_retry(
        &mut self,
        error: AttemptError,
        trace: &mut Trace,
    ) -> Result<(), FinalFailure> {
        let failure = match error {
            AttemptError::NotRun(label, reason) => {
                trace.end_attempt(label, &reason);
                FinalFailure::NotRun(reason)
            }
            AttemptError::Unknown(cause, reason) => {
                trace.record_digest(self.digest());
                trace.end_attempt(cause.label(), &reason);
                FinalFailure::Unknown(reason)
            }
            AttemptError::LowConfidence(model, dropped) => {
                trace.end_attempt("poor", "");
                self.model = Some(model);
                self.dropped = Some(dropped);
                self.tried.pop();
                return Ok(());
            }
            AttemptError::Failed(reply) => {
                let status = reply.status.as_u16();
                trace.end_attempt("failed", &status.to_string());
                FinalFailure::Failed(reply)
            }
        };
        // The retry budget bounds the load on upstreams, so nothing is taken
        // from it before an attempt has reached one.
        let may_retry = self.may_be_sent_again()
            && self.tried.len()
                < self.route.attempts as usize + MAX_CONNECT_FAILURES
            && (self.sent == 0 || self.try_retry(RetryReason::Failed));
        if may_retry { Ok(()) } else { Err(failure) }
    }

    fn fail(self, failure: FinalFailure, trace: Trace) -> Answer {
        match failure {
            FinalFailure::Failed(reply) => {
                let end = RequestEnd::Answered(reply.status.as_u16());
                Answer::Whole(*reply, trace.end(end))
            }
            FinalFailure::NotRun(reason) => {
                let now = self.gateway.clock.now();
                match self.gateway.pool.service_backoff(&self.service, now) {
                    Some(left) => {
                        let error = self.all_backing_off(left).context(reason);
                        self.reject_with(trace, error)
                    }
                    None => self.reject(trace, ErrorKind::Overloaded, &reason),
                }
            }
            FinalFailure::Unknown(reason) => {
                self.reject(trace, ErrorKind::UpstreamFailed, &reason)
            }
        }
    }

    fn reject(self, trace: Trace, kind: ErrorKind, reason: &str) -> Answer {
        let error = Error::new(kind).context(reason.to_owned());
        self.reject_with(trace, error)
    }

    /// Rejects the request. An error that tells the caller that the request
    /// did not run is replaced if an upstream may have executed it.
    fn reject_with(self, trace: Trace, error: Error) -> Answer {
        let claims_not_run =
            error.kind().answer().run == crate::error::Run::NotRun;
        let error = match claims_not_run && self.may_have_run {
            true => Error::new(ErrorKind::UpstreamFailed)
                .context(error.to_string()),
            false => error,
        };
        reject(&self.request.id, trace, &error)
    }
}

/// Returns how long an upstream may stay silent: longer while it runs long
/// prefills, since it sends nothing until they are done, and if it is slow.
pub(crate) fn silence_limit(
    member: &Member,
    max_silence: Duration,
    now: BootInstant,
) -> Duration {
    let wait_factor = member.wait_factor(now);
    let prefill = member
        .max_prefill_backlog(now)
        .mul_f64(PREFILL_PATIENCE_FACTOR * wait_factor);
    max_silence.mul_f64(wait_factor) + prefill.min(MAX_PREFILL_PATIENCE)
}

/// Returns the error for a request whose VM stops before it has an answer.
fn stops_first() -> Error {
    Error::new(ErrorKind::NotReady)
        .context("this VM stops before an upstream has answered")
}

/// What came of forwarding a request.
enum Outcome {
    Whole(Reply),
    Opened(Box<OpenedStream>),
    Rejected(Error),
    Failed(FinalFailure),
}

/// How a request fails when no further attempt is made.
enum FinalFailure {
    NotRun(String),
    Unknown(String),
    Failed(Box<Reply>),
}

fn status_of(status: u16) -> Result<StatusCode, AttemptError> {
    StatusCode::from_u16(status).map_err(|error| {
        AttemptError::Unknown(UnknownCause::Broken, error.to_string())
    })
}

/// Ends the trace of a request and returns the error response to it.
pub(crate) fn reject(id: &str, trace: Trace, error: &Error) -> Answer {
    let answer = error.kind().answer();
    let trace = trace.end(RequestEnd::Rejected(
        answer.status,
        answer.code,
        error.to_string(),
    ));
    Answer::Whole(error_reply(id, error), trace)
}

/// Returns the error response to the request with this id.
pub(crate) fn error_reply(id: &str, error: &Error) -> Reply {
    let answer = error.kind().answer();
    let mut headers = headers::local_response_headers(id);
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
        body: Bytes::from(body),
    }
}

#[cfg(test)]
mod tests;
