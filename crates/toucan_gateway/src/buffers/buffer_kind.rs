//! What bytes are held for.

/// What bytes are held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BufferKind {
    /// Body of a call, until the call ends.
    RequestBody,
    /// Events of an answer that were read from the target and not yet taken by the caller.
    ReadAhead,
    /// Answer that is read to its end before it is sent to the caller.
    WholeAnswer,
    /// Buffers of the connections of a call in progress.
    Connection,
}

impl BufferKind {
    /// All kinds.
    pub const ALL: [Self; 4] = [
        Self::RequestBody,
        Self::ReadAhead,
        Self::WholeAnswer,
        Self::Connection,
    ];

    /// Returns the name used in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::RequestBody => "request_body",
            Self::ReadAhead => "read_ahead",
            Self::WholeAnswer => "whole_answer",
            Self::Connection => "connection",
        }
    }

    pub(crate) const fn index(self) -> usize {
        self as usize
    }
}
