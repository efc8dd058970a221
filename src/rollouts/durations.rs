//! How long requests take on each route, to the end of their answers.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::message::ShortHash;

/// Number of durations that are kept for a route.
const MAX_RECENT: usize = 32;

/// Quantile of them that is expected of a request.
const QUANTILE: f64 = 0.75;

/// The latest durations of requests, by route.
#[derive(Debug, Default)]
pub(super) struct Durations(HashMap<ShortHash, VecDeque<Duration>>);

impl Durations {
    /// Adds the duration of a request.
    pub(super) fn record(&mut self, route: ShortHash, took: Duration) {
        let recent = self.0.entry(route).or_default();
        if recent.len() == MAX_RECENT {
            recent.pop_front();
        }
        recent.push_back(took);
    }

    /// Returns the duration that most requests of a route do not exceed; zero
    /// if none is known.
    pub(super) fn expected(&self, route: ShortHash) -> Duration {
        let Some(recent) = self.0.get(&route) else { return Duration::ZERO };
        let mut sorted: Vec<Duration> = recent.iter().copied().collect();
        sorted.sort();
        let index = (sorted.len() as f64 * QUANTILE) as usize;
        sorted.get(index).or(sorted.last()).copied().unwrap_or_default()
    }
}
