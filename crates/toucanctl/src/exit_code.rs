//! Exit codes.

/// Exit code of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// Success.
    Done = 0,
    /// The document or the edit has errors; nothing was changed.
    Findings = 1,
    /// The command line is invalid.
    Usage = 2,
    /// Another edit of the section was applied first; nothing was changed.
    LostRace = 3,
    /// The edit has warnings and `--accept-warnings` was not given; nothing was changed.
    Warnings = 4,
    /// The key is missing, unknown or belongs to another team.
    Unauthorised = 5,
    /// The requested object does not exist.
    NotFound = 6,
    /// No node could be reached, or the log is down; nothing was changed.
    Unavailable = 7,
    /// It is unknown whether the edit was made; rerun the command with the same edit id.
    Unknown = 8,
}
