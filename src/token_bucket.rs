//! A token bucket: a rate limit with a burst. The caller passes the time.

use std::time::Duration;

use crate::clock::BootInstant;

/// A token bucket that starts full.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    rate_per_s: f64,
    burst: f64,
    tokens: f64,
    refilled_at: BootInstant,
}

impl TokenBucket {
    /// Creates a bucket that allows `burst` tokens at once and `rate_per_s`
    /// in the long run.
    pub(crate) fn new(
        rate_per_s: f64,
        burst: f64,
        now: BootInstant,
    ) -> TokenBucket {
        TokenBucket { rate_per_s, burst, tokens: burst, refilled_at: now }
    }

    /// Takes `amount` tokens, or returns how long to wait for them, at most
    /// 60 s.
    pub(crate) fn take(
        &mut self,
        amount: f64,
        now: BootInstant,
    ) -> Result<(), Duration> {
        self.refill(now);
        if self.tokens >= amount {
            self.tokens -= amount;
            return Ok(());
        }
        if self.rate_per_s <= 0.0 {
            return Err(Duration::from_secs(60));
        }
        let wait_s = (amount - self.tokens) / self.rate_per_s;
        Err(Duration::from_secs_f64(wait_s.min(60.0)))
    }

    /// Returns whether at least `amount` tokens are left.
    pub(crate) fn has(&mut self, amount: f64, now: BootInstant) -> bool {
        self.refill(now);
        self.tokens >= amount
    }

    /// Takes one token; if none is left, the bucket stays empty for longer.
    pub(crate) fn spend(&mut self, now: BootInstant) {
        self.refill(now);
        self.tokens -= 1.0;
    }

    /// Changes rate and burst, and keeps the tokens up to the new burst.
    pub(crate) fn set_rate(
        &mut self,
        rate_per_s: f64,
        burst: f64,
        now: BootInstant,
    ) {
        self.refill(now);
        self.rate_per_s = rate_per_s;
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }

    fn refill(&mut self, now: BootInstant) {
        let passed = now.saturating_duration_since(self.refilled_at);
        let gained = passed.as_secs_f64() * self.rate_per_s;
        self.tokens = (self.tokens + gained).min(self.burst);
        self.refilled_at = now;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_bucket_allows_the_burst_and_then_the_rate() {
        let start = BootInstant::now();
        let mut bucket = TokenBucket::new(10.0, 2.0, start);
        assert!(bucket.take(1.0, start).is_ok());
        assert!(bucket.take(1.0, start).is_ok());
        let wait = bucket.take(1.0, start).unwrap_err();
        assert_eq!(wait, Duration::from_millis(100));
        assert!(bucket.take(1.0, start + wait).is_ok());
    }
}
