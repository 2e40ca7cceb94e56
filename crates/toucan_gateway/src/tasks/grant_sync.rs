//! Draws tokens from the budgets in the store and returns idle ones.

use std::{rc::Rc, time::Duration};

use crate::{
    Gateway, Platform,
    budget::{
        DrawSettings, GatewayProcess, GrantKey, GrantRecord, GrantRecordError, GrantWriter,
        OrganisationSnapshot, RecoveringGrants,
    },
    config::Organisation,
    keyed_log::{AppendError, KeyedRecord, ReadError, Topic},
    state::{BudgetSnapshot, GatewayState},
};
use bytes::Bytes;
use displaydoc::Display;
use rand::Rng;
use tokio::time::{sleep, timeout};

use super::{
    partition_consumer::{BatchKind, PartitionConsumer, partition_of},
    store_health::StoreHealth,
};

/// Interval between two synchronisations if no call waits for tokens.
const SYNC_INTERVAL: Duration = Duration::from_millis(1_000);
/// Minimum pause between two synchronisations while calls wait for tokens.
const MIN_SYNC_INTERVAL: Duration = Duration::from_millis(40);
/// Maximum number of conditional appends per synchronisation. Each conflict means that another
/// process has appended.
const MAX_APPEND_ATTEMPTS: u32 = 8;
/// Maximum delay after the first conflict, per gateway that holds tokens of one organisation.
const CONFLICT_BACKOFF_PER_WRITER_MS: u64 = 1;
/// Maximum number of times that the delay doubles after further conflicts. It is low because calls
/// wait for the tokens.
const MAX_BACKOFF_DOUBLINGS: u32 = 1;
/// Number of partitions that budgets are distributed over.
///
/// It is part of the storage format: all processes must use the same number.
const GRANT_PARTITIONS: u32 = 4;

/// grants cannot be brought up to date: {0}
#[derive(Clone, Debug, Display)]
enum GrantError {
    /// {0}
    Read(ReadError),
    /// {0}
    Append(AppendError),
    /// {0}
    Record(GrantRecordError),
    /// other processes appended first each time
    Contention,
    /// the store came back from an older copy meanwhile
    Restored,
}

impl std::error::Error for GrantError {}

/// The grants in one partition.
struct GrantPartition {
    consumer: PartitionConsumer,
    grants: RecoveringGrants,
    writer: GrantWriter,
    is_loaded: bool,
}

/// Synchronises the wallets with the store until the process ends.
pub(crate) async fn sync_grants<P: Platform>(gateway: Rc<Gateway<P>>) {
    let count = GRANT_PARTITIONS.min(gateway.bounds().most_partitions.max(1));
    let process = gateway.process();
    let mut partitions: Vec<GrantPartition> = (0..count)
        .map(|number| GrantPartition::new(number, process.clone()))
        .collect();
    let mut health = StoreHealth::new("grants");
    loop {
        let pause = match sync_partitions(&gateway, &mut partitions).await {
            Ok(()) => {
                health.record_success(gateway.now_ms());
                gateway.state.borrow_mut().grants_unreachable = false;
                // Waiting calls request synchronisations more often than the store changes.
                sleep(MIN_SYNC_INTERVAL).await;
                SYNC_INTERVAL
            }
            Err(error) => {
                gateway.state.borrow_mut().grants_unreachable = true;
                health.record_failure(&error, gateway.now_ms())
            }
        };
        if gateway.state.borrow().stopping_since_ms.is_none() {
            gateway.tokens_changed.notify_waiters();
        }
        if health.is_failing() {
            // Requests from waiting calls must not increase the load on an unavailable store.
            sleep(pause).await;
        } else {
            // A timeout and a request from a call lead to the same next step.
            let _elapsed = timeout(pause, gateway.sync_requested.notified()).await;
        }
    }
}

/// Returns all idle tokens to the store before the process ends. Waits without a timeout.
pub(crate) async fn return_idle_tokens<P: Platform>(gateway: &Rc<Gateway<P>>) {
    let requested_ms = gateway.now_ms();
    let mut sync_times = gateway.grants_synced_at.subscribe();
    gateway.sync_requested.notify_one();
    // A synchronisation that began earlier misses the calls that have ended since.
    let synced = sync_times
        .wait_for(|began_ms| *began_ms >= requested_ms)
        .await;
    if let Err(error) = synced {
        log::error!(target: "budget", error:% = error; "the task that returns tokens has ended");
    }
}

