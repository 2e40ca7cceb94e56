//! Running fleet: nodes and stand-ins on loopback, operators' actions, and the recorded history.

mod actions;
mod configuration_sampler;
mod fleet_nodes;
mod ledger_reader;
mod operator;
mod running_fleet;
mod running_node;

pub use ledger_reader::read_log;
pub use running_fleet::Fleet;
