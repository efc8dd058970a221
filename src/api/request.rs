//! The life of one request: arrived, admitted, planned, settled.
//!
//! Each state is a type, so that a request cannot be dispatched before it
//! was admitted and planned, and ends exactly once, in [`Request::settle`]
//! or by being dropped, which counts as a fault and is settled too.

use std::{sync::Arc, time::Duration};

use smol::channel::Receiver;

use crate::{
    answer::{Answer, Header},
    api::{
        chat::ChatRequest,
        decision::{
            Asked, Attempt, AttemptEnd, Decision, SessionUse, Verdict,
        },
        estimate::version_hash,
        organisation_limits::InUse,
        queue::{Entry, Pass},
        selection::{
            self, Knowledge, ModelLoad, NoPlan, Plan, RequestFacts, any_usable,
        },
        session::Session,
        template::{Priority, ServiceRule, Template, VersionEntry},
        vm::{InFlightRequest, Vm},
    },
    chains::{
        bill::{Bill, BillPart, BillState},
        claim::{ClaimOutcome, ClaimRequest},
        claims::Claims,
    },
    clock::BootInstant,
    error::{Error, ErrorKind, Run},
    id::OrganisationId,
    message::ShortHash,
    metrics::OTHER,
    secret::KeyHash,
    unit::MicroCost,
};

/// The longest `Idempotency-Key`, in bytes.
const KEY_LIMIT_BYTES: usize = 255;

/// The longest task name, in bytes.
const TASK_LIMIT_BYTES: usize = 64;

/// The task of requests that name none.
const USUAL_TASK: &str = "general";

/// What the headers of a call say.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallHeaders {
    pub(crate) bearer: Option<String>,
    pub(crate) idempotency_key: Option<String>,
    pub(crate) session: Option<String>,
    pub(crate) task: Option<String>,
    pub(crate) priority: Option<String>,
    pub(crate) deadline_ms: Option<String>,
}

/// Tells when the caller has gone away.
pub(crate) type Cancel = Receiver<()>;

/// What all states of a request share.
pub(crate) struct RequestContext {
    pub(crate) vm: Arc<Vm>,
    pub(crate) decision: Decision,
    pub(crate) started: BootInstant,
    pub(crate) first_part_at: Option<BootInstant>,
    pub(crate) cancel: Cancel,
    bill: Option<Bill>,
    claim: Option<ClaimRequest>,
    claim_outcome: Option<ClaimOutcome>,
    _in_flight: InFlightRequest,
}

/// A request that came in and is not known to be anybody's yet.
pub(crate) struct Arrived;

/// A request of an organisation, within its limits.
pub(crate) struct Admitted<C> {
    pub(crate) template: Arc<Template>,
    pub(crate) call: C,
    pub(crate) deadline: BootInstant,
    /// The key under which it must not run twice.
    pub(crate) key: Option<String>,
    in_use: InUse,
}

/// A chat call as it was read.
pub(crate) struct ChatCall {
    pub(crate) chat: ChatRequest,
    pub(crate) task: String,
}

/// A service call as it was read.
pub(crate) struct ServiceCall {
    pub(crate) rule: ServiceRule,
    pub(crate) repeatable: bool,
}

/// A chat request whose versions are chosen.
pub(crate) struct Planned {
    pub(crate) admitted: Admitted<ChatCall>,
    pub(crate) plan: Plan,
    pub(crate) repeatable: bool,
    /// The session that the answer starts or goes on.
    pub(crate) session_number: Option<u64>,
}

/// A request in one state of its life.
pub(crate) struct Request<S> {
    pub(crate) core: RequestContext,
    pub(crate) state: S,
}

/// What came of a request before or after it ran.
pub(crate) type Outcome = Result<Answer, Error>;

impl Request<Arrived> {
    /// Takes in a request.
    pub(crate) fn arrive(vm: &Arc<Vm>, cancel: Cancel) -> Request<Arrived> {
        let now = vm.clock.now();
        let as_ms = |age: Option<Duration>| selection::age_ms(age);
        let list_read_at = vm.view.list_read_at();
        let decision = Decision {
            id: vm.next_request_id(),
            at_unix_ms: vm.clock.unix_ms(),
            organisation: None,
            asked: Asked::Unreadable,
            priority: Priority::Interactive,
            session: SessionUse::None,
            revision: vm.configuration.current().revision(),
            configuration_age_ms: as_ms(vm.configuration.proof_age(now)),
            list_age_ms: as_ms(
                list_read_at.map(|at| now.saturating_duration_since(at)),
            ),
            candidates: Vec::new(),
            queued_ms: 0,
            attempts: Vec::new(),
            verdict: Verdict::Running,
        };
        Request {
            core: RequestContext {
                vm: vm.clone(),
                decision,
                started: now,
                first_part_at: None,
                cancel,
                bill: None,
                claim: None,
                claim_outcome: None,
                _in_flight: vm.begin_request(),
            },
            state: Arrived,
        }
    }

