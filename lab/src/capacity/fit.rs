//! A straight line by least squares, with what it leaves unexplained. Owns no state.

/// A line `intercept + slope * x` through measured points.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// The value at a size of zero.
    pub intercept: f64,
    /// What one more of the size adds.
    pub slope: f64,
    /// The standard error of the slope, from the residuals.
    pub slope_error: f64,
    /// The root mean square of the residuals, over the points less the two that a line takes.
    pub residual: f64,
    /// The largest residual, without its sign.
    pub residual_most: f64,
}

/// Why no line was put through the points.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FitError {
    /// A line through two points or fewer has no residuals.
    TooFewPoints,
    /// All points have one size.
    OneSize,
    /// A point is not a finite number.
    NotFinite,
}

impl std::fmt::Display for FitError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            FitError::TooFewPoints => "fewer than three points",
            FitError::OneSize => "all points have one size",
            FitError::NotFinite => "a point is no finite number",
        })
    }
}

impl std::error::Error for FitError {}

/// The least points that leave a residual.
const POINTS_LEAST: usize = 3;
/// What the two parameters of a line take from the points' freedom.
const PARAMETERS: f64 = 2.0;

/// Puts a line through points of size and value.
pub fn fit(points: &[(f64, f64)]) -> Result<Fit, FitError> {
    if points.len() < POINTS_LEAST {
        return Err(FitError::TooFewPoints);
    }
    if points.iter().any(|(x, y)| !x.is_finite() || !y.is_finite()) {
        return Err(FitError::NotFinite);
    }
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    if spread <= 0.0 {
        return Err(FitError::OneSize);
    }
    let together: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let slope = together / spread;
    let intercept = mean_y - slope * mean_x;
    let residuals = points.iter().map(|(x, y)| y - (intercept + slope * x));
    let squares: f64 = residuals.clone().map(|r| r * r).sum();
    let variance = squares / (count - PARAMETERS);
    Ok(Fit {
        intercept,
        slope,
        slope_error: (variance / spread).sqrt(),
        residual: variance.sqrt(),
        residual_most: residuals.map(f64::abs).fold(0.0, f64::max),
    })
}

impl Fit {
    /// The value of the line at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}
