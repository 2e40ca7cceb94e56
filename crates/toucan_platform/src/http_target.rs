//! An HTTP server address with its connection pool.

use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use tokio::time::{Duration, sleep};
use volo_http::body::Body;
use volo_http::client::{Client, ClientBuilder};
use volo_http::error::ClientError;
use volo_http::response::Response;

use crate::ClientSettings;
use crate::outgoing_request::{OutgoingRequest, SendError};
use crate::send_tracker::{SendTracker, TrackedBody};

type PooledClient = Client<TrackedBody, Body>;

/// Interval at which a request is checked for having been started by a connection, in milliseconds.
const POLL_CHECK_INTERVAL_MS: u64 = 100;

/// An address with a connection pool that is replaced as a whole after a timeout.
///
/// In most faults, idle connections become unresponsive together with the one that timed out, and
/// each of them would cost another request its full timeout.
pub(crate) struct HttpTarget {
    address: SocketAddr,
    settings: ClientSettings,
    client: ArcSwap<PooledClient>,
}

impl HttpTarget {
    pub(crate) fn new(address: SocketAddr, settings: ClientSettings) -> Self {
        let client = ArcSwap::from_pointee(new_client(&settings));
        Self {
            address,
            settings,
            client,
        }
    }

    pub(crate) fn settings(&self) -> &ClientSettings {
        &self.settings
    }

    /// Sends a request and waits for the response head.
    pub(crate) async fn send(&self, outgoing: OutgoingRequest) -> Result<Response, SendError> {
        let client = self.client.load_full();
        let (body, tracker) = TrackedBody::new(outgoing.body);
        let mut request = client
            .request(outgoing.method, outgoing.path)
            .address(self.address)
            .body(body);
        request.headers_mut().extend(outgoing.headers);
        let sending = request.send();
        let sent = tokio::select! {
            sent = sending => sent.map_err(Some),
            () = self.wait_for_deadline(&tracker, outgoing.first_byte_timeout_ms) => Err(None),
        };
        // The request was dropped with its future, so the tracker's state is final unless the body
        // is still in a connection's queue, which counts as sent.
        sent.map_err(|error| self.send_error(&client, error.as_ref(), &tracker))
    }

    /// Replaces the connection pool; requests in progress keep their connections.
    pub(crate) fn abandon_connections(&self) {
        self.client.store(Arc::new(new_client(&self.settings)));
    }

    async fn wait_for_deadline(&self, tracker: &SendTracker, first_byte_timeout_ms: u64) {
        let mut waited_ms = 0;
        while waited_ms < self.settings.connect_timeout_ms && !tracker.is_polled() {
            let step_ms = POLL_CHECK_INTERVAL_MS.min(self.settings.connect_timeout_ms - waited_ms);
            sleep(Duration::from_millis(step_ms)).await;
            waited_ms += step_ms;
        }
        if tracker.is_polled() {
            sleep(Duration::from_millis(
                first_byte_timeout_ms.saturating_sub(waited_ms),
            ))
            .await;
        }
    }

    fn send_error(
        &self,
        used: &Arc<PooledClient>,
        error: Option<&ClientError>,
        tracker: &SendTracker,
    ) -> SendError {
        let reason = error.map_or_else(|| "no answer in time".to_owned(), ToString::to_string);
        if !tracker.may_have_been_sent() {
            metrics::counter!("toucan_platform_requests_not_sent_total").increment(1);
            return SendError::NotSent(reason);
        }
        if error.is_none() {
            metrics::counter!("toucan_platform_connections_silent_total").increment(1);
            let fresh = Arc::new(new_client(&self.settings));
            self.client.compare_and_swap(used, fresh);
        }
        metrics::counter!("toucan_platform_requests_unknown_total").increment(1);
        SendError::Unknown(reason)
    }
}

fn new_client(settings: &ClientSettings) -> PooledClient {
    let mut builder = ClientBuilder::new();
    builder
        .set_pool_idle_timeout(Duration::from_millis(settings.idle_timeout_ms))
        .set_max_idle_per_host(settings.max_idle_connections);
    builder
        .build::<TrackedBody, TrackedBody, Body>()
        .expect("building fails only for an invalid user agent, and none is set")
}
