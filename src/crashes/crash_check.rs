//! Finding out whether an upstream has ended under a request.
//!
//! A connection that breaks says little: it may have been reset while the
//! upstream is well, and one that leaves closes what is left at its end. One
//! that has crashed refuses the next connection, or has started anew.

use std::{sync::Arc, time::Duration};

use serde_json::json;

use crate::{
    clock::BootInstant,
    crashes::{digest::RequestDigest, tracker::NextStep},
    event::Event,
    gateway::{Gateway, fields},
    http_client::Listening,
    placing::member::Member,
    task,
};

/// Time until an upstream that still takes connections is asked once more: a
/// process that ends closes its sockets one after the other.
const SECOND_LOOK: Duration = Duration::from_millis(150);

/// Takes in that an attempt was lost at an upstream where it began at
/// `began_at`.
pub(crate) fn record_lost_attempt(
    gateway: &Arc<Gateway>,
    member: &Arc<Member>,
    request: RequestDigest,
    began_at: BootInstant,
) {
    let now = gateway.clock.now();
    let life = member.upstream.short_hash;
    let has_crashed = member.has_crashed();
    if !has_crashed && !member.takes_requests(now) {
        // It was leaving: its end was planned.
        return;
    }
    let (next, changes) =
        gateway.crashes.record_lost_attempt(request, life, began_at, now);
    gateway.log_quarantine_changes(&changes);
    match next {
        NextStep::Nothing => gateway.early_heartbeat.wake(),
        NextStep::Check if has_crashed => settle(gateway, member, request),
        NextStep::Check => {
            let (gateway, member) = (gateway.clone(), member.clone());
            task::spawn(check(gateway, member, request)).detach();
        }
    }
}

async fn check(
    gateway: Arc<Gateway>,
    member: Arc<Member>,
    request: RequestDigest,
) {
    let address = member.entry.address;
    let mut listening = gateway.http.probe(address).await;
    if listening == Listening::Yes {
        task::sleep(SECOND_LOOK).await;
        listening = gateway.http.probe(address).await;
    }
    if listening == Listening::No || member.has_crashed() {
        settle(&gateway, &member, request);
        return;
    }
    let now = gateway.clock.now();
    let life = member.upstream.short_hash;
    let changes = gateway.crashes.record_probe(life, listening, now);
    gateway.log_quarantine_changes(&changes);
}

/// Takes in that an upstream has ended.
fn settle(gateway: &Gateway, member: &Member, request: RequestDigest) {
    Event::UpstreamEnded.record(fields(json!({
        "upstream": member.entry.incarnation().to_string(),
        "request": request.to_string(),
    })));
    gateway.metrics.upstreams_ended.inc();
    let now = gateway.clock.now();
    let life = member.upstream.short_hash;
    let changes = gateway.crashes.record_probe(life, Listening::No, now);
    gateway.log_quarantine_changes(&changes);
    gateway.early_heartbeat.wake();
}
