//! Dispatch of requests: idempotency claims, attempts, retries, the cascade.
//!
//! A repeatable request is retried within the retry budget. A request that
//! is not repeatable is sent once, on a fresh connection; it is sent to
//! another upstream only if connecting failed before any byte was sent.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures_lite::FutureExt;
use hyper::Method;
use serde_json::Value;

use crate::{
    answer::{Answer, Header},
    api::{
        chat::{TokenUsage, answer_text},
        decision::{Attempt, AttemptStatus, RequestStatus, UpstreamChoice},
        estimate::{evidence_key, version_hash},
        rating::{self, RatingRequest},
        relay,
        request::{
            Admitted, Outcome, Planned, Request, RequestContext, ServiceCall,
        },
        selection::{Step, UpstreamCriteria, pick_upstream},
        tally::{Tally, evidence},
        template::VersionEntry,
        vm::Vm,
    },
    chains::{
        claim::{
            ClaimKey, ClaimOutcome, ClaimRequest, ClaimVerdict, RequestHash,
        },
        claims::{Claims, GRANT_LIFETIME, verdict_label},
    },
    clock::BootInstant,
    error::{Error, ErrorKind},
    event::Event,
    http_client::{
        Call, Exchange, FullResponse, HOP_BY_HOP_HEADERS, Reuse, SendError,
    },
    id::UpstreamId,
    message::ShortHash,
    placing::upstream::{BreakerChange, InFlightGuard, Upstream},
    task::{self, within},
    unit::{MicroCost, Share},
};

/// Timeout of one attempt of a repeatable service call; another upstream is
/// tried after it.
const SERVICE_ATTEMPT_TIMEOUT: Duration = Duration::from_secs(2);

/// Share of answers that are rated in the background, to collect evidence.
const BACKGROUND_RATING_SHARE: f64 = 0.1;

/// The status of an upstream that did not accept a request.
pub(super) const STATUS_UNAVAILABLE: u16 = 503;

/// The status of an inference engine that has not loaded the version.
pub(super) const STATUS_NOT_LOADED: u16 = 409;

/// The path of chat requests, at this interface and at engines.
const CHAT_PATH: &str = "/v1/chat/completions";

/// A call of a plain service as it is forwarded.
#[derive(Clone, Debug)]
pub(crate) struct ServiceTarget {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: Vec<Header>,
    pub(crate) body: Bytes,
}

/// The HTTP request of one attempt.
pub(crate) struct AttemptRequest {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: Vec<Header>,
    pub(crate) body: Bytes,
    pub(crate) repeatable: bool,
    /// Timeout for the response head, or for the whole response if it is not
    /// streamed.
    pub(crate) limit: Duration,
}

/// The upstream selected for an attempt; counts the request as in flight
/// there until it is dropped.
pub(crate) struct SelectedUpstream {
    pub(crate) upstream: Arc<Upstream>,
    pub(crate) choice: UpstreamChoice,
    pub(super) selected_at: BootInstant,
    _in_flight: InFlightGuard,
}

/// Why an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptFault {
    /// No connection; nothing was sent.
    Unreachable,
    /// The connection broke after the request may have been sent.
    Broken,
    /// The response exceeds the size limit.
    TooLarge,
    TimedOut,
    /// The caller disconnected.
    Cancelled,
}

impl AttemptFault {
    /// Returns the status that the decision records for the attempt.
    pub(crate) fn attempt_status(self) -> AttemptStatus {
        match self {
            AttemptFault::Unreachable => AttemptStatus::Unreachable,
            AttemptFault::Broken | AttemptFault::TooLarge => {
                AttemptStatus::Broken
            }
            AttemptFault::TimedOut => AttemptStatus::TimedOut,
            AttemptFault::Cancelled => AttemptStatus::Cancelled,
        }
    }
}

