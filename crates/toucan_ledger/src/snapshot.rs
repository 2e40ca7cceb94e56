//! Snapshots of the ledger state in parts, and their digests.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use toucan_types::{
    BillId, BudgetName, DocumentVersion, IncarnationId, Offset, OrganisationName, Sequence,
};

use crate::account::{Account, Slot};
use crate::ledger::{Retained, Step, Transit};
use crate::record_batch::encode_value;
use crate::{
    BatchError, IncarnationState, IntentKey, IntentState, Ledger, LedgerEvent, LedgerSettings,
};

/// One part of a snapshot; a snapshot is usable only when all its parts have been read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotPart {
    /// Incarnation that wrote the snapshot.
    pub writer: IncarnationId,
    /// Last offset that the state covers.
    pub up_to: Offset,
    /// Index of this part, from 0.
    pub part: u32,
    /// Number of parts.
    pub parts: u32,
    /// Digest of the whole state.
    pub digest: u128,
    /// Encoded items of the state.
    pub body: Vec<u8>,
}

/// Digests of this state at the last snapshot marks.
#[derive(Clone, Debug, Default)]
pub(crate) struct SnapshotChecks {
    pub(crate) pending: Option<IncarnationId>,
    digests: VecDeque<(Offset, u128)>,
}

/// Maximum number of snapshot marks whose digest is remembered.
const MAX_REMEMBERED_MARKS: usize = 8;

