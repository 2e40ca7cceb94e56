//! Samples which versions of the document are in force at the nodes.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http::Method;
use http_body_util::BodyExt;
use serde::Deserialize;
use toucan_standins::{LinkState, Platform};
use volo_http::body::Body;
use volo_http::client::{Client, ClientBuilder};

use super::fleet_nodes::{FleetNodes, NodeSlot};
use crate::clock::now_ms;
use crate::history::ConfigurationSample;

/// Interval between polls of a node, in milliseconds.
const POLL_INTERVAL_MS: u64 = 150;
/// Timeout of a request to a node, in milliseconds.
const REQUEST_TIMEOUT_MS: u64 = 1_000;

#[derive(Deserialize)]
struct DocumentVersions {
    finance_version: u64,
    models_version: u64,
    operations_version: u64,
}

/// Samples which versions of the document are in force at the nodes.
#[derive(Clone)]
pub(crate) struct ConfigurationSampler {
    samples: Arc<Mutex<Vec<ConfigurationSample>>>,
}

impl ConfigurationSampler {
    /// Starts sampling; it continues until the runtime ends.
    pub(crate) fn start(nodes: FleetNodes, platform: Platform) -> Self {
        let sampler = Self {
            samples: Arc::default(),
        };
        tokio::spawn(sampler.clone().run(nodes, platform));
        sampler
    }

    /// Returns the samples taken so far.
    pub(crate) fn samples(&self) -> Vec<ConfigurationSample> {
        let samples = self.samples.lock();
        samples.unwrap_or_else(PoisonError::into_inner).clone()
    }

    async fn run(self, nodes: FleetNodes, platform: Platform) {
        let client: Client<Body, Body> = ClientBuilder::new()
            .build()
            .expect("fails only for a bad user agent, and none is set");
        loop {
            tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
            for slot in nodes.slots() {
                let request = fetch_versions(&client, &slot);
                let timeout = Duration::from_millis(REQUEST_TIMEOUT_MS);
                let Ok(Some(versions)) = tokio::time::timeout(timeout, request).await else {
                    continue;
                };
                let links = platform.data_centre(&slot.data_centre);
                let reachable = links.is_some_and(|links| links.log.state() == LinkState::Open);
                self.record(&slot, &versions, reachable);
            }
        }
    }

    fn record(&self, slot: &NodeSlot, versions: &DocumentVersions, reachable: bool) {
        let at_ms = now_ms();
        let sections = [
            ("finance", versions.finance_version),
            ("models", versions.models_version),
            ("operations", versions.operations_version),
        ];
        let samples = sections.map(|(section, version)| ConfigurationSample {
            at_ms,
            node: slot.instance.clone(),
            reachable,
            section: section.to_owned(),
            version,
        });
        let recorded = self.samples.lock();
        recorded
            .unwrap_or_else(PoisonError::into_inner)
            .extend(samples);
    }
}

async fn fetch_versions(client: &Client<Body, Body>, slot: &NodeSlot) -> Option<DocumentVersions> {
    let response = client
        .request(Method::GET, "/state/document")
        .address(slot.operators?)
        .body(Body::empty())
        .send()
        .await
        .ok()?;
    let body: Body = response.into_body();
    let bytes = body.collect().await.ok()?.to_bytes();
    serde_json::from_slice(&bytes).ok()
}
