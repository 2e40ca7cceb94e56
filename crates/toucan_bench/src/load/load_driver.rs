//! Starts requests at random times at a given rate.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::requests::draw_request;
use super::{Caller, LoadSettings, NodeDirectory, Recorder};
use crate::profile::{CallerIdentity, FleetProfile};

/// Starts requests at random times at a given rate, whether or not earlier ones have ended.
#[derive(Clone)]
pub struct LoadDriver {
    profile: FleetProfile,
    callers: Vec<CallerIdentity>,
    settings: LoadSettings,
    nodes: NodeDirectory,
}

impl LoadDriver {
    /// Returns a driver that sends to the nodes of a directory.
    #[must_use]
    pub fn new(
        profile: FleetProfile,
        callers: Vec<CallerIdentity>,
        settings: LoadSettings,
        nodes: NodeDirectory,
    ) -> Self {
        Self {
            profile,
            callers,
            settings,
            nodes,
        }
    }

    /// Starts requests for the configured duration and waits until all have ended.
    pub async fn run(self, recorder: Recorder) {
        let mut random = StdRng::seed_from_u64(self.settings.seed);
        let caller = Caller::new(self.nodes, self.settings.clone());
        let mut running = JoinSet::new();
        let start = Instant::now();
        let end = start + Duration::from_millis(self.settings.duration_ms);
        let mut next = start;
        let mut number = 0;
        while next < end {
            tokio::time::sleep_until(next).await;
            let planned = draw_request(
                &self.profile,
                &self.callers,
                &self.settings,
                number,
                &mut random,
            );
            let Some(planned) = planned else {
                return;
            };
            recorder.record_start();
            let (caller, recorder) = (caller.clone(), recorder.clone());
            running.spawn(async move { recorder.record_end(caller.run(planned, number).await) });
            while running.try_join_next().is_some() {}
            number += 1;
            next += draw_interarrival_time(&mut random, self.settings.requests_per_s);
        }
        while running.join_next().await.is_some() {}
    }
}

/// Draws the time until the next request from an exponential distribution.
fn draw_interarrival_time(random: &mut StdRng, requests_per_s: u64) -> Duration {
    let uniform: f64 = random.random_range(f64::EPSILON..1.0);
    Duration::from_secs_f64(-uniform.ln() / requests_per_s.max(1) as f64)
}
