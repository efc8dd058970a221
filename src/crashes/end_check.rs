//! Finding out whether an upstream has ended under a request.
//!
//! A connection that breaks says little: it may have been reset while the
//! upstream is well. One that has ended refuses the next connection.

use std::sync::Arc;

use serde_json::json;

use crate::{
    crashes::digest::RequestDigest,
    event::Event,
    gateway::{Gateway, fields},
    http_client::Listening,
    placing::member::Member,
    task,
};

/// Looks whether an upstream at which an attempt was lost takes connections.
pub(crate) fn begin(
    gateway: &Arc<Gateway>,
    member: &Arc<Member>,
    request: RequestDigest,
) {
    let (gateway, member) = (gateway.clone(), member.clone());
    let work = async move {
        let listening = gateway.http.probe(member.entry.address).await;
        if listening == Listening::No {
            Event::UpstreamEnded.record(fields(json!({
                "upstream": member.entry.life().to_string(),
                "request": request.to_string(),
            })));
        }
    };
    task::spawn(work).detach();
}
