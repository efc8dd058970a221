//! Logs when this VM begins to refuse connections, and when it no longer does.

use std::time::Duration;

use serde_json::json;

use crate::{
    clock::BootInstant,
    event::Event,
    gateway::{Gateway, fields},
    intake::control::Admission,
};

/// Time without a refused connection after which a limit counts as over.
const QUIET_TIME: Duration = Duration::from_secs(2);

/// Tracks whether connections are being refused.
#[derive(Debug, Default)]
pub(crate) struct LimitLog {
    refused_at: Option<BootInstant>,
}

impl LimitLog {
    /// Takes in a decision, and logs it if it is the first of its kind.
    pub(crate) fn record(
        &mut self,
        gateway: &Gateway,
        admission: Admission,
        now: BootInstant,
    ) {
        if admission != Admission::Accept {
            if self.refused_at.replace(now).is_none() {
                log_limited(gateway, admission);
            }
            return;
        }
        let is_over = self
            .refused_at
            .is_some_and(|at| now.saturating_duration_since(at) >= QUIET_TIME);
        if is_over {
            self.refused_at = None;
            Event::ConnectionsUnlimited.record(fields(json!({})));
        }
    }
}

fn log_limited(gateway: &Gateway, admission: Admission) {
    let limit = gateway.intake.limit();
    let resource = match admission {
        Admission::Full => Some("room"),
        _ => limit.map(|(_, resource)| resource.label()),
    };
    Event::ConnectionsLimited.record(fields(json!({
        "connections": gateway.connections.count(),
        "accepted_per_s": limit.map(|(rate_per_s, _)| rate_per_s.round()),
        "resource": resource,
    })));
}
