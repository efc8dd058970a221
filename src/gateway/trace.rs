//! The trace of one request: what decided its route, its attempts and its end.
//!
//! A trace writes one log line: once the connection has taken the whole
//! response, or when it is dropped before, with the reason why the request got
//! no complete answer.

use std::{net::SocketAddr, sync::Arc, thread, time::Duration};

use serde_json::{Map, Value, json};

use crate::{
    clock::{BootInstant, SharedClock},
    crashes::subject::Subject,
    event::Event,
    gateway::{
        Gateway, answer_loss::AnswerLoss, caller_connection::ConnectionEnd,
        request_head::RequestHead,
    },
    id::{ModelId, OrganisationId},
    metrics::{Metrics, OTHER},
    placing::{
        cascade::{
            NoEscalation,
            rule::{Escalation, FirstChoice, Offer},
        },
        member::Member,
        pool::VersionRule,
        signals::{RateLimit, RetryAfter, UpstreamSignals},
    },
    rollouts::choice::{ChoiceReason, VersionChoice},
    store_sync::route::{Route, TableVersion},
    unit::Percent,
};

/// Maximum number of prompt segments in the line of a request.
const MAX_SEGMENTS_LOGGED: usize = 16;

/// Maximum number of lines of requests that the end of the process cuts off.
const MAX_CUT_LOGGED: usize = 100;

/// The position of an attempt in the trace of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AttemptNumber(usize);

/// The trace of one attempt at an upstream.
#[derive(Debug)]
struct AttemptTrace {
    upstream: String,
    software: String,
    /// The version preferred during a rollout, `old` or `new`, and why.
    version: Option<(&'static str, ChoiceReason)>,
    model: Option<ModelId>,
    requests_there: u32,
    prefill_there_ms: u64,
    /// Age of the copy of the store by which the upstream was chosen.
    copy_age: Option<Duration>,
    /// How slow the upstream was taken to be, in percent of the others.
    slowness_percent: u32,
    began_ms: u64,
    ended_ms: Option<u64>,
    end: String,
    /// Whether the upstream reported that it is leaving.
    is_leaving: bool,
    /// The `Retry-After` of the upstream.
    retry_after: Option<RetryAfter>,
    /// The rate limit that the upstream reported.
    rate_limit: Option<RateLimit>,
    /// The VM through which the response came.
    relay: Option<SocketAddr>,
    /// The VM that has lent the permit for the attempt.
    lender: Option<SocketAddr>,
    confidence: Option<u8>,
    no_escalation: Option<NoEscalation>,
    /// The larger model that was the best offer.
    best_offer: Option<Offer>,
}

/// What was decided on the slot of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SlotOutcome {
    /// The coordinator granted a slot.
    Granted,
    /// The coordinator refused the request.
    Refused,
    /// No coordinator replied, so that the attempt was sent without a slot.
    Direct,
    /// The caller disconnected meanwhile.
    Cancelled,
    /// The request ended meanwhile: its deadline, no upstream that may take
    /// it, or the stop of this VM.
    Failed,
}

impl SlotOutcome {
    /// Returns the name in log lines and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            SlotOutcome::Granted => "granted",
            SlotOutcome::Refused => "refused",
            SlotOutcome::Direct => "direct",
            SlotOutcome::Cancelled => "cancelled",
            SlotOutcome::Failed => "failed",
        }
    }
}

