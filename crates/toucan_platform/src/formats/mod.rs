//! JSON messages of the platform's interfaces.
//!
//! | interface | calls |
//! |---|---|
//! | log | `POST /streams/{stream}/records`, `GET /streams/{stream}/records`, `GET /streams/{stream}` |
//! | VM list | `GET /vms` |
//! | engine | `POST /v1/chat/completions`, `GET /v1/streams/{id}`, `POST /v1/streams/{id}/cancel`, `GET /load`, `GET /events`, `POST /orders`, `POST /kv/export`, `POST /kv/import` |
//! | weight store | `POST /weights/downloads` |
//! | plain service | any method and path |

mod cache_events;
mod chat;
mod engine_load;
mod engine_order;
mod kv_cache;
mod log_records;
mod vm_list;
mod weight_download;

pub use cache_events::{CacheEvent, CacheEventPage};
pub use chat::{
    ChatChoice, ChatChunk, ChatChunkChoice, ChatDelta, ChatMessage, ChatRequest, ChatResponse,
    ChatUsage, HEADER_FENCING_NUMBER, HEADER_PRIORITY, HEADER_REQUEST_ID, HEADER_TOKEN_INDEX,
};
pub use engine_load::EngineLoad;
pub use engine_order::{EngineOrder, EngineOrderKind, EngineOrderRefusal, EngineRole};
pub use kv_cache::{KvExport, KvExportRequest, KvImport};
pub use log_records::{LogAppended, LogPage, LogRecord, LogStreamState};
pub use vm_list::{VmEntry, VmKind, VmList, VmState};
pub use weight_download::WeightDownload;
