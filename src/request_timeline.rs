//! The timeline of one request, assembled from the log lines of the VMs.
//!
//! It consists of the request's own log line, which states what was decided
//! and why, and of related lines of the same time: events that changed the
//! state of the VM that handled the request, and events of any VM about the
//! upstreams that the request was sent to.

use std::{collections::BTreeSet, fmt};

use serde_json::Value;

use crate::event::Event;

/// Time before a request's start from which related lines are included. The
/// events of these seconds determine the state in which its VM handled it.
const BEFORE_MS: u64 = 5000;

/// Time after a request's end from which related lines are included, for what
/// was detected only then.
const AFTER_MS: u64 = 1000;

/// Maximum number of related lines; those nearest in time are kept.
const MAX_RELATED: usize = 40;

/// Events that affect all requests of the VM that logged them.
const VM_EVENTS: [Event; 10] = [
    Event::Starting,
    Event::Stopping,
    Event::StopCut,
    Event::StoreLost,
    Event::StoreBack,
    Event::KnowledgeStale,
    Event::KnowledgeFresh,
    Event::ConfigurationInForce,
    Event::ConfigurationBroken,
    Event::RolloutStopped,
];

/// A structured line of a log.
#[derive(Clone, Debug)]
struct Line {
    /// The word before the line's JSON, which is the VM's name; the name of
    /// the log if there is none.
    source: String,
    at_ms: u64,
    event: String,
    fields: Value,
}

impl Line {
    /// Parses a line, which may have a prefix before its JSON; `None` if it is
    /// not a structured event.
    fn parse(source: &str, text: &str) -> Option<Line> {
        let (prefix, json) = text.split_at(text.find('{')?);
        let fields: Value = serde_json::from_str(json).ok()?;
        let vm = prefix.split_whitespace().last().unwrap_or(source);
        Some(Line {
            source: vm.to_owned(),
            at_ms: fields["at_ms"].as_u64()?,
            event: fields["event"].as_str()?.to_owned(),
            fields,
        })
    }

    /// Returns a text field, or `?` if it is missing.
    fn text(&self, field: &str) -> &str {
        self.fields[field].as_str().unwrap_or("?")
    }

    /// Returns a number field, or 0 if it is missing.
    fn number(&self, field: &str) -> u64 {
        self.fields[field].as_u64().unwrap_or(0)
    }

    fn is(&self, event: Event) -> bool {
        self.event == event.to_string()
    }

    fn is_request_end(&self) -> bool {
        self.is(Event::RequestEnded) || self.is(Event::RequestFailed)
    }

    fn attempts(&self) -> &[Value] {
        self.fields["attempts"].as_array().map_or(&[], Vec::as_slice)
    }

    /// Returns the time at which the request of this line began.
    fn began_ms(&self) -> u64 {
        self.at_ms.saturating_sub(self.number("passed_ms"))
    }
}

/// The timeline of the requests with one id: one request for each VM that
/// received it.
pub(crate) struct RequestTimeline {
    /// The log lines of the requests.
    requests: Vec<Line>,
    /// Related lines near the first request, ordered by time.
    related: Vec<Line>,
}

impl RequestTimeline {
    /// Builds the timeline of a request from `logs`, which are pairs of a
    /// log's name and its text; `None` if no log contains the request.
    pub(crate) fn find(
        id: &str,
        logs: &[(String, String)],
    ) -> Option<RequestTimeline> {
        let lines: Vec<Line> = logs
            .iter()
            .flat_map(|(name, text)| {
                text.lines().filter_map(move |line| Line::parse(name, line))
            })
            .collect();
        let is_match =
            |line: &&Line| line.is_request_end() && line.text("id") == id;
        let requests: Vec<Line> =
            lines.iter().filter(is_match).cloned().collect();
        let first = requests.first()?;
        let upstreams: BTreeSet<&str> = requests
            .iter()
            .flat_map(|line| line.attempts())
            .filter_map(|attempt| attempt["upstream"].as_str())
            .collect();
        let from_ms = first.began_ms().saturating_sub(BEFORE_MS);
        let to_ms = first.at_ms + AFTER_MS;
        let is_related = |line: &&Line| {
            let is_near = (from_ms..=to_ms).contains(&line.at_ms);
            let is_of_vm = requests.iter().any(|r| r.source == line.source)
                && VM_EVENTS.iter().any(|event| line.is(*event));
            let is_of_upstream = !line.is_request_end()
                && upstreams.contains(line.text("upstream"));
            is_near && (is_of_vm || is_of_upstream)
        };
        let mut related: Vec<Line> =
            lines.iter().filter(is_related).cloned().collect();
        related.sort_by_key(|line| line.at_ms.abs_diff(first.at_ms));
        related.truncate(MAX_RELATED);
        related.sort_by_key(|line| line.at_ms);
        Some(RequestTimeline { requests, related })
    }
}

