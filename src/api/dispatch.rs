//! Dispatch: claims, attempts at upstreams, retries and the cascade.
//!
//! A request that may be repeated is retried within the retry budget. One
//! that may not be is sent once, on a fresh connection; only a failure to
//! connect, before any byte left, lets it try another upstream.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures_lite::FutureExt;
use hyper::Method;
use serde_json::Value;

use crate::{
    answer::{Answer, Header},
    api::{
        chat::{TokenUsage, answer_text},
        decision::{Attempt, AttemptEnd, UpstreamChoice, Verdict},
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
            BodyHash, ClaimKey, ClaimOutcome, ClaimRequest, ClaimVerdict,
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

/// Time after which a repeatable service call is tried elsewhere.
const SERVICE_ATTEMPT_LIMIT: Duration = Duration::from_secs(2);

/// Share of answers that are rated only to learn.
const LEARN_SHARE: f64 = 0.1;

/// The status by which an upstream says that it did not take a request.
pub(super) const STATUS_UNAVAILABLE: u16 = 503;

/// The status by which an engine says that the version is not loaded.
pub(super) const STATUS_NOT_LOADED: u16 = 409;

/// A call of a plain service, as it is passed on.
#[derive(Clone, Debug)]
pub(crate) struct ServiceTarget {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: Vec<Header>,
    pub(crate) body: Bytes,
}

/// What one attempt needs.
pub(crate) struct Sending {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: Vec<Header>,
    pub(crate) body: Bytes,
    pub(crate) repeatable: bool,
    /// The longest time until the head, or the whole answer, is here.
    pub(crate) limit: Duration,
}

/// An upstream chosen for an attempt.
pub(crate) struct SelectedUpstream {
    pub(crate) upstream: Arc<Upstream>,
    pub(crate) choice: UpstreamChoice,
    pub(super) chosen_at: BootInstant,
    _in_flight: InFlightGuard,
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptFault {
    Unreachable,
    Broken,
    TooLarge,
    TimedOut,
    Cancelled,
}

impl AttemptFault {
    pub(crate) fn end(self) -> AttemptEnd {
        match self {
            AttemptFault::Unreachable => AttemptEnd::Unreachable,
            AttemptFault::Broken | AttemptFault::TooLarge => {
                AttemptEnd::Broken
            }
            AttemptFault::TimedOut => AttemptEnd::TimedOut,
            AttemptFault::Cancelled => AttemptEnd::Cancelled,
        }
    }
}

impl Request<Admitted<ServiceCall>> {
    /// Runs a service call to its end.
    pub(crate) async fn run(mut self, target: ServiceTarget) -> Answer {
        let method = target.method.as_str();
        let body = BodyHash::of(method, &target.path, &target.body);
        let key = self.state.key.clone();
        let repeatable = self.state.call.repeatable;
        if let Err(end) = self.core.claim(key, body, repeatable).await {
            return self.core.settle(*end);
        }
        self.core.open_bill(self.state.call.rule.call_price_micro).await;
        let outcome = self.attempt_all(&target).await;
        self.core.prepare_end(&outcome);
        let Request { core, state } = self;
        state.release();
        core.settle(outcome)
    }

    async fn attempt_all(&mut self, target: &ServiceTarget) -> Outcome {
        let vm = self.core.vm.clone();
        let repeatable = self.state.call.repeatable;
        let price = self.state.call.rule.call_price_micro;
        let service = self.state.call.rule.service.clone();
        let mut tried = Vec::new();
        vm.retry_budget.count_request();
        loop {
            let now = vm.clock.now();
            let left = self.state.deadline.saturating_duration_since(now);
            let upstreams = vm.view.service_upstreams(&service);
            let wish = UpstreamCriteria {
                version: None,
                prefix: None,
                tried: &tried,
            };
            let chosen = self.core.choose(&upstreams, wish)?;
            let limit = match repeatable {
                true => left.min(SERVICE_ATTEMPT_LIMIT),
                false => left,
            };
            let sending = Sending {
                method: target.method.clone(),
                path: target.path.clone(),
                headers: target.headers.clone(),
                body: target.body.clone(),
                repeatable,
                limit,
            };
            tried.push(chosen.upstream.record.id.clone());
            self.core.begin_attempt(&chosen, None, price);
            match self.core.ask_whole(&chosen, sending).await {
                Ok(answer) => {
                    let status = answer.status;
                    self.core.end_attempt(AttemptEnd::Answered { status });
                    let again = status == STATUS_UNAVAILABLE && repeatable;
                    if again && self.core.may_retry(tried.len()) {
                        continue;
                    }
                    return Ok(pass_on(answer));
                }
                Err(fault) => {
                    self.core.end_attempt(fault.end());
                    self.core.go_on(fault, repeatable, tried.len())?;
                }
            }
        }
    }
}

impl Request<Planned> {
    /// Runs a chat request to its end, or until its stream has begun.
    pub(crate) async fn run(mut self, body: &[u8]) -> Answer {
        let hash = BodyHash::of("POST", "/v1/chat/completions", body);
        let key = self.state.admitted.key.clone();
        let repeatable = self.state.repeatable;
        if let Err(end) = self.core.claim(key, hash, repeatable).await {
            return self.core.settle(*end);
        }
        let pass = match self.wait_for_room().await {
            Ok(pass) => pass,
            Err(error) => return self.core.settle(Err(error)),
        };
        self.core.open_bill(self.estimate()).await;
        self.core.vm.retry_budget.count_request();
        let is_stream = self.state.admitted.call.chat.stream;
        if is_stream {
            return relay::run(self, pass).await;
        }
        let outcome = self.cascade(pass).await;
        self.core.prepare_end(&outcome);
        let Request { core, state } = self;
        state.admitted.release();
        core.settle(outcome)
    }

    /// The cost that the bill states until the request has ended.
    fn estimate(&self) -> MicroCost {
        let entry = &self.state.plan.steps[0].entry;
        let chat = &self.state.admitted.call.chat;
        let output = chat
            .output_tokens
            .unwrap_or(crate::api::estimate::USUAL_OUTPUT_TOKENS);
        entry.price(chat.input_tokens, output)
    }

    /// Asks the planned versions in order until an answer is good enough.
    async fn cascade(&mut self, pass: crate::api::queue::Pass) -> Outcome {
        let steps = self.state.plan.steps.clone();
        let mut pass = Some(pass);
        let mut best = None;
        for (at, step) in steps.iter().enumerate() {
            let is_last = at + 1 == steps.len();
            let answer = match self.ask_step(step, &mut pass).await {
                Ok(answer) => answer,
                // An earlier answer, if poor, is better than none.
                Err(error) => return best.ok_or(error),
            };
            let is_answer = answer.status == 200;
            let text = body_text(&answer.body);
            let whole = self.whole(answer, &step.entry);
            if !is_answer {
                return best.map_or(Ok(whole), Ok);
            }
            if is_last {
                self.learn_sometimes(&step.entry, text);
                return Ok(whole);
            }
            match self.rate(&step.entry, text).await {
                Some(score) if self.is_below_target(score) => {
                    self.note_poor(score);
                    best = Some(whole);
                }
                _ => return Ok(whole),
            }
        }
        best.ok_or_else(|| Error::new(ErrorKind::Internal))
    }

    /// Asks one version, at as many upstreams as it takes and may.
    async fn ask_step(
        &mut self,
        step: &Step,
        pass: &mut Option<crate::api::queue::Pass>,
    ) -> Result<FullResponse, Error> {
        let repeatable = self.state.repeatable;
        let mut tried: Vec<UpstreamId> = Vec::new();
        loop {
            let chosen = self.choose_for(&step.entry, &tried)?;
            pass.take();
            tried.push(chosen.upstream.record.id.clone());
            let sending = self.sending(&step.entry, tried.len());
            self.core.begin_attempt(
                &chosen,
                Some(&step.entry),
                MicroCost::default(),
            );
            match self.core.ask_whole(&chosen, sending).await {
                Ok(answer) => {
                    let status = answer.status;
                    let refused = matches!(
                        status,
                        STATUS_UNAVAILABLE | STATUS_NOT_LOADED
                    );
                    self.note_answer(&step.entry, &answer);
                    if refused
                        && repeatable
                        && self.core.may_retry(tried.len())
                    {
                        continue;
                    }
                    return Ok(answer);
                }
                Err(fault) => {
                    self.core.end_attempt(fault.end());
                    self.note_fault(&step.entry, fault);
                    self.core.go_on(fault, repeatable, tried.len())?;
                }
            }
        }
    }

    /// Chooses the upstream of an attempt at a version.
    pub(crate) fn choose_for(
        &mut self,
        entry: &VersionEntry,
        tried: &[UpstreamId],
    ) -> Result<SelectedUpstream, Error> {
        let upstreams = self.core.vm.view.model_upstreams(&entry.model);
        let wish = UpstreamCriteria {
            version: Some(version_hash(entry)),
            prefix: Some(self.state.admitted.call.chat.prefix),
            tried,
        };
        self.core.choose(&upstreams, wish)
    }

    /// What is sent in an attempt at a version.
    pub(crate) fn sending(
        &self,
        entry: &VersionEntry,
        attempt: usize,
    ) -> Sending {
        let core = &self.core;
        let state = &self.state.admitted;
        let now = core.vm.clock.now();
        let left = state.deadline.saturating_duration_since(now);
        let attempts = core.vm.settings.requests.attempts as usize;
        let tries_left = (attempts + 1).saturating_sub(attempt).max(1) as u32;
        let limit = match self.state.repeatable {
            true => left / tries_left,
            false => left,
        };
        Sending {
            method: Method::POST,
            path: "/v1/chat/completions".to_owned(),
            headers: vec![Header::new("content-type", "application/json")],
            body: state
                .call
                .chat
                .body_for(entry, core.decision.priority)
                .into(),
            repeatable: self.state.repeatable,
            limit,
        }
    }

    fn note_answer(&mut self, entry: &VersionEntry, answer: &FullResponse) {
        let status = answer.status;
        self.core.end_attempt(AttemptEnd::Answered { status });
        let used = serde_json::from_slice::<Value>(&answer.body)
            .ok()
            .and_then(|value| TokenUsage::from_json(&value));
        if let Some(used) = used {
            self.core.note_use(entry, used);
        }
        let failed = status >= 500 && status != STATUS_UNAVAILABLE;
        if status == 200 || failed {
            self.add_evidence(entry, failed, None);
        }
    }

    /// Notes a failed attempt as evidence, where the version may be why.
    pub(crate) fn note_fault(
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

    /// Adds evidence about a version.
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
        self.learner(entry).add(tally);
    }

    fn learner(&self, entry: &VersionEntry) -> Learner {
        let admitted = &self.state.admitted;
        Learner {
            vm: self.core.vm.clone(),
            entry: entry.clone(),
            task: admitted.call.task.clone(),
            organisation: admitted.template.organisation.clone(),
            target: admitted.template.quality_target,
            prompt: admitted.call.chat.last_text(),
        }
    }

    async fn rate(
        &self,
        entry: &VersionEntry,
        answer: String,
    ) -> Option<Share> {
        self.learner(entry).rate(answer).await
    }

    /// Rates a part of the answers in the background, only to learn; all
    /// answers of a version that is rolling out.
    pub(crate) fn learn_sometimes(
        &self,
        entry: &VersionEntry,
        answer: String,
    ) {
        let is_rolling = matches!(
            entry.state,
            crate::api::template::VersionState::RollingOut { .. }
        );
        if !is_rolling && rand::random::<f64>() >= LEARN_SHARE {
            return;
        }
        let learner = self.learner(entry);
        task::spawn(async move {
            learner.rate(answer).await;
        })
        .detach();
    }

    fn is_below_target(&self, score: Share) -> bool {
        score < self.state.admitted.template.quality_target
    }

    fn note_poor(&mut self, score: Share) {
        self.core.vm.metrics.escalations.inc();
        if let Some(last) = self.core.decision.attempts.last_mut() {
            let score_milli = (score.value() * 1000.0) as u16;
            last.end = AttemptEnd::RatedPoor { score_milli };
        }
    }

    fn whole(&self, answer: FullResponse, entry: &VersionEntry) -> Answer {
        let mut passed = pass_on(answer);
        if let Some(header) = self.session_header(entry) {
            passed.add_header(header);
        }
        passed
    }
}

/// Learns from ratings of one version's answers.
struct Learner {
    vm: Arc<Vm>,
    entry: VersionEntry,
    task: String,
    organisation: crate::id::OrganisationId,
    target: Share,
    prompt: String,
}

impl Learner {
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
    /// Claims the key of a request that may not be repeated.
    ///
    /// An error is how the request ends without being run.
    async fn claim(
        &mut self,
        key: Option<String>,
        body: BodyHash,
        repeatable: bool,
    ) -> Result<(), Box<Outcome>> {
        let Some(key) = key.filter(|_| !repeatable) else { return Ok(()) };
        match self.settle_key(&key, body).await {
            Ok(None) => Ok(()),
            Ok(Some(recorded)) => Err(Box::new(Ok(recorded))),
            Err(error) => Err(Box::new(Err(error))),
        }
    }

    /// Notes what a repeat of the request's key will be shown.
    fn prepare_end(&mut self, outcome: &Outcome) {
        if let Ok(Answer::Whole { status, headers, body }) = outcome {
            let recorded = self.recorded(*status, headers, body);
            self.set_claim_outcome(recorded);
        }
    }

    /// Settles the claim on a key before the request may run.
    ///
    /// `Some` is the recorded answer of an earlier request with the key.
    async fn settle_key(
        &mut self,
        key: &str,
        body: BodyHash,
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
                self.hold_claim(claim);
                Ok(None)
            }
            ClaimVerdict::Granted => {
                Claims::settle(&vm, claim, ClaimOutcome::NotRun);
                Err(claim_unavailable("the grant came too late"))
            }
            ClaimVerdict::Settled { by, outcome } => {
                self.repeat(by, outcome).map(Some)
            }
            ClaimVerdict::InProgress { by } => {
                Err(Error::new(ErrorKind::KeyInProgress)
                    .context(format!("{by} with the same key still runs")))
            }
            ClaimVerdict::Reused => Err(Error::new(ErrorKind::KeyReused)
                .context("the key was used for another request")),
            ClaimVerdict::Gap => Err(Error::new(ErrorKind::OutcomeUnknown)
                .context(
                    "records of this key may have been lost with a data hall",
                )),
            ClaimVerdict::NotOwner { .. } => {
                Err(claim_unavailable("the slot's owner is not found"))
            }
            ClaimVerdict::Unavailable { reason } => {
                // The claim may stand nevertheless; it is given back.
                Claims::settle(&vm, claim, ClaimOutcome::NotRun);
                Err(claim_unavailable(&reason))
            }
        }
    }

    fn repeat(
        &mut self,
        by: crate::id::RequestId,
        outcome: ClaimOutcome,
    ) -> Result<Answer, Error> {
        match outcome {
            ClaimOutcome::Ran { status, content_type, body: Some(body) } => {
                self.decision.verdict = Verdict::Repeated { of: by.clone() };
                let headers = vec![
                    Header::new("content-type", content_type),
                    Header::new("lupinseam-repeated", by.to_string()),
                ];
                Ok(Answer::Whole { status, headers, body: body.into() })
            }
            ClaimOutcome::Ran { .. } => {
                Err(Error::new(ErrorKind::AnswerNotKept)
                    .context(format!("{by} ran, its answer is not kept")))
            }
            ClaimOutcome::Unknown | ClaimOutcome::NotRun => {
                Err(Error::new(ErrorKind::OutcomeUnknown)
                    .context(format!("{by} may have run")))
            }
        }
    }

    /// What a repeat of this request will be shown.
    fn recorded(
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

    /// Chooses an upstream and counts the request there.
    pub(crate) fn choose(
        &mut self,
        upstreams: &[Arc<Upstream>],
        wish: UpstreamCriteria<'_>,
    ) -> Result<SelectedUpstream, Error> {
        let vm = &self.vm;
        let now = vm.clock.now();
        let facts: Vec<_> =
            upstreams.iter().map(|u| vm.view.facts(u, now)).collect();
        let picked = pick_upstream(&facts, wish, rand::random());
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
        // Lets the trial of an open breaker through; the pick saw it closed
        // or due.
        upstream.allow_request(now);
        upstream.reported_state.record_sent(now);
        let in_flight = upstream.begin();
        Ok(SelectedUpstream {
            upstream,
            choice,
            chosen_at: now,
            _in_flight: in_flight,
        })
    }

    /// Notes the attempt that begins.
    pub(crate) fn begin_attempt(
        &mut self,
        chosen: &SelectedUpstream,
        entry: Option<&VersionEntry>,
        price: MicroCost,
    ) {
        self.note_attempt(Attempt {
            model: entry.map(|entry| entry.model.clone()),
            version: entry.map(|entry| entry.version.clone()),
            choice: chosen.choice.clone(),
            end: AttemptEnd::Running,
            input_tokens: 0,
            output_tokens: 0,
            cost_micro: price,
        });
    }

    /// Notes the tokens that the last attempt used.
    pub(crate) fn note_use(&mut self, entry: &VersionEntry, used: TokenUsage) {
        if let Some(last) = self.decision.attempts.last_mut() {
            last.input_tokens = used.input;
            last.output_tokens = used.output;
            last.cost_micro = entry.price(used.input, used.output);
        }
    }

    /// Sends an attempt and waits for the head of its answer.
    pub(crate) async fn ask(
        &self,
        chosen: &SelectedUpstream,
        sending: Sending,
    ) -> Result<Exchange, AttemptFault> {
        let limit = sending.limit;
        let reuse = match sending.repeatable {
            true if sending.method != Method::POST => Reuse::Pooled,
            _ => Reuse::Fresh,
        };
        let call = self.call(chosen, sending);
        let work = async {
            let sent = self.vm.http.send(call, reuse).await;
            sent.map_err(fault_of)
        };
        let result = self.bounded(limit, work).await;
        if let Ok(exchange) = &result {
            self.apply_upstream_statement(
                chosen,
                exchange.status,
                &exchange.headers,
            );
        }
        self.judge_upstream(chosen, result.as_ref().err().copied());
        result
    }

    /// Sends an attempt and waits for the whole answer.
    pub(crate) async fn ask_whole(
        &self,
        chosen: &SelectedUpstream,
        sending: Sending,
    ) -> Result<FullResponse, AttemptFault> {
        let limit = sending.limit;
        let most = self.vm.settings.requests.answer_limit_bytes;
        // A connection that others used before may be closing, which leaves
        // the fate of what is sent on it open.
        let reuse = match sending.repeatable {
            true => Reuse::Pooled,
            false => Reuse::Fresh,
        };
        let can_cancel = sending.repeatable;
        let call = self.call(chosen, sending);
        let work = async {
            let sent = self.vm.http.send(call, reuse).await;
            let exchange = sent.map_err(fault_of)?;
            self.apply_upstream_statement(
                chosen,
                exchange.status,
                &exchange.headers,
            );
            exchange.read_to_end(most).await.map_err(fault_of)
        };
        let result = match can_cancel {
            true => self.bounded(limit, work).await,
            false => {
                let done = within(limit, work).await;
                done.unwrap_or(Err(AttemptFault::TimedOut))
            }
        };
        self.judge_upstream(chosen, result.as_ref().err().copied());
        result
    }

    /// Runs work until its limit or until the caller goes away.
    async fn bounded<T>(
        &self,
        limit: Duration,
        work: impl Future<Output = Result<T, AttemptFault>>,
    ) -> Result<T, AttemptFault> {
        let cancelled = async {
            // The channel never carries a message; it only closes.
            let _ = self.cancel.recv().await;
            Err(AttemptFault::Cancelled)
        };
        let done = within(limit, work.or(cancelled)).await;
        done.unwrap_or(Err(AttemptFault::TimedOut))
    }

    fn call(&self, chosen: &SelectedUpstream, sending: Sending) -> Call {
        let id = &self.decision.id;
        let attempt = self.decision.attempts.len();
        let address = chosen.upstream.record.address;
        let mut call = Call::new(address, sending.method, sending.path)
            .body(sending.body);
        for header in sending.headers {
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

    /// Tells the breaker of an upstream how an attempt went.
    fn judge_upstream(
        &self,
        chosen: &SelectedUpstream,
        fault: Option<AttemptFault>,
    ) {
        let upstream = &chosen.upstream;
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

    /// Whether another attempt is allowed, by number and by budget.
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

    /// Decides after a failed attempt: another one, or the end.
    ///
    /// # Errors
    ///
    /// The error that ends the request.
    pub(crate) fn go_on(
        &self,
        fault: AttemptFault,
        repeatable: bool,
        tried: usize,
    ) -> Result<(), Error> {
        let most = self.vm.settings.requests.attempts as usize;
        let again = match fault {
            // Nothing left, so no upstream was loaded by it.
            AttemptFault::Unreachable => tried < most,
            AttemptFault::Broken | AttemptFault::TimedOut => {
                repeatable && self.may_retry(tried)
            }
            AttemptFault::TooLarge | AttemptFault::Cancelled => false,
        };
        if again {
            return Ok(());
        }
        Err(self.last_error(fault))
    }

    /// The error after the last attempt, true for all of them.
    fn last_error(&self, fault: AttemptFault) -> Error {
        let (kind, reason) = match fault {
            AttemptFault::Unreachable if !self.may_have_run() => (
                ErrorKind::UpstreamUnreachable,
                "no upstream could be reached",
            ),
            AttemptFault::Unreachable => (
                ErrorKind::UpstreamFailed,
                "an attempt broke off and no other upstream is reached",
            ),
            AttemptFault::Broken => (
                ErrorKind::UpstreamFailed,
                "the upstream broke off before its answer was whole",
            ),
            AttemptFault::TooLarge => (
                ErrorKind::UpstreamFailed,
                "the upstream's answer is larger than allowed",
            ),
            AttemptFault::TimedOut => (
                ErrorKind::DeadlineExceeded,
                "the upstream did not answer in time",
            ),
            AttemptFault::Cancelled => {
                (ErrorKind::UpstreamFailed, "the caller went away")
            }
        };
        Error::new(kind).context(reason)
    }
}

pub(crate) fn fault_of(error: SendError) -> AttemptFault {
    match error {
        SendError::NotSent(_) => AttemptFault::Unreachable,
        SendError::Broken(_) => AttemptFault::Broken,
        SendError::TooLarge => AttemptFault::TooLarge,
    }
}

fn claim_unavailable(reason: &str) -> Error {
    Error::new(ErrorKind::ClaimUnavailable).context(reason.to_owned())
}

/// Whether a header is passed on between caller and upstream.
pub(crate) fn is_passed_on(name: &str) -> bool {
    !HOP_BY_HOP_HEADERS.contains(&name) && name != "host" && name != "date"
}

fn pass_on(answer: FullResponse) -> Answer {
    let headers = answer.headers.iter().filter_map(|(name, value)| {
        let value = value.to_str().ok()?;
        is_passed_on(name.as_str()).then(|| Header::new(name.as_str(), value))
    });
    Answer::Whole {
        status: answer.status,
        headers: headers.collect(),
        body: answer.body,
    }
}

fn body_text(body: &Bytes) -> String {
    let value: Value = serde_json::from_slice(body).unwrap_or_default();
    answer_text(&value)
}
