//! The platform duty: reads and appends to the log, and polls the list of VMs.

mod adaptive_timeout_log;
mod follow;
mod platform_command;
mod platform_duty;

pub(crate) use platform_command::PlatformCommand;
pub(crate) use platform_duty::{PlatformEndpoints, PlatformLinks, run_platform_duty};