/// How a request ended.
#[derive(Clone, Debug)]
pub(crate) enum RequestEnd {
    /// With the response of an upstream, of this status.
    Answered(u16),
    /// With a response of the router: status, error code and reason.
    Rejected(u16, &'static str, String),
    /// Without a complete answer: why, and what is known beyond that.
    Lost(AnswerLoss, String),
}

/// Where a request has come from.
struct Origin {
    gateway: Arc<Gateway>,
    connection_end: Arc<ConnectionEnd>,
}

/// Collects the trace of one request and logs it at its end.
pub(crate) struct Trace {
    clock: SharedClock,
    metrics: Arc<Metrics>,
    id: String,
    started_at: BootInstant,
    route: Option<Arc<Route>>,
    organisation: Option<OrganisationId>,
    table: Option<TableVersion>,
    proof_age: Option<Duration>,
    prompt_tokens: Option<u64>,
    session: Option<String>,
    /// Ids of the prompt segments that other requests may share.
    shared_segments: Vec<u64>,
    digest: Option<Subject>,
    /// The last decision on a slot, and the time waited for all of them.
    slot: Option<(SlotOutcome, Duration)>,
    /// Requests in flight of the organisation and the fair level that they
    /// exceeded, if the request was rejected for that reason.
    over_share: Option<(u32, f64)>,
    /// Expected gains less price of the model that was asked first, and of the
    /// smallest one.
    first_nets: Option<(f64, f64)>,
    first_part_ms: Option<u64>,
    last_part_ms: Option<u64>,
    longest_pause_ms: u64,
    attempts: Vec<AttemptTrace>,
    origin: Option<Origin>,
    /// Whether the body of the request has been read.
    is_read: bool,
    /// How the request ended, and after which time, once its response is
    /// decided.
    end: Option<(RequestEnd, u64)>,
    is_written: bool,
}

/// The trace of a request whose response is decided but not written yet.
/// Unless it is completed, its line says that the response was lost.
#[must_use]
pub(crate) struct EndedTrace(Box<Trace>);

impl EndedTrace {
    /// Logs the request, whose whole response the connection has taken.
    pub(crate) fn complete(mut self) {
        if let Some((end, passed_ms)) = self.0.end.take() {
            self.0.write(end, passed_ms);
        }
    }
}

impl Trace {
    /// Begins the trace of the request with this id.
    pub(crate) fn new(
        id: &str,
        clock: SharedClock,
        metrics: Arc<Metrics>,
    ) -> Trace {
        Trace {
            id: id.to_owned(),
            started_at: clock.now(),
            clock,
            metrics,
            route: None,
            organisation: None,
            table: None,
            proof_age: None,
            prompt_tokens: None,
            session: None,
            shared_segments: Vec::new(),
            digest: None,
            slot: None,
            over_share: None,
            first_nets: None,
            first_part_ms: None,
            last_part_ms: None,
            longest_pause_ms: 0,
            attempts: Vec::new(),
            origin: None,
            is_read: false,
            end: None,
            is_written: false,
        }
    }

    /// Says that the request has come to this VM, on a connection whose end
    /// will be known there.
    pub(crate) fn received(
        mut self,
        gateway: Arc<Gateway>,
        connection_end: Arc<ConnectionEnd>,
    ) -> Trace {
        self.origin = Some(Origin { gateway, connection_end });
        self
    }

    /// Records that the whole request has been read.
    pub(crate) fn record_read(&mut self) {
        self.is_read = true;
    }

    /// Records the configuration in force and the age of its proof of
    /// freshness.
    pub(crate) fn record_configuration(
        &mut self,
        table: TableVersion,
        proof_age: Option<Duration>,
    ) {
        self.table = Some(table);
        self.proof_age = proof_age;
    }

    /// Records the route of the request.
    pub(crate) fn record_route(&mut self, route: Arc<Route>) {
        self.route = Some(route);
    }

    /// Records the prompt and the session from the request head.
    pub(crate) fn record_request(&mut self, request: &RequestHead) {
        self.prompt_tokens = request.prompt_tokens;
        self.session.clone_from(&request.session);
        let shared = request.shared_segments().iter();
        let ids = shared.take(MAX_SEGMENTS_LOGGED).map(|segment| segment.id);
        self.shared_segments = ids.collect();
    }

    /// Records the digest that identifies the request when it is sent again.
    pub(crate) fn record_digest(&mut self, digest: Subject) {
        self.digest = Some(digest);
    }