impl Request<Admitted<ServiceCall>> {
    /// Dispatches a service call and settles it.
    pub(crate) async fn run(mut self, target: ServiceTarget) -> Answer {
        let method = target.method.as_str();
        let body = RequestHash::of(method, &target.path, &target.body);
        let key = self.state.key.clone();
        let repeatable = self.state.call.repeatable;
        self.context.set_subjects(method, &target.path, &target.body, []);
        if let Err(end) = self.context.claim(key, body, repeatable).await {
            return self.context.settle(*end);
        }
        self.context.open_bill(self.state.call.rule.call_price_micro).await;
        let outcome = self.attempt_all(&target).await;
        self.context.record_claim_outcome(&outcome);
        let Request { context, state } = self;
        state.release_limits();
        context.settle(outcome)
    }

    /// Sends the call to upstreams in turn until one answers or no further
    /// attempt is allowed.
    async fn attempt_all(&mut self, target: &ServiceTarget) -> Outcome {
        let vm = self.context.vm.clone();
        let repeatable = self.state.call.repeatable;
        let price = self.state.call.rule.call_price_micro;
        let service = self.state.call.rule.service.clone();
        let mut tried = Vec::new();
        vm.retry_budget.count_request();
        loop {
            let now = vm.clock.now();
            let left = self.state.deadline.saturating_duration_since(now);
            let upstreams = vm.view.service_upstreams(&service);
            let criteria = UpstreamCriteria {
                version: None,
                prefix: None,
                tried: &tried,
            };
            let selected =
                self.context.select_upstream(&upstreams, criteria)?;
            let limit = match repeatable {
                true => left.min(SERVICE_ATTEMPT_TIMEOUT),
                false => left,
            };
            let outgoing = AttemptRequest {
                method: target.method.clone(),
                path: target.path.clone(),
                headers: target.headers.clone(),
                body: target.body.clone(),
                repeatable,
                limit,
            };
            tried.push(selected.upstream.record.id.clone());
            self.context.begin_attempt(&selected, None, price);
            match self.context.send_whole(&selected, outgoing).await {
                Ok(answer) => {
                    let status = answer.status;
                    self.context
                        .end_attempt(AttemptStatus::Answered { status });
                    let is_retryable =
                        status == STATUS_UNAVAILABLE && repeatable;
                    if is_retryable && self.context.may_retry(tried.len()) {
                        continue;
                    }
                    return Ok(forwarded_answer(answer));
                }
                Err(fault) => {
                    self.context.end_attempt(fault.attempt_status());
                    self.context.check_retry(
                        fault,
                        repeatable,
                        tried.len(),
                    )?;
                }
            }
        }
    }
}

impl Request<Planned> {
    /// Dispatches a chat request and settles it, or returns when its stream
    /// has started.
    pub(crate) async fn run(mut self, body: &[u8]) -> Answer {
        let hash = RequestHash::of("POST", CHAT_PATH, body);
        let key = self.state.admitted.key.clone();
        let repeatable = self.state.repeatable;
        let segments = self.state.admitted.call.chat.shared_segments();
        self.context.set_subjects("POST", CHAT_PATH, body, segments);
        if let Err(end) = self.context.claim(key, hash, repeatable).await {
            return self.context.settle(*end);
        }
        let permit = match self.wait_for_capacity().await {
            Ok(permit) => permit,
            Err(error) => return self.context.settle(Err(error)),
        };
        self.context.open_bill(self.estimate()).await;
        self.context.vm.retry_budget.count_request();
        let is_stream = self.state.admitted.call.chat.stream;
        if is_stream {
            return relay::run(self, permit).await;
        }
        let outcome = self.cascade(permit).await;
        self.context.record_claim_outcome(&outcome);
        let Request { context, state } = self;
        state.admitted.release_limits();
        context.settle(outcome)
    }

    /// Estimates the cost, which the bill states until the request has ended.
    fn estimate(&self) -> MicroCost {
        let entry = &self.state.plan.steps[0].entry;
        let chat = &self.state.admitted.call.chat;
        let output = chat
            .output_tokens
            .unwrap_or(crate::api::estimate::DEFAULT_OUTPUT_TOKENS);
        entry.price(chat.input_tokens, output)
    }

