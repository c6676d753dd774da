//! Tests of the datastore: no change is applied in part, applied wrongly or lost.

mod commits;
mod discovery;
mod drains;
mod guards;
mod history;
mod maximums;
mod rollout;
mod routes;
mod slow_start;
mod support;
mod values;
