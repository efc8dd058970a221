//! The operators' HTTP API: templates, model versions, decisions, bills,
//! status and metrics.

use std::{fmt::Write, sync::Arc};

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use trillium::{Conn, Handler, KnownHeaderName, Method, async_trait};

use crate::{
    api::{
        caller_api::{bearer_key, send_error, send_json, send_readiness},
        decision::Decision,
        rollout_guard,
        template::{Template, VersionEntry, VersionState},
        vm::{Vm, slot_state},
    },
    chains::{
        bill::Bill,
        configuration::{Configuration, Edit, Expected, Versioned},
        configuration_sync,
        ledger::{self, BillQuery},
    },
    error::{Error, ErrorKind},
    id::{ModelId, OrganisationId, RequestId, Revision, VersionId},
    secret::KeyHash,
};

/// The largest request body that is accepted.
const BODY_LIMIT_BYTES: u64 = 256 * 1024;

/// The HTTP handler of the operators' listener.
pub(crate) struct OperatorApi {
    pub(crate) vm: Arc<Vm>,
}

/// A successful response.
struct Reply {
    status: u16,
    etag: Option<Revision>,
    body: ReplyBody,
}

enum ReplyBody {
    Json(Value),
    Text(String),
}

impl Reply {
    fn json(value: impl Serialize) -> Result<Reply, Error> {
        let value = serde_json::to_value(value).map_err(|error| {
            Error::new(ErrorKind::Internal).context(error.to_string())
        })?;
        Ok(Reply { status: 200, etag: None, body: ReplyBody::Json(value) })
    }

    fn text(text: String) -> Reply {
        Reply { status: 200, etag: None, body: ReplyBody::Text(text) }
    }

    fn with_etag(mut self, revision: Revision) -> Reply {
        self.etag = Some(revision);
        self
    }
}

/// The body of a request to change the state of a model version.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StateChange {
    /// The new state.
    pub state: VersionState,
    /// The reason, which is stored with the change.
    #[serde(default)]
    pub reason: String,
}

#[async_trait]
impl Handler for OperatorApi {
    async fn run(&self, mut conn: Conn) -> Conn {
        let path = conn.path().to_owned();
        match path.as_str() {
            "/healthz" => return conn.ok("alive\n"),
            "/readyz" => return send_readiness(&self.vm, conn),
            "/metrics" => return self.metrics(conn),
            _ => {}
        }
        if !self.is_operator(&conn) {
            let reason = "the operators' key is required";
            return send_error(conn, ErrorKind::Unauthorized, reason);
        }
        let parts: Vec<&str> =
            path.split('/').filter(|part| !part.is_empty()).collect();
        match self.route(&mut conn, &parts).await {
            Ok(reply) => send_reply(conn, reply),
            Err(error) => self.send_error_reply(conn, &parts, &error),
        }
    }
}

impl OperatorApi {
    async fn route(
        &self,
        conn: &mut Conn,
        parts: &[&str],
    ) -> Result<Reply, Error> {
        let method = conn.method();
        match (method, parts) {
            (Method::Get, ["status"]) => Reply::json(self.status()),
            (Method::Get, ["templates"]) => self.templates(),
            (Method::Get, ["templates", name]) => self.template(name),
            (Method::Put, ["templates", name]) => {
                self.put_template(conn, name).await
            }
            (Method::Delete, ["templates", name]) => {
                self.remove_template(conn, name).await
            }
            (Method::Get, ["versions"]) => self.versions(),
            (Method::Get, ["versions", model, version]) => {
                self.version(model, version)
            }
            (Method::Put, ["versions", model, version]) => {
                self.put_version(conn, model, version).await
            }
            (Method::Post, ["versions", model, version, "state"]) => {
                self.set_state(conn, model, version).await
            }
            (Method::Get, ["decisions", id]) => {
                let as_text = conn.querystring() == "words";
                self.decision(id, as_text).await
            }
            (Method::Get, ["bills"]) => self.bills(conn).await,
            (
                _,
                [
                    "status" | "templates" | "versions" | "decisions"
                    | "bills",
                    ..,
                ],
            ) => Err(Error::new(ErrorKind::MethodNotAllowed)
                .context("the path does not support this method")),
            _ => Err(Error::new(ErrorKind::NotFound)
                .context(format!("there is no resource at {}", conn.path()))),
        }
    }