    /// Asks the planned versions in order until an answer meets the quality
    /// target.
    async fn cascade(
        &mut self,
        permit: crate::api::queue::DispatchPermit,
    ) -> Outcome {
        let steps = self.state.plan.steps.clone();
        let mut permit = Some(permit);
        let mut best = None;
        for (at, step) in steps.iter().enumerate() {
            let is_last = at + 1 == steps.len();
            let answer = match self.ask_step(step, &mut permit).await {
                Ok(answer) => answer,
                // A poor answer of an earlier step is better than an error.
                Err(error) => return best.ok_or(error),
            };
            let is_answer = answer.status == 200;
            let text = body_text(&answer.body);
            let caller_answer = self.caller_answer(answer, &step.entry);
            if !is_answer {
                return best.map_or(Ok(caller_answer), Ok);
            }
            if is_last {
                self.rate_in_background(&step.entry, text);
                return Ok(caller_answer);
            }
            match self.rate(&step.entry, text).await {
                Some(score) if self.is_below_target(score) => {
                    self.record_poor_rating(score);
                    best = Some(caller_answer);
                }
                _ => return Ok(caller_answer),
            }
        }
        best.ok_or_else(|| Error::new(ErrorKind::Internal))
    }

    /// Asks one version, at other upstreams after failures while retries are
    /// allowed.
    async fn ask_step(
        &mut self,
        step: &Step,
        permit: &mut Option<crate::api::queue::DispatchPermit>,
    ) -> Result<FullResponse, Error> {
        let repeatable = self.state.repeatable;
        let mut tried: Vec<UpstreamId> = Vec::new();
        loop {
            let selected = self.select_for(&step.entry, &tried)?;
            permit.take();
            tried.push(selected.upstream.record.id.clone());
            let outgoing = self.attempt_request(&step.entry, tried.len());
            self.context.begin_attempt(
                &selected,
                Some(&step.entry),
                MicroCost::default(),
            );
            match self.context.send_whole(&selected, outgoing).await {
                Ok(answer) => {
                    let status = answer.status;
                    let is_rejection = matches!(
                        status,
                        STATUS_UNAVAILABLE | STATUS_NOT_LOADED
                    );
                    self.record_answer(&step.entry, &answer);
                    if is_rejection
                        && repeatable
                        && self.context.may_retry(tried.len())
                    {
                        continue;
                    }
                    return Ok(answer);
                }
                Err(fault) => {
                    self.context.end_attempt(fault.attempt_status());
                    self.record_fault(&step.entry, fault);
                    self.context.check_retry(
                        fault,
                        repeatable,
                        tried.len(),
                    )?;
                }
            }
        }
    }

    /// Selects the upstream for an attempt at a version.
    pub(crate) fn select_for(
        &mut self,
        entry: &VersionEntry,
        tried: &[UpstreamId],
    ) -> Result<SelectedUpstream, Error> {
        let upstreams = self.context.vm.view.model_upstreams(&entry.model);
        let criteria = UpstreamCriteria {
            version: Some(version_hash(entry)),
            prefix: Some(self.state.admitted.call.chat.prefix),
            tried,
        };
        self.context.select_upstream(&upstreams, criteria)
    }

    /// Builds the HTTP request of an attempt at a version.
    ///
    /// The time left is split evenly over the attempts left, if the request
    /// may be repeated.
    pub(crate) fn attempt_request(
        &self,
        entry: &VersionEntry,
        attempt: usize,
    ) -> AttemptRequest {
        let context = &self.context;
        let state = &self.state.admitted;
        let now = context.vm.clock.now();
        let left = state.deadline.saturating_duration_since(now);
        let attempts = context.vm.settings.requests.attempts as usize;
        let tries_left = (attempts + 1).saturating_sub(attempt).max(1) as u32;
        let limit = match self.state.repeatable {
            true => left / tries_left,
            false => left,
        };
        AttemptRequest {
            method: Method::POST,
            path: CHAT_PATH.to_owned(),
            headers: vec![Header::new("content-type", "application/json")],
            body: state
                .call
                .chat
                .body_for(entry, context.decision.priority)
                .into(),
            repeatable: self.state.repeatable,
            limit,
        }
    }

