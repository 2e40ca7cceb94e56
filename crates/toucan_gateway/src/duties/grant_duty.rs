//! Draws tokens from the budgets in the store and returns idle ones.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use displaydoc::Display;
use rand::Rng;
use tokio::time::{sleep, timeout};
use toucan_types::{OrganisationName, Tokens};

use crate::{
    Gateway, Platform,
    budget::{
        DrawSettings, GatewayProcess, GrantKey, GrantRecord, GrantRecordError, GrantTable,
        GrantWriter, OrganisationSnapshot,
    },
    config::Organisation,
    core::{BudgetView, Core},
    keyed_log::{AppendError, KeyedRecord, ReadError, Topic},
};

use super::{store_health::StoreHealth, topic_follower::TopicFollower};

/// Interval between two synchronisations if no call waits for tokens.
const LOOK_INTERVAL: Duration = Duration::from_millis(1_000);
/// Minimum pause between two synchronisations while calls wait for tokens.
const READ_PAUSE: Duration = Duration::from_millis(40);
/// Maximum number of conditional appends per synchronisation. Each conflict means that another
/// process has appended.
const MOST_RACES: u32 = 8;
/// Maximum delay after the first conflict, per process that may append.
const RACE_PAUSE_PER_PROCESS_MS: u64 = 1;
/// Number of times that the delay doubles after further conflicts. Low, because calls wait for the
/// tokens.
const MOST_DOUBLINGS: u32 = 1;
/// Number of partitions that budgets are distributed over. All processes must use the same number.
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
    Races,
}

impl std::error::Error for GrantError {}

/// The grants in one partition.
struct GrantPartition {
    follower: TopicFollower,
    book: GrantTable,
    writer: GrantWriter,
    is_read: bool,
}

/// Synchronises the wallets with the store until the process ends.
pub(crate) async fn keep_wallets<P: Platform>(gateway: Rc<Gateway<P>>) {
    let count = GRANT_PARTITIONS.min(gateway.bounds().most_partitions.max(1));
    let process = gateway.process();
    let mut partitions: Vec<GrantPartition> = (0..count)
        .map(|number| GrantPartition::new(number, process.clone()))
        .collect();
    let mut health = StoreHealth::new("grants");
    loop {
        let pause = match bring_up_to_date(&gateway, &mut partitions).await {
            Ok(()) => {
                health.answered(gateway.now_ms());
                // Waiting calls request a synchronisation repeatedly, more often than the store changes.
                sleep(READ_PAUSE).await;
                LOOK_INTERVAL
            }
            Err(error) => health.failed(&error, gateway.now_ms()),
        };
        if gateway.core.borrow().stopping_since_ms.is_none() {
            gateway.tokens_changed.notify_waiters();
        }
        if health.is_lost() {
            // Requests from waiting calls must not increase the load on an unavailable store.
            sleep(pause).await;
        } else {
            // A timeout and a request from a call lead to the same next step.
            let _elapsed = timeout(pause, gateway.draw_soon.notified()).await;
        }
    }
}

/// Returns all idle tokens to the store before the process ends. Waits without a timeout.
pub(crate) async fn return_all<P: Platform>(gateway: &Rc<Gateway<P>>) {
    let asked_ms = gateway.now_ms();
    let mut passes = gateway.wallets_kept_at.subscribe();
    gateway.draw_soon.notify_one();
    // A synchronisation that began earlier misses the calls that have ended since.
    let kept = passes.wait_for(|began_ms| *began_ms >= asked_ms).await;
    if let Err(error) = kept {
        log::error!(target: "budget", error:% = error; "the task that returns tokens has ended");
    }
}

async fn bring_up_to_date<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    partitions: &mut [GrantPartition],
) -> Result<(), GrantError> {
    let began_ms = gateway.now_ms();
    let Some(config) = gateway.core.borrow().config.clone() else {
        // Without a configuration no tokens have been drawn.
        gateway.wallets_kept_at.send_replace(began_ms);
        return Ok(());
    };
    let mut by_partition: Vec<Vec<Rc<Organisation>>> = vec![Vec::new(); partitions.len()];
    for organisation in config.organisations.iter() {
        let number = partition_of(&organisation.name, partitions.len());
        by_partition[number].push(Rc::clone(organisation));
    }
    for (partition, organisations) in partitions.iter_mut().zip(&by_partition) {
        if !partition.is_read || partition.is_due(gateway, organisations) {
            partition
                .update(gateway, config.version, organisations)
                .await?;
        }
    }
    let mut core = gateway.core.borrow_mut();
    if !core.grants_known {
        core.grants_known = true;
        log::info!(target: "budget", partitions = partitions.len(); "grants read");
    }
    drop(core);
    gateway.wallets_kept_at.send_replace(began_ms);
    Ok(())
}

