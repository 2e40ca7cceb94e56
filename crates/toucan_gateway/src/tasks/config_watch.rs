//! Keeps the operators' configuration up to date.

use std::{rc::Rc, time::Duration};

use tokio::time::sleep;

use crate::{
    Gateway, Platform,
    config::FleetConfig,
    keyed_log::{ReadRecord, Topic},
    settings::Bounds,
};

use super::{
    evacuation_records::EvacuationRecords,
    partition_consumer::{MAX_ANSWER_DELAY, PartitionConsumer},
    peer_exchange::tell_config,
    store_health::StoreHealth,
};

/// Longest time for which one read waits for a new record.
const MAX_READ_WAIT_MS: u64 = 2_000;
/// Shortest time for which one read waits for a new record.
const MIN_READ_WAIT_MS: u64 = 100;
/// Time for the answer to a read that is made once more because an answer was lost.
const REPEATED_READ_TIME: Duration = Duration::from_millis(500);
/// Part of the bound for evacuations for which one read waits. An answer that is lost costs this wait and the
/// timeout of the store's answer, and the next read must still come within the bound.
const READ_WAIT_PER_BOUND: u64 = 4;

/// Applies new configurations and evacuations until the process ends.
pub(crate) async fn watch_config<P: Platform>(gateway: Rc<Gateway<P>>) {
    let mut consumer = PartitionConsumer::new(Topic::Configuration, 0);
    let mut health = StoreHealth::new("configuration");
    let mut evacuations = EvacuationRecords::default();
    loop {
        match consumer
            .read(&gateway.platform, read_wait(&gateway.bounds()))
            .await
        {
            Ok(consumed) => {
                health.record_success(gateway.now_ms());
                // The gateway is ready once it has a configuration, so the evacuations come first.
                evacuations.apply(&gateway, &consumed);
                apply_newest(&gateway, &consumed.batch.records);
            }
            Err(error) => {
                consumer.restart();
                sleep(health.record_failure(&error, gateway.now_ms())).await;
            }
        }
    }
}

/// Returns for how long one read waits for a new record: short enough that a read whose answer is lost is repeated
/// within the bounds of the deployment.
fn read_wait(bounds: &Bounds) -> Duration {
    let until_repeated = MAX_ANSWER_DELAY + REPEATED_READ_TIME;
    let contact_ms = bounds.contact_ms;
    let wait_ms = contact_ms.saturating_sub(until_repeated.as_millis() as u64);
    let evacuate_ms = bounds.evacuate_ms.map(|ms| ms / READ_WAIT_PER_BOUND);
    let wait_ms = wait_ms.min(evacuate_ms.unwrap_or(MAX_READ_WAIT_MS));
    Duration::from_millis(wait_ms.clamp(MIN_READ_WAIT_MS, MAX_READ_WAIT_MS))
}

/// Applies the last configuration among the records, if there is one.
fn apply_newest<P: Platform>(gateway: &Rc<Gateway<P>>, records: &[ReadRecord]) {
    let newest = records
        .iter()
        .rev()
        .find(|read| gateway.platform.is_config_key(&read.record.key));
    let Some(newest) = newest else {
        return;
    };
    let Some(bytes) = &newest.record.value else {
        log::warn!(target: "configuration", offset = newest.offset.0; "the configuration was deleted, the last one stays in force");
        return;
    };
    match gateway.platform.read_config(bytes) {
        Ok(config) => apply_config(gateway, config, newest),
        Err(findings) => {
            metrics::counter!("toucan_unreadable_configurations_total").increment(1);
            for finding in findings {
                log::error!(target: "configuration", offset = newest.offset.0, finding:% = finding; "the configuration cannot be used, the last one stays in force");
            }
        }
    }
}

fn apply_config<P: Platform>(gateway: &Rc<Gateway<P>>, config: FleetConfig, read: &ReadRecord) {
    let mut state = gateway.state.borrow_mut();
    let before = state.config.as_ref().map(|config| config.version);
    if before.is_some_and(|before| before >= config.version) {
        return;
    }
    log::info!(
        target: "configuration",
        version = config.version.0,
        before:? = before.map(|version| version.0),
        offset = read.offset.0,
        routes = config.routes.len();
        "configuration in force"
    );
    metrics::gauge!("toucan_configuration_version").set(config.version.0 as f64);
    freeze_lowered_budgets(&mut state, &config);
    let now_ms = gateway.now_ms();
    state.config = Some(Rc::new(config));
    state.config_read_at_ms = Some(now_ms);
    drop(state);
    tell_config(gateway, now_ms);
    gateway.sync_requested.notify_one();
}

/// Freezes the wallets of budgets whose total was lowered until the grants are read again.
fn freeze_lowered_budgets(state: &mut crate::state::GatewayState, config: &FleetConfig) {
    let Some(before) = state.config.clone() else {
        return;
    };
    for organisation in config.organisations.iter() {
        let known = before.organisations.get(&organisation.name);
        let Some(old) = known.and_then(|known| known.prepaid) else {
            continue;
        };
        if organisation.prepaid.is_some_and(|new| new < old) {
            state.wallet(&organisation.name).set_frozen(true);
        }
    }
}
