//! A straight line through measured points by ordinary least squares, with its standard errors.

use std::fmt;

/// `value = intercept + slope * size`, and how well the points are on it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Line {
    pub(super) intercept: f64,
    pub(super) slope: f64,
    /// Standard errors of both.
    pub(super) intercept_error: f64,
    pub(super) slope_error: f64,
    /// Share of the values' variance that the line explains; 1 where all values are the same.
    pub(super) r2: f64,
    points: f64,
    mean_size: f64,
    /// Sum of the squared distances of the sizes from their mean.
    spread: f64,
    /// Variance of the values around the line.
    residual: f64,
}

/// Why no line can be drawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FitError {
    /// Two points are a line whatever was measured: their errors are not known.
    TooFewPoints,
    /// All sizes are the same.
    OneSize,
    /// A size or value is no finite number.
    NotFinite,
}

impl fmt::Display for FitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            FitError::TooFewPoints => "fewer than three points",
            FitError::OneSize => "all sizes are the same",
            FitError::NotFinite => "a value is not finite",
        })
    }
}

impl Line {
    /// Fits points of a size and a value each.
    pub(super) fn fit(points: &[(f64, f64)]) -> Result<Self, FitError> {
        if points.len() < 3 {
            return Err(FitError::TooFewPoints);
        }
        if points
            .iter()
            .any(|(size, value)| !size.is_finite() || !value.is_finite())
        {
            return Err(FitError::NotFinite);
        }
        let count = points.len() as f64;
        let mean_size = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_value = points.iter().map(|point| point.1).sum::<f64>() / count;
        let spread: f64 = points
            .iter()
            .map(|point| (point.0 - mean_size).powi(2))
            .sum();
        if spread <= 0.0 {
            return Err(FitError::OneSize);
        }
        let together: f64 = points
            .iter()
            .map(|point| (point.0 - mean_size) * (point.1 - mean_value))
            .sum();
        let slope = together / spread;
        let intercept = mean_value - slope * mean_size;
        let left: f64 = points
            .iter()
            .map(|point| (point.1 - intercept - slope * point.0).powi(2))
            .sum();
        let all: f64 = points
            .iter()
            .map(|point| (point.1 - mean_value).powi(2))
            .sum();
        let residual = left / (count - 2.0);
        let r2 = if all > 0.0 { 1.0 - left / all } else { 1.0 };
        let slope_error = (residual / spread).sqrt();
        let intercept_error = (residual * (1.0 / count + mean_size.powi(2) / spread)).sqrt();
        Ok(Line {
            intercept,
            slope,
            intercept_error,
            slope_error,
            r2,
            points: count,
            mean_size,
            spread,
            residual,
        })
    }

    /// The value at a size, and the standard error of the line there.
    pub(super) fn at(&self, size: f64) -> (f64, f64) {
        let distance = (size - self.mean_size).powi(2) / self.spread;
        let error = (self.residual * (1.0 / self.points + distance)).sqrt();
        (self.intercept + self.slope * size, error)
    }
}

#[cfg(test)]
mod tests;