    /// Refuses the request.
    pub(crate) fn refuse(self, error: Error) -> Answer {
        self.core.settle(Err(error))
    }

    /// Admits a chat request.
    ///
    /// # Errors
    ///
    /// The request as it arrived, with the reason; it did not run.
    pub(crate) fn admit_chat(
        mut self,
        headers: &CallHeaders,
        body: &[u8],
    ) -> Result<Request<Admitted<ChatCall>>, Answer> {
        match self.core.read_chat(headers, body) {
            Ok(state) => Ok(Request { core: self.core, state }),
            Err(error) => Err(self.core.settle(Err(error))),
        }
    }

    /// Admits a call of a plain service.
    ///
    /// # Errors
    ///
    /// As [`Request::admit_chat`].
    pub(crate) fn admit_service(
        mut self,
        headers: &CallHeaders,
        service: &str,
        is_safe_method: bool,
    ) -> Result<Request<Admitted<ServiceCall>>, Answer> {
        match self.core.read_service(headers, service, is_safe_method) {
            Ok(state) => Ok(Request { core: self.core, state }),
            Err(error) => Err(self.core.settle(Err(error))),
        }
    }
}

impl RequestContext {
    fn authorize(
        &mut self,
        headers: &CallHeaders,
    ) -> Result<Arc<Template>, Error> {
        if !self.vm.is_ready() {
            return Err(Error::new(ErrorKind::NotReady)
                .context("this VM is starting or stopping"));
        }
        let bearer = headers.bearer.as_deref().ok_or_else(|| {
            unauthorized("a bearer key is needed in `Authorization`")
        })?;
        let configuration = self.vm.configuration.current();
        let template = configuration
            .template_by_key(&KeyHash::of(bearer))
            .ok_or_else(|| unauthorized("no template holds this key"))?;
        self.decision.organisation = Some(template.organisation.clone());
        self.decision.revision = configuration.revision();
        Ok(template.clone())
    }

    fn read_chat(
        &mut self,
        headers: &CallHeaders,
        body: &[u8],
    ) -> Result<Admitted<ChatCall>, Error> {
        let template = self.authorize(headers)?;
        let chat = ChatRequest::from_json(body)?;
        let task = read_task(headers)?;
        self.decision.asked = Asked::Chat {
            model: chat.model.clone(),
            task: task.clone(),
            stream: chat.stream,
        };
        let priority = self.read_priority(headers, &template)?;
        self.decision.session = self.read_session(headers, &template)?;
        let deadline = self.read_deadline(headers, priority)?;
        let key = read_key(headers)?;
        let in_use = self.admit(&template)?;
        let call = ChatCall { chat, task };
        Ok(Admitted { template, call, deadline, key, in_use })
    }

    fn read_service(
        &mut self,
        headers: &CallHeaders,
        service: &str,
        is_safe_method: bool,
    ) -> Result<Admitted<ServiceCall>, Error> {
        let template = self.authorize(headers)?;
        let service = service.parse()?;
        let rule = template.service_rule(&service).ok_or_else(|| {
            Error::new(ErrorKind::NotAllowed).context(format!(
                "the template does not allow the service `{service}`"
            ))
        })?;
        let rule = rule.clone();
        let repeatable = is_safe_method || rule.repeatable;
        self.decision.asked = Asked::Service { service, repeatable };
        let priority = self.read_priority(headers, &template)?;
        let deadline = self.read_deadline(headers, priority)?;
        let key = read_key(headers)?;
        let in_use = self.admit(&template)?;
        let call = ServiceCall { rule, repeatable };
        Ok(Admitted { template, call, deadline, key, in_use })
    }

    fn read_priority(
        &mut self,
        headers: &CallHeaders,
        template: &Template,
    ) -> Result<Priority, Error> {
        let priority = match &headers.priority {
            Some(text) => text.parse()?,
            None => template.default_priority,
        };
        self.decision.priority = priority;
        Ok(priority)
    }

