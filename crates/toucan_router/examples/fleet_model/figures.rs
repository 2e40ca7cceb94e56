//! Statistics and their output format.

/// Returns a quantile of unsorted values; 0 if there are none.
pub(crate) fn quantile(values: &mut [u64], permille: usize) -> u64 {
    if values.is_empty() {
        return 0;
    }
    values.sort_unstable();
    values[(values.len() - 1) * permille / 1_000]
}

/// Formats microseconds as milliseconds with one decimal.
pub(crate) fn ms(us: u64) -> String {
    format!("{:.1}", us as f64 / 1_000.0)
}

/// Returns the ratio of the largest value to the mean.
pub(crate) fn peak_over_mean(values: &[u64]) -> f64 {
    let sum: u64 = values.iter().sum();
    let max = values.iter().copied().max().unwrap_or(0);
    max as f64 * values.len() as f64 / (sum.max(1) as f64)
}

/// Returns the coefficient of variation: standard deviation over mean.
pub(crate) fn variation(values: &[u64]) -> f64 {
    let count = values.len().max(1) as f64;
    let mean = values.iter().sum::<u64>() as f64 / count;
    let squares: f64 = values
        .iter()
        .map(|value| (*value as f64 - mean).powi(2))
        .sum();
    (squares / count).sqrt() / mean.max(1.0)
}
