//! The story of one request, told from the log lines of the VMs.
//!
//! The request's own line says what was decided and why. Around it stand the
//! lines of the same time that changed what its VM believed, and what any VM
//! found out about the upstreams that it went to.

use std::{collections::BTreeSet, fmt};

use serde_json::Value;

use crate::event::Event;

/// Time before a request from which lines are told with it: what a VM
/// believes comes from the seconds before.
const BEFORE_MS: u64 = 5000;

/// Time after its end, for what was found out only then.
const AFTER_MS: u64 = 1000;

/// Lines told around a request; the nearest in time are kept.
const AROUND_MOST: usize = 40;

/// Events of a VM that decide how its requests fare.
const OF_ITS_VM: [Event; 10] = [
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

/// One line of a log.
#[derive(Clone, Debug)]
struct Line {
    /// Where it was read, or the VM's name where the line begins with it.
    source: String,
    at_ms: u64,
    event: String,
    fields: Value,
}

impl Line {
    /// Reads a line, whatever stands before its JSON.
    fn read(source: &str, text: &str) -> Option<Line> {
        let (before, json) = text.split_at(text.find('{')?);
        let fields: Value = serde_json::from_str(json).ok()?;
        let vm = before.split_whitespace().last().unwrap_or(source);
        Some(Line {
            source: vm.to_owned(),
            at_ms: fields["at_ms"].as_u64()?,
            event: fields["event"].as_str()?.to_owned(),
            fields,
        })
    }

    fn text(&self, field: &str) -> &str {
        self.fields[field].as_str().unwrap_or("?")
    }

    fn number(&self, field: &str) -> u64 {
        self.fields[field].as_u64().unwrap_or(0)
    }

    fn is(&self, event: Event) -> bool {
        self.event == event.to_string()
    }

    fn is_of_request(&self) -> bool {
        self.is(Event::RequestEnded) || self.is(Event::RequestFailed)
    }

    fn attempts(&self) -> &[Value] {
        self.fields["attempts"].as_array().map_or(&[], Vec::as_slice)
    }

    fn began_ms(&self) -> u64 {
        self.at_ms.saturating_sub(self.number("passed_ms"))
    }
}

/// The stories of the requests that an id stands for: one for each VM that
/// it reached.
pub(crate) struct Story {
    tries: Vec<Line>,
    around: Vec<Line>,
}

impl Story {
    /// Finds a request in logs, each with its name; `None` if it is in none.
    pub(crate) fn find(id: &str, logs: &[(String, String)]) -> Option<Story> {
        let lines: Vec<Line> = logs
            .iter()
            .flat_map(|(name, text)| {
                text.lines().filter_map(move |line| Line::read(name, line))
            })
            .collect();
        let is_it =
            |line: &&Line| line.is_of_request() && line.text("id") == id;
        let tries: Vec<Line> = lines.iter().filter(is_it).cloned().collect();
        let first = tries.first()?;
        let upstreams: BTreeSet<&str> = tries
            .iter()
            .flat_map(|line| line.attempts())
            .filter_map(|attempt| attempt["upstream"].as_str())
            .collect();
        let from_ms = first.began_ms().saturating_sub(BEFORE_MS);
        let to_ms = first.at_ms + AFTER_MS;
        let tells = |line: &&Line| {
            let is_near = (from_ms..=to_ms).contains(&line.at_ms);
            let is_of_vm = tries.iter().any(|t| t.source == line.source)
                && OF_ITS_VM.iter().any(|event| line.is(*event));
            let is_of_upstream = !line.is_of_request()
                && upstreams.contains(line.text("upstream"));
            is_near && (is_of_vm || is_of_upstream)
        };
        let mut around: Vec<Line> =
            lines.iter().filter(tells).cloned().collect();
        around.sort_by_key(|line| line.at_ms.abs_diff(first.at_ms));
        around.truncate(AROUND_MOST);
        around.sort_by_key(|line| line.at_ms);
        Some(Story { tries, around })
    }
}

impl fmt::Display for Story {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in &self.tries {
            tell_try(f, line)?;
        }
        let Some(first) = self.tries.first() else { return Ok(()) };
        if self.around.is_empty() {
            return Ok(());
        }
        writeln!(f, "Around that time:")?;
        for line in &self.around {
            let at_ms = line.at_ms as i64 - first.began_ms() as i64;
            let name = line.text("name");
            write!(f, "  {at_ms:+} ms {} {} {name}", line.source, line.event)?;
            for (field, value) in line.fields.as_object().into_iter().flatten()
            {
                let is_told = ["at_ms", "event", "name"];
                if !is_told.contains(&field.as_str()) {
                    write!(f, " {field}={value}")?;
                }
            }
            writeln!(f)?;
        }
        Ok(())
    }
}

fn tell_try(f: &mut fmt::Formatter<'_>, line: &Line) -> fmt::Result {
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
            "  judged by configuration {}, proven current {age_ms} ms before",
            line.number("table"),
        )?,
        None => writeln!(f, "  no configuration was proven current")?,
    }
    for attempt in line.attempts() {
        tell_attempt(f, attempt)?;
    }
    if line.attempts().is_empty() {
        writeln!(f, "  it was sent to no upstream")?;
    }
    let passed_ms = line.number("passed_ms");
    if let Some(first_ms) = line.fields["first_part_ms"].as_u64() {
        let pause_ms = line.number("longest_pause_ms");
        writeln!(
            f,
            "  {first_ms} ms: the first part went out; longest pause \
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

fn tell_attempt(f: &mut fmt::Formatter<'_>, attempt: &Value) -> fmt::Result {
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
        "; {} requests there, {} ms of prompts to read)",
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

/// What an operator should take from the code of a failed request.
fn meaning(code: &str) -> &'static str {
    match code {
        "not_ready" => "not run: the VM could not tell which keys hold",
        "overloaded" => "not run: every upstream was full or declined",
        "no_upstream" => "not run: the service had no upstream",
        "upstream_failed" => "unknown outcome: an upstream may have run it",
        "deadline_exceeded" => "its time was over",
        "broken_off" => "its answer broke off visibly",
        "caller_left" => "its caller left before the end",
        "unauthorized" => "not run: its key is not known",
        "not_found" => "not run: no route leads there",
        _ => "see docs/ANSWERS.md",
    }
}

#[cfg(test)]
mod tests;
