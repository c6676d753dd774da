//! The checks of a candidate against the terms and the rules. Each looks at the whole and names all that it
//! finds; none changes anything.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use kestreltide::interface::*;
use kestreltide::operator_weights::{self, EffectiveWeight};

use crate::merge::{HostRecord, merge};
use crate::snapshot::build_routes;
use crate::tree::{AdminState, Difference, HostName, Leaf, Path, RouteConfig, Tree, Value};
use crate::validation::{MAX_KEPT_ERRORS, Rule, ValidationError, ValidationErrors};

/// What a router keeps at most.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Maximums {
    pub hosts: usize,
    pub routes: usize,
    /// Names of operations, zones, kinds and hosts in all routes together.
    pub route_names: usize,
    pub memory: MemorySettings,
}

/// The memory that there is for all of these, and what each of them takes of it, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemorySettings {
    pub maximum: usize,
    /// A host that counts, whoever lists it, and what operators say of one beside that.
    pub per_host: usize,
    pub per_configured_host: usize,
    pub per_route: usize,
    pub per_route_name: usize,
}

impl Default for Maximums {
    fn default() -> Self {
        let memory = MemorySettings {
            maximum: usize::MAX,
            ..MemorySettings::default()
        };
        Maximums {
            hosts: 16 * 1024,
            routes: 16 * 1024,
            route_names: 64 * 1024,
            memory,
        }
    }
}

/// Seconds that a start may lie ahead: clocks of machines differ a little.
const CLOCK_SPAN: f64 = 1.0;
/// Seconds after which a candidate that waits for news is looked at again.
const LOOK_AGAIN: f64 = 0.2;
/// Times its share before: less is rounding.
const GREW: f64 = 1.0001;

/// What of the terms the checks go by.
#[derive(Clone, Debug, PartialEq)]
pub struct RuleSettings {
    /// Names of the service's operations.
    pub operations: Vec<String>,
    pub routers: u32,
    pub slow_start_initial_fraction: f64,
    pub slow_start_duration: f64,
    pub overload_multiple: f64,
    pub maximums: Maximums,
}

impl RuleSettings {
    pub fn new(terms: &ServiceSettings, operations: Vec<String>, most: Maximums) -> Self {
        RuleSettings {
            maximums: most,
            operations,
            routers: terms.routers.max(1),
            slow_start_initial_fraction: terms.slow_start_initial_fraction,
            slow_start_duration: terms.slow_start_duration,
            overload_multiple: terms.overload_multiple,
        }
    }
}

impl RuleSettings {
    /// The part of its work that a host can do so long after its start.
    pub fn warm_up_fraction(&self, started: Option<f64>, now: f64) -> f64 {
        let age = started.map_or(f64::INFINITY, |started| (now - started).max(0.0));
        let part = if self.slow_start_duration > 0.0 {
            (age / self.slow_start_duration).min(1.0)
        } else {
            1.0
        };
        self.slow_start_initial_fraction + (1.0 - self.slow_start_initial_fraction) * part
    }
}

/// What the router knows that operators do not set.
#[derive(Clone, Debug, Default)]
pub struct Facts {
    pub now: f64,
    /// What discovery lists; `None` where it is not asked.
    pub discovery: Option<Arc<[HostRecord]>>,
    /// Discovery has told its list, or is not asked.
    pub discovery_received: bool,
    pub rollout: Option<RolloutStatus>,
}

/// Processes that operators have drained, by name: when each had started, or was drained where nobody knows.
pub type DrainedHosts = BTreeMap<HostName, f64>;
/// Since when hosts are listed whose start nobody tells.
pub type FirstListed = BTreeMap<HostName, f64>;

/// Everything a check may look at.
pub struct Context<'a> {
    pub terms: &'a RuleSettings,
    pub facts: &'a Facts,
    pub old: &'a Tree,
    pub new: &'a Tree,
    pub drained: &'a DrainedHosts,
    /// All hosts as they count, before and after, in the order of names.
    was: BTreeMap<Arc<str>, HostRecord>,
    is: BTreeMap<Arc<str>, HostRecord>,
    changes: &'a [Difference],
}

