//! What an entry VM reports to the coordinator when a request has left its
//! upstream.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{placing::member::LoadReport, unit::Slowdown};

/// The end of a request that was granted a slot.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize,
)]
pub struct Release {
    /// The service time in milliseconds; `None` unless the request succeeded.
    pub service_time_ms: Option<u32>,
    /// The load that the upstream reported with its response.
    pub load: Option<ReleasedLoad>,
}

/// The load of an upstream, as reported with a response.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize,
)]
pub struct ReleasedLoad {
    /// Requests that it is running.
    pub running: u16,
    /// Requests in its queue.
    pub waiting: u16,
    /// How long work takes there at the moment, if it reports that.
    pub slowdown: Option<Slowdown>,
}

impl Release {
    /// Returns the service time, if the request succeeded.
    pub fn service_time(&self) -> Option<Duration> {
        self.service_time_ms.map(|ms| Duration::from_millis(ms.into()))
    }
}

impl From<LoadReport> for ReleasedLoad {
    fn from(report: LoadReport) -> ReleasedLoad {
        let saturated = |n: u32| u16::try_from(n).unwrap_or(u16::MAX);
        ReleasedLoad {
            running: saturated(report.running),
            waiting: saturated(report.waiting),
            slowdown: report.slowdown,
        }
    }
}
