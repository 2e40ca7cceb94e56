//! Keeps the list of targets.

use std::{rc::Rc, time::Duration};

use tokio::time::sleep;
use toucan_types::{FastHashMap, TargetName};

use crate::{
    Gateway, Platform,
    keyed_log::{ReadRecord, Topic},
    placement::TargetChange,
};

use super::{store_health::StoreHealth, topic_follower::TopicFollower};

/// Time between two reads; targets write often, and one read brings what all of them wrote.
const READ_INTERVAL: Duration = Duration::from_millis(400);
/// Time after the end of an outage for which a target whose registration lapsed may register again.
const LAPSE_GRACE_MS: u64 = 2_500;

/// Targets whose registration ended while the store was away, with the time of removal.
type Lapsed = FastHashMap<TargetName, u64>;

/// Follows the targets' registrations for good.
pub(crate) async fn follow_targets<P: Platform>(gateway: Rc<Gateway<P>>) {
    let mut follower = TopicFollower::new(Topic::Targets, 0);
    let mut health = StoreHealth::new("targets");
    let mut lapsed = Lapsed::default();
    let mut grace_until_ms = 0;
    loop {
        match follower.read(&gateway.platform, Duration::ZERO).await {
            Ok(followed) => {
                let now_ms = gateway.now_ms();
                if health.answered(now_ms) {
                    grace_until_ms = now_ms + LAPSE_GRACE_MS;
                }
                let removed_at_ms = if now_ms < grace_until_ms {
                    grace_until_ms
                } else {
                    now_ms
                };
                if followed.is_whole {
                    note_missing(
                        &gateway,
                        &followed.batch.records,
                        &mut lapsed,
                        removed_at_ms,
                    );
                }
                for read in &followed.batch.records {
                    apply(&gateway, read, &mut lapsed, removed_at_ms);
                }
                remove_lapsed(&gateway, &mut lapsed, now_ms);
                gateway.core.borrow_mut().targets_known = true;
                sleep(READ_INTERVAL).await;
            }
            Err(error) => sleep(health.failed(&error, gateway.now_ms())).await,
        }
    }
}

fn apply<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    read: &ReadRecord,
    lapsed: &mut Lapsed,
    removed_at_ms: u64,
) {
    let Some(bytes) = &read.record.value else {
        let name = TargetName::from(read.record.key.as_str());
        lapsed.entry(name).or_insert(removed_at_ms);
        return;
    };
    let entry = match gateway.platform.read_target(&read.record.key, bytes) {
        Ok(entry) => entry,
        Err(findings) => {
            metrics::counter!("toucan_unreadable_targets_total").increment(1);
            for finding in findings {
                log::debug!(target: "target", key = read.record.key.as_str(), offset = read.offset.0, finding:% = finding; "a registration names no target");
            }
            return;
        }
    };
    lapsed.remove(&entry.name);
    let (name, service) = (entry.name.clone(), entry.service.clone());
    let change = gateway.core.borrow_mut().targets.register(entry);
    if change != TargetChange::Other {
        log::info!(target: "target", name = name.as_str(), service = service.as_str(), offset = read.offset.0, change:? = change; "target changed");
    }
}

/// Notes targets that a whole reading no longer lists.
fn note_missing<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    records: &[ReadRecord],
    lapsed: &mut Lapsed,
    removed_at_ms: u64,
) {
    let core = gateway.core.borrow();
    for target in core.targets.iter() {
        let name = &target.entry.name;
        let is_listed = records
            .iter()
            .any(|read| read.record.key == name.as_str() && read.record.value.is_some());
        if !is_listed {
            lapsed.entry(name.clone()).or_insert(removed_at_ms);
        }
    }
}

fn remove_lapsed<P: Platform>(gateway: &Rc<Gateway<P>>, lapsed: &mut Lapsed, now_ms: u64) {
    lapsed.retain(|name, removed_at_ms| {
        if now_ms < *removed_at_ms {
            return true;
        }
        if gateway.core.borrow_mut().targets.remove(name) {
            log::info!(target: "target", name = name.as_str(); "target gone");
        }
        false
    });
}
