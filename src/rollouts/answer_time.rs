//! The time to the first part of an answer, beside the time to expect.

use std::time::Duration;

/// Times up to this one count as equal: they consist mostly of latency and of
/// waits for a processor, which say nothing of a version.
const MIN_TIME: Duration = Duration::from_millis(10);

/// The time to the first part of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerTime {
    /// The time that the attempt waited.
    pub waited: Duration,
    /// A time in proportion to the prompt and what the upstream had to read
    /// before, the same at all VMs; zero for services without prompts.
    pub expected: Duration,
    /// Whether hardly any of the time can be a wait for other requests.
    pub is_unqueued: bool,
}

impl AnswerTime {
    /// Creates the time of an answer without a prompt, from an upstream with a
    /// free slot.
    pub fn of_service(waited: Duration) -> AnswerTime {
        AnswerTime { waited, expected: Duration::ZERO, is_unqueued: true }
    }

    /// Returns the time as a multiple of the expected one.
    pub(super) fn ratio(self) -> f64 {
        let [waited, expected] = [self.waited, self.expected]
            .map(|time| time.max(MIN_TIME).as_secs_f64());
        waited / expected
    }
}
