//! The states of one request: received, admitted, planned, settled.
//!
//! Each state is a type, so that a request can be dispatched only after it
//! was admitted and planned. [`RequestContext::settle`] consumes the request,
//! so that it is settled at most once.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use smol::channel::Receiver;

use crate::{
    answer::{Answer, Header},
    api::{
        chat::ChatRequest,
        decision::{
            Attempt, AttemptStatus, Decision, RequestStatus, RequestTarget,
            SessionUse,
        },
        estimate::version_hash,
        organisation_limits::ConcurrencyPermit,
        queue::{DispatchPermit, QueuedRequest},
        selection::{
            self, ModelLoad, Plan, PlanError, PlanInput, RequestProperties,
            any_usable,
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
    crashes::subject::Subject,
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

/// The task of requests without a `Lupinseam-Task` header.
const DEFAULT_TASK: &str = "general";

/// The request headers that the router reads, unparsed.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallHeaders {
    pub(crate) bearer: Option<String>,
    pub(crate) idempotency_key: Option<String>,
    pub(crate) session: Option<String>,
    pub(crate) task: Option<String>,
    pub(crate) priority: Option<String>,
    pub(crate) deadline_ms: Option<String>,
}

/// A channel that closes when the caller disconnects.
pub(crate) type CancelSignal = Receiver<()>;

/// The data that all states of a request share.
pub(crate) struct RequestContext {
    pub(crate) vm: Arc<Vm>,
    pub(crate) decision: Decision,
    pub(crate) started: BootInstant,
    pub(crate) first_part_at: Option<BootInstant>,
    pub(crate) cancel: CancelSignal,
    /// What a crash under the request may be attributed to; empty until it is
    /// dispatched.
    pub(crate) subjects: Vec<Subject>,
    bill: Option<Bill>,
    claim: Option<ClaimRequest>,
    claim_outcome: Option<ClaimOutcome>,
    _in_flight: InFlightRequest,
}

/// The state of a request that is not authorized yet.
pub(crate) struct Received;

/// The state of a request that is authorized and within the limits of its
/// organisation.
pub(crate) struct Admitted<C> {
    pub(crate) template: Arc<Template>,
    pub(crate) call: C,
    pub(crate) deadline: BootInstant,
    /// The idempotency key, if the caller sent one.
    pub(crate) key: Option<String>,
    permit: ConcurrencyPermit,
}

/// A parsed chat request.
pub(crate) struct ChatCall {
    pub(crate) chat: ChatRequest,
    pub(crate) task: String,
}

/// A parsed call of a plain service.
pub(crate) struct ServiceCall {
    pub(crate) rule: ServiceRule,
    pub(crate) repeatable: bool,
}

/// The state of a chat request whose versions are selected.
pub(crate) struct Planned {
    pub(crate) admitted: Admitted<ChatCall>,
    pub(crate) plan: Plan,
    pub(crate) repeatable: bool,
    /// The number in the session token of the answer; `None` without a
    /// session.
    pub(crate) session_number: Option<u64>,
}

/// A request in the state `S`.
pub(crate) struct Request<S> {
    pub(crate) context: RequestContext,
    pub(crate) state: S,
}

/// The answer to a request, or the error that it ended with.
pub(crate) type Outcome = Result<Answer, Error>;

impl Request<Received> {
    /// Starts the record of a request that was received.
    pub(crate) fn receive(
        vm: &Arc<Vm>,
        cancel: CancelSignal,
    ) -> Request<Received> {
        let now = vm.clock.now();
        let as_ms = |age: Option<Duration>| selection::age_ms(age);
        let list_read_at = vm.view.list_read_at();
        let decision = Decision {
            id: vm.next_request_id(),
            at_unix_ms: vm.clock.unix_ms(),
            organisation: None,
            asked: RequestTarget::Unreadable,
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
            verdict: RequestStatus::Running,
        };
        Request {
            context: RequestContext {
                vm: vm.clone(),
                decision,
                started: now,
                first_part_at: None,
                cancel,
                subjects: Vec::new(),
                bill: None,
                claim: None,
                claim_outcome: None,
                _in_flight: vm.begin_request(),
            },
            state: Received,
        }
    }

    /// Settles the request with an error and returns the answer.
    pub(crate) fn reject(self, error: Error) -> Answer {
        self.context.settle(Err(error))
    }

    /// Admits a chat request.
    ///
    /// # Errors
    ///
    /// The answer that rejects the request; it did not run.
    pub(crate) fn admit_chat(
        mut self,
        headers: &CallHeaders,
        body: &Bytes,
    ) -> Result<Request<Admitted<ChatCall>>, Answer> {
        match self.context.read_chat(headers, body) {
            Ok(state) => Ok(Request { context: self.context, state }),
            Err(error) => Err(self.context.settle(Err(error))),
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
        match self.context.read_service(headers, service, is_safe_method) {
            Ok(state) => Ok(Request { context: self.context, state }),
            Err(error) => Err(self.context.settle(Err(error))),
        }
    }
}

impl RequestContext {
    /// Returns the template of the organisation with the bearer key.
    fn authorize(
        &mut self,
        headers: &CallHeaders,
    ) -> Result<Arc<Template>, Error> {
        if !self.vm.is_ready() {
            return Err(Error::new(ErrorKind::NotReady)
                .context("this VM is starting or stopping"));
        }
        let bearer = headers.bearer.as_deref().ok_or_else(|| {
            unauthorized("a bearer key is required in `Authorization`")
        })?;
        let configuration = self.vm.configuration.current();
        let template = configuration
            .template_by_key(&KeyHash::of(bearer))
            .ok_or_else(|| unauthorized("no template has this key"))?;
        self.decision.organisation = Some(template.organisation.clone());
        self.decision.revision = configuration.revision();
        Ok(template.clone())
    }

    /// Authorizes, parses and admits a chat request.
    fn read_chat(
        &mut self,
        headers: &CallHeaders,
        body: &Bytes,
    ) -> Result<Admitted<ChatCall>, Error> {
        let template = self.authorize(headers)?;
        let chat = ChatRequest::from_json(body.clone())?;
        let task = read_task(headers)?;
        self.decision.asked = RequestTarget::Chat {
            model: chat.model.clone(),
            task: task.clone(),
            stream: chat.stream,
        };
        let priority = self.read_priority(headers, &template)?;
        self.decision.session = self.read_session(headers, &template)?;
        let deadline = self.read_deadline(headers, priority)?;
        let key = read_key(headers)?;
        let permit = self.admit(&template)?;
        let call = ChatCall { chat, task };
        Ok(Admitted { template, call, deadline, key, permit })
    }

    /// Authorizes, parses and admits a call of a plain service.
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
        self.decision.asked = RequestTarget::Service { service, repeatable };
        let priority = self.read_priority(headers, &template)?;
        let deadline = self.read_deadline(headers, priority)?;
        let key = read_key(headers)?;
        let permit = self.admit(&template)?;
        let call = ServiceCall { rule, repeatable };
        Ok(Admitted { template, call, deadline, key, permit })
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

    /// Returns the session that the `Lupinseam-Session` header starts or
    /// belongs to.
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

    /// Returns the deadline: the caller's, at most that of the priority.
    fn read_deadline(
        &self,
        headers: &CallHeaders,
        priority: Priority,
    ) -> Result<BootInstant, Error> {
        let settings = &self.vm.settings.requests;
        let time_limit = match priority {
            Priority::Interactive => settings.deadline,
            Priority::Batch => settings.batch_deadline,
        };
        let Some(text) = &headers.deadline_ms else {
            return Ok(self.started + time_limit);
        };
        let asked: u64 = text.parse().map_err(|_| {
            invalid("`Lupinseam-Deadline-Ms` must be a whole number")
        })?;
        Ok(self.started + Duration::from_millis(asked).min(time_limit))
    }

    /// Counts the request against the limits of its organisation.
    fn admit(&self, template: &Template) -> Result<ConcurrencyPermit, Error> {
        let tallies = self.vm.tallies.lock().expect("tallies lock");
        self.vm.limits.admit(template, &tallies, self.vm.clock.now())
    }

    /// Opens the bill and waits briefly until a second VM holds a copy.
    ///
    /// The request is then billed even if this VM crashes. If no second VM
    /// can be reached, the request continues and a metric counts it.
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
        let replica = self.vm.ledger.open(bill.clone());
        self.bill = Some(bill);
        if !replica.wait_for_replica().await {
            self.vm.metrics.bills_single_holder.inc();
        }
    }

    /// Records the claim that the request holds; it is settled at the end.
    pub(crate) fn set_claim(&mut self, claim: ClaimRequest) {
        self.claim = Some(claim);
    }

    /// Sets the outcome that later requests with the same key will get.
    pub(crate) fn set_claim_outcome(&mut self, outcome: ClaimOutcome) {
        self.claim_outcome = Some(outcome);
    }

    /// Adds an attempt; the methods on the last attempt then apply to it.
    pub(crate) fn push_attempt(&mut self, attempt: Attempt) {
        self.decision.attempts.push(attempt);
    }

    /// Records how the last attempt ended.
    pub(crate) fn end_attempt(&mut self, status: AttemptStatus) {
        let label = attempt_status_label(&status);
        self.vm.metrics.attempts.with_label_values(&[label]).inc();
        if let Some(last) = self.decision.attempts.last_mut() {
            last.end = status;
        }
    }

    /// Returns whether any attempt may have run at an upstream.
    pub(crate) fn may_have_run(&self) -> bool {
        self.decision
            .attempts
            .iter()
            .any(|attempt| attempt.end != AttemptStatus::Unreachable)
    }

    /// Ends the request: stores its decision, closes its bill and claim, and
    /// records its metrics.
    pub(crate) fn settle(mut self, outcome: Outcome) -> Answer {
        let id = self.decision.id.clone();
        let code = self.finish(outcome.as_ref().err());
        let mut answer = match outcome {
            Ok(answer) => answer,
            Err(error) => Answer::error_response(&error, Some(&id)),
        };
        self.record_metrics(&code);
        answer.add_header(Header::new("lupinseam-decision", id.to_string()));
        answer
    }

    /// Ends a streamed request, whose answer was already sent.
    pub(crate) fn settle_stream(mut self, error: Option<&Error>) {
        let code = self.finish(error);
        self.record_metrics(&code);
    }

    /// Closes the records of the request; returns its result code.
    fn finish(&mut self, error: Option<&Error>) -> String {
        let code = error
            .map_or("answered", |error| error.kind().answer().code)
            .to_owned();
        if self.decision.verdict == RequestStatus::Running {
            self.decision.verdict = match error {
                None => RequestStatus::Answered,
                Some(error) => RequestStatus::Refused {
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

    /// Closes the bill with the actual cost, or voids it if nothing ran.
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

    /// Returns a bill part for each attempt that may have run.
    fn bill_parts(&self) -> Vec<BillPart> {
        let service = match &self.decision.asked {
            RequestTarget::Service { service, .. } => Some(service.clone()),
            _ => None,
        };
        let ran = self
            .decision
            .attempts
            .iter()
            .filter(|attempt| attempt.end != AttemptStatus::Unreachable);
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

    /// Settles the claim, as unknown if the request ran and set no outcome.
    fn settle_claim(&mut self, run: Run) {
        let Some(claim) = self.claim.take() else { return };
        let outcome = match (run, self.claim_outcome.take()) {
            (Run::NotRun, _) => ClaimOutcome::NotRun,
            (_, Some(outcome)) => outcome,
            (_, None) => ClaimOutcome::Unknown,
        };
        Claims::settle(&self.vm, claim, outcome);
    }

    /// Records the metrics of the ended request.
    fn record_metrics(&self, code: &str) {
        let vm = &self.vm;
        let organisation = self
            .decision
            .organisation
            .as_ref()
            .map_or(OTHER, OrganisationId::as_str);
        let class = metrics_class(&self.decision);
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
    /// Selects the versions to send the request to.
    ///
    /// # Errors
    ///
    /// The answer that rejects the request; it did not run.
    pub(crate) fn plan(mut self) -> Result<Request<Planned>, Answer> {
        match self.try_plan() {
            Ok((plan, repeatable)) => Ok(self.into_planned(plan, repeatable)),
            Err(plan_error) => {
                self.context.decision.candidates = plan_error.candidates;
                Err(self.context.settle(Err(plan_error.error)))
            }
        }
    }

    /// Returns the plan and whether the request may be repeated.
    fn try_plan(&self) -> Result<(Plan, bool), PlanError> {
        let vm = &self.context.vm;
        let now = vm.clock.now();
        let configuration = vm.configuration.current();
        let template = &self.state.template;
        let properties = self.request_properties();
        let stopped = vm.rollout_guard.stopped();
        let has_upstream = |entry: &VersionEntry| {
            let upstreams = vm.upstream_snapshots(&entry.model, now);
            any_usable(&upstreams, version_hash(entry))
        };
        let tallies = vm.tallies.lock().expect("tallies lock");
        let input = PlanInput {
            configuration: &configuration,
            is_fresh: vm.is_configuration_fresh(),
            template,
            tallies: &tallies,
            stopped: &stopped,
            has_upstream: &has_upstream,
            now,
        };
        selection::plan_runs(properties, &input, rand::random())
    }

    fn request_properties(&self) -> RequestProperties {
        let call = &self.state.call;
        let has_ratings =
            self.context.vm.settings.platform.rating_url.is_some();
        let session = self.context.decision.session.clone();
        let has_no_session = session == SessionUse::None;
        RequestProperties {
            model: call.chat.model.clone(),
            task: ShortHash::of(&call.task),
            can_escalate: has_ratings && has_no_session && !call.chat.stream,
            session,
            input_tokens: call.chat.input_tokens,
            output_tokens: call.chat.output_tokens,
        }
    }

    fn into_planned(
        mut self,
        plan: Plan,
        repeatable: bool,
    ) -> Request<Planned> {
        self.context.decision.candidates.clone_from(&plan.candidates);
        let is_session = self.context.decision.session != SessionUse::None;
        let session_number = is_session.then(rand::random);
        let state =
            Planned { admitted: self.state, plan, repeatable, session_number };
        Request { context: self.context, state }
    }
}

impl Request<Planned> {
    /// Waits for free capacity at the replicas of the plan's first model.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Overloaded`]; the request did not run.
    pub(crate) async fn wait_for_capacity(
        &mut self,
    ) -> Result<DispatchPermit, Error> {
        let context = &mut self.context;
        let vm = context.vm.clone();
        let model = self.state.plan.steps[0].entry.model.clone();
        let now = vm.clock.now();
        let load = ModelLoad::of(&vm.upstream_snapshots(&model, now));
        let template = &self.state.admitted.template;
        let entry = QueuedRequest {
            model,
            organisation: template.organisation.clone(),
            priority: context.decision.priority,
            deadline: self.state.admitted.deadline,
        };
        let permit = vm.dispatch_queue.enter(&entry, load).await;
        let waited = vm.clock.now().saturating_duration_since(now);
        context.decision.queued_ms = waited.as_millis() as u64;
        permit
    }

    /// Returns the header with a session token for the version that answered;
    /// `None` without a session.
    pub(crate) fn session_header(
        &self,
        entry: &VersionEntry,
    ) -> Option<Header> {
        let vm = &self.context.vm;
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
    /// Stops counting the request against the limits of its organisation.
    ///
    /// Dropping the state does the same.
    pub(crate) fn release_limits(self) {
        drop(self.permit);
    }
}

/// Returns the class of a request, a label of its metrics.
fn metrics_class(decision: &Decision) -> &'static str {
    match &decision.asked {
        RequestTarget::Service { .. } => "service",
        RequestTarget::Unreadable => OTHER,
        RequestTarget::Chat { stream: true, .. } => "chat_stream",
        RequestTarget::Chat { .. } => match decision.priority {
            Priority::Interactive => "chat",
            Priority::Batch => "chat_batch",
        },
    }
}

/// Returns the metric label of an attempt's status.
fn attempt_status_label(status: &AttemptStatus) -> &'static str {
    match status {
        AttemptStatus::Running => "running",
        AttemptStatus::Answered { .. } => "answered",
        AttemptStatus::RatedPoor { .. } => "rated_poor",
        AttemptStatus::Unreachable => "unreachable",
        AttemptStatus::Broken => "broken",
        AttemptStatus::TimedOut => "timed_out",
        AttemptStatus::Cancelled => "cancelled",
    }
}

fn read_task(headers: &CallHeaders) -> Result<String, Error> {
    let Some(task) = &headers.task else {
        return Ok(DEFAULT_TASK.to_owned());
    };
    let is_plain = task.chars().all(|c| c.is_ascii_graphic());
    if task.is_empty() || task.len() > TASK_LIMIT_BYTES || !is_plain {
        return Err(invalid("`Lupinseam-Task` must be one short ASCII word"));
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
