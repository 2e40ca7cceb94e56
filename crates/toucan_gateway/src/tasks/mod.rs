//! Background tasks of a gateway.

pub(crate) mod config_watch;
pub(crate) mod departure_queries;
pub(crate) mod evacuation_records;
pub(crate) mod fresh_read;
pub(crate) mod grant_sync;
mod loan_exchange;
pub(crate) mod membership;
pub(crate) mod origin_sync;
mod partition_consumer;
pub(crate) mod path_probes;
pub(crate) mod peer_exchange;
mod peer_messages;
pub(crate) mod schedule_watch;
pub(crate) mod shutdown;
mod store_health;
pub(crate) mod target_check;
pub(crate) mod target_watch;
pub(crate) mod verdict_sync;
