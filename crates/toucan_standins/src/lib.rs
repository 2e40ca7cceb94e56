//! Small stand-ins for the platform's systems, with fault injection, for tests.
//!
//! Each stand-in serves an interface of [`toucan_platform::formats`] over HTTP on loopback. Its
//! faults are switched on and off at run time. It records what it actually did, so that a test can
//! compare this with what callers were told.
//!
//! ```
//! use toucan_standins::{Platform, PlatformSettings};
//!
//! # tokio::runtime::Runtime::new().unwrap().block_on(async {
//! let platform = Platform::start(PlatformSettings::default()).await?;
//! platform.set_platform_partition("dc-a", true);
//! assert_eq!(platform.log.appends(), 0);
//! # std::io::Result::Ok(())
//! # }).unwrap();
//! ```

mod admin_interface;
mod clock;
mod engine;
mod http_call;
mod http_server;
mod link;
mod log_standin;
mod platform;
mod rate_limiter;
mod service_standin;
mod standin_set;
mod standin_setup;
mod vm_list_standin;
mod weight_store_standin;

pub use engine::{
    BYTES_PER_TOKEN, EngineRun, EngineSettings, EngineStandin, ReceivedOrder, completion_seed,
    completion_text, completion_token_text, completion_tokens, prompt_blocks, prompt_tokens,
};
pub use link::{Link, LinkState};
pub use log_standin::{LogStandin, StoredRecord};
pub use platform::{Platform, PlatformLinks, PlatformSettings};
pub use service_standin::{ServiceRun, ServiceStandin};
pub use standin_set::{DataCentreAddresses, StandinSet};
pub use standin_setup::{EngineSetup, RouterSetup, ServiceSetup, StandinSetup};
pub use vm_list_standin::VmListStandin;
pub use weight_store_standin::WeightStoreStandin;
