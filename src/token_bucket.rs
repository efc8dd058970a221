//! A token bucket: a rate with a burst, judged by a clock passed in.

use std::time::Duration;

use crate::clock::BootInstant;

/// A token bucket that starts full.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    rate_per_s: f64,
    burst: f64,
    tokens: f64,
    filled_at: BootInstant,
}

impl TokenBucket {
    /// Creates a bucket that lets `burst` through at once and `rate_per_s`
    /// in the long run.
    pub(crate) fn new(
        rate_per_s: f64,
        burst: f64,
        now: BootInstant,
    ) -> TokenBucket {
        TokenBucket { rate_per_s, burst, tokens: burst, filled_at: now }
    }

    /// Takes `amount` tokens, or says how long to wait for them.
    pub(crate) fn take(
        &mut self,
        amount: f64,
        now: BootInstant,
    ) -> Result<(), Duration> {
        self.fill(now);
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

    /// Changes rate and burst and keeps what is in the bucket.
    pub(crate) fn set_rate(
        &mut self,
        rate_per_s: f64,
        burst: f64,
        now: BootInstant,
    ) {
        self.fill(now);
        self.rate_per_s = rate_per_s;
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }

    fn fill(&mut self, now: BootInstant) {
        let passed = now.saturating_duration_since(self.filled_at);
        let gained = passed.as_secs_f64() * self.rate_per_s;
        self.tokens = (self.tokens + gained).min(self.burst);
        self.filled_at = now;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_bucket_lets_the_burst_and_then_the_rate_through() {
        let start = BootInstant::now();
        let mut bucket = TokenBucket::new(10.0, 2.0, start);
        assert!(bucket.take(1.0, start).is_ok());
        assert!(bucket.take(1.0, start).is_ok());
        let wait = bucket.take(1.0, start).unwrap_err();
        assert_eq!(wait, Duration::from_millis(100));
        assert!(bucket.take(1.0, start + wait).is_ok());
    }
}
