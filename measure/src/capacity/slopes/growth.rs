//! How one cost of a role grows with one size: the points measured, the line through them, what the line comes to at
//! the full size, and what is allowed there.

use super::fit::{FitError, Line};
use super::plan;

/// Who bears a cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Role {
    Router,
    Discovery,
    Platform,
    Operators,
    Host,
}

impl Role {
    pub(super) const ALL: [Role; 5] =
        [Role::Router, Role::Discovery, Role::Platform, Role::Operators, Role::Host];

    pub(super) fn name(self) -> &'static str {
        match self {
            Role::Router => "router",
            Role::Discovery => "discovery",
            Role::Platform => "platform",
            Role::Operators => "operators' side",
            Role::Host => "host",
        }
    }
}

/// What a cost grows with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum By {
    Hosts,
}

impl By {
    pub(super) fn name(self) -> &'static str {
        match self {
            By::Hosts => "hosts",
        }
    }

    pub(super) fn full(self) -> f64 {
        match self {
            By::Hosts => plan::HOSTS,
        }
    }
}

/// A size and what was measured there, each time.
#[derive(Clone, Debug)]
pub(super) struct Point {
    pub(super) size: f64,
    pub(super) values: Vec<f64>,
}

impl Point {
    pub(super) fn new(size: f64, values: Vec<f64>) -> Self {
        Point { size, values }
    }

    fn mean(&self) -> f64 {
        self.values.iter().sum::<f64>() / self.values.len().max(1) as f64
    }
}

/// A cost by a size.
pub(super) struct Growth {
    pub(super) role: Role,
    /// With its unit.
    pub(super) cost: String,
    pub(super) by: By,
    pub(super) points: Vec<Point>,
    /// In the unit of the cost; none where the operators allow nothing for it by itself.
    pub(super) allowed: Option<f64>,
}

/// The line of a cost, and what it comes to.
pub(super) struct AtFull {
    pub(super) line: Line,
    pub(super) value: f64,
    pub(super) error: f64,
    /// What it comes to over what is allowed.
    pub(super) ratio: Option<f64>,
    /// The full size over the largest that was measured.
    pub(super) beyond: f64,
}

impl Growth {
    pub(super) fn at_full(&self) -> Result<AtFull, FitError> {
        let single =
            |point: &Point| point.values.iter().map(|value| (point.size, *value)).collect::<Vec<_>>();
        let points: Vec<_> = self.points.iter().flat_map(single).collect();
        let line = Line::fit(&points)?;
        let (value, error) = line.at(self.by.full());
        let largest = self.points.iter().map(|point| point.size).fold(0.0, f64::max);
        let (ratio, beyond) = (self.allowed.map(|allowed| value / allowed), self.by.full() / largest);
        Ok(AtFull { line, value, error, ratio, beyond })
    }

    /// The sizes with the means of what was measured at each.
    pub(super) fn measured(&self) -> String {
        let one = |point: &Point| format!("{}:{}", short(point.size), short(point.mean()));
        self.points.iter().map(one).collect::<Vec<_>>().join(" ")
    }
}

/// A figure with three significant digits.
pub(super) fn short(value: f64) -> String {
    if value == 0.0 || !value.is_finite() {
        return format!("{value}");
    }
    let digits = value.abs().log10().floor() as i32;
    match digits {
        7.. | ..-4 => format!("{value:.2e}"),
        2..7 => format!("{value:.0}"),
        _ => format!("{value:.*}", (2 - digits).max(0) as usize),
    }
}
