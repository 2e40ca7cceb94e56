//! The parts of a world.

use std::collections::{BTreeMap, BTreeSet};
use toucan_ledger::{GrantTransfer, Ledger, LedgerRecord, RecordBatcher, Reservation, Wallet};
use toucan_types::Sequence;

use super::{Rules, Seen};

pub(super) struct Run {
    pub(super) request: usize,
    pub(super) reservation: Reservation,
}

pub(super) struct Node {
    pub(super) alive: bool,
    pub(super) destroyed: bool,
    pub(super) instance: u64,
    pub(super) data_centre: u64,
    pub(super) wallet: Wallet,
    pub(super) ledger: Ledger,
    pub(super) read_funds: usize,
    pub(super) batcher: RecordBatcher,
    pub(super) holder: usize,
    pub(super) runs: Vec<Run>,
    /// Requests whose bill is in a record and whose caller waits for the end.
    pub(super) ending: Vec<(Sequence, usize)>,
    pub(super) transfers: Vec<GrantTransfer>,
}

#[derive(Default)]
pub(super) struct Request {
    pub(super) cost: u64,
    pub(super) tries: u64,
    pub(super) delivered_by: BTreeSet<usize>,
}

pub struct World<R: Rules> {
    pub(super) rules: R,
    pub(super) nodes: Vec<Node>,
    pub(super) log: Vec<(Vec<u8>, u64)>,
    pub(super) first_offset: u64,
    pub(super) funds: Vec<LedgerRecord>,
    pub(super) requests: Vec<Request>,
    pub(super) flying: Vec<GrantTransfer>,
    pub(super) now_ms: u64,
    pub(super) version: u64,
    pub(super) greatest_total: u64,
    pub(super) digests: BTreeMap<u64, u128>,
    pub(super) truth: Ledger,
    pub(super) seen: Seen,
}