    /// Records the status, token usage and evidence of an answer.
    fn record_answer(&mut self, entry: &VersionEntry, answer: &FullResponse) {
        let status = answer.status;
        self.context.end_attempt(AttemptStatus::Answered { status });
        let used = serde_json::from_slice::<Value>(&answer.body)
            .ok()
            .and_then(|value| TokenUsage::from_json(&value));
        if let Some(used) = used {
            self.context.record_usage(entry, used);
        }
        let failed = status >= 500 && status != STATUS_UNAVAILABLE;
        if status == 200 || failed {
            self.add_evidence(entry, failed, None);
        }
    }

    /// Records a failed attempt as evidence if the version may be the cause.
    pub(crate) fn record_fault(
        &self,
        entry: &VersionEntry,
        fault: AttemptFault,
    ) {
        match fault {
            AttemptFault::Broken
            | AttemptFault::TooLarge
            | AttemptFault::TimedOut => {
                self.add_evidence(entry, true, None);
            }
            AttemptFault::Unreachable | AttemptFault::Cancelled => {}
        }
    }

    /// Adds one answer, and whether it failed, to the evidence of a version.
    pub(crate) fn add_evidence(
        &self,
        entry: &VersionEntry,
        failed: bool,
        first_token: Option<Duration>,
    ) {
        let mut tally = Tally::default();
        tally.0[evidence::ATTEMPTS] = 1.0;
        tally.0[evidence::ERRORS] = f32::from(u8::from(failed));
        if let Some(first_token) = first_token {
            tally.0[evidence::FIRST_TOKEN_S] = first_token.as_secs_f32();
        }
        self.rater(entry).add(tally);
    }

    fn rater(&self, entry: &VersionEntry) -> AnswerRater {
        let admitted = &self.state.admitted;
        AnswerRater {
            vm: self.context.vm.clone(),
            entry: entry.clone(),
            task: admitted.call.task.clone(),
            organisation: admitted.template.organisation.clone(),
            target: admitted.template.quality_target,
            prompt: admitted.call.chat.last_text(),
        }
    }

    /// Has an answer rated; `None` without a rating service or its score.
    async fn rate(
        &self,
        entry: &VersionEntry,
        answer: String,
    ) -> Option<Share> {
        self.rater(entry).rate(answer).await
    }

    /// Has a sample of answers rated in the background, to collect evidence.
    ///
    /// Answers of a version that is rolling out are all rated.
    pub(crate) fn rate_in_background(
        &self,
        entry: &VersionEntry,
        answer: String,
    ) {
        let is_rolling = matches!(
            entry.state,
            crate::api::template::VersionState::RollingOut { .. }
        );
        if !is_rolling && rand::random::<f64>() >= BACKGROUND_RATING_SHARE {
            return;
        }
        let rater = self.rater(entry);
        task::spawn(async move {
            rater.rate(answer).await;
        })
        .detach();
    }

    fn is_below_target(&self, score: Share) -> bool {
        score < self.state.admitted.template.quality_target
    }

    /// Records that the last answer was rated below the target.
    fn record_poor_rating(&mut self, score: Share) {
        self.context.vm.metrics.escalations.inc();
        if let Some(last) = self.context.decision.attempts.last_mut() {
            let score_milli = (score.value() * 1000.0) as u16;
            last.end = AttemptStatus::RatedPoor { score_milli };
        }
    }

    /// Builds the answer to the caller, with the session token if any.
    fn caller_answer(
        &self,
        answer: FullResponse,
        entry: &VersionEntry,
    ) -> Answer {
        let mut passed = forwarded_answer(answer);
        if let Some(header) = self.session_header(entry) {
            passed.add_header(header);
        }
        passed
    }
}

/// Has answers of one version rated and records the ratings as evidence.
struct AnswerRater {
    vm: Arc<Vm>,
    entry: VersionEntry,
    task: String,
    organisation: crate::id::OrganisationId,
    target: Share,
    prompt: String,
}

