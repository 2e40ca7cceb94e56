//! Probes: quantities that are measured at several sizes, each in a separate process.

use std::io;
use std::process::Command;

use super::{Slope, document_slopes, ledger_slopes, router_slopes};

/// Quantity that is measured at several sizes.
///
/// Each size is measured in a new process, because memory freed by an earlier measurement would
/// hide the growth in a later one.
pub(crate) struct Probe {
    pub(crate) name: &'static str,
    pub(crate) about: &'static str,
    pub(crate) x: &'static str,
    pub(crate) y: &'static str,
    pub(crate) sizes: &'static [u64],
    pub(crate) measure: fn(u64) -> f64,
}

fn probes() -> impl Iterator<Item = &'static Probe> {
    let ledger = ledger_slopes::PROBES.iter();
    ledger
        .chain(document_slopes::PROBES)
        .chain(router_slopes::PROBES)
}

/// Measures one quantity at one size in this process.
#[must_use]
pub fn probe(name: &str, size: u64) -> Option<f64> {
    let probe = probes().find(|probe| probe.name == name)?;
    Some((probe.measure)(size))
}

/// Measures all quantities; runs this program with `probe NAME SIZE` for each size.
pub fn measure_slopes() -> io::Result<Vec<Slope>> {
    probes().map(measure_slope).collect()
}

fn measure_slope(probe: &Probe) -> io::Result<Slope> {
    let program = std::env::current_exe()?;
    let mut points = Vec::new();
    for size in probe.sizes {
        let size_text = size.to_string();
        let arguments = ["probe", probe.name, size_text.as_str()];
        let output = Command::new(&program).args(arguments).output()?;
        let text = String::from_utf8_lossy(&output.stdout);
        let value = text.trim().parse().map_err(io::Error::other)?;
        points.push((*size as f64, value));
    }
    Ok(Slope::fit(
        probe.name,
        probe.about,
        probe.x,
        probe.y,
        points,
    ))
}
