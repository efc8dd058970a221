//! The signals that an upstream sends about itself in response headers.

use std::time::Duration;

use hyper::{
    HeaderMap,
    header::{HeaderValue, RETRY_AFTER},
};

use crate::{event::Event, placing::member::LoadReport, unit::RequestRate};

/// Status codes of a temporary rejection; beside any other, `Retry-After` is
/// ignored.
const REJECTION_STATUSES: [u16; 2] = [429, 503];

/// Characters of an unparsable value that are kept for the log.
const MAX_TEXT_CHARS: usize = 40;

/// Everything that one response says about the upstream that sent it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UpstreamSignals {
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// How long it asks this VM to back off, if it does.
    pub retry_after: Option<RetryAfter>,
    /// The rate limit for all VMs together; `None` if the response says
    /// nothing about it.
    pub rate_limit: Option<RateLimit>,
    /// The load that it reports.
    pub load: Option<LoadReport>,
}

/// A `Retry-After` header: how long an upstream that rejected a request wants
/// no further one from this VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RetryAfter {
    /// It wants none for this time.
    For(Duration),
    /// The value is not a time.
    Unreadable(String),
}

impl RetryAfter {
    /// Reads the headers of a response; the longest of several values counts.
    pub fn read(status: u16, headers: &HeaderMap) -> Option<RetryAfter> {
        if !REJECTION_STATUSES.contains(&status) {
            return None;
        }
        let values = headers.get_all(RETRY_AFTER).iter().map(|value| {
            let text = String::from_utf8_lossy(value.as_bytes());
            RetryAfter::parse(&text)
        });
        values.max_by_key(RetryAfter::time)
    }

    fn parse(text: &str) -> RetryAfter {
        let seconds = text.trim().parse().ok();
        let time = seconds.and_then(|s| Duration::try_from_secs_f64(s).ok());
        time.map_or_else(
            || RetryAfter::Unreadable(truncated(text)),
            RetryAfter::For,
        )
    }

    /// The time; `None` if the value could not be parsed.
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
    /// Any number.
    Unlimited,
    /// At most this rate.
    At(RequestRate),
    /// The value is not a rate.
    Unreadable(String),
}

impl RateLimit {
    /// Reads the values of a header; the lowest of several rates counts.
    ///
    /// Without the header, a response to a request that ran means that there
    /// is no limit. A rejection, or a response from elsewhere, says nothing
    /// about it.
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
            |_| RateLimit::Unreadable(truncated(text)),
            RateLimit::At,
        )
    }

    /// The rate; `None` if there is no limit or it could not be parsed.
    pub fn rate(&self) -> Option<RequestRate> {
        match self {
            RateLimit::At(rate) => Some(*rate),
            RateLimit::Unlimited | RateLimit::Unreadable(_) => None,
        }
    }
}

fn truncated(text: &str) -> String {
    text.chars().take(MAX_TEXT_CHARS).collect()
}

/// A change in what an upstream reports about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReportedChange {
    /// It is leaving.
    Leaving,
    /// It asks to back off for this time.
    BackoffStarted(Duration),
    /// Its backoff is over, and it has served a request.
    BackoffEnded,
    /// It sent a `Retry-After` that is not a time.
    RetryAfterUnreadable(String),
    /// It takes requests at this rate from all VMs together.
    RateLimited(RequestRate),
    /// It no longer has a rate limit.
    RateLimitLifted,
    /// It sent a rate limit that is not a rate.
    RateLimitUnreadable(String),
}

impl ReportedChange {
    /// The event to log for this change.
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

    /// The label value of this change in metrics.
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