    fn read_session(
        &self,
        headers: &CallHeaders,
        template: &Template,
    ) -> Result<SessionUse, Error> {
        match headers.session.as_deref() {
            None => Ok(SessionUse::None),
            Some("new") => Ok(SessionUse::New),
            Some(token) => {
                let now = self.vm.clock.unix_ms();
                let organisation = &template.organisation;
                let session =
                    self.vm.sessions.verify(token, organisation, now)?;
                Ok(SessionUse::Bound {
                    model: session.model,
                    version: session.version,
                })
            }
        }
    }

    fn read_deadline(
        &self,
        headers: &CallHeaders,
        priority: Priority,
    ) -> Result<BootInstant, Error> {
        let settings = &self.vm.settings.requests;
        let most = match priority {
            Priority::Interactive => settings.deadline,
            Priority::Batch => settings.batch_deadline,
        };
        let Some(text) = &headers.deadline_ms else {
            return Ok(self.started + most);
        };
        let asked: u64 = text.parse().map_err(|_| {
            invalid("`Lupinseam-Deadline-Ms` must be a whole number")
        })?;
        Ok(self.started + Duration::from_millis(asked).min(most))
    }

    fn admit(&self, template: &Template) -> Result<InUse, Error> {
        let tallies = self.vm.tallies.lock().expect("tallies lock");
        self.vm.limits.admit(template, &tallies, self.vm.clock.now())
    }

    /// Opens the bill and waits until a second VM knows it, but not for long.
    ///
    /// What runs afterwards is billed even if this VM dies. With no second
    /// VM to be reached the request goes on, and is counted.
    pub(crate) async fn open_bill(&mut self, estimate: MicroCost) {
        let Some(organisation) = self.decision.organisation.clone() else {
            return;
        };
        let bill = Bill {
            request: self.decision.id.clone(),
            organisation,
            at_unix_ms: self.decision.at_unix_ms,
            state: BillState::Open,
            cost_micro: estimate,
            parts: Vec::new(),
            ended: String::new(),
        };
        let holding = self.vm.ledger.open(bill.clone());
        self.bill = Some(bill);
        if !holding.second_holder().await {
            self.vm.metrics.bills_single_holder.inc();
        }
    }

    /// Notes that the request holds a claim.
    pub(crate) fn hold_claim(&mut self, claim: ClaimRequest) {
        self.claim = Some(claim);
    }

    /// Notes what a repeat of the request's key will be shown.
    pub(crate) fn set_claim_outcome(&mut self, outcome: ClaimOutcome) {
        self.claim_outcome = Some(outcome);
    }

    /// Notes an attempt; it is the last until the next is noted.
    pub(crate) fn note_attempt(&mut self, attempt: Attempt) {
        self.decision.attempts.push(attempt);
    }

    /// Notes how the last attempt ended.
    pub(crate) fn end_attempt(&mut self, end: AttemptEnd) {
        let label = end_label(&end);
        self.vm.metrics.attempts.with_label_values(&[label]).inc();
        if let Some(last) = self.decision.attempts.last_mut() {
            last.end = end;
        }
    }

    /// Whether any attempt may have run.
    pub(crate) fn may_have_run(&self) -> bool {
        self.decision
            .attempts
            .iter()
            .any(|attempt| attempt.end != AttemptEnd::Unreachable)
    }

    /// Ends the request: its record, bill, claim and metrics.
    pub(crate) fn settle(mut self, outcome: Outcome) -> Answer {
        let id = self.decision.id.clone();
        let code = self.finish(outcome.as_ref().err());
        let mut answer = match outcome {
            Ok(answer) => answer,
            Err(error) => Answer::error_response(&error, Some(&id)),
        };
        self.count(&code);
        answer.add_header(Header::new("lupinseam-decision", id.to_string()));
        answer
    }

    /// Ends a streamed request, whose answer has gone out already.
    pub(crate) fn settle_stream(mut self, error: Option<&Error>) {
        let code = self.finish(error);
        self.count(&code);
    }

    fn finish(&mut self, error: Option<&Error>) -> String {
        let code = error
            .map_or("answered", |error| error.kind().answer().code)
            .to_owned();
        if self.decision.verdict == Verdict::Running {
            self.decision.verdict = match error {
                None => Verdict::Answered,
                Some(error) => Verdict::Refused {
                    kind: error.kind(),
                    reason: error.to_string(),
                },
            };
        }
        let run = error.map_or(Run::Ran, |e| e.kind().answer().run);
        self.close_bill(run, &code);
        self.settle_claim(run);
        self.vm.decisions.put(self.decision.clone());
        code
    }

