//! What upstreams of the own interface say of themselves in their answers.

use hyper::HeaderMap;

use crate::{
    api::{
        dispatch::{STATUS_NOT_LOADED, STATUS_UNAVAILABLE, SelectedUpstream},
        gossip::{Gossiper, log_leaving},
        request::RequestContext,
    },
    message::{RateLimitReport, ShortHash, UpstreamNotice},
    placing::signals::{
        RateLimit, ReportedChange, RetryAfter, UpstreamSignals,
    },
    task,
    unit::RequestRate,
};

/// The header by which an upstream says that it is leaving, with the value 1.
const LEAVING: &str = "lupinseam-leaving";

/// The header by which an upstream names the requests that it takes in a
/// second from all VMs together, a decimal number.
const RATE_LIMIT: &str = "lupinseam-rate-limit";

impl RequestContext {
    /// Takes in what an upstream says of itself in an answer.
    pub(super) fn apply_upstream_statement(
        &self,
        chosen: &SelectedUpstream,
        status: u16,
        headers: &HeaderMap,
    ) {
        let upstream = &chosen.upstream;
        let statement = read_statement(status, headers);
        let (draw, now) = (rand::random(), self.vm.clock.now());
        let word = &upstream.reported_state;
        for news in word.apply(&statement, draw, chosen.chosen_at, now) {
            match &news {
                ReportedChange::Leaving => {
                    log_leaving(upstream, "by its own answer")
                }
                other => {
                    let id = &upstream.record.id;
                    other.event().log(format_args!("upstream {id}"));
                }
            }
            let Some(notice) = notice_of(&news, upstream.short_hash) else {
                continue;
            };
            let vm = self.vm.clone();
            task::spawn(async move { Gossiper::notify(&vm, notice).await })
                .detach();
        }
    }
}

/// Reads what an upstream says of itself in the head of an answer.
fn read_statement(status: u16, headers: &HeaderMap) -> UpstreamSignals {
    let ran = ![STATUS_UNAVAILABLE, STATUS_NOT_LOADED].contains(&status);
    UpstreamSignals {
        is_leaving: headers.get(LEAVING).is_some_and(|v| v == "1"),
        retry_after: RetryAfter::read(status, headers),
        rate_limit: RateLimit::read(headers.get_all(RATE_LIMIT), ran),
        load: None,
    }
}

/// What the other VMs of the data hall are to know at once.
fn notice_of(
    news: &ReportedChange,
    upstream: ShortHash,
) -> Option<UpstreamNotice> {
    let limit = |rate: Option<RequestRate>| {
        UpstreamNotice::RateLimit(RateLimitReport {
            upstream,
            rate,
            age_ms: 0,
        })
    };
    match news {
        ReportedChange::Leaving => Some(UpstreamNotice::Leaving(upstream)),
        ReportedChange::RateLimited(rate) => Some(limit(Some(*rate))),
        ReportedChange::RateLimitLifted => Some(limit(None)),
        _ => None,
    }
}
