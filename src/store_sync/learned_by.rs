//! How this VM has learned of a change in the store.

/// The way on which a change has reached this VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LearnedBy {
    /// This VM's watch of the store.
    Watch,
    /// A call of this VM that asked for all changes at once.
    Poll,
    /// A read of the store.
    Read,
    /// Changes that another VM has pushed.
    Push,
    /// The snapshot of another VM.
    Snapshot,
}

impl LearnedBy {
    /// Returns the name of the way in log lines.
    pub(crate) fn label(self) -> &'static str {
        match self {
            LearnedBy::Watch => "watch",
            LearnedBy::Poll => "poll",
            LearnedBy::Read => "read",
            LearnedBy::Push => "push",
            LearnedBy::Snapshot => "snapshot",
        }
    }
}
