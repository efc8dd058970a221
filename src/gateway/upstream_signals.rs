//! Hearing what upstreams say of themselves.
//!
//! Every answer of an upstream comes through [`Gateway::hear`], whatever was
//! asked and however the attempt goes on; what is kept of it stands in
//! [`own_word`](crate::placing::own_word).

use serde_json::json;

use crate::{
    clock::BootInstant,
    event::Event,
    gateway::{Gateway, fields},
    message::{ShortHash, ToldLimit},
    placing::{
        member::Member,
        statement::{OwnNews, Statement},
    },
};

impl Gateway {
    /// Takes in what an upstream says of itself in its answer to what was
    /// sent at `sent_at`.
    pub(crate) fn apply_signals(
        &self,
        member: &Member,
        statement: &Statement,
        sent_at: BootInstant,
    ) {
        let now = self.clock.now();
        let news = self.pool.take_statement(member, statement, sent_at, now);
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
        for member in self.pool.hear_leaving(told, self.clock.now()) {
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
        told: &[ToldLimit],
        is_near: bool,
    ) {
        let now = self.clock.now();
        for (member, news) in self.pool.hear_limits(told, is_near, now) {
            let mut details = json!({
                "upstream": member.entry.life().to_string(),
                "by": "vm",
                "told_by": from,
            });
            if let OwnNews::Limited(rate) = news {
                details["per_s"] = rate.per_s().into();
                // The own data hall is to hear it from this VM.
                if !is_near {
                    self.early_heartbeat.wake();
                }
            }
            news.event().record(fields(details));
        }
    }

    fn note_own_news(&self, member: &Member, news: &OwnNews) {
        let life = member.entry.life().to_string();
        let said = &self.metrics.upstreams_said;
        said.with_label_values(&[news.label()]).inc();
        let mut details = json!({ "upstream": life });
        match news {
            OwnNews::Leaving => {
                self.early_heartbeat.wake();
                details["by"] = "answer".into();
            }
            OwnNews::Resting(time) => {
                details["rest_ms"] = (time.as_millis() as u64).into();
            }
            OwnNews::Limited(rate) => {
                self.early_heartbeat.wake();
                details["by"] = "answer".into();
                details["per_s"] = rate.per_s().into();
            }
            OwnNews::Unreadable(text) | OwnNews::LimitUnreadable(text) => {
                details["text"] = json!(text);
            }
            OwnNews::Unlimited => details["by"] = "answer".into(),
            OwnNews::Rested => {}
        }
        news.event().record(fields(details));
    }
}

#[cfg(test)]
mod tests;