async fn sync_partitions<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    partitions: &mut [GrantPartition],
) -> Result<(), GrantError> {
    let began_ms = gateway.now_ms();
    let Some(config) = gateway.state.borrow().config.clone() else {
        // Without a configuration no tokens have been drawn.
        gateway.grants_synced_at.send_replace(began_ms);
        return Ok(());
    };
    let mut by_partition: Vec<Vec<Rc<Organisation>>> = vec![Vec::new(); partitions.len()];
    let count = u32::try_from(partitions.len()).unwrap_or(u32::MAX);
    for organisation in config.organisations.iter() {
        let number = partition_of(organisation.name.as_str(), count);
        by_partition[number as usize].push(Rc::clone(organisation));
    }
    let restore = gateway.platform.last_restore();
    gateway
        .state
        .borrow_mut()
        .restore_gate
        .observe(restore, began_ms);
    for (partition, organisations) in partitions.iter_mut().zip(&by_partition) {
        if partition.must_update(gateway) || partition.needs_update(gateway, organisations) {
            partition
                .update(gateway, config.version, organisations)
                .await?;
        }
    }
    let mut state = gateway.state.borrow_mut();
    if !partitions
        .iter()
        .any(|partition| partition.must_update(gateway))
    {
        state.restore_gate.record_rewritten(restore);
    }
    if !state.grants_loaded {
        state.grants_loaded = true;
        log::info!(target: "budget", partitions = partitions.len(); "grants read");
    }
    drop(state);
    gateway.grants_synced_at.send_replace(began_ms);
    Ok(())
}

/// Returns the maximum delay after a conflict, which grows with the number of writers so that
/// their appends are spread over time.
fn max_conflict_backoff_ms(conflicts: u32, writers: u32) -> u64 {
    let initial_ms = CONFLICT_BACKOFF_PER_WRITER_MS * u64::from(writers.max(1));
    initial_ms << conflicts.min(MAX_BACKOFF_DOUBLINGS)
}

impl GrantPartition {
    fn new(number: u32, process: GatewayProcess) -> Self {
        Self {
            consumer: PartitionConsumer::new(Topic::Grants, number),
            grants: RecoveringGrants::default(),
            writer: GrantWriter::new(process),
            is_loaded: false,
        }
    }

    /// Returns whether the partition has to be read and perhaps written, whatever its organisations
    /// need.
    fn must_update<P: Platform>(&self, gateway: &Gateway<P>) -> bool {
        !self.is_loaded
            || self.grants.has_lost_records()
            || self.consumer.is_before_restore(&gateway.platform)
    }

    /// Returns whether any organisation's grant record may have to be written, according to the
    /// records read last.
    ///
    /// Makes no call to the store.
    fn needs_update<P: Platform>(
        &self,
        gateway: &Rc<Gateway<P>>,
        organisations: &[Rc<Organisation>],
    ) -> bool {
        let now_ms = gateway.now_ms();
        let state = &mut *gateway.state.borrow_mut();
        organisations.iter().any(|organisation| {
            let Some(snapshot) = self.organisation_snapshot(gateway, state, organisation, now_ms)
            else {
                return false;
            };
            let wallet = state.wallet(&organisation.name);
            self.writer.needs_write(
                &organisation.name,
                self.grants.table(),
                wallet,
                &snapshot,
                &DRAW_SETTINGS,
                now_ms,
            )
        })
    }

