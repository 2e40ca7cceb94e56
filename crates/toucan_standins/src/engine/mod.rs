//! Stand-in of a model engine.

mod batch;
mod completion_text;
mod engine_run;
mod engine_settings;
mod engine_standin;
mod http_interface;
mod orders;
mod prefix_cache;
mod stream_state;

pub use completion_text::{
    BYTES_PER_TOKEN, answer_seed, answer_token, completion_text, completion_tokens, prompt_blocks,
    prompt_tokens,
};
pub use engine_run::{EngineRun, ReceivedOrder};
pub use engine_settings::EngineSettings;
pub use engine_standin::EngineStandin;
