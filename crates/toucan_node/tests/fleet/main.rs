//! Whole nodes against stand-ins of the platform, over loopback.

mod http;
mod killed_node;
mod orders;
mod small_fleet;
mod two_nodes;
mod whole_path;
