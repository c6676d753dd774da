//! What an adapter itself needs of the settings, and load reports in their form.

use std::collections::BTreeMap;

use kestreltide::interface::{LoadReport, OperationId};

/// A figure of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LoadField {
    InFlight,
    Queued,
    Busy,
    ServiceMillis,
    /// Sent by hosts and not used here.
    Other,
}

impl LoadField {
    /// The fields of a list of names, joined by commas, in their order.
    pub(crate) fn list(names: &str) -> Vec<Self> {
        let names = names.split(',').filter(|name| !name.is_empty());
        names.map(LoadField::from_name).collect()
    }

    fn from_name(name: &str) -> Self {
        match name {
            "rif" | "inflight" => LoadField::InFlight,
            "q" | "queue" => LoadField::Queued,
            "busy" | "util" => LoadField::Busy,
            "lat_ms" | "latency_ms" => LoadField::ServiceMillis,
            _ => LoadField::Other,
        }
    }

    fn set(self, report: &mut LoadReport, value: f64) {
        match self {
            LoadField::InFlight => report.in_flight = Some(value),
            LoadField::Queued => report.queued = Some(value),
            LoadField::Busy => report.busy = Some(value),
            LoadField::ServiceMillis => report.service_time = Some(value / 1e3),
            LoadField::Other => {}
        }
    }
}

/// Where hosts report their load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReporting {
    /// Nowhere.
    Off,
    /// In responses to health checks.
    OnProbe,
    /// In responses to requests and to health checks.
    Inline,
}

/// What an adapter itself needs of the settings. Times in seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct TransportSettings {
    /// The operations by their names on the wire.
    pub operations: BTreeMap<String, OperationId>,
    pub(crate) load_fields: Vec<LoadField>,
    /// Where hosts report their load.
    pub load_reporting: LoadReporting,
    /// A connection that is not established after this time counts as failed.
    pub connect_timeout: f64,
    /// Hosts close an idle connection after this time at the latest.
    pub idle_timeout: f64,
    /// Connections to hosts that a router may have in use at once, and so its requests in flight.
    pub max_open_connections: usize,
}

impl TransportSettings {
    /// A report whose values come in the order that the settings name.
    pub fn load_from_values(&self, values: &[f64]) -> LoadReport {
        let mut report = LoadReport::default();
        for (field, value) in self.load_fields.iter().zip(values) {
            field.set(&mut report, *value);
        }
        report
    }

    /// A report of `name=value` pairs, joined by commas; a pair that cannot be read is left out.
    pub fn load_from_pairs(text: &str) -> LoadReport {
        let mut report = LoadReport::default();
        let pairs = text
            .split(',')
            .filter_map(|part| part.trim().split_once('='));
        for (name, value) in pairs {
            // The parser reads words such as "inf" as numbers, but no load is infinite.
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