impl AnswerRater {
    async fn rate(&self, answer: String) -> Option<Share> {
        let url = self.vm.settings.platform.rating_url.as_ref()?;
        let request = RatingRequest {
            organisation: self.organisation.clone(),
            task: self.task.clone(),
            model: self.entry.model.clone(),
            version: self.entry.version.clone(),
            prompt: self.prompt.clone(),
            answer,
        };
        let score = rating::rate(&self.vm.http, url, &request).await?;
        let mut tally = Tally::default();
        tally.0[evidence::RATED] = 1.0;
        let met = score >= self.target;
        tally.0[evidence::MET_TARGET] = f32::from(u8::from(met));
        self.add(tally);
        let version = format!("{}@{}", self.entry.model, self.entry.version);
        let labels = &[self.organisation.as_str(), version.as_str()];
        let quality = self.vm.metrics.quality.with_label_values(labels);
        quality.observe(score.value());
        Some(score)
    }

    fn add(&self, tally: Tally) {
        let key = evidence_key(
            ShortHash::of(self.organisation.as_str()),
            ShortHash::of(&self.task),
            version_hash(&self.entry),
        );
        self.vm.tallies.lock().expect("tallies lock").add(key, tally);
    }
}

impl RequestContext {
    /// Claims the idempotency key of a request that is not repeatable.
    ///
    /// # Errors
    ///
    /// The outcome of a request that must not run: the recorded answer of an
    /// earlier request with the key, or an error.
    async fn claim(
        &mut self,
        key: Option<String>,
        body: RequestHash,
        repeatable: bool,
    ) -> Result<(), Box<Outcome>> {
        let Some(key) = key.filter(|_| !repeatable) else { return Ok(()) };
        match self.claim_key(&key, body).await {
            Ok(None) => Ok(()),
            Ok(Some(recorded)) => Err(Box::new(Ok(recorded))),
            Err(error) => Err(Box::new(Err(error))),
        }
    }

    /// Records the answer that later requests with the same key will get.
    fn record_claim_outcome(&mut self, outcome: &Outcome) {
        if let Ok(Answer::Whole { status, headers, body }) = outcome {
            let recorded = self.to_claim_outcome(*status, headers, body);
            self.set_claim_outcome(recorded);
        }
    }

    /// Claims an idempotency key before the request may run.
    ///
    /// Returns the recorded answer of an earlier request with the key, or
    /// `None` if the claim is granted.
    async fn claim_key(
        &mut self,
        key: &str,
        body: RequestHash,
    ) -> Result<Option<Answer>, Error> {
        let Some(organisation) = &self.decision.organisation else {
            return Err(Error::new(ErrorKind::Internal));
        };
        let claim = ClaimRequest {
            key: ClaimKey::new(organisation, key),
            body,
            request: self.decision.id.clone(),
        };
        let vm = self.vm.clone();
        let asked_at = vm.clock.now();
        let verdict = vm.claims.claim(&vm, &claim).await;
        let label = verdict_label(&verdict);
        vm.metrics.claims.with_label_values(&[label]).inc();
        let took = vm.clock.now().saturating_duration_since(asked_at);
        match verdict {
            ClaimVerdict::Granted if took < GRANT_LIFETIME => {
                self.set_claim(claim);
                Ok(None)
            }
            ClaimVerdict::Granted => {
                Claims::settle(&vm, claim, ClaimOutcome::NotRun);
                Err(claim_unavailable("the grant arrived after it expired"))
            }
            ClaimVerdict::Settled { by, outcome } => {
                self.recorded_answer(by, outcome).map(Some)
            }
            ClaimVerdict::InProgress { by } => {
                Err(Error::new(ErrorKind::KeyInProgress)
                    .context(format!("{by} with the same key is running")))
            }
            ClaimVerdict::Reused => Err(Error::new(ErrorKind::KeyReused)
                .context("the key was already used for a different request")),
            ClaimVerdict::Gap => Err(Error::new(ErrorKind::OutcomeUnknown)
                .context(
                    "records of this key may have been lost with a data hall",
                )),
            ClaimVerdict::NotOwner { .. } => {
                Err(claim_unavailable("the slot's owner was not found"))
            }
            ClaimVerdict::Unavailable { reason } => {
                // The claim may have been recorded nevertheless; release it.
                Claims::settle(&vm, claim, ClaimOutcome::NotRun);
                Err(claim_unavailable(&reason))
            }
        }
    }

