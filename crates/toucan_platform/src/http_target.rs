//! One address with its connections.

use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use tokio::time::{Duration, sleep};
use volo_http::body::Body;
use volo_http::client::{Client, ClientBuilder};
use volo_http::error::ClientError;
use volo_http::response::Response;

use crate::ClientSettings;
use crate::exchange::{Exchange, ExchangeError};
use crate::send_witness::{SendWitness, WitnessedBody};

type PooledClient = Client<WitnessedBody, Body>;

/// Interval at which a request is checked for having been taken by a connection, in milliseconds.
const TAKEN_CHECK_MS: u64 = 100;

/// One address with a pool of connections that is given up as a whole after a silence.
///
/// Connections that stood idle beside one that went silent went the same way in most faults, and
/// each would cost another request its whole timeout.
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

    /// Sends a request and waits for the head of its answer.
    pub(crate) async fn send(&self, exchange: Exchange) -> Result<Response, ExchangeError> {
        let client = self.client.load_full();
        let (body, witness) = WitnessedBody::new(exchange.body);
        let mut request = client
            .request(exchange.method, exchange.path)
            .address(self.address)
            .body(body);
        request.headers_mut().extend(exchange.headers);
        let sending = request.send();
        let answered = tokio::select! {
            answered = sending => answered.map_err(Some),
            () = self.deadline(&witness, exchange.first_byte_timeout_ms) => Err(None),
        };
        // The request was dropped with its future, so what the witness says now is final unless
        // the body still lies in a connection's queue, which counts as sent.
        answered.map_err(|error| self.failure(&client, error.as_ref(), &witness))
    }

    /// Gives up all connections that were opened so far; requests in progress keep theirs.
    pub(crate) fn abandon_connections(&self) {
        self.client.store(Arc::new(new_client(&self.settings)));
    }

    async fn deadline(&self, witness: &SendWitness, first_byte_timeout_ms: u64) {
        let mut waited_ms = 0;
        while waited_ms < self.settings.connect_timeout_ms && !witness.is_taken() {
            let step_ms = TAKEN_CHECK_MS.min(self.settings.connect_timeout_ms - waited_ms);
            sleep(Duration::from_millis(step_ms)).await;
            waited_ms += step_ms;
        }
        if witness.is_taken() {
            sleep(Duration::from_millis(
                first_byte_timeout_ms.saturating_sub(waited_ms),
            ))
            .await;
        }
    }

    fn failure(
        &self,
        used: &Arc<PooledClient>,
        error: Option<&ClientError>,
        witness: &SendWitness,
    ) -> ExchangeError {
        let reason = error.map_or_else(|| "no answer in time".to_owned(), ToString::to_string);
        if !witness.may_have_been_sent() {
            metrics::counter!("toucan_platform_requests_not_sent_total").increment(1);
            return ExchangeError::NotSent(reason);
        }
        if error.is_none() {
            metrics::counter!("toucan_platform_connections_silent_total").increment(1);
            let fresh = Arc::new(new_client(&self.settings));
            self.client.compare_and_swap(used, fresh);
        }
        metrics::counter!("toucan_platform_requests_unknown_total").increment(1);
        ExchangeError::Unknown(reason)
    }
}

fn new_client(settings: &ClientSettings) -> PooledClient {
    let mut builder = ClientBuilder::new();
    builder
        .set_pool_idle_timeout(Duration::from_millis(settings.idle_timeout_ms))
        .set_max_idle_per_host(settings.max_idle_connections);
    builder
        .build::<WitnessedBody, WitnessedBody, Body>()
        .expect("fails only for a bad user agent, and none is set")
}
