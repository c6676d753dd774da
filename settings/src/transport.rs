//! The settings that an adapter itself needs, and the decoding of hosts' load reports.

use std::collections::BTreeMap;

use kestreltide::interface::{LoadReport, OperationId};

/// One value of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LoadField {
    InFlight,
    Queued,
    Busy,
    ServiceTimeMillis,
    /// A value that hosts send and that is ignored.
    Ignored,
}

impl LoadField {
    /// Parses a list of names that are separated by commas, and keeps their order.
    pub(crate) fn parse_list(names: &str) -> Vec<Self> {
        let names = names.split(',').filter(|name| !name.is_empty());
        names.map(LoadField::from_name).collect()
    }

    fn from_name(name: &str) -> Self {
        match name {
            "rif" | "inflight" => LoadField::InFlight,
            "q" | "queue" => LoadField::Queued,
            "busy" | "util" => LoadField::Busy,
            "lat_ms" | "latency_ms" => LoadField::ServiceTimeMillis,
            _ => LoadField::Ignored,
        }
    }

    fn set(self, report: &mut LoadReport, value: f64) {
        match self {
            LoadField::InFlight => report.in_flight = Some(value),
            LoadField::Queued => report.queued = Some(value),
            LoadField::Busy => report.busy = Some(value),
            LoadField::ServiceTimeMillis => report.service_time = Some(value / 1e3),
            LoadField::Ignored => {}
        }
    }
}

/// Which responses of hosts include a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReporting {
    /// No responses.
    Off,
    /// Responses to health checks.
    OnProbe,
    /// Responses to requests and to health checks.
    Inline,
}

/// The settings that an adapter itself needs. Times are in seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct TransportSettings {
    /// The operations, by their names on the wire.
    pub operations: BTreeMap<String, OperationId>,
    pub(crate) load_fields: Vec<LoadField>,
    /// Which responses of hosts include a load report.
    pub load_reporting: LoadReporting,
    /// The time after which an attempt to connect counts as failed.
    pub connect_timeout: f64,
    /// The time after which hosts have closed an idle connection.
    pub idle_timeout: f64,
    /// The largest number of connections to hosts that a router may use at once, which also limits its requests in
    /// flight.
    pub max_open_connections: usize,
}

impl TransportSettings {
    /// Builds a report from values in the order of the load fields in the settings.
    pub fn load_from_values(&self, values: &[f64]) -> LoadReport {
        let mut report = LoadReport::default();
        for (field, value) in self.load_fields.iter().zip(values) {
            field.set(&mut report, *value);
        }
        report
    }

    /// Parses a report of `name=value` pairs that are separated by commas. Malformed pairs are skipped.
    pub fn load_from_pairs(text: &str) -> LoadReport {
        let mut report = LoadReport::default();
        let pairs = text
            .split(',')
            .filter_map(|part| part.trim().split_once('='));
        for (name, value) in pairs {
            // The parser accepts words such as "inf" as numbers, but no load is infinite.
            let value = value
                .parse()
                .ok()
                .filter(|value: &f64| value.is_finite() && *value >= 0.0);
            if let Some(value) = value {
                LoadField::from_name(name).set(&mut report, value);
            }
        }
        report
    }
}
