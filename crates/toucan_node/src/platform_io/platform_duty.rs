//! State and tasks of the platform duty.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use tokio::task::JoinHandle;
use toucan_ledger::AppendOutcome;
use toucan_platform::{AppendError, VmListClient, VmListing};
use toucan_types::{FastHashMap, Offset, ShardIndex, StreamName};

use super::{
    PlatformCommand,
    adaptive_timeout_log::AdaptiveTimeoutLog,
    follow::{Delivery, follow},
};
use crate::{
    document::DocumentMessage,
    kernel::{Envelope, Ring, TaskReceiver},
    ledger::LedgerMessage,
    membership::MembershipMessage,
    orders::OrdersMessage,
    targets::TargetsMessage,
};

/// Name of the document's stream.
const DOCUMENT_STREAM: &str = "document";
/// Name of the stream of claims on orders to targets.
const ORDERS_STREAM: &str = "orders";

/// Rings that the platform duty writes to.
#[derive(Clone)]
pub(crate) struct PlatformLinks {
    /// The ledger duty.
    pub(crate) ledger: Ring<LedgerMessage>,
    /// The document duty.
    pub(crate) document: Ring<DocumentMessage>,
    /// The membership duty.
    pub(crate) membership: Ring<MembershipMessage>,
    /// The targets duty.
    pub(crate) targets: Ring<TargetsMessage>,
    /// The orders duty.
    pub(crate) orders: Ring<OrdersMessage>,
}

/// Addresses of the platform's interfaces and the poll interval of its list of VMs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlatformEndpoints {
    /// Address of the log.
    pub(crate) log: SocketAddr,
    /// Address of the list of VMs.
    pub(crate) vm_list: SocketAddr,
    /// Poll interval of the list of VMs, in milliseconds.
    pub(crate) vm_list_poll_ms: u64,
}

/// Executes commands until the duty is stopped.
pub(crate) async fn run_platform_duty(
    endpoints: PlatformEndpoints,
    links: PlatformLinks,
    mut commands: TaskReceiver<PlatformCommand>,
) {
    let mut duty = PlatformDuty {
        log: Arc::new(AdaptiveTimeoutLog::new(endpoints.log)),
        links: links.clone(),
        readers: FastHashMap::default(),
        document_reader: None,
        orders_reader: None,
    };
    let list = tokio::spawn(poll_vm_list(endpoints, links));
    while let Some(envelope) = commands.recv().await {
        match envelope {
            Envelope::Work(command) => duty.execute(command),
            Envelope::Dump(reply) => {
                let _unread = reply.send(duty.dump());
            }
            Envelope::Stop => break,
        }
    }
    list.abort();
}

struct PlatformDuty {
    log: Arc<AdaptiveTimeoutLog>,
    links: PlatformLinks,
    readers: FastHashMap<ShardIndex, JoinHandle<()>>,
    document_reader: Option<JoinHandle<()>>,
    orders_reader: Option<JoinHandle<()>>,
}

impl PlatformDuty {
    fn execute(&mut self, command: PlatformCommand) {
        match command {
            PlatformCommand::Follow { shard, from } => self.follow_shard(shard, from),
            PlatformCommand::FollowOrders { from } => self.follow_orders(from),
            PlatformCommand::AppendClaim { bytes } => {
                let log = Arc::clone(&self.log);
                tokio::spawn(async move {
                    // The orders duty appends a claim again if it is not read back in time.
                    let outcome = log.append(&StreamName::from(ORDERS_STREAM), bytes).await;
                    if outcome.is_err() {
                        metrics::counter!("toucan_order_claim_failures_total").increment(1);
                    }
                });
            }
            PlatformCommand::FollowDocument { from } => self.follow_document(from),
            PlatformCommand::Append {
                shard,
                number,
                bytes,
            } => self.append(shard, number, bytes),
            PlatformCommand::AppendDocument { bytes, edit_id } => {
                let log = Arc::clone(&self.log);
                let document = self.links.document.clone();
                tokio::spawn(async move {
                    let outcome = log.append(&StreamName::from(DOCUMENT_STREAM), bytes).await;
                    // If the ring is full, the outcome is lost; the record is read back anyway.
                    let _full =
                        document.try_send(DocumentMessage::EditAppended { edit_id, outcome });
                });
            }
        }
    }

