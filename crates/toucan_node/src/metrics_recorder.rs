//! The metrics recorder of the process.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

/// Returns the handle that renders the metrics of the process.
///
/// The first call installs the recorder. All nodes in one process share it.
pub(crate) fn metrics_handle() -> PrometheusHandle {
    HANDLE
        .get_or_init(|| {
            let recorder = PrometheusBuilder::new().build_recorder();
            let handle = recorder.handle();
            if metrics::set_global_recorder(recorder).is_err() {
                log::warn!("another metrics recorder is installed; /metrics stays empty");
            }
            handle
        })
        .clone()
}
