//! Applies what upstreams report about themselves: that they are leaving, for
//! how long to back off, their rate limit and their load.
//!
//! The signals of every response of an upstream go through
//! [`Gateway::apply_signals`], whatever the attempt was and however it ends.
//! The resulting state of an upstream is in
//! [`reported_state`](crate::placing::reported_state).

use serde_json::json;

use crate::{
    clock::BootInstant,
    event::Event,
    gateway::{Gateway, fields},
    message::{RateLimitReport, ShortHash},
    placing::{
        member::Member,
        signals::{ReportedChange, UpstreamSignals},
    },
};

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