    fn is_operator(&self, conn: &Conn) -> bool {
        let Some(expected) = self.vm.settings.operators_key_hash else {
            return true;
        };
        let key = bearer_key(conn.request_headers());
        key.is_some_and(|key| KeyHash::of(&key) == expected)
    }

    fn metrics(&self, conn: Conn) -> Conn {
        self.vm.update_gauges();
        conn.with_response_header(
            KnownHeaderName::ContentType,
            "text/plain; version=0.0.4",
        )
        .ok(self.vm.metrics.text())
    }

    fn configuration(&self) -> Arc<Configuration> {
        self.vm.configuration.current()
    }

    fn templates(&self) -> Result<Reply, Error> {
        let configuration = self.configuration();
        let all: Vec<&Versioned<Arc<Template>>> =
            configuration.templates().collect();
        let reply = Reply::json(all)?;
        Ok(reply.with_etag(configuration.revision()))
    }

    fn template(&self, name: &str) -> Result<Reply, Error> {
        let organisation: OrganisationId = name.parse()?;
        let configuration = self.configuration();
        let part = configuration.template(&organisation).ok_or_else(|| {
            not_found(format!("no template of `{organisation}`"))
        })?;
        let reply = Reply::json(&part.value)?;
        Ok(reply.with_etag(part.revision))
    }

    async fn put_template(
        &self,
        conn: &mut Conn,
        name: &str,
    ) -> Result<Reply, Error> {
        let expected = parse_expected(conn)?;
        let reason = read_reason(conn);
        let body = read_body(conn).await?;
        let template = Template::from_json(&body)?;
        if template.organisation.as_str() != name {
            return Err(invalid(
                "the organisations in path and template differ",
            ));
        }
        let edit = Edit::PutTemplate(Box::new(template));
        self.edit(edit, expected, &reason).await
    }

    async fn remove_template(
        &self,
        conn: &mut Conn,
        name: &str,
    ) -> Result<Reply, Error> {
        let expected = parse_expected(conn)?;
        let reason = read_reason(conn);
        let edit = Edit::RemoveTemplate(name.parse()?);
        self.edit(edit, expected, &reason).await
    }

    fn versions(&self) -> Result<Reply, Error> {
        let configuration = self.configuration();
        let all: Vec<&Versioned<VersionEntry>> =
            configuration.all_versions().collect();
        let reply = Reply::json(all)?;
        Ok(reply.with_etag(configuration.revision()))
    }

    fn version(&self, model: &str, version: &str) -> Result<Reply, Error> {
        let part = self.find_version(model, version)?;
        let reply = Reply::json(&part.value)?;
        Ok(reply.with_etag(part.revision))
    }

    fn find_version(
        &self,
        model: &str,
        version: &str,
    ) -> Result<Versioned<VersionEntry>, Error> {
        let model: ModelId = model.parse()?;
        let version: VersionId = version.parse()?;
        let configuration = self.configuration();
        configuration.version(&model, &version).cloned().ok_or_else(|| {
            not_found(format!("no version {version} of {model}"))
        })
    }

    async fn put_version(
        &self,
        conn: &mut Conn,
        model: &str,
        version: &str,
    ) -> Result<Reply, Error> {
        let expected = parse_expected(conn)?;
        let reason = read_reason(conn);
        let body = read_body(conn).await?;
        let entry = VersionEntry::from_json(&body)?;
        let same =
            entry.model.as_str() == model && entry.version.as_str() == version;
        if !same {
            return Err(invalid("the versions in path and body differ"));
        }
        self.edit(Edit::PutVersion(entry), expected, &reason).await
    }

    async fn set_state(
        &self,
        conn: &mut Conn,
        model: &str,
        version: &str,
    ) -> Result<Reply, Error> {
        let body = read_body(conn).await?;
        let change: StateChange = serde_json::from_slice(&body)
            .map_err(|error| invalid(error.to_string()))?;
        let current = self.find_version(model, version)?;
        let expected = match parse_expected(conn) {
            Ok(expected) => expected,
            // The request sets a state that does not depend on the old one,
            // so the last writer may win.
            Err(_) => Expected::At(current.revision),
        };
        let entry = VersionEntry { state: change.state, ..current.value };
        let edit = Edit::PutVersion(entry);
        self.edit(edit, expected, &change.reason).await
    }

