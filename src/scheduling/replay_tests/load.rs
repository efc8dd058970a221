//! The requests of a replay, the same for every policy.

use rand::{Rng, SeedableRng, rngs::StdRng};

/// Upstreams and the slots of each.
pub(super) const UPSTREAMS: usize = 3;
pub(super) const SLOTS: usize = 6;

/// Organisations; the first one is large.
pub(super) const ORGANISATIONS: usize = 24;

/// Share of the requests that the large organisation sends.
const LARGE_SHARE: f64 = 0.15;

/// Duration of the load.
pub(super) const LOAD_US: u64 = 6_000_000;

/// Share of the requests that take five times as long, and that factor.
const LONG_SHARE: f64 = 0.01;
const LONG_FACTOR: f64 = 5.0;

/// A service with its times in milliseconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct Service {
    pub(super) mean_ms: u64,
    pub(super) latency_target_ms: u64,
    pub(super) deadline_ms: u64,
}

pub(super) const SERVICES: [Service; 2] = [
    Service { mean_ms: 30, latency_target_ms: 150, deadline_ms: 1500 },
    Service { mean_ms: 60, latency_target_ms: 300, deadline_ms: 3000 },
];

/// How a caller returns that was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Return {
    /// After the time that it was given, or a third of its remaining time.
    AsTold,
    /// After 10 ms.
    Early,
}

/// The request of one caller.
#[derive(Clone, Copy, Debug)]
pub(super) struct Call {
    pub(super) at_us: u64,
    pub(super) vm: usize,
    pub(super) organisation: usize,
    pub(super) priority: u8,
    pub(super) work_us: u64,
    pub(super) returns: Return,
}

/// The requests of a replay.
#[derive(Clone, Debug)]
pub(super) struct Load {
    pub(super) service: Service,
    pub(super) vms: usize,
    pub(super) calls: Vec<Call>,
}

impl Load {
    /// Draws requests at `factor` times the capacity.
    pub(super) fn new(service: Service, vms: usize, factor: f64) -> Load {
        Load::with_overloading(service, vms, factor, 1.0)
    }

    /// As [`Load::new`], with the large organisation at `rate_factor` times
    /// its rate.
    pub(super) fn with_overloading(
        service: Service,
        vms: usize,
        factor: f64,
        rate_factor: f64,
    ) -> Load {
        let mut random = StdRng::seed_from_u64(11);
        let mean_us = service.mean_ms as f64 * 1000.0;
        let mean_work_us = mean_us * (1.0 + LONG_SHARE * (LONG_FACTOR - 1.0));
        let capacity = (UPSTREAMS * SLOTS) as f64 / mean_work_us;
        let mut draw = |rate: f64, is_large: bool| {
            let mut calls = Vec::new();
            let mut at_us = 0.0;
            loop {
                at_us -= (1.0 - random.random::<f64>()).ln() / rate;
                if at_us >= LOAD_US as f64 {
                    return calls;
                }
                let is_long = random.random::<f64>() < LONG_SHARE;
                let factor = if is_long { LONG_FACTOR } else { 1.0 };
                let work = mean_us * random.random_range(0.5..1.5) * factor;
                calls.push(Call {
                    at_us: at_us as u64,
                    vm: random.random_range(0..vms),
                    organisation: match is_large {
                        true => 0,
                        false => random.random_range(1..ORGANISATIONS),
                    },
                    priority: 0,
                    work_us: work as u64,
                    returns: Return::AsTold,
                });
            }
        };
        let rate = capacity * factor;
        let mut calls = draw(rate * (1.0 - LARGE_SHARE), false);
        calls.extend(draw(rate * LARGE_SHARE * rate_factor, true));
        calls.sort_by_key(|call| call.at_us);
        Load { service, vms, calls }
    }
}