    /// Records a decision on a slot, after a wait of this time.
    pub(crate) fn record_slot(
        &mut self,
        outcome: SlotOutcome,
        waited: Duration,
    ) {
        let name = outcome.as_str();
        let metrics = &self.metrics;
        metrics.slot_decisions.with_label_values(&[name]).inc();
        let waits = metrics.slot_wait_s.with_label_values(&[name]);
        waits.observe(waited.as_secs_f64());
        let before = self.slot.map_or(Duration::ZERO, |(_, waited)| waited);
        self.slot = Some((outcome, before + waited));
    }

    /// Records that the request is rejected since its organisation has more
    /// requests in flight than the fair level, and counts it.
    pub(crate) fn record_over_share(&mut self, in_flight: u32, level: f64) {
        self.metrics.organisation_rejections.inc();
        self.over_share = Some((in_flight, level));
    }

    /// Records why the first model was chosen.
    pub(crate) fn record_first_choice(&mut self, first: &FirstChoice) {
        self.first_nets = first.nets;
    }

    /// Records the organisation of the caller.
    pub(crate) fn record_organisation(
        &mut self,
        organisation: OrganisationId,
    ) {
        self.organisation = Some(organisation);
    }

    /// Records that an attempt begins.
    pub(crate) fn begin_attempt(
        &mut self,
        member: &Member,
        model: Option<ModelId>,
        copy_age: Option<Duration>,
        now: BootInstant,
    ) -> AttemptNumber {
        let number = AttemptNumber(self.attempts.len());
        self.attempts.push(AttemptTrace {
            upstream: member.entry.id.to_string(),
            software: member.entry.software.to_string(),
            version: None,
            model,
            requests_there: member.requests(now),
            prefill_there_ms: member.prefill_backlog(now).as_millis() as u64,
            copy_age,
            slowness_percent: (member.slowness(now) * 100.0).round() as u32,
            began_ms: self.elapsed_ms(),
            ended_ms: None,
            end: "running".to_owned(),
            is_leaving: false,
            retry_after: None,
            rate_limit: None,
            relay: None,
            lender: None,
            confidence: None,
            no_escalation: None,
            best_offer: None,
        });
        number
    }

    /// Records which version the last attempt preferred during a rollout.
    pub(crate) fn record_version(&mut self, choice: &VersionChoice) {
        let wanted = match choice.rule {
            VersionRule::Any => return,
            VersionRule::Prefer(_) => "new",
            VersionRule::Avoid(_) | VersionRule::Never(_) => "old",
        };
        if let Some(last) = self.attempts.last_mut() {
            last.version = choice.reason.map(|reason| (wanted, reason));
        }
    }

    /// Records the VM through which the response came, if it did.
    pub(crate) fn record_relay(&mut self, relay: Option<SocketAddr>) {
        if let Some(last) = self.attempts.last_mut() {
            last.relay = relay;
        }
    }

    /// Records the VM that has lent the permit for the last attempt.
    pub(crate) fn record_lender(&mut self, lender: SocketAddr) {
        if let Some(last) = self.attempts.last_mut() {
            last.lender = Some(lender);
        }
    }

    /// Records what the upstream reported about itself in its response.
    pub(crate) fn record_signals(&mut self, signals: &UpstreamSignals) {
        if let Some(last) = self.attempts.last_mut() {
            last.is_leaving = signals.is_leaving;
            last.retry_after.clone_from(&signals.retry_after);
            last.rate_limit.clone_from(&signals.rate_limit);
        }
    }

