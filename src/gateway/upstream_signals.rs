//! Applies what upstreams report about themselves: that they are leaving, for
//! how long to back off, their rate limit and their load.
//!
//! The signals of every response of an upstream go through
//! [`Gateway::apply_signals`], whatever the attempt was and however it ends.
//! The resulting state of an upstream is in
//! [`reported_state`](crate::placing::reported_state).
//!
//! How slow an upstream is compared with others is learned here as well, from
//! the times of requests.

use std::time::Duration;

use serde_json::json;

use crate::{
    clock::BootInstant,
    event::Event,
    gateway::{
        Gateway, fields,
        forward::{Attempt, Job},
    },
    id::ModelId,
    message::{RateLimitReport, ShortHash},
    placing::{
        member::Member,
        signals::{ReportedChange, UpstreamSignals},
        slowness,
    },
};

/// Shortest expected time to the first event from which the slowness of an
/// upstream is learned: shorter ones consist mostly of latency.
const MIN_EXPECTED_PREFILL: Duration = Duration::from_millis(25);

impl Job {
    /// Learns from the time to the first event of a prompt that did not wait
    /// for the prefill of others.
    pub(crate) fn learn_prefill_slowness(
        &self,
        attempt: &Attempt,
        model: &ModelId,
        first_event: Duration,
    ) {
        let gateway = &self.gateway;
        if !gateway.prefill_times.is_learned(model) {
            return;
        }
        let shared = self.request.shared_segments().last();
        let rank = shared.map(|segment| {
            gateway.pool.prefix_rank(&attempt.member, segment.id)
        });
        let processed = processed_tokens(
            attempt.prompt_tokens,
            self.shared_tokens(),
            rank,
        );
        let Some(tokens) = processed else { return };
        let expected = gateway.prefill_times.expected(Some(model), tokens);
        if expected >= MIN_EXPECTED_PREFILL {
            let ratio = first_event.as_secs_f64() / expected.as_secs_f64();
            self.record_time_ratio(attempt, ratio);
        }
    }

    /// Learns from the service time of a request without a prompt that had a
    /// slot at once.
    pub(crate) fn learn_service_slowness(
        &self,
        attempt: &Attempt,
        took: Duration,
    ) {
        let expected = self.gateway.service_times.of(&self.service);
        if let Some(expected) = expected
            && !self.route.is_stream
            && attempt.prompt_tokens == 0
        {
            let ratio = slowness::service_ratio(took, expected);
            self.record_time_ratio(attempt, ratio);
        }
    }

    fn record_time_ratio(&self, attempt: &Attempt, ratio: f64) {
        let now = self.gateway.clock.now();
        self.gateway.pool.record_time_ratio(&attempt.member, ratio, now);
    }
}

/// Returns how many tokens of a prompt an upstream has processed, which is the
/// `rank`th one in the order of the prefix of the prompt, from 0; `None` if
/// that is uncertain.
///
/// The first one probably has the prefix cached, the second one as often as
/// not.
fn processed_tokens(
    prompt_tokens: u64,
    shared_tokens: u64,
    rank: Option<usize>,
) -> Option<u64> {
    match rank {
        Some(0) => Some(prompt_tokens.saturating_sub(shared_tokens)),
        Some(1) => None,
        _ => Some(prompt_tokens),
    }
}

impl Gateway {
    /// Applies the signals in the response of an upstream to an attempt that
    /// was sent at `sent_at`.
    pub(crate) fn apply_signals(
        &self,
        member: &Member,
        signals: &UpstreamSignals,
        sent_at: BootInstant,
    ) {
        let now = self.clock.now();
        let changes = self.pool.apply_signals(member, signals, sent_at, now);
        for change in &changes {
            self.log_change(member, change);
        }
    }

    /// Merges which upstreams are leaving, as reported by another VM.
    ///
    /// In one round of heartbeats a VM reaches all VMs of its data hall but
    /// only a few of the others, so every receiver passes the report on.
    pub(crate) fn merge_leaving_upstreams(
        &self,
        from: &str,
        reported: &[ShortHash],
    ) {
        for member in self.pool.merge_peer_leaving(reported, self.clock.now())
        {
            Event::UpstreamLeaving.record(fields(json!({
                "upstream": member.entry.incarnation().to_string(),
                "by": "vm",
                "told_by": from,
            })));
        }
    }

    /// Merges rate limits of upstreams, as reported by another VM.
    /// `is_same_hall` says that the sender is in the data hall of this VM.
    pub(crate) fn merge_rate_limits(
        &self,
        from: &str,
        reported: &[RateLimitReport],
        is_same_hall: bool,
    ) {
        let now = self.clock.now();
        for (member, change) in
            self.pool.merge_peer_rate_limits(reported, is_same_hall, now)
        {
            let mut details = json!({
                "upstream": member.entry.incarnation().to_string(),
                "by": "vm",
                "told_by": from,
            });
            if let ReportedChange::RateLimited(rate) = change {
                details["per_s"] = rate.per_s().into();
                // This VM relays the limit to its own data hall.
                if !is_same_hall {
                    self.early_heartbeat.wake();
                }
            }
            change.event().record(fields(details));
        }
    }

    fn log_change(&self, member: &Member, change: &ReportedChange) {
        let incarnation = member.entry.incarnation().to_string();
        let counter = &self.metrics.upstreams_said;
        counter.with_label_values(&[change.label()]).inc();
        let mut details = json!({ "upstream": incarnation });
        match change {
            ReportedChange::Leaving => {
                self.early_heartbeat.wake();
                details["by"] = "answer".into();
            }
            ReportedChange::BackoffStarted(time) => {
                details["rest_ms"] = (time.as_millis() as u64).into();
            }
            ReportedChange::RateLimited(rate) => {
                self.early_heartbeat.wake();
                details["by"] = "answer".into();
                details["per_s"] = rate.per_s().into();
            }
            ReportedChange::RetryAfterUnreadable(text)
            | ReportedChange::RateLimitUnreadable(text) => {
                details["text"] = json!(text);
            }
            ReportedChange::RateLimitLifted => details["by"] = "answer".into(),
            ReportedChange::BackoffEnded => {}
        }
        change.event().record(fields(details));
    }
}

#[cfg(test)]
mod tests;
