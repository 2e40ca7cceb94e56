//! Runs complete nodes against stand-ins of the platform over loopback.

mod http;
mod killed_node;
mod orders;
mod request_to_bill;
mod several_nodes;
mod test_fleet;