    /// Returns the recorded answer of an earlier request with the key.
    fn recorded_answer(
        &mut self,
        by: crate::id::RequestId,
        outcome: ClaimOutcome,
    ) -> Result<Answer, Error> {
        match outcome {
            ClaimOutcome::Ran { status, content_type, body: Some(body) } => {
                self.decision.verdict =
                    RequestStatus::Repeated { of: by.clone() };
                let headers = vec![
                    Header::new("content-type", content_type),
                    Header::new("lupinseam-repeated", by.to_string()),
                ];
                Ok(Answer::Whole { status, headers, body: body.into() })
            }
            ClaimOutcome::Ran { .. } => {
                Err(Error::new(ErrorKind::AnswerNotKept)
                    .context(format!("{by} ran, but its answer is not kept")))
            }
            ClaimOutcome::Unknown | ClaimOutcome::NotRun => {
                Err(Error::new(ErrorKind::OutcomeUnknown)
                    .context(format!("{by} may have run")))
            }
        }
    }

    /// Builds the claim outcome that later requests with the key will get.
    ///
    /// The body is left out if it is not UTF-8 or over the size limit.
    fn to_claim_outcome(
        &self,
        status: u16,
        headers: &[Header],
        body: &Bytes,
    ) -> ClaimOutcome {
        let limit = self.vm.settings.claims.answer_limit_bytes;
        let content_type = headers
            .iter()
            .find(|header| header.name == "content-type")
            .map_or("application/octet-stream", |h| h.value.as_str())
            .to_owned();
        let text = std::str::from_utf8(body).ok();
        let body = text.filter(|text| text.len() <= limit);
        let body = body.map(str::to_owned);
        ClaimOutcome::Ran { status, content_type, body }
    }

    /// Selects an upstream and counts the request as in flight there.
    pub(crate) fn select_upstream(
        &mut self,
        upstreams: &[Arc<Upstream>],
        criteria: UpstreamCriteria<'_>,
    ) -> Result<SelectedUpstream, Error> {
        self.check_not_quarantined()?;
        let vm = &self.vm;
        let now = vm.clock.now();
        let snapshots: Vec<_> =
            upstreams.iter().map(|u| vm.view.snapshot(u, now)).collect();
        let picked = pick_upstream(&snapshots, criteria, rand::random());
        let choice = match picked {
            Ok(choice) => choice,
            Err(error) if self.may_have_run() => {
                return Err(Error::new(ErrorKind::UpstreamFailed)
                    .context(error.to_string())
                    .context("after an attempt that may have run"));
            }
            Err(error) => return Err(error),
        };
        let upstream = upstreams
            .iter()
            .find(|upstream| upstream.record.id == choice.upstream)
            .ok_or_else(|| Error::new(ErrorKind::Internal))?
            .clone();
        // Admits the probe of an open circuit breaker; the selection saw the
        // breaker closed or due for a probe.
        upstream.allow_request(now);
        upstream.reported_state.record_sent(now);
        let in_flight = upstream.begin();
        Ok(SelectedUpstream {
            upstream,
            choice,
            selected_at: now,
            _in_flight: in_flight,
        })
    }

    /// Records the start of an attempt.
    pub(crate) fn begin_attempt(
        &mut self,
        selected: &SelectedUpstream,
        entry: Option<&VersionEntry>,
        price: MicroCost,
    ) {
        self.push_attempt(Attempt {
            model: entry.map(|entry| entry.model.clone()),
            version: entry.map(|entry| entry.version.clone()),
            choice: selected.choice.clone(),
            end: AttemptStatus::Running,
            input_tokens: 0,
            output_tokens: 0,
            cost_micro: price,
        });
    }

    /// Records the token usage and cost of the last attempt.
    pub(crate) fn record_usage(
        &mut self,
        entry: &VersionEntry,
        used: TokenUsage,
    ) {
        if let Some(last) = self.decision.attempts.last_mut() {
            last.input_tokens = used.input;
            last.output_tokens = used.output;
            last.cost_micro = entry.price(used.input, used.output);
        }
    }

