//! The record of one request: what decided it, and how it ended.
//!
//! A trace writes one line when its request ends, with every attempt. If it
//! is dropped before, the caller has left, and the line says so.

use std::{sync::Arc, time::Duration};

use serde_json::{Map, Value, json};

use crate::{
    clock::{BootInstant, SharedClock},
    crashes::digest::RequestDigest,
    event::Event,
    gateway::inbound::Inbound,
    id::{ModelId, OrganisationId},
    metrics::{Metrics, OTHER},
    placing::{
        cascade::NoEscalation,
        member::Member,
        pool::VersionRule,
        signals::{RateLimit, RetryAfter, UpstreamSignals},
    },
    rollouts::choice::{ChoiceReason, VersionChoice},
    store_sync::route::{Route, TableVersion},
    unit::Percent,
};

/// One attempt at an upstream.
#[derive(Debug)]
struct AttemptTrace {
    upstream: String,
    software: String,
    /// The version that was wanted during a roll-out, and why.
    version: Option<(&'static str, ChoiceReason)>,
    model: Option<ModelId>,
    requests_there: u32,
    reading_there_ms: u64,
    began_ms: u64,
    ended_ms: Option<u64>,
    end: String,
    /// Whether the upstream said that it is leaving.
    says_leaving: bool,
    /// The rest that the upstream asked for.
    rest_wanted: Option<RetryAfter>,
    /// The rate limit that the upstream named.
    rate_limit: Option<RateLimit>,
    confidence: Option<u8>,
    kept: Option<NoEscalation>,
}

/// How a request ended.
#[derive(Clone, Debug)]
pub(crate) enum End {
    /// With an upstream's answer, of this status.
    Answered(u16),
    /// With an answer of the router, of this status and code.
    Refused(u16, &'static str, String),
    /// Its answer broke off.
    Broken(String),
    /// Its caller left.
    Left,
}

/// The record of one request.
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
    digest: Option<RequestDigest>,
    first_part_ms: Option<u64>,
    last_part_ms: Option<u64>,
    longest_pause_ms: u64,
    attempts: Vec<AttemptTrace>,
    is_ended: bool,
}

impl Trace {
    /// Begins the record of the request with this id.
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
            digest: None,
            first_part_ms: None,
            last_part_ms: None,
            longest_pause_ms: 0,
            attempts: Vec::new(),
            is_ended: false,
        }
    }

    /// Notes by which configuration it is judged.
    pub(crate) fn judged_by(
        &mut self,
        table: TableVersion,
        proof_age: Option<Duration>,
    ) {
        self.table = Some(table);
        self.proof_age = proof_age;
    }

    /// Notes its route.
    pub(crate) fn on_route(&mut self, route: Arc<Route>) {
        self.route = Some(route);
    }

    /// Notes what its head says.
    pub(crate) fn of(&mut self, inbound: &Inbound) {
        self.prompt_tokens = inbound.prompt_tokens;
        self.session.clone_from(&inbound.session);
    }

    /// Notes what the request is known again by.
    pub(crate) fn note_digest(&mut self, digest: RequestDigest) {
        self.digest = Some(digest);
    }

    /// Notes who is asking.
    pub(crate) fn asked_by(&mut self, organisation: OrganisationId) {
        self.organisation = Some(organisation);
    }

    /// Notes that an attempt begins.
    pub(crate) fn begin(
        &mut self,
        member: &Member,
        model: Option<ModelId>,
        now: BootInstant,
    ) {
        self.attempts.push(AttemptTrace {
            upstream: member.entry.id.to_string(),
            software: member.entry.software.to_string(),
            version: None,
            model,
            requests_there: member.requests(now),
            reading_there_ms: member.prefill_backlog(now).as_millis() as u64,
            began_ms: self.passed_ms(),
            ended_ms: None,
            end: "running".to_owned(),
            says_leaving: false,
            rest_wanted: None,
            rate_limit: None,
            confidence: None,
            kept: None,
        });
    }

    /// Notes which version the last attempt was to go to during a roll-out.
    pub(crate) fn note_version(&mut self, choice: &VersionChoice) {
        let wanted = match choice.rule {
            VersionRule::Any => return,
            VersionRule::Prefer(_) => "new",
            VersionRule::Avoid(_) | VersionRule::Never(_) => "old",
        };
        if let Some(last) = self.attempts.last_mut() {
            last.version = choice.reason.map(|reason| (wanted, reason));
        }
    }

    /// Notes what the upstream says of itself in its answer.
    pub(crate) fn note_statement(&mut self, statement: &UpstreamSignals) {
        if let Some(last) = self.attempts.last_mut() {
            last.says_leaving = statement.is_leaving;
            last.rest_wanted.clone_from(&statement.retry_after);
            last.rate_limit.clone_from(&statement.rate_limit);
        }
    }

    /// Notes what the model thinks of its answer, and why it is passed on if
    /// it is.
    pub(crate) fn note_confidence(
        &mut self,
        confidence: Percent,
        kept: Option<NoEscalation>,
    ) {
        if let Some(last) = self.attempts.last_mut() {
            last.confidence = Some(confidence.value());
            last.kept = kept;
        }
    }

    /// Notes how the last attempt ended.
    pub(crate) fn end_attempt(&mut self, label: &str, detail: &str) {
        let passed_ms = self.passed_ms();
        self.metrics.attempts.with_label_values(&[label]).inc();
        if let Some(last) = self.attempts.last_mut() {
            last.ended_ms = Some(passed_ms);
            last.end = match detail.is_empty() {
                true => label.to_owned(),
                false => format!("{label}: {detail}"),
            };
        }
    }

    /// Notes that a part of the answer goes out.
    pub(crate) fn part(&mut self) {
        let passed_ms = self.passed_ms();
        self.first_part_ms.get_or_insert(passed_ms);
        if let Some(last_part_ms) = self.last_part_ms {
            let pause_ms = passed_ms - last_part_ms;
            self.longest_pause_ms = self.longest_pause_ms.max(pause_ms);
        }
        self.last_part_ms = Some(passed_ms);
    }

    /// Ends the record.
    pub(crate) fn end(mut self, end: End) {
        self.write(end);
    }

    fn passed_ms(&self) -> u64 {
        let now = self.clock.now();
        now.saturating_duration_since(self.started_at).as_millis() as u64
    }

    fn write(&mut self, end: End) {
        self.is_ended = true;
        self.count(&end);
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
        put("request_digest", json!(digest));
        put("passed_ms", json!(self.passed_ms()));
        put("first_part_ms", json!(self.first_part_ms));
        let pause_ms = Some(self.longest_pause_ms).filter(|ms| *ms > 0);
        put("longest_pause_ms", json!(pause_ms));
        let attempts = self.attempts.iter().map(AttemptTrace::to_json);
        put("attempts", attempts.collect());
        match &end {
            End::Answered(status) => put("status", json!(status)),
            End::Refused(status, code, reason) => {
                put("status", json!(status));
                put("code", json!(code));
                put("reason", json!(reason));
            }
            End::Broken(reason) => {
                put("code", json!("broken_off"));
                put("reason", json!(reason));
            }
            End::Left => put("code", json!("caller_left")),
        }
        let event = match end {
            End::Answered(_) => Event::RequestEnded,
            _ => Event::RequestFailed,
        };
        event.record(fields);
    }

    fn count(&self, end: &End) {
        let code = match end {
            End::Answered(_) => "answered",
            End::Refused(_, code, _) => code,
            End::Broken(_) => "broken_off",
            End::Left => "caller_left",
        };
        let organisation = self.organisation.as_ref();
        let organisation = organisation.map_or(OTHER, |o| o.as_str());
        let class = self.route.as_ref().map_or(OTHER, |route| route.class());
        let labels = &[organisation, class];
        let metrics = &self.metrics;
        metrics.requests.with_label_values(&[organisation, class, code]).inc();
        let passed_s = self.passed_ms() as f64 / 1000.0;
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
        if !self.is_ended {
            self.write(End::Left);
        }
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
        let reading_ms = self.reading_there_ms;
        fields.insert("reading_there_ms".into(), reading_ms.into());
        fields.insert("began_ms".into(), self.began_ms.into());
        if let Some(ended_ms) = self.ended_ms {
            fields.insert("ended_ms".into(), ended_ms.into());
        }
        if self.says_leaving {
            fields.insert("says_leaving".into(), true.into());
        }
        let rest = match &self.rest_wanted {
            None => None,
            Some(RetryAfter::For(time)) => {
                Some(json!(time.as_millis() as u64))
            }
            Some(RetryAfter::Unreadable(text)) => Some(json!(text)),
        };
        if let Some(rest) = rest {
            fields.insert("rest_wanted_ms".into(), rest);
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
        if let Some(confidence) = self.confidence {
            fields.insert("confidence".into(), confidence.into());
        }
        if let Some(kept) = self.kept {
            fields.insert("kept".into(), kept.as_str().into());
        }
        fields.insert("end".into(), self.end.as_str().into());
        Value::Object(fields)
    }
}
