//! State of a simulation.

use std::collections::{BTreeMap, BTreeSet};
use toucan_ledger::{GrantTransfer, Ledger, LedgerRecord, RecordBatcher, Reservation, Wallet};
use toucan_types::Sequence;

use super::{Coverage, Rules};

pub(super) struct Run {
    pub(super) request: usize,
    pub(super) reservation: Reservation,
}

pub(super) struct Node {
    pub(super) running: bool,
    pub(super) destroyed: bool,
    pub(super) instance: u64,
    pub(super) data_centre: u64,
    pub(super) wallet: Wallet,
    pub(super) ledger: Ledger,
    pub(super) applied_funds: usize,
    pub(super) batcher: RecordBatcher,
    pub(super) holder: usize,
    pub(super) runs: Vec<Run>,
    /// Finished requests whose bill is in a record that may not be durable yet.
    pub(super) awaiting_durability: Vec<(Sequence, usize)>,
    pub(super) unsent_transfers: Vec<GrantTransfer>,
}

#[derive(Default)]
pub(super) struct Request {
    pub(super) cost: u64,
    pub(super) attempts: u64,
    pub(super) delivered_by: BTreeSet<usize>,
}

pub struct Simulation<R: Rules> {
    pub(super) rules: R,
    pub(super) nodes: Vec<Node>,
    pub(super) log: Vec<(Vec<u8>, u64)>,
    pub(super) first_offset: u64,
    pub(super) funds: Vec<LedgerRecord>,
    pub(super) requests: Vec<Request>,
    pub(super) sent_transfers: Vec<GrantTransfer>,
    pub(super) now_ms: u64,
    pub(super) version: u64,
    pub(super) max_total: u64,
    pub(super) digests: BTreeMap<u64, u128>,
    pub(super) reference: Ledger,
    pub(super) coverage: Coverage,
}
