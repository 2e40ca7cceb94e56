//! Orders to an engine, and transfer of KV cache between engines.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use toucan_platform::formats::{
    EngineOrder, EngineOrderKind, EngineOrderRefusal, KvExport, KvExportRequest, KvImport,
    WeightDownload,
};
use volo_http::response::Response;

use super::engine_standin::EngineShared;
use super::execution_records::ReceivedOrder;
use crate::clock::now_ms;
use crate::http_call::{HttpCall, json_response, text_response, too_many_requests};

/// KV cache of a token, in bytes.
const KV_BYTES_PER_TOKEN: u64 = 131_072;
/// Rate of a KV cache import, in bytes per millisecond.
const KV_IMPORT_BYTES_PER_MS: u64 = 10_000_000;

impl EngineShared {
    /// Executes or refuses an order.
    pub(crate) async fn order(self: &Arc<Self>, call: &HttpCall) -> Response {
        let order: EngineOrder = match call.json() {
            Ok(order) => order,
            Err(refusal) => return refusal.into(),
        };
        if let Some(refusal) = self.check_fencing_number(&order) {
            self.record_order(order, false);
            return json_response(StatusCode::CONFLICT, &refusal);
        }
        if !self.execute(&order.kind).await {
            self.record_order(order, false);
            return too_many_requests(1);
        }
        self.record_order(order.clone(), true);
        json_response(StatusCode::OK, &order)
    }

    fn check_fencing_number(&self, order: &EngineOrder) -> Option<EngineOrderRefusal> {
        let mut state = self.state();
        let highest = state.fencing_number;
        if self.settings.honours_fencing && order.fencing_number < highest {
            return Some(EngineOrderRefusal {
                fencing_number: highest,
            });
        }
        state.fencing_number = highest.max(order.fencing_number);
        None
    }

    async fn execute(&self, kind: &EngineOrderKind) -> bool {
        match kind {
            EngineOrderKind::Load {
                model,
                version,
                adapter,
            } => {
                let mut name = format!("{model}@{version}");
                if let Some(adapter) = adapter {
                    name = format!("{name}+{adapter}");
                }
                self.load_model(model, version, name).await
            }
            EngineOrderKind::Unload { model, version } => {
                let name = format!("{model}@{version}");
                let mut state = self.state();
                state.models.retain(|loaded| !loaded.starts_with(&name));
                true
            }
            EngineOrderKind::ChangeRole { role } => {
                self.state().role = *role;
                true
            }
        }
    }

    async fn load_model(&self, model: &str, version: &str, name: String) -> bool {
        if self.state().models.contains(&name) {
            return true;
        }
        let download = WeightDownload {
            model: model.to_owned(),
            version: version.to_owned(),
            target: self.settings.name.clone(),
        };
        let rate_limited = self
            .weight_store
            .as_ref()
            .is_some_and(|store| !store.admit(download));
        if rate_limited {
            return false;
        }
        tokio::time::sleep(Duration::from_millis(self.settings.load_model_ms)).await;
        let mut state = self.state();
        if !state.models.contains(&name) {
            state.models.push(name);
        }
        true
    }

    fn record_order(&self, order: EngineOrder, executed: bool) {
        self.state().orders.push(ReceivedOrder {
            at_ms: now_ms(),
            order,
            executed,
        });
    }

    /// Exports the KV cache of a prefix.
    pub(crate) fn export(&self, call: &HttpCall) -> Response {
        let request: KvExportRequest = match call.json() {
            Ok(request) => request,
            Err(refusal) => return refusal.into(),
        };
        let state = self.state();
        let Some(blocks) = state.cache.prefix(request.block) else {
            return text_response(StatusCode::NOT_FOUND, "the prefix is not held");
        };
        let tokens = blocks.len() as u64 * u64::from(self.settings.block_tokens);
        let export = KvExport {
            source: self.own_address(),
            export_id: format!("{}-{:x}", self.settings.name, request.block),
            blocks,
            bytes: tokens * KV_BYTES_PER_TOKEN,
        };
        json_response(StatusCode::OK, &export)
    }

    /// Imports an exported KV cache.
    pub(crate) async fn import(&self, call: &HttpCall) -> Response {
        let import: KvImport = match call.json() {
            Ok(import) => import,
            Err(refusal) => return refusal.into(),
        };
        let transfer_ms = import.export.bytes / KV_IMPORT_BYTES_PER_MS;
        tokio::time::sleep(Duration::from_millis(transfer_ms)).await;
        self.state().cache.store(&import.export.blocks, now_ms());
        json_response(StatusCode::OK, &import)
    }
}
