//! Why a request got no complete answer.

/// Why a request that was read got no complete answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum AnswerLoss {
    /// The caller closed the connection.
    CallerLeft,
    /// The upstream of a stream was lost, and no other one could continue it.
    StreamLost,
    /// The deadline of a stream passed.
    TimedOut,
    /// The caller stood still while others needed room.
    CallerStalled,
    /// The process ended at the end of the grace period.
    Stopped,
    /// The connection failed while the response was written.
    WriteFailed,
    /// Handling the request panicked.
    Panicked,
    /// This VM closed the connection for another reason.
    #[default]
    ClosedHere,
}

impl AnswerLoss {
    /// Returns the code in log lines and metrics.
    pub(crate) fn label(self) -> &'static str {
        match self {
            AnswerLoss::CallerLeft => "caller_left",
            AnswerLoss::StreamLost => "broken_off",
            AnswerLoss::TimedOut => "timed_out",
            AnswerLoss::CallerStalled => "caller_stalled",
            AnswerLoss::Stopped => "cut_by_stop",
            AnswerLoss::WriteFailed => "write_failed",
            AnswerLoss::Panicked => "internal",
            AnswerLoss::ClosedHere => "closed_here",
        }
    }
}
