//! Measured relation with its linear fit.

use serde::{Deserialize, Serialize};

/// Measured relation with its least-squares line.
///
/// ```
/// use toucan_bench::Slope;
///
/// let points = vec![(1.0, 12.0), (2.0, 14.0), (3.0, 16.0), (4.0, 18.0)];
/// let slope = Slope::fit("demo", "a line", "budgets", "bytes", points);
/// assert_eq!((slope.intercept, slope.slope), (10.0, 2.0));
/// assert!(slope.r_squared > 0.999);
/// ```
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Slope {
    /// Name, also of the files.
    pub name: String,
    /// What was measured.
    pub about: String,
    /// Quantity that was varied.
    pub x: String,
    /// Quantity that was measured, with its unit.
    pub y: String,
    /// Measured pairs of x and y.
    pub points: Vec<(f64, f64)>,
    /// Value of the line at 0.
    pub intercept: f64,
    /// Growth of the line per unit of x.
    pub slope: f64,
    /// Standard error of the slope.
    pub slope_error: f64,
    /// Fraction of the variance that the line explains.
    pub r_squared: f64,
}

impl Slope {
    /// Fits a line through at least two points by least squares.
    #[must_use]
    pub fn fit(name: &str, about: &str, x: &str, y: &str, points: Vec<(f64, f64)>) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
        let sum_xx: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
        let sum_yy: f64 = points.iter().map(|point| (point.1 - mean_y).powi(2)).sum();
        let products = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y));
        let slope = products.sum::<f64>() / sum_xx;
        let intercept = mean_y - slope * mean_x;
        let residuals = points.iter().map(|(x, y)| y - intercept - slope * x);
        let sum_residuals: f64 = residuals.map(|residual| residual.powi(2)).sum();
        let degrees = (count - 2.0).max(1.0);
        Self {
            name: name.to_owned(),
            about: about.to_owned(),
            x: x.to_owned(),
            y: y.to_owned(),
            points,
            intercept: round_to_four_digits(intercept),
            slope: round_to_four_digits(slope),
            slope_error: round_to_four_digits((sum_residuals / degrees / sum_xx).sqrt()),
            r_squared: round_to_four_digits(1.0 - sum_residuals / sum_yy),
        }
    }

    /// Returns the value of the line at `x`.
    #[must_use]
    pub fn value_at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}

/// Rounds to four significant digits.
fn round_to_four_digits(value: f64) -> f64 {
    format!("{value:.3e}").parse().unwrap_or(value)
}