    /// Records the confidence of the model in its answer and the decision
    /// whether a larger model is asked, and counts the latter.
    pub(crate) fn record_confidence(
        &mut self,
        confidence: Percent,
        escalation: &Escalation,
    ) {
        let no_escalation = escalation.decision.as_ref().err().copied();
        let outcome = no_escalation.map_or("escalated", NoEscalation::as_str);
        let decisions = &self.metrics.cascade_decisions;
        decisions.with_label_values(&[outcome]).inc();
        if let Some(last) = self.attempts.last_mut() {
            last.confidence = Some(confidence.value());
            last.no_escalation = no_escalation;
            last.best_offer.clone_from(&escalation.best);
        }
    }

    /// Records how the last attempt ended, and counts it by `label`.
    pub(crate) fn end_attempt(&mut self, label: &str, detail: &str) {
        let last = self.attempts.len().saturating_sub(1);
        self.end_attempt_of(AttemptNumber(last), label, detail);
    }

    /// Does the same for an attempt beside which a later one has begun.
    pub(crate) fn end_attempt_of(
        &mut self,
        number: AttemptNumber,
        label: &str,
        detail: &str,
    ) {
        let elapsed_ms = self.elapsed_ms();
        self.metrics.attempts.with_label_values(&[label]).inc();
        if let Some(attempt) = self.attempts.get_mut(number.0) {
            attempt.ended_ms = Some(elapsed_ms);
            attempt.end = match detail.is_empty() {
                true => label.to_owned(),
                false => format!("{label}: {detail}"),
            };
        }
    }

    /// Records that a part of the response is sent to the caller.
    pub(crate) fn record_body_part(&mut self) {
        let elapsed_ms = self.elapsed_ms();
        self.first_part_ms.get_or_insert(elapsed_ms);
        if let Some(last_part_ms) = self.last_part_ms {
            let pause_ms = elapsed_ms - last_part_ms;
            self.longest_pause_ms = self.longest_pause_ms.max(pause_ms);
        }
        self.last_part_ms = Some(elapsed_ms);
    }

    /// Ends the trace, which is logged once the response is written.
    pub(crate) fn end(mut self, end: RequestEnd) -> EndedTrace {
        self.end = Some((end, self.elapsed_ms()));
        EndedTrace(Box::new(self))
    }

    /// Logs that the request gets no complete answer.
    pub(crate) fn lose(mut self, loss: AnswerLoss, reason: String) {
        self.write_loss(loss, reason);
    }

    /// Returns what the request was waiting for.
    fn phase(&self) -> &'static str {
        let is_running = |attempt: &AttemptTrace| attempt.ended_ms.is_none();
        if self.end.is_some() || self.first_part_ms.is_some() {
            "answer"
        } else if self.attempts.iter().any(is_running) {
            "upstream"
        } else if self.is_read {
            "slot"
        } else {
            "request"
        }
    }

    /// Returns for how long nothing has come from the upstream of the request,
    /// if its answer is not whole.
    fn upstream_silence_ms(&self) -> Option<u64> {
        let asked_ms = self.attempts.last()?.began_ms;
        let heard_ms = self.last_part_ms.unwrap_or(0).max(asked_ms);
        let is_answered = self.end.is_some();
        (!is_answered).then(|| self.elapsed_ms().saturating_sub(heard_ms))
    }

    /// Returns the version of the configuration that is in force by now, if
    /// the request was judged by another one.
    fn later_table(&self) -> Option<TableVersion> {
        let origin = self.origin.as_ref()?;
        let now = origin.gateway.knowledge.table()?.version();
        (self.table? != now).then_some(now)
    }

    fn write_loss(&mut self, loss: AnswerLoss, reason: String) {
        self.metrics.unanswered.with_label_values(&[loss.label()]).inc();
        let passed_ms = self.elapsed_ms();
        self.write(RequestEnd::Lost(loss, reason), passed_ms);
    }

    fn elapsed_ms(&self) -> u64 {
        let now = self.clock.now();
        now.saturating_duration_since(self.started_at).as_millis() as u64
    }

