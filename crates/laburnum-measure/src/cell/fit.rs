//! Lines through points by least squares.

/// A line.
#[derive(Clone, Copy, Debug)]
pub(super) struct Line {
    /// The value at zero.
    pub(super) base: f64,
    /// The growth of the value per unit.
    pub(super) slope: f64,
}

/// Fits a line through points with at least two different `x`.
pub(super) fn line(points: &[(f64, f64)]) -> Line {
    let count = points.len() as f64;
    let x_mean = points.iter().map(|point| point.0).sum::<f64>() / count;
    let y_mean = points.iter().map(|point| point.1).sum::<f64>() / count;
    let spread: f64 = points.iter().map(|point| (point.0 - x_mean).powi(2)).sum();
    let joint: f64 = points
        .iter()
        .map(|point| (point.0 - x_mean) * (point.1 - y_mean))
        .sum();
    let slope = joint / spread;
    Line {
        base: y_mean - slope * x_mean,
        slope,
    }
}