/// One element of the state; its encoded form is the same on every node that applied the same
/// records.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum SnapshotItem {
    Head {
        log_time_ms: u64,
        unknown_records: u64,
    },
    Incarnation(IncarnationState),
    Account(AccountItem),
    Bill(u64, BillId, u64),
    Retained {
        bill: BillId,
        budget: BudgetName,
        incarnation: IncarnationId,
        tokens: u64,
    },
    Transit(TransitItem),
    Intent(IntentKey, IntentState),
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct AccountItem {
    budget: BudgetName,
    organisation: OrganisationName,
    version: DocumentVersion,
    purchased_tokens: u64,
    target_tokens: u64,
    remaining_tokens: u64,
    spent_tokens: u64,
    disputed_tokens: u64,
    slots: Vec<SlotItem>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct SlotItem {
    incarnation: IncarnationId,
    amount_tokens: u64,
    granted_tokens: u64,
    since: Sequence,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct TransitItem {
    from: IncarnationId,
    sequence: Sequence,
    to: IncarnationId,
    budget: BudgetName,
    tokens: u64,
    received: bool,
}

impl Ledger {
    /// Returns the digest of the state, which is the same on every node that applied the same
    /// records.
    ///
    /// # Errors
    /// [`BatchError`] if an item cannot be encoded.
    pub fn digest(&self) -> Result<u128, BatchError> {
        let mut digest = 0_u128;
        for item in self.items() {
            digest = digest.wrapping_add(item_digest(&encode_value(&item)?));
        }
        Ok(digest)
    }

    /// Returns the state in parts with bodies of at most `max_bytes`; a larger item gets its own
    /// part.
    ///
    /// # Errors
    /// [`BatchError`] if an item cannot be encoded.
    pub fn snapshot_parts(
        &self,
        writer: IncarnationId,
        max_bytes: usize,
    ) -> Result<Vec<SnapshotPart>, BatchError> {
        let mut bodies = vec![Vec::new()];
        let mut digest = 0_u128;
        for item in self.items() {
            let bytes = encode_value(&item)?;
            digest = digest.wrapping_add(item_digest(&bytes));
            let full = bodies.last().is_none_or(|body: &Vec<u8>| {
                !body.is_empty() && body.len() + bytes.len() > max_bytes
            });
            if full {
                bodies.push(Vec::new());
            }
            if let Some(body) = bodies.last_mut() {
                body.extend(bytes);
            }
        }
        let parts = crate::ledger::index_of(bodies.len());
        let up_to = Offset(self.next_offset.0.saturating_sub(1));
        let numbered = (0..).zip(bodies);
        let part = |(part, body)| SnapshotPart {
            writer,
            up_to,
            part,
            parts,
            digest,
            body,
        };
        Ok(numbered.map(part).collect())
    }

    /// Records the digest at a snapshot mark once the whole batch that contains the mark is
    /// applied.
    pub(crate) fn record_snapshot_mark(&mut self, step: &mut Step<'_>) {
        let Some(writer) = self.checks.pending.take() else {
            return;
        };
        let Ok(digest) = self.digest() else { return };
        self.checks.digests.push_back((step.offset, digest));
        if self.checks.digests.len() > MAX_REMEMBERED_MARKS {
            self.checks.digests.pop_front();
        }
        step.events.push(LedgerEvent::SnapshotDue {
            writer,
            up_to: step.offset,
        });
    }

    /// Compares a snapshot's digest with the one recorded at its mark.
    pub(crate) fn check_snapshot(&mut self, part: &SnapshotPart, step: &mut Step<'_>) {
        let recorded = self
            .checks
            .digests
            .iter()
            .find(|(offset, _)| *offset == part.up_to);
        if recorded.is_some_and(|(_, digest)| *digest != part.digest) {
            let (writer, up_to) = (part.writer, part.up_to);
            step.events
                .push(LedgerEvent::SnapshotMismatch { writer, up_to });
        }
    }

    fn items(&self) -> impl Iterator<Item = SnapshotItem> + '_ {
        let head = SnapshotItem::Head {
            log_time_ms: self.log_time_ms,
            unknown_records: self.unknown_records,
        };
        let incarnations = self.incarnations().cloned().map(SnapshotItem::Incarnation);
        let accounts = self.accounts.iter();
        let accounts = accounts.map(|(name, account)| self.account_item(account, name));
        let bills = self
            .bills
            .iter()
            .map(|(bucket, id, tokens)| SnapshotItem::Bill(bucket, id, tokens));
        let intents = self.intents.iter();
        let intents = intents.map(|(key, intent)| SnapshotItem::Intent(*key, *intent));
        let retained = self
            .retained
            .iter()
            .map(|(bill, kept)| SnapshotItem::Retained {
                bill: *bill,
                budget: self.accounts.name(kept.account).clone(),
                incarnation: self.incarnations[kept.incarnation as usize].incarnation,
                tokens: kept.tokens,
            });
        let transits = self.transits.iter().map(|((from, sequence), transit)| {
            SnapshotItem::Transit(TransitItem {
                from: *from,
                sequence: *sequence,
                to: transit.to,
                budget: self.accounts.name(transit.account).clone(),
                tokens: transit.tokens,
                received: transit.received,
            })
        });
        std::iter::once(head)
            .chain(incarnations)
            .chain(accounts)
            .chain(retained)
            .chain(transits)
            .chain(bills)
            .chain(intents)
    }

    fn account_item(&self, account: &Account, name: &BudgetName) -> SnapshotItem {
        let slot_item = |slot: &Slot| SlotItem {
            incarnation: self.incarnations[slot.incarnation as usize].incarnation,
            amount_tokens: slot.amount_tokens,
            granted_tokens: slot.granted_tokens,
            since: slot.since,
        };
        SnapshotItem::Account(AccountItem {
            budget: name.clone(),
            organisation: self.organisations[account.organisation as usize].clone(),
            version: account.version,
            purchased_tokens: account.purchased_tokens,
            target_tokens: account.target_tokens,
            remaining_tokens: account.remaining_tokens,
            spent_tokens: account.spent_tokens,
            disputed_tokens: account.disputed_tokens,
            slots: account.slots.iter().map(slot_item).collect(),
        })
    }

    /// Restores the state after `up_to` from the items of a snapshot.
    pub(crate) fn from_items(
        settings: LedgerSettings,
        up_to: Offset,
        items: Vec<SnapshotItem>,
    ) -> Self {
        let mut ledger = Self::new(settings);
        ledger.next_offset = up_to.next();
        let mut bills = Vec::new();
        for item in items {
            match item {
                SnapshotItem::Bill(bucket, id, tokens) => bills.push((bucket, id, tokens)),
                other => ledger.load_item(other),
            }
        }
        bills.sort_unstable();
        for (bucket, id, tokens) in bills {
            ledger.bills.insert_in_bucket(bucket, id, tokens);
        }
        ledger
    }

    fn load_item(&mut self, item: SnapshotItem) {
        match item {
            SnapshotItem::Head {
                log_time_ms,
                unknown_records,
            } => {
                self.log_time_ms = log_time_ms;
                self.unknown_records = unknown_records;
            }
            SnapshotItem::Incarnation(state) => {
                self.add_incarnation(state);
            }
            SnapshotItem::Account(item) => self.load_account(&item),
            SnapshotItem::Bill(bucket, id, tokens) => {
                self.bills.insert_in_bucket(bucket, id, tokens);
            }
            SnapshotItem::Retained {
                bill,
                budget,
                incarnation,
                tokens,
            } => {
                let account = self.accounts.find_or_new(&budget);
                let incarnation = self.incarnation_or_placeholder(incarnation);
                self.retained.insert(
                    bill,
                    Retained {
                        account,
                        incarnation,
                        tokens,
                    },
                );
            }
            SnapshotItem::Transit(item) => {
                let account = self.accounts.find_or_new(&item.budget);
                let TransitItem {
                    from,
                    sequence,
                    to,
                    tokens,
                    received,
                    ..
                } = item;
                let transit = Transit {
                    to,
                    account,
                    tokens,
                    received,
                };
                self.transits.insert((from, sequence), transit);
            }
            SnapshotItem::Intent(key, intent) => {
                self.intents.insert(key, intent);
            }
        }
    }

    fn load_account(&mut self, item: &AccountItem) {
        let organisation = self.organisation_or_new(&item.organisation);
        let index = self.accounts.find_or_new(&item.budget);
        let slots = item.slots.iter().map(|slot| Slot {
            amount_tokens: slot.amount_tokens,
            granted_tokens: slot.granted_tokens,
            since: slot.since,
            incarnation: self.incarnation_or_placeholder(slot.incarnation),
        });
        let slots = slots.collect();
        self.accounts[index] = Account {
            purchased_tokens: item.purchased_tokens,
            target_tokens: item.target_tokens,
            remaining_tokens: item.remaining_tokens,
            spent_tokens: item.spent_tokens,
            disputed_tokens: item.disputed_tokens,
            version: item.version,
            organisation,
            slots,
        };
    }
}

/// Returns 128 bits of the hash of one encoded item; the digest of the state is their wrapping sum.
pub(crate) fn item_digest(bytes: &[u8]) -> u128 {
    let mut half = [0_u8; 16];
    half.copy_from_slice(&blake3::hash(bytes).as_bytes()[..16]);
    u128::from_le_bytes(half)
}
