//! Small stand-ins of the platform with fault switches.
//!
//! Each stand-in serves an interface of [`toucan_platform::formats`] over HTTP on loopback, has
//! switches for its faults and keeps a record of what really happened, by which a check can judge
//! what callers were told.
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
mod http_serve;
mod link;
mod log_standin;
mod platform;
mod rate_limit;
mod service_standin;
mod standin_set;
mod standin_setup;
mod vm_list_standin;
mod weight_store_standin;

pub use engine::{
    BYTES_PER_TOKEN, EngineRun, EngineSettings, EngineStandin, ReceivedOrder, answer_seed,
    answer_token, completion_text, completion_tokens, prompt_blocks, prompt_tokens,
};
pub use link::{Link, LinkState};
pub use log_standin::{KeptRecord, LogStandin};
pub use platform::{DataCentrePlatform, Platform, PlatformSettings};
pub use service_standin::{ServiceRun, ServiceStandin};
pub use standin_set::{DataCentreAddresses, StandinSet};
pub use standin_setup::{EngineSetup, RouterSetup, ServiceSetup, StandinSetup};
pub use vm_list_standin::VmListStandin;
pub use weight_store_standin::WeightStoreStandin;
