//! Prepaid budgets: ledger state replayed from a log, wallets of grants, and grant sizing.
//!
//! The crate does no I/O: the current time is an argument, and nothing here reads, writes or waits.
//!
//! * [`Ledger`] applies the [`RecordBatch`]es of one stream in the order of their offsets. A record
//!   takes effect when it is read back from the log, never when its append returns.
//! * [`Wallet`] holds the grants of one node, admits requests from them and writes numbered
//!   records into its [`Outbox`].
//! * [`RecordBatcher`] takes the records of many nodes and appends them in batches until they are
//!   read back.
//! * [`DrawPolicy`] sizes grants: [`AdaptiveDraw`] and three simple baselines.
//! * [`ReleasePolicy`] decides which proof releases the tokens of a crashed incarnation.
//! * [`SnapshotLoader`] loads a complete snapshot when older records have expired.

mod account;
mod account_table;
mod account_view;
mod adaptive_draw;
mod baseline_draws;
mod bill;
mod bill_window;
mod draw_policy;
mod grant;
mod grant_transfer;
mod incarnation_state;
mod intent_key;
mod intents;
mod journal;
mod ledger;
mod ledger_event;
mod ledger_grants;
mod ledger_holders;
mod ledger_record;
mod ledger_settings;
mod ledger_views;
mod outbox;
mod proof;
mod rate_meter;
mod recent_max;
mod record_batch;
mod record_batcher;
mod release_policy;
mod reservation;
mod snapshot;
mod snapshot_loader;
mod wallet;
mod wallet_transfers;
mod wallet_update;

pub use account_view::{AccountView, Holding, Statement};
pub use adaptive_draw::AdaptiveDraw;
pub use baseline_draws::{DrawPerRequest, EvenSplit, FixedChunk};
pub use bill::{Bill, OpenReservation, SettleEntry};
pub use draw_policy::{DrawDecision, DrawPolicy, DrawView};
pub use grant_transfer::GrantTransfer;
pub use incarnation_state::{IncarnationState, IncarnationStatus};
pub use intent_key::IntentKey;
pub use intents::{IntentOutcome, IntentState};
pub use journal::{JournalAnswer, missing_journals, open_reservations};
pub use ledger::{ApplyError, Ledger};
pub use ledger_event::LedgerEvent;
pub use ledger_record::{ANNOUNCE_SEQUENCE, LedgerRecord};
pub use ledger_settings::LedgerSettings;
pub use outbox::Outbox;
pub use proof::{FenceEvidence, ReleaseProof};
pub use rate_meter::RateMeter;
pub use record_batch::{BATCH_FORMAT, BatchError, MAX_BATCH_BYTES, RecordBatch};
pub use record_batcher::{AppendOutcome, BatcherError, RecordBatcher, RecordBatcherSettings};
pub use release_policy::{ListedState, ReleaseDecision, ReleaseFacts, ReleasePolicy};
pub use reservation::{Reservation, ReserveError};
pub use snapshot::SnapshotPart;
pub use snapshot_loader::SnapshotLoader;
pub use wallet::Wallet;
pub use wallet_update::{BudgetHint, GrantTotal, TransferDetails, WalletUpdate};
