//! Hearing what upstreams say of themselves.
//!
//! Every answer of an upstream comes through [`Gateway::hear`], whatever was
//! asked and however the attempt goes on; what is kept of it stands in
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
    /// Takes in what an upstream says of itself in its answer to what was
    /// sent at `sent_at`.
    pub(crate) fn hear(
        &self,
        member: &Member,
        statement: &UpstreamSignals,
        sent_at: BootInstant,
    ) {
        let now = self.clock.now();
        let news = self.pool.apply_signals(member, statement, sent_at, now);
        for news in &news {
            self.note_own_news(member, news);
        }
    }

    /// Takes in which upstreams have said to another VM that they are leaving.
    ///
    /// A VM tells all of its data hall in a round of beats, and few of the
    /// others, so whoever hears it tells it on.
    pub(crate) fn merge_leaving_upstreams(
        &self,
        from: &str,
        told: &[ShortHash],
    ) {
        for member in self.pool.apply_peer_leaving(told, self.clock.now()) {
            Event::UpstreamLeaving.record(fields(json!({
                "upstream": member.entry.life().to_string(),
                "by": "vm",
                "told_by": from,
            })));
        }
    }

    /// Takes in which rate limits another VM has told of.
    pub(crate) fn merge_rate_limits(
        &self,
        from: &str,
        told: &[RateLimitReport],
        is_near: bool,
    ) {
        let now = self.clock.now();
        for (member, news) in
            self.pool.apply_peer_rate_limits(told, is_near, now)
        {
            let mut details = json!({
                "upstream": member.entry.life().to_string(),
                "by": "vm",
                "told_by": from,
            });
            if let ReportedChange::RateLimited(rate) = news {
                details["per_s"] = rate.per_s().into();
                // The own data hall is to hear it from this VM.
                if !is_near {
                    self.early_heartbeat.wake();
                }
            }
            news.event().record(fields(details));
        }
    }

    fn note_own_news(&self, member: &Member, news: &ReportedChange) {
        let life = member.entry.life().to_string();
        let said = &self.metrics.upstreams_said;
        said.with_label_values(&[news.label()]).inc();
        let mut details = json!({ "upstream": life });
        match news {
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
        news.event().record(fields(details));
    }
}

#[cfg(test)]
mod tests;
