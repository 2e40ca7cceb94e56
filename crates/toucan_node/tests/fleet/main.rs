//! Whole nodes against stand-ins of the platform, over loopback.

mod http;
mod killed_node;
mod orders;
mod test_fleet;
mod two_nodes;
mod whole_path;
