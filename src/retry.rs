//! The retry budget: retries as a share of the requests, never a storm.

use std::sync::Mutex;

/// Retries that may be saved up.
const SAVED_MOST: f64 = 20.0;

/// Retries that are there at the start.
const SAVED_AT_START: f64 = 5.0;

/// A budget that each request fills a little and each retry draws on.
#[derive(Debug)]
pub struct RetryBudget {
    share: f64,
    saved: Mutex<f64>,
}

impl RetryBudget {
    /// Creates a budget of `share` retries for each request.
    pub fn new(share: f64) -> RetryBudget {
        RetryBudget { share, saved: Mutex::new(SAVED_AT_START) }
    }

    /// Counts a request.
    pub fn count_request(&self) {
        let mut saved = self.saved.lock().expect("retry lock");
        *saved = (*saved + self.share).min(SAVED_MOST);
    }

    /// Takes one retry, if the budget allows it.
    pub fn try_retry(&self) -> bool {
        let mut saved = self.saved.lock().expect("retry lock");
        if *saved < 1.0 {
            return false;
        }
        *saved -= 1.0;
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn retries_stay_a_share_of_requests() {
        let budget = RetryBudget::new(0.1);
        let mut retries = 0.0;
        for _ in 0..10_000 {
            budget.count_request();
            while budget.try_retry() {
                retries += 1.0;
            }
        }
        assert!(retries <= 10_000.0 * 0.1 + SAVED_AT_START);
    }
}