    /// Sends an attempt and waits for the response head.
    pub(crate) async fn send_head(
        &self,
        selected: &SelectedUpstream,
        outgoing: AttemptRequest,
    ) -> Result<Exchange, AttemptFault> {
        let limit = outgoing.limit;
        let reuse = match outgoing.repeatable {
            true if outgoing.method != Method::POST => Reuse::Pooled,
            _ => Reuse::Fresh,
        };
        let call = self.call(selected, outgoing);
        let work = async {
            let sent = self.vm.http.send(call, reuse).await;
            sent.map_err(attempt_fault)
        };
        let result = self.until_cancelled(limit, work).await;
        if let Ok(exchange) = &result {
            self.apply_signals(selected, exchange.status, &exchange.headers);
        }
        self.report_to_breaker(selected, result.as_ref().err().copied());
        result
    }

    /// Sends an attempt and waits for the whole response.
    ///
    /// A request that is not repeatable is not cancelled when the caller
    /// disconnects.
    pub(crate) async fn send_whole(
        &self,
        selected: &SelectedUpstream,
        outgoing: AttemptRequest,
    ) -> Result<FullResponse, AttemptFault> {
        let limit = outgoing.limit;
        let most = self.vm.settings.requests.answer_limit_bytes;
        // A pooled connection may be closing, in which case it is unknown
        // whether the upstream processed what was sent on it.
        let reuse = match outgoing.repeatable {
            true => Reuse::Pooled,
            false => Reuse::Fresh,
        };
        let can_cancel = outgoing.repeatable;
        let call = self.call(selected, outgoing);
        let work = async {
            let sent = self.vm.http.send(call, reuse).await;
            let exchange = sent.map_err(attempt_fault)?;
            self.apply_signals(selected, exchange.status, &exchange.headers);
            let memory = &self.vm.caller_connections.memory;
            let read = exchange.read_within(memory, most).await;
            read.map_err(attempt_fault)
        };
        let result = match can_cancel {
            true => self.until_cancelled(limit, work).await,
            false => {
                let done = within(limit, work).await;
                done.unwrap_or(Err(AttemptFault::TimedOut))
            }
        };
        self.report_to_breaker(selected, result.as_ref().err().copied());
        if result.as_ref().is_ok_and(|answer| is_success(answer.status)) {
            self.record_completion();
        }
        result
    }

    /// Runs `work` until its timeout or until the caller disconnects.
    async fn until_cancelled<T>(
        &self,
        limit: Duration,
        work: impl Future<Output = Result<T, AttemptFault>>,
    ) -> Result<T, AttemptFault> {
        let cancelled = async {
            // No message is ever sent; the channel closes on disconnect.
            let _ = self.cancel.recv().await;
            Err(AttemptFault::Cancelled)
        };
        let done = within(limit, work.or(cancelled)).await;
        done.unwrap_or(Err(AttemptFault::TimedOut))
    }

    /// Builds the HTTP call, with the request id and the attempt number.
    fn call(
        &self,
        selected: &SelectedUpstream,
        outgoing: AttemptRequest,
    ) -> Call {
        let id = &self.decision.id;
        let attempt = self.decision.attempts.len();
        let address = selected.upstream.record.address;
        let mut call = Call::new(address, outgoing.method, outgoing.path)
            .body(outgoing.body);
        for header in outgoing.headers {
            let name =
                hyper::header::HeaderName::from_bytes(header.name.as_bytes());
            let value = hyper::header::HeaderValue::from_str(&header.value);
            if let (Ok(name), Ok(value)) = (name, value) {
                call.headers.insert(name, value);
            }
        }
        call.header("lupinseam-request", &id.to_string())
            .header("lupinseam-attempt", &attempt.to_string())
    }

    /// Reports the result of an attempt to the upstream's circuit breaker.
    fn report_to_breaker(
        &self,
        selected: &SelectedUpstream,
        fault: Option<AttemptFault>,
    ) {
        if fault == Some(AttemptFault::Broken) {
            self.record_lost_attempt(selected);
        }
        let upstream = &selected.upstream;
        let change = match fault {
            None | Some(AttemptFault::Cancelled | AttemptFault::TooLarge) => {
                upstream.record_success()
            }
            Some(_) => upstream.record_failure(self.vm.clock.now()),
        };
        let event = match change {
            Some(BreakerChange::Opened) => Event::BreakerOpened,
            Some(BreakerChange::Closed) => Event::BreakerClosed,
            None => return,
        };
        event.log(format_args!("upstream {}", upstream.record.id));
    }

