//! Checks that accepted edits are never reverted.

use std::collections::BTreeMap;

use super::{Breach, Promise};
use crate::history::{ConfigurationSample, History};

/// Returns the decreases of a section's version at a node, and the edits that a running, reachable
/// node lacks at the end.
pub(crate) fn reverted_edits(history: &History) -> Vec<Breach> {
    let mut latest: BTreeMap<(&str, &str), &ConfigurationSample> = BTreeMap::new();
    let mut breaches = Vec::new();
    for sample in &history.configuration_samples {
        let key = (sample.node.as_str(), sample.section.as_str());
        if let Some(earlier) = latest.insert(key, sample)
            && earlier.version > sample.version
        {
            let excerpt = vec![format!("{earlier:?}"), format!("{sample:?}")];
            breaches.push(Breach::one(Promise::NoRevertedEdits, excerpt));
        }
    }
    let last_ms = history
        .configuration_samples
        .iter()
        .map(|sample| sample.at_ms)
        .max();
    let running = latest.values().filter(|sample| {
        sample.reachable && sample.at_ms + MAX_LAST_SAMPLE_AGE_MS >= last_ms.unwrap_or(0)
    });
    for sample in running {
        let edits = history
            .edits
            .iter()
            .filter(|edit| edit.section == sample.section);
        let missing = edits.filter(|edit| edit.version > sample.version);
        for edit in missing {
            let excerpt = vec![format!("{edit:?}"), format!("last seen: {sample:?}")];
            breaches.push(Breach::one(Promise::NoRevertedEdits, excerpt));
        }
    }
    breaches
}

/// Maximum age of the last sample of a node at the end, in milliseconds; a node with an older one
/// no longer ran.
const MAX_LAST_SAMPLE_AGE_MS: u64 = 1_000;

/// Returns the times from the append of each edit until each reachable node had it in force, in
/// milliseconds.
///
/// Nodes that started after the edit are left out.
pub(crate) fn propagation_times_ms(history: &History) -> Vec<u64> {
    let mut starts: BTreeMap<&str, u64> = BTreeMap::new();
    for sample in &history.configuration_samples {
        starts.entry(&sample.node).or_insert(sample.at_ms);
    }
    let first_start_ms = starts.values().min().copied().unwrap_or(0);
    let mut times = Vec::new();
    for edit in &history.edits {
        let latest_start_ms = edit.at_ms.max(first_start_ms + SIMULTANEOUS_START_MS);
        let samples = history.configuration_samples.iter().filter(|sample| {
            sample.section == edit.section
                && sample.reachable
                && sample.at_ms >= edit.at_ms
                && sample.version >= edit.version
                && starts[sample.node.as_str()] <= latest_start_ms
        });
        let mut first: BTreeMap<&str, u64> = BTreeMap::new();
        for sample in samples {
            first
                .entry(&sample.node)
                .or_insert(sample.at_ms - edit.at_ms);
        }
        times.extend(first.into_values());
    }
    times
}

/// Time within which the first samples of nodes that start together lie, in milliseconds.
const SIMULTANEOUS_START_MS: u64 = 1_000;
