//! A straight line through points.

/// A fitted line.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Line {
    /// Rise for each step of one.
    pub slope: f64,
    /// Height at zero.
    pub base: f64,
    /// Largest distance of a point from the line, as a share of the largest
    /// height.
    pub residual: f64,
}

/// Fits a line by least squares.
///
/// # Example
///
/// ```
/// let line = cyclamengauge_load::slopes::fit(&[(1.0, 3.0), (2.0, 5.0), (4.0, 9.0)]);
/// assert!((line.slope - 2.0).abs() < 1e-9);
/// assert!((line.base - 1.0).abs() < 1e-9);
/// ```
pub fn fit(points: &[(f64, f64)]) -> Line {
    let count = points.len() as f64;
    if points.is_empty() {
        return Line::default();
    }
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let joint: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let slope = if spread > 0.0 { joint / spread } else { 0.0 };
    let base = mean_y - slope * mean_x;
    let largest = points
        .iter()
        .map(|(_, y)| y.abs())
        .fold(f64::MIN_POSITIVE, f64::max);
    let distance = |(x, y): &(f64, f64)| (y - base - slope * x).abs();
    let residual = points.iter().map(distance).fold(0.0, f64::max) / largest;
    Line {
        slope,
        base,
        residual,
    }
}
