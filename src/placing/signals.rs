//! What an upstream says of itself in the head of an answer.

use std::time::Duration;

use hyper::{
    HeaderMap,
    header::{HeaderValue, RETRY_AFTER},
};

use crate::{event::Event, placing::member::LoadReport, unit::RequestRate};

/// Statuses by which an upstream turns a request away for now; a time to come
/// back beside any other says nothing of it.
const TURNED_AWAY: [u16; 2] = [429, 503];

/// Characters that are kept of a value that cannot be read.
const TEXT_MOST: usize = 40;

/// All that one answer says of the upstream that gave it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UpstreamSignals {
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// The rest that it asks this VM for, if any.
    pub retry_after: Option<RetryAfter>,
    /// What it says of the requests of all VMs together; `None` where it
    /// leaves that open.
    pub rate_limit: Option<RateLimit>,
    /// The load that it reports.
    pub load: Option<LoadReport>,
}

/// For how long an upstream wants no further request of the VM that it has
/// turned away.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RetryAfter {
    /// For this time.
    For(Duration),
    /// It says something that is no time.
    Unreadable(String),
}

impl RetryAfter {
    /// Reads it from an answer's head: of several times, the longest.
    pub fn read(status: u16, headers: &HeaderMap) -> Option<RetryAfter> {
        if !TURNED_AWAY.contains(&status) {
            return None;
        }
        let rests = headers.get_all(RETRY_AFTER).iter().map(|value| {
            let text = String::from_utf8_lossy(value.as_bytes());
            RetryAfter::parse(&text)
        });
        rests.max_by_key(RetryAfter::time)
    }

    fn parse(text: &str) -> RetryAfter {
        let seconds = text.trim().parse().ok();
        let time = seconds.and_then(|s| Duration::try_from_secs_f64(s).ok());
        time.map_or_else(
            || RetryAfter::Unreadable(shortened(text)),
            RetryAfter::For,
        )
    }

    /// How long it is, as far as that can be read.
    pub fn time(&self) -> Option<Duration> {
        match self {
            RetryAfter::For(time) => Some(*time),
            RetryAfter::Unreadable(_) => None,
        }
    }
}

/// How many requests an upstream takes from all VMs together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RateLimit {
    /// Any.
    Unlimited,
    /// Those at this rate.
    At(RequestRate),
    /// It says something that is no rate.
    Unreadable(String),
}

impl RateLimit {
    /// Reads it from the values of a header: of several rates, the lowest.
    ///
    /// Without any, an answer to a request that ran there says that there is
    /// no limit. One that came in its place, or that turns a request away,
    /// leaves it open.
    pub fn read<'a>(
        values: impl IntoIterator<Item = &'a HeaderValue>,
        ran: bool,
    ) -> Option<RateLimit> {
        let limits = values.into_iter().map(|value| {
            RateLimit::parse(&String::from_utf8_lossy(value.as_bytes()))
        });
        limits
            .min_by_key(|limit| (limit.rate().is_none(), limit.rate()))
            .or_else(|| ran.then_some(RateLimit::Unlimited))
    }

    fn parse(text: &str) -> RateLimit {
        let rate = text.trim().parse();
        rate.map_or_else(
            |_| RateLimit::Unreadable(shortened(text)),
            RateLimit::At,
        )
    }

    /// The rate, as far as there is one that can be read.
    pub fn rate(&self) -> Option<RequestRate> {
        match self {
            RateLimit::At(rate) => Some(*rate),
            RateLimit::Unlimited | RateLimit::Unreadable(_) => None,
        }
    }
}

fn shortened(text: &str) -> String {
    text.chars().take(TEXT_MOST).collect()
}

/// What an answer tells of its upstream that was not known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReportedChange {
    /// It is leaving.
    Leaving,
    /// It is at rest, for this time.
    BackoffStarted(Duration),
    /// Its rest is over, and it has taken a request.
    BackoffEnded,
    /// It asks for rest by a text that is no time.
    RetryAfterUnreadable(String),
    /// It takes requests at this rate from all VMs together.
    RateLimited(RequestRate),
    /// It has no rate limit any more.
    RateLimitLifted,
    /// It names a rate limit by a text that is no rate.
    RateLimitUnreadable(String),
}

impl ReportedChange {
    /// The event that is logged.
    pub(crate) fn event(&self) -> Event {
        match self {
            ReportedChange::Leaving => Event::UpstreamLeaving,
            ReportedChange::BackoffStarted(_) => Event::UpstreamRests,
            ReportedChange::BackoffEnded => Event::UpstreamRested,
            ReportedChange::RetryAfterUnreadable(_) => Event::RestUnreadable,
            ReportedChange::RateLimited(_) => Event::UpstreamLimited,
            ReportedChange::RateLimitLifted => Event::UpstreamUnlimited,
            ReportedChange::RateLimitUnreadable(_) => Event::LimitUnreadable,
        }
    }

    /// Its name in metrics.
    pub fn label(&self) -> &'static str {
        match self {
            ReportedChange::Leaving => "leaving",
            ReportedChange::BackoffStarted(_) => "resting",
            ReportedChange::BackoffEnded => "rested",
            ReportedChange::RetryAfterUnreadable(_) => "unreadable",
            ReportedChange::RateLimited(_) => "limited",
            ReportedChange::RateLimitLifted => "unlimited",
            ReportedChange::RateLimitUnreadable(_) => "limit_unreadable",
        }
    }
}

#[cfg(test)]
mod tests;
