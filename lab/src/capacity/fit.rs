//! Linear least-squares fit with residuals. Owns no state.

/// A line `intercept + slope * x` fitted to measured points.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// Value at size zero.
    pub intercept: f64,
    /// Increase per unit of size.
    pub slope: f64,
    /// Standard error of the slope.
    pub slope_error: f64,
    /// Residual standard error, with two degrees of freedom fewer than there are points.
    pub residual: f64,
    /// Largest absolute residual.
    pub max_residual: f64,
}

/// Why no line can be fitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FitError {
    /// Fewer than three points: a line would have no residuals.
    TooFewPoints,
    /// All points have the same size.
    OneSize,
    /// A point is not a finite number.
    NotFinite,
}

impl std::fmt::Display for FitError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            FitError::TooFewPoints => "fewer than three points",
            FitError::OneSize => "all points have the same size",
            FitError::NotFinite => "a point is not finite",
        })
    }
}

impl std::error::Error for FitError {}

/// Minimum number of points that leaves a residual.
const MIN_POINTS: usize = 3;
/// Degrees of freedom used by the two parameters of a line.
const PARAMETERS: f64 = 2.0;

/// Fits a line to points of size and value.
pub fn fit(points: &[(f64, f64)]) -> Result<Fit, FitError> {
    if points.len() < MIN_POINTS {
        return Err(FitError::TooFewPoints);
    }
    if points.iter().any(|(x, y)| !x.is_finite() || !y.is_finite()) {
        return Err(FitError::NotFinite);
    }
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let variation_x: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    if variation_x <= 0.0 {
        return Err(FitError::OneSize);
    }
    let covariation: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let slope = covariation / variation_x;
    let intercept = mean_y - slope * mean_x;
    let residuals = points.iter().map(|(x, y)| y - (intercept + slope * x));
    let squares: f64 = residuals.clone().map(|r| r * r).sum();
    let variance = squares / (count - PARAMETERS);
    Ok(Fit {
        intercept,
        slope,
        slope_error: (variance / variation_x).sqrt(),
        residual: variance.sqrt(),
        max_residual: residuals.map(f64::abs).fold(0.0, f64::max),
    })
}

impl Fit {
    /// Returns the value of the line at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}