    async fn update<P: Platform>(
        &mut self,
        gateway: &Rc<Gateway<P>>,
        version: toucan_types::DocumentVersion,
        organisations: &[Rc<Organisation>],
    ) -> Result<(), GrantError> {
        for conflicts in 0..MAX_APPEND_ATTEMPTS {
            let end = self.read_to_end(gateway).await?;
            let records = self.decide(gateway, organisations)?;
            if records.is_empty() {
                let state = &mut *gateway.state.borrow_mut();
                self.publish_budget_snapshots(state, gateway.now_ms(), organisations);
                return Ok(());
            }
            let appended = gateway
                .platform
                .append(self.consumer.partition(), Some(end), &records)
                .await;
            match appended {
                Ok(new_end) if !self.consumer.is_before_restore(&gateway.platform) => {
                    log::info!(
                        target: "budget",
                        partition = self.consumer.partition().number,
                        config_version = version.0,
                        end = new_end.0,
                        records = records.len();
                        "grants written"
                    );
                    self.consumer.seek(new_end);
                    self.apply_own(gateway, &records, organisations)?;
                    return Ok(());
                }
                Ok(_new_end) => return Err(GrantError::Restored),
                Err(AppendError::Conflict(_)) => {
                    metrics::counter!("toucan_grant_races_total").increment(1);
                    let writers = gateway
                        .state
                        .borrow()
                        .members
                        .holder_count(&gateway.location, gateway.now_ms());
                    let max_backoff_ms = max_conflict_backoff_ms(conflicts, writers);
                    let backoff_ms = rand::rng().random_range(0..max_backoff_ms);
                    sleep(Duration::from_millis(backoff_ms)).await;
                }
                Err(error) => return Err(GrantError::Append(error)),
            }
        }
        Err(GrantError::Contention)
    }

    /// Reads and applies the records up to the end of the partition, and returns the end offset.
    async fn read_to_end<P: Platform>(
        &mut self,
        gateway: &Rc<Gateway<P>>,
    ) -> Result<toucan_types::Offset, GrantError> {
        loop {
            let read = self.consumer.read(&gateway.platform, Duration::ZERO).await;
            let consumed = read.map_err(GrantError::Read)?;
            let records = consumed.batch.records.iter();
            let records = records.map(|read| decode(&read.record));
            let records = records.collect::<Result<Vec<_>, _>>()?;
            match consumed.kind {
                BatchKind::Appended => {
                    for (key, record) in records {
                        self.grants.apply(key, record);
                    }
                }
                BatchKind::Snapshot => self.grants.load(records),
                BatchKind::RestoredSnapshot => {
                    self.grants.load_restored(records);
                    log::warn!(
                        target: "budget",
                        partition = self.consumer.partition().number,
                        records = self.grants.lost_records().count();
                        "grants that the restored store lost are written again"
                    );
                }
            }
            if consumed.kind == BatchKind::Appended && consumed.batch.next >= consumed.batch.end {
                break Ok(consumed.batch.end);
            }
        }
    }

    fn decide<P: Platform>(
        &mut self,
        gateway: &Rc<Gateway<P>>,
        organisations: &[Rc<Organisation>],
    ) -> Result<Vec<KeyedRecord>, GrantError> {
        let now_ms = gateway.now_ms();
        let state = &mut *gateway.state.borrow_mut();
        let mut records = Vec::new();
        for (key, record) in self.grants.lost_records() {
            records.push(encode(&key, record)?);
        }
        for organisation in organisations {
            let name = &organisation.name;
            let Some(snapshot) = self.organisation_snapshot(gateway, state, organisation, now_ms)
            else {
                continue;
            };
            let wallet = state.wallet(name);
            self.writer
                .sync_wallet(name, self.grants.table(), wallet, &snapshot);
            let decided = self.writer.decide(
                name,
                self.grants.table(),
                wallet,
                &snapshot,
                &DRAW_SETTINGS,
                now_ms,
            );
            if let Some(record) = decided {
                log::info!(
                    target: "budget",
                    organisation = name.as_str(),
                    drawn_tokens = record.drawn.0,
                    returned_tokens = record.returned.0,
                    spent_tokens = record.spent.0,
                    available_tokens = wallet.available().0,
                    waiting_tokens = snapshot.waiting.0,
                    rate_per_s = record.rate_per_s,
                    others_rate_per_s = snapshot.others_rate_per_s,
                    is_holder = snapshot.is_holder,
                    holders = snapshot.holders,
                    prepaid_tokens = record.prepaid.0,
                    granted_to_all_tokens = self.grants.table().granted(name).0;
                    "grant decided"
                );
                records.push(encode(&self.writer.key(name), Some(record))?);
            }
        }
        let former_grants = self.grants.table().former_processes(&gateway.process());
        for (organisation, former, record) in &former_grants {
            log::info!(
                target: "budget",
                organisation = organisation.as_str(),
                start = former.start_id,
                granted_tokens = record.granted().0,
                spent_tokens = record.spent.0;
                "what a former process of this VM held counts as spent"
            );
        }
        if !former_grants.is_empty() {
            for (key, record) in self.writer.merge_former_grants(self.grants.table()) {
                records.push(encode(&key, record)?);
            }
        }
        self.is_loaded = true;
        Ok(records)
    }