    fn follow_shard(&mut self, shard: ShardIndex, from: Offset) {
        let ledger = self.links.ledger.clone();
        let deliver = move |delivery| match delivery {
            Delivery::Records(batch, requested_at) => {
                let message = LedgerMessage::Read {
                    shard,
                    entries: batch.records.clone(),
                    next_offset: batch.next_offset,
                };
                ledger
                    .try_send(message)
                    .map_err(|_full| Delivery::Records(batch, requested_at))
            }
            Delivery::Expired(first) => ledger
                .try_send(LedgerMessage::Expired { shard, first })
                .map_err(|_full| Delivery::Expired(first)),
        };
        let log = Arc::clone(&self.log);
        let reader = tokio::spawn(follow(log, shard.stream(), from, deliver));
        if let Some(previous) = self.readers.insert(shard, reader) {
            previous.abort();
        }
    }

    fn follow_document(&mut self, from: Offset) {
        let document = self.links.document.clone();
        let deliver = move |delivery| match delivery {
            Delivery::Records(batch, requested_at) => document
                .try_send(DocumentMessage::Read(batch.records.clone()))
                .map_err(|_full| Delivery::Records(batch, requested_at)),
            Delivery::Expired(first) => document
                .try_send(DocumentMessage::Expired(first))
                .map_err(|_full| Delivery::Expired(first)),
        };
        let log = Arc::clone(&self.log);
        let stream = StreamName::from(DOCUMENT_STREAM);
        let reader = tokio::spawn(follow(log, stream, from, deliver));
        if let Some(previous) = self.document_reader.replace(reader) {
            previous.abort();
        }
    }

    fn follow_orders(&mut self, from: Offset) {
        let orders = self.links.orders.clone();
        let deliver = move |delivery| match delivery {
            Delivery::Records(batch, requested_at) => orders
                .try_send(OrdersMessage::Read {
                    entries: batch.records.clone(),
                    next_offset: batch.next_offset,
                    requested_at,
                })
                .map_err(|_full| Delivery::Records(batch, requested_at)),
            Delivery::Expired(first) => orders
                .try_send(OrdersMessage::Expired(first))
                .map_err(|_full| Delivery::Expired(first)),
        };
        let log = Arc::clone(&self.log);
        let stream = StreamName::from(ORDERS_STREAM);
        let reader = tokio::spawn(follow(log, stream, from, deliver));
        if let Some(previous) = self.orders_reader.replace(reader) {
            previous.abort();
        }
    }

    fn append(&self, shard: ShardIndex, number: u64, bytes: Vec<u8>) {
        let log = Arc::clone(&self.log);
        let ledger = self.links.ledger.clone();
        tokio::spawn(async move {
            let outcome = match log.append(&shard.stream(), Bytes::from(bytes)).await {
                Ok(_offset) => AppendOutcome::Appended,
                Err(AppendError::Unknown) => AppendOutcome::Unknown,
                Err(_not_appended) => AppendOutcome::Refused,
            };
            let appended = || LedgerMessage::Appended {
                shard,
                number,
                outcome,
            };
            // The batcher appends nothing more until it has the outcome.
            while ledger.try_send(appended()).is_err() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        });
    }

    fn dump(&self) -> serde_json::Value {
        serde_json::json!({
            "streams_read": self.readers.keys().map(|shard| shard.stream()).collect::<Vec<_>>(),
        })
    }
}

async fn poll_vm_list(endpoints: PlatformEndpoints, links: PlatformLinks) {
    let client = VmListClient::new(endpoints.vm_list);
    let interval = Duration::from_millis(endpoints.vm_list_poll_ms);
    loop {
        let next = tokio::time::Instant::now() + interval;
        match client.fetch().await {
            Ok(listing) => publish_vm_list(&links, listing),
            Err(_unavailable) => {
                metrics::counter!("toucan_vm_list_failures_total").increment(1);
            }
        }
        tokio::time::sleep_until(next).await;
    }
}

fn publish_vm_list(links: &PlatformLinks, listing: VmListing) {
    let listing = Arc::new(listing);
    // If the ring is full, this list is lost; the next one follows within a second.
    let _full = links
        .membership
        .try_send(MembershipMessage::VmList(Arc::clone(&listing)));
    let _full = links.targets.try_send(TargetsMessage::VmList(listing));
}