/// Returns the maximum delay after a conflict, which grows with the number of processes so that
/// their appends are spread over time.
fn most_race_pause_ms(race: u32, processes: u32) -> u64 {
    let first_ms = RACE_PAUSE_PER_PROCESS_MS * u64::from(processes.max(1));
    first_ms << race.min(MOST_DOUBLINGS)
}

/// Returns the number of the partition that holds an organisation's budget.
fn partition_of(organisation: &OrganisationName, count: usize) -> usize {
    let hash = blake3::hash(organisation.as_str().as_bytes());
    usize::from(hash.as_bytes()[0]) % count
}

impl GrantPartition {
    fn new(number: u32, process: GatewayProcess) -> Self {
        Self {
            follower: TopicFollower::new(Topic::Grants, number),
            book: GrantTable::default(),
            writer: GrantWriter::new(process),
            is_read: false,
        }
    }

    /// Returns whether any wallet has to draw or return tokens, according to the records read last.
    ///
    /// Makes no call to the store.
    fn is_due<P: Platform>(
        &self,
        gateway: &Rc<Gateway<P>>,
        organisations: &[Rc<Organisation>],
    ) -> bool {
        let now_ms = gateway.now_ms();
        let core = &mut *gateway.core.borrow_mut();
        let processes = core.members.process_count(now_ms);
        organisations.iter().any(|organisation| {
            let Some(view) = self.view_of(core, organisation, processes, now_ms) else {
                return false;
            };
            let wallet = core.wallet(&organisation.name);
            self.writer
                .needs_write(&organisation.name, &self.book, wallet, &view, &DRAW, now_ms)
        })
    }

    async fn update<P: Platform>(
        &mut self,
        gateway: &Rc<Gateway<P>>,
        version: toucan_types::DocumentVersion,
        organisations: &[Rc<Organisation>],
    ) -> Result<(), GrantError> {
        for race in 0..MOST_RACES {
            let end = self.read_to_end(gateway).await?;
            let records = self.decide(gateway, organisations)?;
            if records.is_empty() {
                let core = &mut *gateway.core.borrow_mut();
                self.publish(core, gateway.now_ms(), organisations);
                return Ok(());
            }
            let appended = gateway
                .platform
                .append(self.follower.partition(), Some(end), &records)
                .await;
            match appended {
                Ok(new_end) => {
                    log::info!(
                        target: "budget",
                        partition = self.follower.partition().number,
                        config_version = version.0,
                        end = new_end.0,
                        records = records.len();
                        "grants written"
                    );
                    self.follower.skip_to(new_end);
                    self.take_own(gateway, &records, organisations)?;
                    return Ok(());
                }
                Err(AppendError::Conflict(_)) => {
                    metrics::counter!("toucan_grant_races_total").increment(1);
                    let processes = gateway
                        .core
                        .borrow()
                        .members
                        .process_count(gateway.now_ms());
                    let most_ms = most_race_pause_ms(race, processes);
                    let pause_ms = rand::rng().random_range(0..most_ms);
                    sleep(Duration::from_millis(pause_ms)).await;
                }
                Err(error) => return Err(GrantError::Append(error)),
            }
        }
        Err(GrantError::Races)
    }

    /// Reads to the end of the partition into the book and returns the end offset.
    async fn read_to_end<P: Platform>(
        &mut self,
        gateway: &Rc<Gateway<P>>,
    ) -> Result<toucan_types::Offset, GrantError> {
        loop {
            let read = self.follower.read(&gateway.platform, Duration::ZERO).await;
            let followed = read.map_err(GrantError::Read)?;
            if followed.is_whole {
                self.book = GrantTable::default();
            }
            for read in &followed.batch.records {
                self.apply(&read.record)?;
            }
            if !followed.is_whole && followed.batch.next >= followed.batch.end {
                break Ok(followed.batch.end);
            }
        }
    }