    async fn edit(
        &self,
        edit: Edit,
        expected: Expected,
        reason: &str,
    ) -> Result<Reply, Error> {
        let revision =
            configuration_sync::edit(&self.vm, edit, expected, reason).await?;
        let reply = Reply::json(json!({ "revision": revision }))?;
        Ok(reply.with_etag(revision))
    }

    async fn decision(&self, id: &str, as_text: bool) -> Result<Reply, Error> {
        let id: RequestId = id.parse()?;
        if let Some(decision) = self.vm.find_decision(&id).await {
            return match as_text {
                true => Ok(Reply::text(decision_text(&decision))),
                false => Reply::json(&decision),
            };
        }
        // The VM that made the decision may have stopped; the bill has the
        // main information.
        let bill = self.vm.find_bill(&id).await.ok_or_else(|| {
            not_found(format!(
                "no VM has a decision for {id}, and the latest hours of the \
                 ledger have no bill for it"
            ))
        })?;
        match as_text {
            true => Ok(Reply::text(bill_text(&bill))),
            false => Reply::json(json!({ "bill": bill })),
        }
    }

    async fn bills(&self, conn: &Conn) -> Result<Reply, Error> {
        let query = parse_bill_query(conn.querystring(), &self.vm)?;
        let bills = ledger::read_bills(&self.vm, &query).await?;
        let total = ledger::total(&bills);
        Reply::json(json!({
            "count": bills.len(),
            "cost_micro": total,
            "bills": bills,
        }))
    }

    fn status(&self) -> Value {
        let vm = &self.vm;
        let now = vm.clock.now();
        let identity = vm.identity();
        let configuration = vm.configuration.current();
        let stopped = rollout_guard::stopped_versions(
            &configuration,
            &vm.rollout_guard.stopped(),
        );
        let age = |age: Option<std::time::Duration>| {
            age.map(|age| age.as_millis() as u64)
        };
        let listed = vm.view.list_read_at();
        json!({
            "vm": identity.vm,
            "incarnation": identity.incarnation.to_string(),
            "data_hall": vm.view.data_hall(),
            "ready": vm.is_ready(),
            "revision": configuration.revision(),
            "configuration_age_ms": age(vm.configuration.proof_age(now)),
            "configuration_fresh": vm.is_configuration_fresh(),
            "list_age_ms":
                age(listed.map(|at| now.saturating_duration_since(at))),
            "in_flight": vm.in_flight(),
            "queued": vm.dispatch_queue.waiting(),
            "bills_waiting": vm.ledger.uncommitted_count(),
            "steward_epoch": vm.steward.epoch(),
            "stopped_versions": stopped,
            "peers": self.peer_status(),
            "slots": self.slot_status(),
            "upstreams": self.upstream_status(now),
        })
    }

    fn peer_status(&self) -> Vec<Value> {
        let view = &self.vm.view;
        view.peers()
            .iter()
            .map(|peer| {
                let liveness = view.liveness(&peer.vm);
                json!({
                    "vm": peer.vm,
                    "data_hall": peer.data_hall,
                    "life": liveness.map(|(_, liveness)| liveness.as_str()),
                })
            })
            .collect()
    }

    fn slot_status(&self) -> Vec<Value> {
        let reports = self.vm.claims.reports();
        let as_json = |(number, report): &(u32, _)| json!({ "slot": number, "state": slot_state(report) });
        reports.iter().map(as_json).collect()
    }

    fn upstream_status(&self, now: crate::clock::BootInstant) -> Vec<Value> {
        let view = &self.vm.view;
        let mut all = view.all_upstreams();
        all.sort_by(|a, b| a.record.id.cmp(&b.record.id));
        all.iter()
            .map(|upstream| {
                let snapshot = view.snapshot(upstream, now);
                json!({
                    "upstream": snapshot.id,
                    "data_hall": upstream.record.data_hall,
                    "serves": upstream.record.serves,
                    "leaving": snapshot.leaving,
                    "failing": snapshot.breaker_open,
                    "requests": snapshot.requests,
                    "slots": snapshot.slots,
                    "load_age_ms":
                        snapshot.load_age.map(|age| age.as_millis() as u64),
                })
            })
            .collect()
    }

