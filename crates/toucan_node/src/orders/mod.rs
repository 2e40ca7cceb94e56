//! Orders duty: decides which models the targets of this data centre load.

mod demand;
mod orders_duty;
mod orders_message;

pub(crate) use orders_duty::{OrdersDuty, OrdersLinks};
pub(crate) use orders_message::{LiveNodes, OrdersMessage};