impl fmt::Display for RequestTimeline {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in &self.requests {
            write_request(f, line)?;
        }
        let Some(first) = self.requests.first() else { return Ok(()) };
        if self.related.is_empty() {
            return Ok(());
        }
        writeln!(f, "Around that time:")?;
        for line in &self.related {
            let at_ms = line.at_ms as i64 - first.began_ms() as i64;
            let name = line.text("name");
            write!(f, "  {at_ms:+} ms {} {} {name}", line.source, line.event)?;
            for (field, value) in line.fields.as_object().into_iter().flatten()
            {
                let already_shown = ["at_ms", "event", "name"];
                if !already_shown.contains(&field.as_str()) {
                    write!(f, " {field}={value}")?;
                }
            }
            writeln!(f)?;
        }
        Ok(())
    }
}

fn write_request(f: &mut fmt::Formatter<'_>, line: &Line) -> fmt::Result {
    writeln!(
        f,
        "{}: route {}, organisation {}, at {}",
        line.text("id"),
        line.text("route"),
        line.text("organisation"),
        line.source,
    )?;
    match line.fields["proof_age_ms"].as_u64() {
        Some(age_ms) => writeln!(
            f,
            "  decided with configuration {}, proven current {age_ms} ms before",
            line.number("table"),
        )?,
        None => writeln!(f, "  no configuration was proven current")?,
    }
    for attempt in line.attempts() {
        write_attempt(f, attempt)?;
    }
    if line.attempts().is_empty() {
        writeln!(f, "  it was sent to no upstream")?;
    }
    let passed_ms = line.number("passed_ms");
    if let Some(first_ms) = line.fields["first_part_ms"].as_u64() {
        let pause_ms = line.number("longest_pause_ms");
        writeln!(
            f,
            "  {first_ms} ms: sent the first part; longest pause \
             {pause_ms} ms"
        )?;
    }
    match line.fields["code"].as_str() {
        None => writeln!(
            f,
            "  {passed_ms} ms: answered with status {}",
            line.number("status")
        ),
        Some(code) => writeln!(
            f,
            "  {passed_ms} ms: ended as {code}, {} ({})",
            meaning(code),
            line.text("reason"),
        ),
    }
}

fn write_attempt(f: &mut fmt::Formatter<'_>, attempt: &Value) -> fmt::Result {
    let text = |field: &str| attempt[field].as_str();
    let number = |field: &str| attempt[field].as_u64().unwrap_or(0);
    write!(
        f,
        "  {} ms: sent to {} (software {}",
        number("began_ms"),
        text("upstream").unwrap_or("?"),
        text("software").unwrap_or("?"),
    )?;
    if let Some(model) = text("model") {
        write!(f, ", model {model}")?;
    }
    write!(
        f,
        "; {} requests there, {} ms of prefill)",
        number("requests_there"),
        number("reading_there_ms"),
    )?;
    if let Some(confidence) = attempt["confidence"].as_u64() {
        write!(f, ", confidence {confidence}")?;
    }
    if let Some(kept) = text("kept") {
        write!(f, ", kept since: {kept}")?;
    }
    writeln!(f, "; {} ms: {}", number("ended_ms"), text("end").unwrap_or("?"),)
}

/// Explains the code of a failed request to an operator: above all, whether
/// the request may have run.
fn meaning(code: &str) -> &'static str {
    match code {
        "not_ready" => "not run: the VM could not tell which keys are valid",
        "overloaded" => "not run: every upstream was full or rejected it",
        "no_upstream" => "not run: the service had no upstream",
        "upstream_failed" => "unknown outcome: an upstream may have run it",
        "deadline_exceeded" => "its deadline passed",
        "broken_off" => "its answer was cut off, and the caller could see it",
        "caller_left" => "its caller disconnected before the end",
        "internal" => "unknown outcome: a bug in the VM ended it",
        "timed_out" => "its answer was cut off at its deadline",
        "cut_by_stop" => "its answer was cut off at the end of a planned stop",
        "write_failed" => "the connection failed while it was answered",
        "closed_here" => "the VM closed the connection before the end",
        "unauthorized" => "not run: its key is unknown",
        "not_found" => "not run: no route matches it",
        _ => "see docs/ANSWERS.md",
    }
}

#[cfg(test)]
mod tests;
