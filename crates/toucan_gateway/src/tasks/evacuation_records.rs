//! Applies the operators' evacuations of data centres.

use std::rc::Rc;

use toucan_types::{DataCentreName, FastHashSet, Offset};

use crate::{Gateway, Platform, keyed_log::ReadRecord};

use super::partition_consumer::{BatchKind, ConsumedBatch};

/// Applies the evacuations among the records of the configuration's partition.
#[derive(Debug, Default)]
pub(crate) struct EvacuationRecords {
    /// Offset of the last key that names no data centre. Each snapshot may have it again.
    last_nameless: Option<Offset>,
}

impl EvacuationRecords {
    /// Applies the records of one read.
    pub(crate) fn apply<P: Platform>(
        &mut self,
        gateway: &Rc<Gateway<P>>,
        consumed: &ConsumedBatch,
    ) {
        let records = &consumed.batch.records;
        let evacuations: Vec<(DataCentreName, &ReadRecord)> = records
            .iter()
            .filter_map(|read| Some((self.data_centre_of(gateway, read)?, read)))
            .collect();
        let listed: FastHashSet<DataCentreName> = evacuations
            .iter()
            .filter(|(_name, read)| read.record.value.is_some())
            .map(|(name, _read)| name.clone())
            .collect();
        match consumed.kind {
            BatchKind::Appended => {}
            BatchKind::Snapshot => {
                let ended = {
                    let state = &mut *gateway.state.borrow_mut();
                    state.evacuations.retain_listed(&listed)
                };
                for (name, since_ms) in ended {
                    report_end(gateway, &name, since_ms);
                }
            }
            BatchKind::RestoredSnapshot => {
                let state = &mut *gateway.state.borrow_mut();
                state.evacuations.keep_unlisted(&listed, consumed.batch.end);
            }
        }
        for (name, read) in evacuations {
            if read.record.value.is_some() {
                begin(gateway, &name, read.offset);
            } else {
                let evacuations = &mut gateway.state.borrow_mut().evacuations;
                if let Some(since_ms) = evacuations.end(&name, read.offset) {
                    report_end(gateway, &name, since_ms);
                }
            }
        }
        gateway.report_if_all_evacuated();
    }

    /// Returns the data centre of an evacuation's key; [`None`] for another key or one without a name.
    fn data_centre_of<P: Platform>(
        &mut self,
        gateway: &Gateway<P>,
        read: &ReadRecord,
    ) -> Option<DataCentreName> {
        match gateway.platform.evacuated_data_centre(&read.record.key)? {
            Ok(name) => Some(name),
            Err(finding) => {
                if self.last_nameless.replace(read.offset) != Some(read.offset) {
                    metrics::counter!("toucan_unreadable_evacuations_total").increment(1);
                    log::error!(target: "configuration", offset = read.offset.0, finding:% = finding; "the evacuation has no effect");
                }
                None
            }
        }
    }
}

fn begin<P: Platform>(gateway: &Gateway<P>, name: &DataCentreName, offset: Offset) {
    let now_ms = gateway.now_ms();
    let state = &mut *gateway.state.borrow_mut();
    if !state.evacuations.begin(name.clone(), now_ms) {
        return;
    }
    let targets = state.targets.iter();
    let affected: Vec<u32> = targets
        .filter(|target| target.entry.data_centre == *name)
        .map(|target| target.own.in_flight)
        .collect();
    gauge(name).set(1.0);
    log::info!(
        target: "configuration",
        data_centre = name.as_str(),
        offset = offset.0,
        targets = affected.len(),
        in_flight = affected.iter().sum::<u32>();
        "the data centre is evacuated, its targets get no more calls"
    );
}

fn report_end<P: Platform>(gateway: &Gateway<P>, name: &DataCentreName, since_ms: u64) {
    gauge(name).set(0.0);
    log::info!(
        target: "configuration",
        data_centre = name.as_str(),
        lasted_ms = gateway.now_ms().saturating_sub(since_ms);
        "the evacuation of the data centre is over"
    );
}

fn gauge(data_centre: &DataCentreName) -> metrics::Gauge {
    metrics::gauge!("toucan_evacuated_data_centre", "data_centre" => data_centre.to_string())
}

impl<P: Platform> Gateway<P> {
    /// Warns when all targets have come to be in evacuated data centres, so that all calls are refused.
    pub(crate) fn report_if_all_evacuated(&self) {
        let state = &mut *self.state.borrow_mut();
        let all_evacuated = state.are_all_targets_evacuated();
        if std::mem::replace(&mut state.all_evacuated, all_evacuated) == all_evacuated {
            return;
        }
        if all_evacuated {
            log::warn!(target: "configuration", targets = state.targets.iter().count(); "the data centres of all targets are evacuated, all calls are refused");
        } else {
            log::info!(target: "configuration", "there are targets outside evacuated data centres again");
        }
    }
}