    fn close_bill(&mut self, run: Run, code: &str) {
        let Some(open) = self.bill.take() else { return };
        let is_void = run == Run::NotRun;
        let parts: Vec<BillPart> = match is_void {
            true => Vec::new(),
            false => self.bill_parts(),
        };
        let cost = parts
            .iter()
            .fold(MicroCost::default(), |sum, part| sum + part.cost_micro);
        let state = if is_void { BillState::Void } else { BillState::Closed };
        let bill = Bill {
            state,
            cost_micro: cost,
            parts,
            ended: code.to_owned(),
            ..open
        };
        let now_unix_ms = self.vm.clock.unix_ms();
        self.vm.limits.charge(&bill.organisation, cost, now_unix_ms);
        self.vm.ledger.close(bill);
    }

    fn bill_parts(&self) -> Vec<BillPart> {
        let service = match &self.decision.asked {
            Asked::Service { service, .. } => Some(service.clone()),
            _ => None,
        };
        let ran = self
            .decision
            .attempts
            .iter()
            .filter(|attempt| attempt.end != AttemptEnd::Unreachable);
        ran.map(|attempt| BillPart {
            upstream: attempt.choice.upstream.clone(),
            model: attempt.model.clone(),
            version: attempt.version.clone(),
            service: service.clone(),
            input_tokens: attempt.input_tokens,
            output_tokens: attempt.output_tokens,
            cost_micro: attempt.cost_micro,
        })
        .collect()
    }

    fn settle_claim(&mut self, run: Run) {
        let Some(claim) = self.claim.take() else { return };
        let outcome = match (run, self.claim_outcome.take()) {
            (Run::NotRun, _) => ClaimOutcome::NotRun,
            (_, Some(outcome)) => outcome,
            (_, None) => ClaimOutcome::Unknown,
        };
        Claims::settle(&self.vm, claim, outcome);
    }

    fn count(&self, code: &str) {
        let vm = &self.vm;
        let organisation = self
            .decision
            .organisation
            .as_ref()
            .map_or(OTHER, OrganisationId::as_str);
        let class = class_of(&self.decision);
        let labels = &[organisation, class];
        let passed = vm.clock.now().saturating_duration_since(self.started);
        vm.metrics
            .requests
            .with_label_values(&[organisation, class, code])
            .inc();
        let latency = vm.metrics.latency_s.with_label_values(labels);
        latency.observe(passed.as_secs_f64());
        let cost = self.decision.cost().0 as f64 / 1e6;
        vm.metrics.cost.with_label_values(labels).observe(cost);
        if let Some(at) = self.first_part_at {
            let first = at.saturating_duration_since(self.started);
            let metric = vm.metrics.first_token_s.with_label_values(labels);
            metric.observe(first.as_secs_f64());
        }
    }
}

impl Request<Admitted<ChatCall>> {
    /// Chooses the versions to ask.
    ///
    /// # Errors
    ///
    /// The answer that refuses the request; it did not run.
    pub(crate) fn plan(mut self) -> Result<Request<Planned>, Answer> {
        match self.make_plan() {
            Ok((plan, repeatable)) => Ok(self.planned(plan, repeatable)),
            Err(no_plan) => {
                self.core.decision.candidates = no_plan.candidates;
                Err(self.core.settle(Err(no_plan.error)))
            }
        }
    }

    fn make_plan(&self) -> Result<(Plan, bool), NoPlan> {
        let vm = &self.core.vm;
        let now = vm.clock.now();
        let configuration = vm.configuration.current();
        let template = &self.state.template;
        let facts = self.request_facts();
        let stopped = vm.guard.stopped();
        let has_upstream = |entry: &VersionEntry| {
            let upstreams = vm.upstream_facts(&entry.model, now);
            any_usable(&upstreams, version_hash(entry))
        };
        let tallies = vm.tallies.lock().expect("tallies lock");
        let knowledge = Knowledge {
            configuration: &configuration,
            is_fresh: vm.is_configuration_fresh(),
            template,
            tallies: &tallies,
            stopped: &stopped,
            has_upstream: &has_upstream,
            now,
        };
        let plan = selection::plan(&facts, &knowledge, rand::random())?;
        let repeatable = plan.steps.iter().all(|step| {
            let rule = template.model_rule(&step.entry.model);
            rule.is_some_and(|rule| rule.repeatable)
        });
        Ok((without_repeats(plan, repeatable), repeatable))
    }

    fn request_facts(&self) -> RequestFacts {
        let call = &self.state.call;
        let has_ratings = self.core.vm.settings.platform.rating_url.is_some();
        let session = self.core.decision.session.clone();
        let is_free = session == SessionUse::None;
        RequestFacts {
            model: call.chat.model.clone(),
            task: ShortHash::of(&call.task),
            can_escalate: has_ratings && is_free && !call.chat.stream,
            session,
            input_tokens: call.chat.input_tokens,
            output_tokens: call.chat.output_tokens,
        }
    }

