//! Signals about an upstream in the status and headers of its responses.

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

/// The response header with which an upstream announces that it is about to
/// stop; its value is then `1`.
const LEAVING_HEADER: &str = "lupinseam-leaving";

/// The response header with which an upstream limits the requests per second
/// that it accepts from all VMs together; its value is a decimal number.
const RATE_LIMIT_HEADER: &str = "lupinseam-rate-limit";

impl RequestContext {
    /// Applies the signals in a response to the upstream's state, and sends
    /// the other VMs of the data hall a notice of those that they should know
    /// at once.
    pub(super) fn apply_signals(
        &self,
        chosen: &SelectedUpstream,
        status: u16,
        headers: &HeaderMap,
    ) {
        let upstream = &chosen.upstream;
        let signals = parse_signals(status, headers);
        let (draw, now) = (rand::random(), self.vm.clock.now());
        let state = &upstream.reported_state;
        for change in state.apply(&signals, draw, chosen.selected_at, now) {
            match &change {
                ReportedChange::Leaving => {
                    log_leaving(upstream, "reported by its response")
                }
                other => {
                    let id = &upstream.record.id;
                    other.event().log(format_args!("upstream {id}"));
                }
            }
            let Some(notice) = notice_for(&change, upstream.short_hash) else {
                continue;
            };
            let vm = self.vm.clone();
            task::spawn(async move {
                Gossiper::broadcast_notice(&vm, notice).await
            })
            .detach();
        }
    }
}

/// Reads the signals from the head of a response.
fn parse_signals(status: u16, headers: &HeaderMap) -> UpstreamSignals {
    let was_executed =
        ![STATUS_UNAVAILABLE, STATUS_NOT_LOADED].contains(&status);
    UpstreamSignals {
        is_leaving: headers.get(LEAVING_HEADER).is_some_and(|v| v == "1"),
        retry_after: RetryAfter::read(status, headers),
        rate_limit: RateLimit::read(
            headers.get_all(RATE_LIMIT_HEADER),
            was_executed,
        ),
        load: None,
    }
}

/// Returns the notice to send to the other VMs of the data hall, if the
/// change concerns them.
fn notice_for(
    change: &ReportedChange,
    upstream: ShortHash,
) -> Option<UpstreamNotice> {
    let limit = |rate: Option<RequestRate>| {
        UpstreamNotice::RateLimit(RateLimitReport {
            upstream,
            rate,
            age_ms: 0,
        })
    };
    match change {
        ReportedChange::Leaving => Some(UpstreamNotice::Leaving(upstream)),
        ReportedChange::RateLimited(rate) => Some(limit(Some(*rate))),
        ReportedChange::RateLimitLifted => Some(limit(None)),
        _ => None,
    }
}
