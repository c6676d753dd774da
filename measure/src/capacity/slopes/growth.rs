//! How one cost of a role grows with one size: the points measured, the line through them, what the line comes to at
//! the full size, and what is allowed there.

use std::thread;

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
    pub(super) const ALL: [Role; 5] = [
        Role::Router,
        Role::Discovery,
        Role::Platform,
        Role::Operators,
        Role::Host,
    ];

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
    Peers,
    Routers,
    Routes,
    Connections,
    OpenRequests,
    Revisions,
    Tenants,
}

/// Client connections and open requests of one router at the full size: a figure of our own, as the operators name
/// none; some fourteen connections, or as many seconds of a request, for each request a second.
const BUSY_ROUTER: f64 = 1000.0;
/// Revisions that are kept where nothing else is set.
const REVISIONS: f64 = 1000.0;

impl By {
    pub(super) fn name(self) -> &'static str {
        match self {
            By::Hosts => "hosts",
            By::Peers => "peers",
            By::Routers => "routers",
            By::Routes => "routes",
            By::Connections => "client connections",
            By::OpenRequests => "open requests",
            By::Revisions => "revisions kept",
            By::Tenants => "tenants",
        }
    }

    pub(super) fn full(self) -> f64 {
        match self {
            By::Hosts => plan::HOSTS,
            By::Peers | By::Routers => plan::ROUTERS,
            By::Routes => plan::ROUTES,
            By::Connections | By::OpenRequests => BUSY_ROUTER,
            By::Revisions => REVISIONS,
            By::Tenants => plan::TENANTS,
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

/// Errors of a slope that it has to be above to count as a growth.
const FLAT: f64 = 3.0;

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
    /// The slope is less than three times its error: no growth is shown, and the mean stands for the line.
    pub(super) is_flat: bool,
    /// By which power of the size the cost grew between the two largest sizes: 1 on a line through zero, 2 where it
    /// grows by the square; none where it does not grow.
    pub(super) power: Option<f64>,
    pub(super) value: f64,
    pub(super) error: f64,
    /// What it comes to over what is allowed.
    pub(super) ratio: Option<f64>,
    /// The full size over the largest that was measured.
    pub(super) beyond: f64,
}

impl Growth {
    pub(super) fn at_full(&self) -> Result<AtFull, FitError> {
        let single = |point: &Point| {
            point
                .values
                .iter()
                .map(|value| (point.size, *value))
                .collect::<Vec<_>>()
        };
        let points: Vec<_> = self.points.iter().flat_map(single).collect();
        let line = Line::fit(&points)?;
        let is_flat = line.slope.abs() <= FLAT * line.slope_error;
        let (value, error) = if is_flat {
            spread(&points)
        } else {
            line.at(self.by.full())
        };
        let largest = self
            .points
            .iter()
            .map(|point| point.size)
            .fold(0.0, f64::max);
        let (ratio, beyond) = (
            self.allowed.map(|allowed| value / allowed),
            self.by.full() / largest,
        );
        Ok(AtFull {
            line,
            is_flat,
            power: self.power().filter(|power| !is_flat && power.is_finite()),
            value,
            error,
            ratio,
            beyond,
        })
    }

    fn power(&self) -> Option<f64> {
        let [.., before, last] = &self.points[..] else {
            return None;
        };
        Some((last.mean() / before.mean()).ln() / (last.size / before.size).ln())
    }

    /// The sizes with the means of what was measured at each.
    pub(super) fn measured(&self) -> String {
        let one = |point: &Point| format!("{}:{}", short(point.size), short(point.mean()));
        self.points.iter().map(one).collect::<Vec<_>>().join(" ")
    }
}

/// A figure that is read of what was measured at a size.
pub(super) struct Figure<T> {
    role: Role,
    cost: &'static str,
    read: fn(&T) -> f64,
    allowed: Option<f64>,
}

impl<T> Figure<T> {
    /// Who bears it, its name with its unit, where it is read, and what is allowed at the full size.
    pub(super) const fn new(
        role: Role,
        cost: &'static str,
        read: fn(&T) -> f64,
        allowed: Option<f64>,
    ) -> Self {
        Figure {
            role,
            cost,
            read,
            allowed,
        }
    }
}

/// A size, and what was measured there each time.
pub(super) type AtSize<T> = (f64, Vec<T>);

/// The growths of all figures by one size.
pub(super) fn growths<T>(by: By, measured: &[AtSize<T>], figures: &[Figure<T>]) -> Vec<Growth> {
    let growth = |figure: &Figure<T>| {
        let point = |(size, values): &AtSize<T>| {
            Point::new(*size, values.iter().map(figure.read).collect())
        };
        let points = measured.iter().map(point).collect();
        Growth {
            role: figure.role,
            cost: figure.cost.to_owned(),
            by,
            points,
            allowed: figure.allowed,
        }
    };
    figures.iter().map(growth).collect()
}

/// Measures all sizes at once, each in a thread of its own, and that so many times.
pub(super) fn at_all_sizes<T: Send>(
    sizes: &[usize],
    times: usize,
    measure: impl Fn(usize) -> T + Sync,
) -> Vec<AtSize<T>> {
    let mut measured: Vec<AtSize<T>> = sizes.iter().map(|size| (*size as f64, vec![])).collect();
    for _ in 0..times {
        thread::scope(|scope| {
            let threads: Vec<_> = sizes
                .iter()
                .map(|size| scope.spawn(|| measure(*size)))
                .collect();
            for (thread, (_, values)) in threads.into_iter().zip(&mut measured) {
                values.push(
                    thread
                        .join()
                        .unwrap_or_else(|panic| std::panic::resume_unwind(panic)),
                );
            }
        });
    }
    measured
}

/// The mean of the values, and their standard deviation.
fn spread(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let mean = points.iter().map(|point| point.1).sum::<f64>() / count;
    let squares: f64 = points.iter().map(|point| (point.1 - mean).powi(2)).sum();
    (mean, (squares / (count - 1.0)).sqrt())
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
