//! The probability that a count of answers is chance.

/// Returns the probability of `hits` or more in `trials` independent trials,
/// each of which hits with probability `chance`.
pub(super) fn probability(hits: u32, trials: u32, chance: f64) -> f64 {
    // The probability of exactly k hits follows from that of k - 1. Counts of
    // thousands would underflow, so the logarithm is used for the first one.
    let chance = chance.clamp(1e-6, 1.0 - 1e-6);
    let odds = (chance / (1.0 - chance)).ln();
    let mut log = f64::from(trials) * (1.0 - chance).ln();
    let mut at_least = 0.0;
    for k in 0..=trials {
        if k > 0 {
            let ways = f64::from(trials - k + 1) / f64::from(k);
            log += ways.ln() + odds;
        }
        if k >= hits {
            at_least += log.exp();
        }
    }
    at_least
}

#[cfg(test)]
mod tests;
