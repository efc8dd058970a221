//! How many requests this VM has taken on lately.

use std::{collections::VecDeque, time::Duration};

use crate::clock::BootInstant;

/// Time for which requests are counted together.
const BUCKET_TIME: Duration = Duration::from_millis(50);

/// Time for which counts are kept; an overload that lasts longer is measured
/// by its end.
const KEPT_TIME: Duration = Duration::from_secs(5);

/// Counts requests by the time at which they were taken on.
#[derive(Debug, Default)]
pub(crate) struct RecentRequests {
    buckets: VecDeque<(BootInstant, u32)>,
}

impl RecentRequests {
    /// Counts a request.
    pub(crate) fn record(&mut self, now: BootInstant) {
        match self.buckets.back_mut() {
            Some((began, count)) if now - *began < BUCKET_TIME => *count += 1,
            _ => self.buckets.push_back((now, 1)),
        }
        while self
            .buckets
            .front()
            .is_some_and(|(began, _)| now - *began > KEPT_TIME)
        {
            self.buckets.pop_front();
        }
    }

    /// Returns the requests a second from `since` to `now`.
    pub(crate) fn rate_per_s(
        &self,
        since: BootInstant,
        now: BootInstant,
    ) -> f64 {
        let since = match now.checked_sub(KEPT_TIME) {
            Some(oldest) => since.max(oldest),
            None => since,
        };
        let counted = self.buckets.iter().rev();
        let counted = counted.take_while(|(began, _)| *began >= since);
        let count: u32 = counted.map(|(_, count)| count).sum();
        let took = (now - since).max(BUCKET_TIME);
        f64::from(count) / took.as_secs_f64()
    }
}

#[cfg(test)]
mod tests;