    /// Returns whether the number of attempts and the retry budget allow
    /// another attempt.
    pub(crate) fn may_retry(&self, tried: usize) -> bool {
        let most = self.vm.settings.requests.attempts as usize;
        if tried >= most {
            return false;
        }
        let allowed = self.vm.retry_budget.try_retry();
        if !allowed {
            self.vm.metrics.retries_refused.inc();
        }
        allowed
    }

    /// Returns `Ok` if the request may be retried after a failed attempt.
    ///
    /// # Errors
    ///
    /// The error that ends the request.
    pub(crate) fn check_retry(
        &self,
        fault: AttemptFault,
        repeatable: bool,
        tried: usize,
    ) -> Result<(), Error> {
        let most = self.vm.settings.requests.attempts as usize;
        let may_retry = match fault {
            // Nothing was sent, so the retry adds no load on an upstream and
            // needs no retry budget.
            AttemptFault::Unreachable => tried < most,
            AttemptFault::Broken | AttemptFault::TimedOut => {
                repeatable && self.may_retry(tried)
            }
            AttemptFault::TooLarge | AttemptFault::Cancelled => false,
        };
        if may_retry {
            return Ok(());
        }
        Err(self.last_error(fault))
    }

    /// Returns the error after the last attempt, valid for all attempts.
    fn last_error(&self, fault: AttemptFault) -> Error {
        let (kind, reason) = match fault {
            AttemptFault::Unreachable if !self.may_have_run() => (
                ErrorKind::UpstreamUnreachable,
                "could not connect to any upstream",
            ),
            AttemptFault::Unreachable => (
                ErrorKind::UpstreamFailed,
                "an attempt failed and no other upstream is reachable",
            ),
            AttemptFault::Broken => (
                ErrorKind::UpstreamFailed,
                "the upstream's answer broke off before its end",
            ),
            AttemptFault::TooLarge => (
                ErrorKind::UpstreamFailed,
                "the upstream's answer exceeds the size limit",
            ),
            AttemptFault::TimedOut => (
                ErrorKind::DeadlineExceeded,
                "the upstream did not answer in time",
            ),
            AttemptFault::Cancelled => {
                (ErrorKind::UpstreamFailed, "the caller disconnected")
            }
        };
        Error::new(kind).context(reason)
    }
}

/// Whether a status says that a request was carried out.
fn is_success(status: u16) -> bool {
    (200..300).contains(&status)
}

/// Classifies an error of the HTTP client.
pub(crate) fn attempt_fault(error: SendError) -> AttemptFault {
    match error {
        SendError::NotSent(_) => AttemptFault::Unreachable,
        SendError::Broken(_) => AttemptFault::Broken,
        SendError::TooLarge => AttemptFault::TooLarge,
    }
}

fn claim_unavailable(reason: &str) -> Error {
    Error::new(ErrorKind::ClaimUnavailable).context(reason.to_owned())
}

/// Returns whether a header is forwarded between caller and upstream.
pub(crate) fn is_forwarded_header(name: &str) -> bool {
    !HOP_BY_HOP_HEADERS.contains(&name) && name != "host" && name != "date"
}

/// Converts an upstream's response to an answer, without its hop-by-hop
/// headers.
fn forwarded_answer(answer: FullResponse) -> Answer {
    let headers = answer.headers.iter().filter_map(|(name, value)| {
        let value = value.to_str().ok()?;
        is_forwarded_header(name.as_str())
            .then(|| Header::new(name.as_str(), value))
    });
    Answer::Whole {
        status: answer.status,
        headers: headers.collect(),
        body: answer.body,
    }
}

/// Returns the text of a chat completion; empty if it is not one.
fn body_text(body: &Bytes) -> String {
    let value: Value = serde_json::from_slice(body).unwrap_or_default();
    answer_text(&value)
}