    fn write(&mut self, end: RequestEnd, passed_ms: u64) {
        self.is_written = true;
        self.update_metrics(&end, passed_ms);
        let is_cut = matches!(end, RequestEnd::Lost(AnswerLoss::Stopped, _));
        if is_cut
            && let Some(origin) = &self.origin
            && origin.gateway.count_cut_request() >= MAX_CUT_LOGGED
        {
            return;
        }
        let mut fields = Map::new();
        fields.insert("id".into(), self.id.as_str().into());
        let mut put = |name: &str, value: Value| {
            if !value.is_null() {
                fields.insert(name.into(), value);
            }
        };
        let route = self.route.as_ref();
        put("route", json!(route.map(|route| &route.name)));
        put("organisation", json!(self.organisation));
        put("table", json!(self.table.map(|table| table.0)));
        let proof_age = self.proof_age.map(|age| age.as_millis() as u64);
        put("proof_age_ms", json!(proof_age));
        put("prompt_tokens", json!(self.prompt_tokens));
        put("session", json!(self.session));
        let digest = self.digest.map(|digest| digest.to_string());
        if digest.is_some() && !self.shared_segments.is_empty() {
            let ids = self.shared_segments.iter();
            let ids: Vec<String> = ids.map(|id| format!("{id:x}")).collect();
            put("shared_segments", json!(ids));
        }
        put("request_digest", json!(digest));
        if let Some((outcome, waited)) = self.slot {
            put("slot", json!(outcome.as_str()));
            put("slot_waited_ms", json!(waited.as_millis() as u64));
        }
        if let Some((in_flight, level)) = self.over_share {
            put("organisation_requests", json!(in_flight));
            put("organisation_level", json!((level * 10.0).round() / 10.0));
        }
        if let Some((first, smallest)) = self.first_nets {
            put("first_model_net", json!(rounded(first)));
            put("smallest_model_net", json!(rounded(smallest)));
        }
        put("passed_ms", json!(passed_ms));
        put("first_part_ms", json!(self.first_part_ms));
        let pause_ms = Some(self.longest_pause_ms).filter(|ms| *ms > 0);
        put("longest_pause_ms", json!(pause_ms));
        let attempts = self.attempts.iter().map(AttemptTrace::to_json);
        put("attempts", attempts.collect());
        match &end {
            RequestEnd::Answered(status) => put("status", json!(status)),
            RequestEnd::Rejected(status, code, reason) => {
                put("status", json!(status));
                put("code", json!(code));
                put("reason", json!(reason));
            }
            RequestEnd::Lost(loss, reason) => {
                put("code", json!(loss.label()));
                let reason = Some(reason).filter(|text| !text.is_empty());
                put("reason", json!(reason));
                put("phase", json!(self.phase()));
                put("upstream_silent_ms", json!(self.upstream_silence_ms()));
                let later_table = self.later_table();
                put("table_at_end", json!(later_table.map(|table| table.0)));
                let lost = self.end.as_ref().map(|(end, _)| end);
                if let Some(
                    RequestEnd::Answered(status)
                    | RequestEnd::Rejected(status, ..),
                ) = lost
                {
                    put("status", json!(status));
                }
            }
        }
        let event = match end {
            RequestEnd::Answered(_) => Event::RequestEnded,
            _ => Event::RequestFailed,
        };
        event.record(fields);
    }

    fn update_metrics(&self, end: &RequestEnd, passed_ms: u64) {
        let code = match end {
            RequestEnd::Answered(_) => "answered",
            RequestEnd::Rejected(_, code, _) => code,
            RequestEnd::Lost(loss, _) => loss.label(),
        };
        let organisation = self.organisation.as_ref();
        let organisation = organisation.map_or(OTHER, |o| o.as_str());
        let class = self.route.as_ref().map_or(OTHER, |route| route.class());
        let labels = &[organisation, class];
        let metrics = &self.metrics;
        metrics.requests.with_label_values(&[organisation, class, code]).inc();
        let passed_s = passed_ms as f64 / 1000.0;
        metrics.latency_s.with_label_values(labels).observe(passed_s);
        if let Some(first_part_ms) = self.first_part_ms {
            let first_part_s = first_part_ms as f64 / 1000.0;
            let metric = metrics.first_token_s.with_label_values(labels);
            metric.observe(first_part_s);
        }
    }
}

