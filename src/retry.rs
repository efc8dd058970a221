//! The retry budget: limits retries to a share of the requests, which
//! prevents retry storms.

use std::sync::Mutex;

/// Maximum number of retries that the budget accumulates.
const MAX_BALANCE: f64 = 20.0;

/// Number of retries in a new budget.
const INITIAL_BALANCE: f64 = 5.0;

/// A balance of retries to which each request adds a fraction and from which
/// each retry takes one.
#[derive(Debug)]
pub struct RetryBudget {
    share: f64,
    balance: Mutex<f64>,
}

impl RetryBudget {
    /// Creates a budget that adds `share` retries for each request.
    pub fn new(share: f64) -> RetryBudget {
        RetryBudget { share, balance: Mutex::new(INITIAL_BALANCE) }
    }

    /// Adds the share of one request to the balance.
    pub fn count_request(&self) {
        let mut balance = self.balance.lock().expect("retry lock");
        *balance = (*balance + self.share).min(MAX_BALANCE);
    }

    /// Takes one retry from the balance; returns `false` if there is none.
    pub fn try_retry(&self) -> bool {
        let mut balance = self.balance.lock().expect("retry lock");
        if *balance < 1.0 {
            return false;
        }
        *balance -= 1.0;
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn retries_are_limited_to_a_share_of_requests() {
        let budget = RetryBudget::new(0.1);
        let mut retries = 0.0;
        for _ in 0..10_000 {
            budget.count_request();
            while budget.try_retry() {
                retries += 1.0;
            }
        }
        assert!(retries <= 10_000.0 * 0.1 + INITIAL_BALANCE);
    }
}