    fn planned(mut self, plan: Plan, repeatable: bool) -> Request<Planned> {
        self.core.decision.candidates.clone_from(&plan.candidates);
        let is_session = self.core.decision.session != SessionUse::None;
        let session_number = is_session.then(rand::random);
        let state =
            Planned { admitted: self.state, plan, repeatable, session_number };
        Request { core: self.core, state }
    }
}

impl Request<Planned> {
    /// Waits for room at the replicas of the first model.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Overloaded`]; the request did not run.
    pub(crate) async fn wait_for_room(&mut self) -> Result<Pass, Error> {
        let core = &mut self.core;
        let vm = core.vm.clone();
        let model = self.state.plan.steps[0].entry.model.clone();
        let now = vm.clock.now();
        let room = ModelLoad::of(&vm.upstream_facts(&model, now));
        let template = &self.state.admitted.template;
        let entry = Entry {
            model,
            organisation: template.organisation.clone(),
            priority: core.decision.priority,
            deadline: self.state.admitted.deadline,
        };
        let pass = vm.queue.enter(&entry, room).await;
        let waited = vm.clock.now().saturating_duration_since(now);
        core.decision.queued_ms = waited.as_millis() as u64;
        pass
    }

    /// The token of the session on the version that answered.
    pub(crate) fn session_header(
        &self,
        entry: &VersionEntry,
    ) -> Option<Header> {
        let vm = &self.core.vm;
        let number = self.state.session_number?;
        let lifetime_ms = vm.settings.session_lifetime.as_millis() as u64;
        let token = vm.sessions.issue(&Session {
            number,
            organisation: self.state.admitted.template.organisation.clone(),
            model: entry.model.clone(),
            version: entry.version.clone(),
            expires_unix_ms: vm.clock.unix_ms() + lifetime_ms,
        });
        Some(Header::new("lupinseam-session", token))
    }
}

impl<C> Admitted<C> {
    /// Ends the counting of the request against its organisation's limits;
    /// otherwise that ends with the state itself.
    pub(crate) fn release(self) {
        drop(self.in_use);
    }
}

/// A request that may not be repeated is not asked of a second model.
fn without_repeats(mut plan: Plan, repeatable: bool) -> Plan {
    if !repeatable {
        plan.steps.truncate(1);
    }
    plan
}

/// The class of a request, a label of its metrics.
fn class_of(decision: &Decision) -> &'static str {
    match &decision.asked {
        Asked::Service { .. } => "service",
        Asked::Unreadable => OTHER,
        Asked::Chat { stream: true, .. } => "chat_stream",
        Asked::Chat { .. } => match decision.priority {
            Priority::Interactive => "chat",
            Priority::Batch => "chat_batch",
        },
    }
}

fn end_label(end: &AttemptEnd) -> &'static str {
    match end {
        AttemptEnd::Running => "running",
        AttemptEnd::Answered { .. } => "answered",
        AttemptEnd::RatedPoor { .. } => "rated_poor",
        AttemptEnd::Unreachable => "unreachable",
        AttemptEnd::Broken => "broken",
        AttemptEnd::TimedOut => "timed_out",
        AttemptEnd::Cancelled => "cancelled",
    }
}

fn read_task(headers: &CallHeaders) -> Result<String, Error> {
    let Some(task) = &headers.task else {
        return Ok(USUAL_TASK.to_owned());
    };
    let is_plain = task.chars().all(|c| c.is_ascii_graphic());
    if task.is_empty() || task.len() > TASK_LIMIT_BYTES || !is_plain {
        return Err(invalid("`Lupinseam-Task` must be one short word"));
    }
    Ok(task.clone())
}

fn read_key(headers: &CallHeaders) -> Result<Option<String>, Error> {
    let Some(key) = &headers.idempotency_key else { return Ok(None) };
    let is_plain = key.chars().all(|c| c.is_ascii_graphic());
    if key.is_empty() || key.len() > KEY_LIMIT_BYTES || !is_plain {
        return Err(invalid(format!(
            "`Idempotency-Key` must have 1 to {KEY_LIMIT_BYTES} visible \
             ASCII characters"
        )));
    }
    Ok(Some(key.clone()))
}

fn invalid(reason: impl Into<String>) -> Error {
    Error::new(ErrorKind::InvalidInput).context(reason)
}

fn unauthorized(reason: &str) -> Error {
    Error::new(ErrorKind::Unauthorized).context(reason)
}
