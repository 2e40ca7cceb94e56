//! What happens in a history.

/// One thing that happens.
#[derive(Clone, Copy, Debug)]
pub enum Op {
    Request {
        node: usize,
        cost: u64,
    },
    Finish {
        node: usize,
        which: usize,
    },
    Retry {
        request: usize,
        node: usize,
    },
    Send {
        node: usize,
        answer_lost: bool,
    },
    MoveHolder {
        node: usize,
        holder: usize,
    },
    Append {
        node: usize,
        fate: Fate,
    },
    Read {
        node: usize,
        updates_lost: bool,
    },
    Give {
        from: usize,
        to: usize,
        tokens: u64,
    },
    Deliver {
        which: usize,
        keep: bool,
    },
    Crash {
        node: usize,
        destroyed: bool,
    },
    Fence {
        by: usize,
        target: usize,
    },
    Release {
        by: usize,
        target: usize,
    },
    Fund {
        by: usize,
        total: u64,
    },
    Snapshot {
        by: usize,
    },
    Expire,
    /// Sends, appends and reads without a fault.
    Pump {
        node: usize,
    },
    Wait {
        ms: u64,
    },
}

/// What becomes of one append.
#[derive(Clone, Copy, Debug)]
pub enum Fate {
    Answered,
    AnswerLost,
    Lost,
    Refused,
}