    fn apply(&mut self, record: &KeyedRecord) -> Result<(), GrantError> {
        // An unreadable record may be a grant. Drawing without knowing it could exceed the budget.
        let key = GrantKey::decode(&record.key).map_err(GrantError::Record)?;
        let value = match &record.value {
            Some(bytes) => Some(GrantRecord::decode(bytes).map_err(GrantError::Record)?),
            None => None,
        };
        self.book.apply(key, value);
        Ok(())
    }

    fn decide<P: Platform>(
        &mut self,
        gateway: &Rc<Gateway<P>>,
        organisations: &[Rc<Organisation>],
    ) -> Result<Vec<KeyedRecord>, GrantError> {
        let now_ms = gateway.now_ms();
        let core = &mut *gateway.core.borrow_mut();
        let processes = core.members.process_count(now_ms);
        let mut records = Vec::new();
        for organisation in organisations {
            let name = &organisation.name;
            let Some(view) = self.view_of(core, organisation, processes, now_ms) else {
                continue;
            };
            let wallet = core.wallet(name);
            self.writer.sync_wallet(name, &self.book, wallet);
            let decided = self
                .writer
                .decide(name, &self.book, wallet, &view, &DRAW, now_ms);
            if let Some(record) = decided {
                log::info!(
                    target: "budget",
                    organisation = name.as_str(),
                    drawn_tokens = record.drawn.0,
                    returned_tokens = record.returned.0,
                    spent_tokens = record.spent.0,
                    available_tokens = wallet.available().0,
                    waiting_tokens = view.waiting.0,
                    rate_per_s = record.rate_per_s,
                    others_rate_per_s = view.others_rate_per_s,
                    processes = view.processes,
                    prepaid_tokens = record.prepaid.0,
                    granted_to_all_tokens = self.book.granted(name).0;
                    "grant decided"
                );
                records.push(encode(&self.writer.key(name), Some(record))?);
            }
        }
        let replaced = self.book.former_processes(&gateway.process());
        for (organisation, former, record) in &replaced {
            log::info!(
                target: "budget",
                organisation = organisation.as_str(),
                start = former.start_id,
                granted_tokens = record.granted().0,
                spent_tokens = record.spent.0;
                "what a former process of this VM held counts as spent"
            );
        }
        if !replaced.is_empty() {
            for (key, record) in self.writer.merge_former_grants(&self.book) {
                records.push(encode(&key, record)?);
            }
        }
        self.is_read = true;
        Ok(records)
    }

    /// Applies records that this process has just appended, without reading them back.
    fn take_own<P: Platform>(
        &mut self,
        gateway: &Rc<Gateway<P>>,
        records: &[KeyedRecord],
        organisations: &[Rc<Organisation>],
    ) -> Result<(), GrantError> {
        for record in records {
            self.apply(record)?;
        }
        let core = &mut *gateway.core.borrow_mut();
        for organisation in organisations {
            let name = &organisation.name;
            self.writer.sync_wallet(name, &self.book, core.wallet(name));
        }
        self.publish(core, gateway.now_ms(), organisations);
        Ok(())
    }

    fn view_of(
        &self,
        core: &Core,
        organisation: &Organisation,
        processes: u32,
        now_ms: u64,
    ) -> Option<OrganisationSnapshot> {
        let name = &organisation.name;
        Some(OrganisationSnapshot {
            config_version: core.config.as_ref()?.version,
            prepaid: organisation.prepaid?,
            waiting: core.waiting.get(name).copied().unwrap_or(Tokens::ZERO),
            processes,
            others_rate_per_s: self
                .book
                .rate_per_s(name, |vm| core.members.is_live(vm, now_ms)),
            remaining_accept_ms: core.remaining_accept_ms(now_ms),
        })
    }

    /// Updates the budget views that calls are checked against.
    fn publish(&self, core: &mut Core, read_at_ms: u64, organisations: &[Rc<Organisation>]) {
        let Some(version) = core.config.as_ref().map(|config| config.version) else {
            return;
        };
        for organisation in organisations {
            let Some(configured) = organisation.prepaid else {
                continue;
            };
            let name = &organisation.name;
            let (_version, prepaid) = self.book.prepaid(name, (version, configured));
            let view = BudgetView {
                read_at_ms,
                prepaid,
                granted: self.book.granted(name),
                spent: self.book.spent(name),
            };
            core.budget_views.insert(name.clone(), view);
        }
    }
}

const DRAW: DrawSettings = DrawSettings::DEFAULT;

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