/// All hosts as they count under a tree.
pub fn merged(tree: &Tree, seen: &FirstListed, facts: &Facts) -> BTreeMap<Arc<str>, HostRecord> {
    let listed = facts.discovery.as_deref().unwrap_or_default();
    let mut all = BTreeMap::new();
    for told in listed {
        let name: Result<HostName, _> = told.name.parse();
        let set = name.as_ref().ok().and_then(|name| tree.hosts.get(name));
        let host = match (name, set) {
            (Ok(name), Some(set)) => merge(&name, Some(told), Some(set), None),
            _ => Some(told.clone()),
        };
        all.extend(host.map(|host| (told.name.clone(), host)));
    }
    for (name, set) in &tree.hosts {
        if !all.contains_key(name.as_str()) {
            let host = merge(name, None, Some(set), seen.get(name).copied());
            all.extend(host.map(|host| (name.shared(), host)));
        }
    }
    all
}

impl<'a> Context<'a> {
    pub fn new(
        terms: &'a RuleSettings,
        facts: &'a Facts,
        (old, old_seen): (&'a Tree, &FirstListed),
        (new, new_seen): (&'a Tree, &FirstListed),
        drained: &'a DrainedHosts,
        changes: &'a [Difference],
    ) -> Self {
        let (was, is) = (merged(old, old_seen, facts), merged(new, new_seen, facts));
        Context {
            terms,
            facts,
            old,
            new,
            drained,
            was,
            is,
            changes,
        }
    }

    /// The released build: the newest that is no trial any more, or every listed one before any news.
    fn released(&self, hosts: &BTreeMap<Arc<str>, HostRecord>) -> Vec<BuildId> {
        let builds: BTreeSet<_> = hosts.values().map(|host| host.build).collect();
        let earlier = |news: &RolloutStatus| builds.range(..news.build).next_back().copied();
        match &self.facts.rollout {
            Some(news) if news.phase == Phase::Released => vec![news.build],
            Some(news) => earlier(news).into_iter().collect(),
            None => builds.into_iter().collect(),
        }
    }

    /// Nothing but less: hosts taken out, drained or no longer listed.
    fn only_narrows(&self) -> bool {
        let out = |state: &Option<Value>| matches!(state, Some(Value::State(state)) if *state != AdminState::InService);
        self.changes.iter().all(|change| match &change.path {
            Path::Host(name, _) if !self.new.hosts.contains_key(name) => true,
            Path::Host(_, Leaf::State) => out(&change.new),
            _ => false,
        })
    }

    fn weighed(
        &self,
        tree: &Tree,
        hosts: &BTreeMap<Arc<str>, HostRecord>,
    ) -> (Vec<Arc<str>>, Vec<EffectiveWeight>) {
        let serving = hosts.iter().filter(|(_, host)| host.is_in_service());
        let weight = |name: &Arc<str>| {
            let name: Option<HostName> = name.parse().ok();
            name.and_then(|name| tree.hosts.get(&name)?.weight)
                .unwrap_or(1.0)
        };
        let weighed = serving.map(|(name, host)| {
            let warmth = self.terms.warm_up_fraction(host.started, self.facts.now);
            (
                name.clone(),
                EffectiveWeight {
                    size: host.size,
                    weight: weight(name),
                    warm_up_fraction: warmth,
                },
            )
        });
        weighed.unzip()
    }
}

type Check = fn(&Context, &mut ValidationErrors);

/// Every check, in the order in which their faults are shown.
const CHECKS: [Check; 13] = [
    entries_whole,
    room_kept,
    addresses_apart,
    starts_behind,
    drained_stay_out,
    builds_wanted,
    places_left,
    removal_small,
    cold_hosts_carried,
    routes_known,
    routes_apart,
    pools_served,
    ring_known,
];

/// All faults of a candidate.
pub fn check(context: &Context) -> ValidationErrors {
    let mut errors = ValidationErrors::default();
    if context.facts.discovery.is_some() && !context.facts.discovery_received {
        let error = ValidationError::new(
            "hosts",
            "discovery has not told its list yet",
            "nothing",
            "a list",
        );
        errors.push(error.with_retry_at(context.facts.now + LOOK_AGAIN));
        return errors;
    }
    CHECKS.iter().for_each(|check| check(context, &mut errors));
    errors
}

/// An entry of its own has all that an entry needs; what is no entry speaks of a host that is listed.
fn entries_whole(context: &Context, errors: &mut ValidationErrors) {
    let needed = [Leaf::Endpoint, Leaf::Zone, Leaf::Kind, Leaf::Build];
    let missing = context
        .new
        .hosts
        .iter()
        .filter(|(name, _)| !context.is.contains_key(name.as_str()));
    for (name, set) in missing {
        if needed.iter().all(|leaf| set.get(*leaf).is_none()) {
            let what = "no such host is listed, by discovery or here";
            let error = ValidationError::new(
                format!("hosts/{name}"),
                what,
                "no entry",
                "endpoint, zone, kind and build",
            );
            errors.push(match context.facts.discovery {
                // It may be listed yet.
                Some(_) => error.with_retry_at(context.facts.now + LOOK_AGAIN),
                None => error,
            });
        } else {
            for leaf in needed.iter().filter(|leaf| set.get(**leaf).is_none()) {
                let path = Path::Host(name.clone(), *leaf);
                errors.push(ValidationError::new(
                    path,
                    "is missing in an entry",
                    "nothing",
                    leaf.expected_format(),
                ));
            }
        }
    }
}

/// What a tree has more of than a router keeps, where so many hosts are listed by it and by discovery together.
pub fn exceeded_maximums(tree: &Tree, listed: usize, most: &Maximums) -> ValidationErrors {
    let names = |route: &RouteConfig| {
        let sets = [&route.operations, &route.zones, &route.kinds, &route.hosts];
        sets.into_iter().flatten().map(BTreeSet::len).sum::<usize>()
    };
    let (hosts, routes) = (listed.max(tree.hosts.len()), tree.routes.len());
    let names = tree.routes.values().map(names).sum();
    let counts = [
        ("hosts", "are more than a router keeps", hosts, most.hosts),
        (
            "routes",
            "are more than a router keeps",
            routes,
            most.routes,
        ),
        (
            "routes",
            "name more than a router keeps",
            names,
            most.route_names,
        ),
    ];
    let mut errors = ValidationErrors::default();
    for (path, what, found, most) in counts.into_iter().filter(|(.., found, most)| found > most) {
        errors.push(ValidationError::new(
            path,
            what,
            found,
            format!("{most} at most"),
        ));
    }
    let memory = &most.memory;
    let of_hosts = hosts * memory.per_host + tree.hosts.len() * memory.per_configured_host;
    let of_routes = routes * memory.per_route + names * memory.per_route_name;
    if of_hosts + of_routes > memory.maximum {
        let path = if of_hosts >= of_routes {
            "hosts"
        } else {
            "routes"
        };
        let given = format!(
            "{} bytes for {hosts} hosts and {routes} routes",
            of_hosts + of_routes
        );
        let taken = format!("{} bytes at most", memory.maximum);
        errors.push(ValidationError::new(
            path,
            "take more memory than the router has for them",
            given,
            taken,
        ));
    }
    errors
}

fn room_kept(context: &Context, errors: &mut ValidationErrors) {
    errors.extend(exceeded_maximums(context.new, context.is.len(), &context.terms.maximums).first);
}

/// One host an address, one number a name: else an answer, or what is known of it, would be another's.
fn addresses_apart(context: &Context, errors: &mut ValidationErrors) {
    let mut at: BTreeMap<SocketAddr, &HostRecord> = BTreeMap::new();
    let mut numbers: BTreeMap<HostId, &HostRecord> = BTreeMap::new();
    for host in context.is.values() {
        let other = numbers.insert(host.id(), host);
        if let Some(other) = other {
            let what = format!("its name leads to the same number as {}", other.name);
            errors.push(ValidationError::new(
                format!("hosts/{}", host.name),
                what,
                &host.name,
                "another name",
            ));
        }
        if host.state == HostState::Gone {
            continue;
        }
        if let Some(other) = at.insert(host.endpoint, host) {
            let path = format!("hosts/{}/endpoint", host.name);
            let what = format!("is the address of {} too", other.name);
            errors.push(
                ValidationError::new(path, what, host.endpoint, "an address of its own")
                    .with_rule(Rule::NoEffectTwice),
            );
        }
    }
}

fn starts_behind(context: &Context, errors: &mut ValidationErrors) {
    let latest = context.facts.now + CLOCK_SPAN;
    for (name, set) in &context.new.hosts {
        if let Some(started) = set.started.filter(|started| *started > latest) {
            let what = format!("lies {:.1} s ahead", started - context.facts.now);
            let error = ValidationError::new(
                Path::Host(name.clone(), Leaf::Started),
                what,
                started,
                "a time that has been",
            );
            errors.push(error.with_retry_at(started));
        }
    }
}

/// Rule 3: a host that was drained comes back as another process only.
fn drained_stay_out(context: &Context, errors: &mut ValidationErrors) {
    for (name, drained) in context.drained {
        let Some(host) = context
            .is
            .get(name.as_str())
            .filter(|host| host.is_in_service())
        else {
            continue;
        };
        if host.started.is_none_or(|started| started <= *drained) {
            let path = Path::Host(name.clone(), Leaf::State);
            let what = "it was drained and has not started anew since";
            let given = host
                .started
                .map_or("no start".into(), |started| format!("started {started}"));
            let taken = format!("a start after {drained}, or the host left draining");
            errors.push(ValidationError::new(path, what, given, taken).with_rule(Rule::DrainsKept));
        }
    }
}

/// Rule 5: nothing is put to a build that the platform has taken back.
fn builds_wanted(context: &Context, errors: &mut ValidationErrors) {
    let gone = |news: &RolloutStatus| matches!(news.phase, Phase::RollingBack | Phase::RolledBack);
    let Some(news) = context.facts.rollout.filter(gone) else {
        return;
    };
    for (name, host) in context
        .is
        .iter()
        .filter(|(_, host)| host.is_in_service() && host.build == news.build)
    {
        let before = context
            .was
            .get(name)
            .is_some_and(|was| was.is_in_service() && was.build == host.build);
        if !before {
            let what = "the platform has taken this build back";
            let error = ValidationError::new(
                format!("hosts/{name}/build"),
                what,
                host.build.0,
                "an earlier build",
            );
            errors.push(error.with_rule(Rule::ExposureCapped));
        }
    }
}

/// A zone, the released build and the one on trial keep hosts in service.
fn places_left(context: &Context, errors: &mut ValidationErrors) {
    let (_, least_zone, least_build) = context.old.guards.in_force();
    let count = |hosts: &BTreeMap<Arc<str>, HostRecord>, of: &dyn Fn(&HostRecord) -> bool| {
        hosts
            .values()
            .filter(|host| host.is_in_service() && of(host))
            .count()
    };
    let mut left = |path: &str, named: String, least: u32, of: &dyn Fn(&HostRecord) -> bool| {
        let (was, is) = (count(&context.was, of), count(&context.is, of));
        if is < was && is < least as usize {
            let given = format!("{is} of {was} left");
            let taken = format!("{least} at least, or a lower {path} set before");
            errors.push(ValidationError::new(
                "hosts",
                format!("{named} would be left without hosts enough"),
                given,
                taken,
            ));
        }
    };
    let zones: BTreeSet<_> = context.was.values().map(|host| host.zone.clone()).collect();
    for zone in zones {
        let of = |host: &HostRecord| host.zone == zone;
        left(
            "guards/least-hosts-zone",
            format!("zone {zone}"),
            least_zone,
            &of,
        );
    }
    let trial = context
        .facts
        .rollout
        .filter(|news| news.phase == Phase::Canary)
        .map(|news| news.build);
    for build in context.released(&context.was).into_iter().chain(trial) {
        let of = |host: &HostRecord| host.build == build;
        left(
            "guards/least-hosts-build",
            format!("build {}", build.0),
            least_build,
            &of,
        );
    }
}

/// A list that lost most of its lines is an accident.
fn removal_small(context: &Context, errors: &mut ValidationErrors) {
    let (most, ..) = context.old.guards.in_force();
    let before = context.was.values().filter(|host| host.is_in_service());
    let (was, gone) = before.fold((0u32, 0u32), |(was, gone), host| {
        let stays = context
            .is
            .get(&host.name)
            .is_some_and(HostRecord::is_in_service);
        (was + 1, gone + u32::from(!stays))
    });
    let share = f64::from(gone) / f64::from(was.max(1));
    // The last host of a thin list is the other guards' matter.
    if share > most && (gone > 1 || most <= 0.0) {
        let given = format!("{gone} of {was}");
        let taken =
            format!("{most} of them at most, or a higher guards/largest-removal set before");
        errors.push(ValidationError::new(
            "hosts",
            "too many are taken out of service at once",
            given,
            taken,
        ));
    }
}

/// Rule 4. The service's traffic is reckoned as all that the hosts can do; a host's fair share of it is what it
/// can do itself when warm, and its weight over the mean of all weights is how many times that it is sent by
/// all routers together. Just started it can do its warmth of it, and falls at the fall multiple of that.
fn cold_hosts_carried(context: &Context, errors: &mut ValidationErrors) {
    if context.only_narrows() {
        // Nothing may hold up a drain; what it does to the others is guarded when weights are used.
        return;
    }
    let terms = context.terms;
    let (names, now) = context.weighed(context.new, &context.is);
    let (names_before, before) = context.weighed(context.old, &context.was);
    let earlier = |name: &Arc<str>| {
        let place = names_before.binary_search(name).ok()?;
        Some(operator_weights::relative_share(&before[place], &before))
    };
    if now.iter().all(|host| host.weight == 1.0) {
        return;
    }
    for (name, host) in names
        .iter()
        .zip(&now)
        .filter(|(_, host)| host.warm_up_fraction < 1.0)
    {
        let falls = terms.overload_multiple * host.warm_up_fraction;
        let share = operator_weights::relative_share(host, &now);
        // A fair share is what every host gets without weights.
        if share <= falls.max(1.0) || earlier(name).is_some_and(|earlier| share <= GREW * earlier) {
            continue;
        }
        let routers = f64::from(terms.routers);
        let who = match share / routers > falls {
            _ if terms.routers == 1 => "this router".into(),
            true => "this router alone".into(),
            false => format!("all {} routers together, though none alone,", terms.routers),
        };
        let started = context
            .is
            .get(name)
            .and_then(|host| host.started)
            .unwrap_or(context.facts.now);
        let warm = ((share / terms.overload_multiple).min(1.0) - terms.slow_start_initial_fraction)
            / (1.0 - terms.slow_start_initial_fraction).max(1e-9);
        let passes = started + terms.slow_start_duration * warm.clamp(0.0, 1.0);
        let what = format!(
            "{who} would send the host {share:.2} times its fair share; it started {:.1} s ago, can do {:.2} of \
             its work and falls over at {falls:.2}",
            context.facts.now - started,
            host.warm_up_fraction
        );
        let taken = format!(
            "a weight of {:.3} at most, or the same {:.1} s later",
            host.weight * falls.max(1.0) / share,
            passes - context.facts.now
        );
        let error = ValidationError::new(format!("hosts/{name}/weight"), what, host.weight, taken);
        errors.push(error.with_rule(Rule::WarmUpRespected).with_retry_at(passes));
    }
}

/// A route speaks of what there is: operations of the service, hosts that are listed.
fn routes_known(context: &Context, errors: &mut ValidationErrors) {
    let none = BTreeSet::new();
    for (name, route) in &context.new.routes {
        let known = |operation: &&Arc<str>| {
            !context
                .terms
                .operations
                .iter()
                .any(|known| **known == ***operation)
        };
        for operation in route
            .operations
            .as_ref()
            .unwrap_or(&none)
            .iter()
            .filter(known)
        {
            let path = Path::Route(name.clone(), Leaf::Operations);
            let taken = context.terms.operations.join(", ");
            errors.push(ValidationError::new(
                path,
                "no such operation",
                operation,
                taken,
            ));
        }
        let missing = |host: &&Arc<str>| !context.is.contains_key(*host);
        for host in route.hosts.as_ref().unwrap_or(&none).iter().filter(missing) {
            let path = Path::Route(name.clone(), Leaf::Hosts);
            let was = context.was.contains_key(host);
            let what = if was {
                "refers to a host that would be listed no more"
            } else {
                "no such host is listed"
            };
            errors.push(ValidationError::new(
                path,
                what,
                host,
                "a host that is listed",
            ));
        }
        if *route
            == (RouteConfig {
                precedence: route.precedence,
                ..RouteConfig::default()
            })
        {
            let what = "says neither which invocations it is for nor which hosts they use";
            errors.push(ValidationError::new(
                format!("routes/{name}"),
                what,
                "nothing",
                "operation, key-prefix, zone, kind or host",
            ));
        }
    }
}

/// Which of two routes an invocation takes is never left to chance.
fn routes_apart(context: &Context, errors: &mut ValidationErrors) {
    let all = build_routes(context.new);
    // More than are shown need not be found.
    for (one, other) in kestreltide_routes::unordered(&all, MAX_KEPT_ERRORS) {
        let what = format!(
            "overlaps with route {} and nothing says which goes first",
            other.name
        );
        let given = one
            .precedence
            .map_or("no precedence".into(), |given| given.to_string());
        let path = format!("routes/{}/precedence", one.name);
        errors.push(ValidationError::new(
            path,
            what,
            given,
            "a precedence for each, not the same",
        ));
    }
}

/// A pool is never without a host of the released build while one is listed: its invocations could go nowhere, or
/// to the trial alone.
fn pools_served(context: &Context, errors: &mut ValidationErrors) {
    let released = context.released(&context.is);
    let serves = |host: &&HostRecord| host.is_in_service() && released.contains(&host.build);
    if !context.is.values().any(|host| serves(&host)) {
        return;
    }
    for route in build_routes(context.new) {
        let held = context
            .is
            .values()
            .filter(serves)
            .any(|host| route.pool.contains(&host.entry()));
        if !held {
            let what = "its pool would have no host of the released build in service";
            let error = ValidationError::new(
                format!("routes/{}", route.name),
                what,
                "no such host",
                "at least one",
            );
            errors.push(error.with_rule(Rule::ExposureCapped));
        }
    }
}

/// Rule 5: what is asked of a trial only ever shows it to less, and is of the build that it says.
fn ring_known(context: &Context, errors: &mut ValidationErrors) {
    let ring = &context.new.rollout;
    if context.old.rollout == *ring {
        return;
    }
    let asks = ring.hold == Some(true) || ring.roll_back == Some(true) || ring.cap.is_some();
    let news = context.facts.rollout;
    match (ring.build, news) {
        (None, _) if asks => {
            errors.push(ValidationError::new(
                "ring/build",
                "does not say which build is meant",
                "nothing",
                "the build on trial",
            ));
        }
        (Some(build), Some(news)) if asks => {
            if build != u32::from(news.build.0) {
                let taken = format!("{}, the newest build", news.build.0);
                errors.push(ValidationError::new(
                    "ring/build",
                    "is not the build that the platform tells of",
                    build,
                    taken,
                ));
            }
            if let Some(cap) = ring.cap.filter(|cap| *cap > news.cap) {
                let taken = format!("{} at most, the cap told", news.cap);
                let error = ValidationError::new(
                    "ring/cap",
                    "would be raised, and can only be lowered",
                    cap,
                    taken,
                );
                errors.push(error.with_rule(Rule::ExposureCapped));
            }
        }
        (Some(build), None) if asks => {
            errors.push(ValidationError::new(
                "ring/build",
                "the platform has told of no build",
                build,
                "a build on trial",
            ));
        }
        _ => {}
    }
}
