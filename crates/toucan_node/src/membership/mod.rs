//! The membership duty: which router VMs are live, and which role each has.

mod membership_duty;
mod membership_message;

pub(crate) use membership_duty::{MembershipDuty, MembershipLinks};
pub(crate) use membership_message::{FleetMember, FleetView, MembershipMessage};