    /// Applies records that this process has just appended, without reading them back.
    fn apply_own<P: Platform>(
        &mut self,
        gateway: &Rc<Gateway<P>>,
        records: &[KeyedRecord],
        organisations: &[Rc<Organisation>],
    ) -> Result<(), GrantError> {
        self.grants.record_rewritten();
        for record in records {
            let (key, record) = decode(record)?;
            self.grants.apply(key, record);
        }
        let now_ms = gateway.now_ms();
        let state = &mut *gateway.state.borrow_mut();
        for organisation in organisations {
            let name = &organisation.name;
            let snapshot = self.organisation_snapshot(gateway, state, organisation, now_ms);
            if let Some(snapshot) = snapshot {
                let wallet = state.wallet(name);
                self.writer
                    .sync_wallet(name, self.grants.table(), wallet, &snapshot);
            }
        }
        self.publish_budget_snapshots(state, now_ms, organisations);
        Ok(())
    }

    fn organisation_snapshot<P: Platform>(
        &self,
        gateway: &Gateway<P>,
        state: &mut GatewayState,
        organisation: &Organisation,
        now_ms: u64,
    ) -> Option<OrganisationSnapshot> {
        let name = &organisation.name;
        let is_holder = state.is_holder(name, &gateway.location, now_ms);
        let may_draw = state.may_draw(now_ms);
        let waiting = state.waiting(name);
        Some(OrganisationSnapshot {
            config_version: state.config.as_ref()?.version,
            prepaid: organisation.prepaid?,
            waiting: if is_holder {
                waiting.local.saturating_add(waiting.remote)
            } else {
                waiting.overdue
            },
            may_draw,
            is_holder,
            holders: state.members.holder_count(&gateway.location, now_ms),
            others_rate_per_s: self
                .grants
                .table()
                .rate_per_s(name, |vm| state.members.is_live(vm, now_ms)),
            remaining_accept_ms: state.remaining_accept_ms(now_ms),
        })
    }

    /// Updates the budget snapshots that calls are checked against.
    fn publish_budget_snapshots(
        &self,
        state: &mut GatewayState,
        read_at_ms: u64,
        organisations: &[Rc<Organisation>],
    ) {
        let Some(version) = state.config.as_ref().map(|config| config.version) else {
            return;
        };
        for organisation in organisations {
            let Some(configured) = organisation.prepaid else {
                continue;
            };
            let name = &organisation.name;
            let (_version, prepaid) = self.grants.table().prepaid(name, (version, configured));
            let snapshot = BudgetSnapshot {
                read_at_ms,
                prepaid,
                granted: self.grants.table().granted(name),
                spent: self.grants.table().spent(name),
            };
            state.budget_snapshots.insert(name.clone(), snapshot);
        }
    }
}

const DRAW_SETTINGS: DrawSettings = DrawSettings::DEFAULT;

/// Decodes a record of the log.
///
/// An unreadable record may be a grant. Drawing without knowing it could exceed the budget.
fn decode(record: &KeyedRecord) -> Result<(GrantKey, Option<GrantRecord>), GrantError> {
    let key = GrantKey::decode(&record.key).map_err(GrantError::Record)?;
    let value = match &record.value {
        Some(bytes) => Some(GrantRecord::decode(bytes).map_err(GrantError::Record)?),
        None => None,
    };
    Ok((key, value))
}

fn encode(key: &GrantKey, record: Option<GrantRecord>) -> Result<KeyedRecord, GrantError> {
    let value = match record {
        Some(record) => Some(Bytes::from(record.encode().map_err(GrantError::Record)?)),
        None => None,
    };
    Ok(KeyedRecord {
        key: key.encode(),
        value,
    })
}
