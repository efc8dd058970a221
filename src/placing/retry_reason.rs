//! Why an attempt beyond the first of a request is made.

/// Why a request takes a further attempt from the retry budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RetryReason {
    /// The attempt before failed, and the caller has nothing of an answer.
    Failed,
    /// The rest of a broken stream is requested from another upstream.
    Resumed,
    /// A larger model is asked in place of an answer that was at hand.
    LargerModel,
}

impl RetryReason {
    /// Returns the label value of this reason in metrics and log lines.
    pub(crate) fn label(self) -> &'static str {
        match self {
            RetryReason::Failed => "failed",
            RetryReason::Resumed => "resumed",
            RetryReason::LargerModel => "larger_model",
        }
    }
}
