//! Background tasks of a gateway.

pub(crate) mod config_duty;
pub(crate) mod grant_duty;
pub(crate) mod member_duty;
pub(crate) mod peer_duty;
pub(crate) mod stop_duty;
mod store_health;
pub(crate) mod target_duty;
mod topic_follower;
