//! Tasks of the platform duty.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use tokio::task::JoinHandle;
use toucan_ledger::AppendOutcome;
use toucan_platform::{AppendError, VmListClient, VmListing};
use toucan_types::{FastHashMap, Offset, ShardIndex, StreamName};

use super::{
    PlatformCommand,
    follow::{Delivery, follow},
    patient_log::PatientLog,
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

/// Where the platform's interfaces are and how often its list is read.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlatformEndpoints {
    /// Log.
    pub(crate) log: SocketAddr,
    /// VM list.
    pub(crate) vm_list: SocketAddr,
    /// Time between two looks at the list, in milliseconds.
    pub(crate) vm_list_poll_ms: u64,
}

/// Serves the commands until the duty is stopped.
pub(crate) async fn run_platform_duty(
    endpoints: PlatformEndpoints,
    links: PlatformLinks,
    mut commands: TaskReceiver<PlatformCommand>,
) {
    let mut duty = PlatformDuty {
        log: Arc::new(PatientLog::new(endpoints.log)),
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
    log: Arc<PatientLog>,
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
                    // A claim that is not read back within a while is appended again.
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
                    // A full ring loses the answer; the record is read back all the same.
                    let _full =
                        document.try_send(DocumentMessage::EditAppended { edit_id, outcome });
                });
            }
        }
    }

    fn follow_shard(&mut self, shard: ShardIndex, from: Offset) {
        let ledger = self.links.ledger.clone();
        let deliver = move |delivery| match delivery {
            Delivery::Records(batch, asked) => {
                let message = LedgerMessage::Read {
                    shard,
                    entries: batch.records.clone(),
                    next_offset: batch.next_offset,
                };
                ledger
                    .try_send(message)
                    .map_err(|_full| Delivery::Records(batch, asked))
            }
            Delivery::Expired(first) => ledger
                .try_send(LedgerMessage::Expired { shard, first })
                .map_err(|_full| Delivery::Expired(first)),
        };
        let log = Arc::clone(&self.log);
        let reader = tokio::spawn(follow(log, shard.stream(), from, deliver));
        if let Some(former) = self.readers.insert(shard, reader) {
            former.abort();
        }
    }

    fn follow_document(&mut self, from: Offset) {
        let document = self.links.document.clone();
        let deliver = move |delivery| match delivery {
            Delivery::Records(batch, asked) => document
                .try_send(DocumentMessage::Read(batch.records.clone()))
                .map_err(|_full| Delivery::Records(batch, asked)),
            Delivery::Expired(first) => document
                .try_send(DocumentMessage::Expired(first))
                .map_err(|_full| Delivery::Expired(first)),
        };
        let log = Arc::clone(&self.log);
        let stream = StreamName::from(DOCUMENT_STREAM);
        let reader = tokio::spawn(follow(log, stream, from, deliver));
        if let Some(former) = self.document_reader.replace(reader) {
            former.abort();
        }
    }

    fn follow_orders(&mut self, from: Offset) {
        let orders = self.links.orders.clone();
        let deliver = move |delivery| match delivery {
            Delivery::Records(batch, asked) => orders
                .try_send(OrdersMessage::Read {
                    entries: batch.records.clone(),
                    next_offset: batch.next_offset,
                    requested_at: asked,
                })
                .map_err(|_full| Delivery::Records(batch, asked)),
            Delivery::Expired(first) => orders
                .try_send(OrdersMessage::Expired(first))
                .map_err(|_full| Delivery::Expired(first)),
        };
        let log = Arc::clone(&self.log);
        let stream = StreamName::from(ORDERS_STREAM);
        let reader = tokio::spawn(follow(log, stream, from, deliver));
        if let Some(former) = self.orders_reader.replace(reader) {
            former.abort();
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
            // The gatherer sends nothing more until it has the outcome.
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
            Ok(listing) => hand_on(&links, listing),
            Err(_unavailable) => {
                metrics::counter!("toucan_vm_list_failures_total").increment(1);
            }
        }
        tokio::time::sleep_until(next).await;
    }
}

fn hand_on(links: &PlatformLinks, listing: VmListing) {
    let listing = Arc::new(listing);
    // A full ring loses one list; the next one follows within a second.
    let _full = links
        .membership
        .try_send(MembershipMessage::Listed(Arc::clone(&listing)));
    let _full = links.targets.try_send(TargetsMessage::Listed(listing));
}
