//! Operations of a generated history.

/// One operation of a history.
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
        response_lost: bool,
    },
    ChangeHolder {
        node: usize,
        holder: usize,
    },
    Append {
        node: usize,
        result: AppendResult,
    },
    Read {
        node: usize,
        updates_lost: bool,
    },
    Transfer {
        from: usize,
        to: usize,
        tokens: u64,
    },
    DeliverTransfer {
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
    Sync {
        node: usize,
    },
    Wait {
        ms: u64,
    },
}

/// Result of one append: whether the log stores the batch and whether the response arrives.
#[derive(Clone, Copy, Debug)]
pub enum AppendResult {
    Appended,
    ResponseLost,
    RequestLost,
    Refused,
}