    /// Sends an error response; after an edit conflict it includes the current
    /// value and its revision.
    fn send_error_reply(
        &self,
        conn: Conn,
        parts: &[&str],
        error: &Error,
    ) -> Conn {
        let mut body = crate::answer::error_json(error, None);
        if error.kind() == ErrorKind::EditConflict {
            let current = match parts {
                ["templates", name] => self.template(name),
                ["versions", model, version, ..] => {
                    self.version(model, version)
                }
                _ => Err(error.clone()),
            };
            if let Ok(Reply { etag, body: ReplyBody::Json(value), .. }) =
                current
            {
                body["current"] = json!({ "revision": etag, "value": value });
            }
        }
        send_json(conn, error.kind().answer().status, &body)
    }
}

fn send_reply(conn: Conn, reply: Reply) -> Conn {
    let conn = match reply.etag {
        Some(revision) => conn.with_response_header(
            KnownHeaderName::Etag,
            format!("\"{revision}\""),
        ),
        None => conn,
    };
    match reply.body {
        ReplyBody::Json(value) => send_json(conn, reply.status, &value),
        ReplyBody::Text(text) => conn
            .with_status(reply.status)
            .with_response_header(
                KnownHeaderName::ContentType,
                "text/plain; charset=utf-8",
            )
            .with_body(text)
            .halt(),
    }
}

fn invalid(reason: impl Into<String>) -> Error {
    Error::new(ErrorKind::InvalidInput).context(reason)
}

fn not_found(reason: impl Into<String>) -> Error {
    Error::new(ErrorKind::NotFound).context(reason)
}

/// Parses the precondition of an edit: `If-Match: "7"`, `If-Match: *` or
/// `If-None-Match: *`.
fn parse_expected(conn: &Conn) -> Result<Expected, Error> {
    let headers = conn.request_headers();
    if let Some(tag) = headers.get_str(KnownHeaderName::IfMatch) {
        return match tag.trim().trim_matches('"') {
            "*" => Ok(Expected::Any),
            revision => revision.parse().map(Expected::At),
        };
    }
    match headers.get_str(KnownHeaderName::IfNoneMatch) {
        Some("*") => Ok(Expected::Absent),
        _ => Err(invalid(
            "an edit requires `If-Match` with the revision that it is based \
             on, or `If-None-Match: *` to create something new",
        )),
    }
}

fn read_reason(conn: &Conn) -> String {
    let reason = conn.request_headers().get_str("lupinseam-reason");
    reason.unwrap_or("by an operator").to_owned()
}

async fn read_body(conn: &mut Conn) -> Result<Vec<u8>, Error> {
    let body = conn.request_body().await.with_max_len(BODY_LIMIT_BYTES);
    body.read_bytes().await.map_err(|error| {
        let kind = match error {
            trillium::Error::ReceivedBodyTooLong(_) => ErrorKind::TooLarge,
            _ => ErrorKind::InvalidInput,
        };
        Error::new(kind).context(error.to_string())
    })
}

fn parse_bill_query(text: &str, vm: &Vm) -> Result<BillQuery, Error> {
    const DAY_MS: u64 = 24 * 3_600_000;
    let now = vm.clock.unix_ms();
    let mut query = BillQuery {
        organisation: None,
        from_unix_ms: now.saturating_sub(DAY_MS),
        to_unix_ms: now + 1,
    };
    for pair in text.split('&').filter(|pair| !pair.is_empty()) {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        let number = || {
            value.parse::<u64>().map_err(|_| {
                invalid(format!("`{name}` must be a whole number"))
            })
        };
        match name {
            "organisation" => query.organisation = Some(value.parse()?),
            "from_ms" => query.from_unix_ms = number()?,
            "to_ms" => query.to_unix_ms = number()?,
            _ => return Err(invalid(format!("unknown parameter `{name}`"))),
        }
    }
    Ok(query)
}

fn decision_text(decision: &Decision) -> String {
    format!("{}\n", decision.to_text())
}

fn bill_text(bill: &Bill) -> String {
    let mut text = format!(
        "The VM that made the decision is gone; according to the bill, a \
         request of {} ended as `{}`, at a cost of {}.\n",
        bill.organisation, bill.ended, bill.cost_micro
    );
    for part in &bill.parts {
        let what = match (&part.model, &part.version, &part.service) {
            (Some(model), Some(version), _) => format!("{model} {version}"),
            (_, _, Some(service)) => format!("the service {service}"),
            _ => "an attempt".to_owned(),
        };
        let _ = writeln!(
            text,
            "{what} ran at {}: {} input tokens, {} output tokens, cost {}.",
            part.upstream,
            part.input_tokens,
            part.output_tokens,
            part.cost_micro
        );
    }
    text
}
