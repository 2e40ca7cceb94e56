//! Fair shares of organisations while targets are behind.

use toucan_types::{FastHashMap, OrganisationName};

use super::OrganisationWork;

/// Time over which work counts; older work counts less.
const WINDOW_MS: f64 = 4_000.0;
/// Multiple of its share from which an organisation asks for much more than its share.
const EXCESS_FACTOR: f64 = 1.4;
/// Part of the recently admitted work that counts as the capacity. While targets fall behind, more is admitted
/// than they process.
const CAPACITY_FRACTION: f64 = 0.9;
/// Age above which the report of another gateway is ignored.
const MAX_REPORT_AGE_MS: u64 = 5_000;
/// Number of organisations that are reported to other gateways, those with the most work first.
const MAX_REPORTED: usize = 64;
/// Work below which an organisation is forgotten.
const MIN_TOKENS: f64 = 1.0;

/// Tokens of work that an organisation asked for and got.
#[derive(Clone, Copy, Debug, Default)]
struct Work {
    offered_tokens: f64,
    admitted_tokens: f64,
}

/// Work that another gateway reported.
#[derive(Clone, Debug)]
struct Report {
    received_at_ms: u64,
    work: Vec<OrganisationWork>,
}

impl Report {
    fn is_recent(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.received_at_ms) <= MAX_REPORT_AGE_MS
    }
}

/// Work of all organisations, here and at other gateways.
///
/// All organisations have the same weight. What some do not use is for the others.
#[derive(Clone, Debug, Default)]
pub struct FairShares {
    local: FastHashMap<OrganisationName, Work>,
    updated_at_ms: u64,
    /// Last report of each other gateway, by the random identifier of its process's start.
    reports: FastHashMap<u64, Report>,
}

impl FairShares {
    /// Records a call that an organisation makes, whether it is admitted or not.
    pub fn record_offered(&mut self, organisation: &OrganisationName, tokens: u64, now_ms: u64) {
        self.decay(now_ms);
        let work = self.local.entry(organisation.clone()).or_default();
        work.offered_tokens += tokens as f64;
    }

    /// Records that the call was admitted.
    pub fn record_admitted(&mut self, organisation: &OrganisationName, tokens: u64, now_ms: u64) {
        self.decay(now_ms);
        let work = self.local.entry(organisation.clone()).or_default();
        work.admitted_tokens += tokens as f64;
    }

    /// Applies the report of another gateway, by the random identifier of its process's start.
    pub fn apply_report(&mut self, gateway: u64, work: Vec<OrganisationWork>, now_ms: u64) {
        self.reports
            .retain(|_gateway, report| report.is_recent(now_ms));
        let report = Report {
            received_at_ms: now_ms,
            work,
        };
        self.reports.insert(gateway, report);
    }

    /// Returns the work at this gateway for a report to the others.
    #[must_use]
    pub fn report(&mut self, now_ms: u64) -> Vec<OrganisationWork> {
        self.decay(now_ms);
        let mut report: Vec<OrganisationWork> = self
            .local
            .iter()
            .map(|(organisation, work)| OrganisationWork {
                organisation: organisation.clone(),
                offered_tokens: work.offered_tokens as u64,
                admitted_tokens: work.admitted_tokens as u64,
            })
            .collect();
        report.sort_by_key(|work| std::cmp::Reverse(work.offered_tokens));
        report.truncate(MAX_REPORTED);
        report
    }

    /// Returns whether an organisation asks for much more than its share and has got its share.
    ///
    /// The capacity is estimated from what was admitted recently, so the answer is of use only while targets are
    /// behind.
    #[must_use]
    pub fn exceeds_share(&mut self, organisation: &OrganisationName, now_ms: u64) -> bool {
        self.decay(now_ms);
        let totals = self.totals(now_ms);
        let Some(own) = totals.get(organisation) else {
            return false;
        };
        let share = fair_share(totals.values());
        own.offered_tokens > share * EXCESS_FACTOR && own.admitted_tokens >= share
    }

    fn totals(&self, now_ms: u64) -> FastHashMap<&OrganisationName, Work> {
        let mut totals: FastHashMap<&OrganisationName, Work> = FastHashMap::default();
        for (organisation, work) in &self.local {
            totals.insert(organisation, *work);
        }
        let reports = self.reports.values();
        let recent = reports.filter(|report| report.is_recent(now_ms));
        for work in recent.flat_map(|report| &report.work) {
            let total = totals.entry(&work.organisation).or_default();
            total.offered_tokens += work.offered_tokens as f64;
            total.admitted_tokens += work.admitted_tokens as f64;
        }
        totals
    }

    fn decay(&mut self, now_ms: u64) {
        let age_ms = now_ms.saturating_sub(self.updated_at_ms) as f64;
        if age_ms == 0.0 {
            return;
        }
        self.updated_at_ms = now_ms;
        let factor = (-age_ms / WINDOW_MS).exp();
        self.local.retain(|_organisation, work| {
            work.offered_tokens *= factor;
            work.admitted_tokens *= factor;
            work.offered_tokens >= MIN_TOKENS
        });
    }
}

/// Returns the work up to which each organisation gets what it asks for, if all together get the capacity.
fn fair_share<'a>(totals: impl Iterator<Item = &'a Work>) -> f64 {
    let mut capacity_left = 0.0;
    let mut offered: Vec<f64> = Vec::new();
    for work in totals {
        capacity_left += work.admitted_tokens * CAPACITY_FRACTION;
        offered.push(work.offered_tokens);
    }
    offered.sort_by(f64::total_cmp);
    let mut organisations_left = offered.len();
    for tokens in offered {
        let share = capacity_left / organisations_left as f64;
        if tokens > share {
            return share;
        }
        capacity_left -= tokens;
        organisations_left -= 1;
    }
    f64::INFINITY
}
