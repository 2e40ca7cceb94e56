//! Stand-in for a model engine.

mod batch;
mod completion_text;
mod engine_settings;
mod engine_standin;
mod execution_records;
mod http_interface;
mod orders;
mod prefix_cache;
mod stream_state;

pub use completion_text::{
    BYTES_PER_TOKEN, completion_seed, completion_text, completion_token_text, completion_tokens,
    prompt_blocks, prompt_tokens,
};
pub use engine_settings::EngineSettings;
pub use engine_standin::EngineStandin;
pub use execution_records::{EngineRun, ReceivedOrder};