impl Drop for Trace {
    fn drop(&mut self) {
        if self.is_written {
            return;
        }
        let origin = self.origin.as_ref();
        let cause = match thread::panicking() {
            true => Some((AnswerLoss::Panicked, String::new())),
            false => origin.and_then(|origin| origin.connection_end.cause()),
        };
        let (loss, reason) = cause.unwrap_or_default();
        self.write_loss(loss, reason);
    }
}

impl AttemptTrace {
    fn to_json(&self) -> Value {
        let mut fields = Map::new();
        fields.insert("upstream".into(), self.upstream.as_str().into());
        fields.insert("software".into(), self.software.as_str().into());
        if let Some((wanted, reason)) = self.version {
            fields.insert("version_wanted".into(), wanted.into());
            fields.insert("version_by".into(), reason.as_str().into());
            if let Some(age) = reason.session_age() {
                let age_ms = age.as_millis() as u64;
                fields.insert("session_age_ms".into(), age_ms.into());
            }
        }
        if let Some(model) = &self.model {
            fields.insert("model".into(), model.as_str().into());
        }
        fields.insert("requests_there".into(), self.requests_there.into());
        let prefill_ms = self.prefill_there_ms;
        fields.insert("reading_there_ms".into(), prefill_ms.into());
        if let Some(age) = self.copy_age {
            let age_ms = age.as_millis() as u64;
            fields.insert("copy_age_ms".into(), age_ms.into());
        }
        if self.slowness_percent != 100 {
            fields.insert("slowness".into(), self.slowness_percent.into());
        }
        fields.insert("began_ms".into(), self.began_ms.into());
        if let Some(ended_ms) = self.ended_ms {
            fields.insert("ended_ms".into(), ended_ms.into());
        }
        if self.is_leaving {
            fields.insert("says_leaving".into(), true.into());
        }
        let retry_after = match &self.retry_after {
            None => None,
            Some(RetryAfter::For(time)) => {
                Some(json!(time.as_millis() as u64))
            }
            Some(RetryAfter::Unreadable(text)) => Some(json!(text)),
        };
        if let Some(retry_after) = retry_after {
            fields.insert("rest_wanted_ms".into(), retry_after);
        }
        match &self.rate_limit {
            None | Some(RateLimit::Unlimited) => {}
            Some(RateLimit::At(rate)) => {
                fields.insert("rate_limit_per_s".into(), rate.per_s().into());
            }
            Some(RateLimit::Unreadable(text)) => {
                let text = text.as_str();
                fields.insert("rate_limit_unreadable".into(), text.into());
            }
        }
        if let Some(relay) = self.relay {
            fields.insert("through".into(), relay.to_string().into());
        }
        if let Some(lender) = self.lender {
            fields.insert("permit_of".into(), lender.to_string().into());
        }
        if let Some(confidence) = self.confidence {
            fields.insert("confidence".into(), confidence.into());
        }
        if let Some(no_escalation) = self.no_escalation {
            fields.insert("kept".into(), no_escalation.as_str().into());
        }
        if let Some(offer) = &self.best_offer {
            let model = offer.model.as_str();
            fields.insert("larger_model".into(), model.into());
            fields.insert("gain".into(), rounded(offer.gain).into());
            fields.insert("price".into(), rounded(offer.price).into());
        }
        fields.insert("end".into(), self.end.as_str().into());
        Value::Object(fields)
    }
}

/// Rounds an amount of money to millionths.
fn rounded(amount: f64) -> f64 {
    (amount * 1e6).round() / 1e6
}

#[cfg(test)]
mod tests;
