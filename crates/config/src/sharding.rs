//! Settings of the division of the fleet into shards, which `crates/sharding` computes.

use crate::grammar::{optional_arg, required_arg, Directive, Occurrence};
use crate::source::Source;
use crate::value::Kind;
use crate::words::quoted;
use crate::Position;
use stagehoist_sharding::{Division, DivisionError, Divisions, HomeShards, HotFunction, TransitionPhase};
use stagehoist_sharding::{MAX_SHARDS, MAX_SHARD_WEIGHT};
use std::collections::BTreeMap;

/// Maximum number of shards that the configuration may assign to one front end.
const MAX_SHARDS_PER_FRONT_END: u32 = 16;
const PHASES: &[&str] = &["announced", "both", "closing"];
const SHARDS: Kind = Kind::Count(1, MAX_SHARDS as u64);

/// Sharding directives; used together with [`crate::grammar::DIRECTIVES`].
pub const SHARDING: &[Directive] = &[
    Directive {
        name: "shards",
        positional: &[required_arg("count", SHARDS)],
        keys: &[
            required_arg("generation", Kind::Count(1, u32::MAX as u64 - 1)),
            optional_arg("next", SHARDS),
            optional_arg("stage", Kind::Word(PHASES)),
            optional_arg("calls", Kind::Rate(0.0, 1e9)),
            optional_arg("workers", Kind::Count(1, u32::MAX as u64)),
            optional_arg("first", Kind::Count(0, 99_999)),
        ],
        occurrence: Occurrence::Once,
    },
    Directive {
        name: "shard",
        positional: &[required_arg("number", Kind::Count(0, MAX_SHARDS as u64 - 1))],
        keys: &[required_arg("weight", Kind::Count(1, MAX_SHARD_WEIGHT as u64))],
        occurrence: Occurrence::OncePerName,
    },
    Directive {
        name: "shard-front-ends",
        positional: &[required_arg("zone", Kind::Text), required_arg("count", Kind::Count(1, 100_000))],
        keys: &[],
        occurrence: Occurrence::OncePerName,
    },
];

/// Sharding settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Sharding {
    pub divisions: Divisions,
    /// Expected calls per second over the whole fleet; 0: unknown. The sum of the rates configured for functions is used if
    /// it is larger.
    pub calls: f64,
    /// Configured number of workers; used only to check the settings.
    pub workers: Option<u32>,
    /// Number of this process's first front end among those of the fleet.
    pub first: u32,
    /// Number of front ends in each zone, by the index of the zone name; a single zone if no names are configured.
    pub zones: Vec<(u16, u32)>,
    pub hot: Vec<HotFunction>,
    /// Functions of tenants, by the tenant's name.
    pub tenants: BTreeMap<String, Vec<String>>,
}

type FaultList = Vec<(Position, String, String)>;

/// Reads the sharding directives. Returns `None` if there is no `shards` directive. Faults are added to `problems`.
pub fn sharding(s: &Source<'_>, zones: &[String], problems: &mut FaultList) -> Option<Sharding> {
    let Some(line) = s.one("shards") else {
        check_without_shards(s, problems);
        return None;
    };
    let shards = line.count("count")? as u32;
    let generation = line.count("generation")? as u32;
    let mut report = |key: &str, what: String, expected: &str| {
        problems.push((line.place(key), what, expected.to_string()));
    };
    let (next, stage) = (line.count("next").map(|n| n as u32), line.text("stage"));
    match (next, &stage) {
        (Some(_), None) => report("next", "next without a stage".into(), "stage announced, both or closing"),
        (None, Some(_)) => {
            report("stage", "stage without a next number of shards".into(), "next and a number")
        }
        _ => {}
    }
    let front_ends = s.count("front-ends", "count", 1) as u32;
    let fleet = s.count("fleet-front-ends", "count", u64::from(front_ends)) as u32;
    let first = line.count("first").unwrap_or(0) as u32;
    if u64::from(first) + u64::from(front_ends) > u64::from(fleet) {
        let what =
            format!("front ends {first} to {} of {fleet}", u64::from(first) + u64::from(front_ends) - 1);
        report("first", what, "numbers below fleet-front-ends");
    }
    if zones.len() > 1 && s.one("zone").is_none() {
        report("count", "shards without a zone".into(), "a zone line, as there are several zone-names");
    }
    if s.one("pool").is_some() {
        report(
            "count",
            "shards together with pools".into(),
            "only one of them: the lanes of a pool are divided equally among all front ends",
        );
    }
    let workers = line.count("workers").map(|n| n as u32);
    let most = shards.max(next.unwrap_or(0));
    let mut weights = BTreeMap::new();
    for shard in s.all("shard") {
        let (Some(number), Some(weight)) = (shard.count("number"), shard.count("weight")) else { continue };
        if number >= u64::from(most) {
            let expected = format!("a number from 0 to {}", most - 1);
            problems.push((shard.place("number"), format!("shard {number} of {most}"), expected));
        }
        weights.insert(number as u32, weight as u32);
    }
    let division = |shards: u32, generation: u32| {
        let weights = weights.iter().filter(|w| *w.0 < shards).map(|w| (*w.0, *w.1));
        Division::weighted(shards, generation, weights.collect())
    };
    let zones = zone_front_ends(s, zones, fleet, problems);
    let mut checked = |shards: u32, generation: u32, key: &str| -> Option<Division> {
        let smallest = zones.iter().map(|z| z.1).min().unwrap_or(fleet);
        let division = division(shards, generation).and_then(|d| {
            d.check(workers, smallest, 1, MAX_SHARDS_PER_FRONT_END)?;
            Ok(d)
        });
        let expected = |e: &DivisionError| match e {
            DivisionError::MoreShardsThanWorkers { .. } => "at most as many shards as workers",
            _ => "fewer shards or more front ends",
        };
        division.map_err(|e| problems.push((line.place(key), e.to_string(), expected(&e).into()))).ok()
    };
    let old = checked(shards, generation, "count")?;
    let stages = [TransitionPhase::Announced, TransitionPhase::Both, TransitionPhase::Closing];
    let stage = PHASES.iter().position(|s| stage.as_deref() == Some(s)).map(|at| stages[at]);
    let divisions = match (next, stage) {
        (Some(next), Some(stage)) => {
            Divisions::changing(old, checked(next, generation + 1, "next")?, stage).ok()?
        }
        _ => Divisions::only(old),
    };
    let calls = line.number("calls").unwrap_or(0.0);
    let (hot, tenants) = (hot(s, &divisions, calls, problems), tenants(s, problems));
    Some(Sharding { divisions, calls, workers, first, zones, hot, tenants })
}

/// Reports directives and keys that are valid only with shards.
fn check_without_shards(s: &Source<'_>, problems: &mut FaultList) {
    let expected = || "a shards line".to_string();
    for line in ["shard", "shard-front-ends"].iter().flat_map(|name| s.all(name)) {
        problems.push((line.at.clone(), format!("{} without shards", line.directive.name), expected()));
    }
    for (name, keys) in [("function", &["calls", "spread"][..]), ("tenant", &["functions"][..])] {
        for line in s.all(name) {
            for key in keys.iter().filter(|k| line.get(k).is_some()) {
                problems.push((line.place(key), format!("{key} without shards"), expected()));
            }
        }
    }
}

fn zone_front_ends(
    s: &Source<'_>,
    names: &[String],
    fleet: u32,
    problems: &mut FaultList,
) -> Vec<(u16, u32)> {
    let mut counts = BTreeMap::new();
    for line in s.all("shard-front-ends") {
        let (Some(zone), Some(count)) = (line.text("zone"), line.count("count")) else { continue };
        match names.iter().position(|n| *n == zone) {
            Some(at) => drop(counts.insert(at as u16, count as u32)),
            None => {
                let expected = format!("one of zone-names ({})", names.join(", "));
                problems.push((line.place("zone"), format!("zone {zone} is not known"), expected));
            }
        }
    }
    if counts.is_empty() {
        let zones = names.len().max(1) as u32;
        return (0..zones).map(|z| (z as u16, fleet.div_ceil(zones))).collect();
    }
    let sum = counts.values().copied().fold(0, u32::saturating_add);
    if let Some(line) = s.one("shard-front-ends").filter(|_| sum < fleet) {
        let what = format!("{sum} front ends in zones, {fleet} in the fleet");
        problems.push((line.place("count"), what, "at least as many as fleet-front-ends".into()));
    }
    counts.into_iter().collect()
}

fn hot(s: &Source<'_>, divisions: &Divisions, calls: f64, problems: &mut FaultList) -> Vec<HotFunction> {
    let mut hot = Vec::new();
    let fewest = divisions.each().map(Division::shards).min().unwrap_or(1);
    for line in s.all("function").filter(|l| l.get("calls").is_some() || l.get("spread").is_some()) {
        let Some(name) = line.text("name") else { continue };
        let key = if line.get("calls").is_some() { "calls" } else { "spread" };
        if name.ends_with('*') {
            let what = format!("{key} of function {name}");
            problems.push((line.place(key), what, "a single function name without a closing *".into()));
            continue;
        }
        let spread = line.count("spread").map(|n| n as u32);
        if spread.is_some_and(|n| n > fewest) {
            let what = format!("function {name} spread over more than the {fewest} shards");
            problems.push((line.place("spread"), what, format!("a number from 1 to {fewest}")));
            continue;
        }
        hot.push(HotFunction { name, calls: line.number("calls").unwrap_or(0.0), spread });
    }
    for division in divisions.each() {
        if let (Err(error), Some(line)) = (HomeShards::new(division, calls, &hot), s.one("shards")) {
            problems.push((
                line.at.clone(),
                error.to_string(),
                "fewer functions with calls or spread".into(),
            ));
            break;
        }
    }
    hot
}

fn tenants(s: &Source<'_>, problems: &mut FaultList) -> BTreeMap<String, Vec<String>> {
    let mut tenants = BTreeMap::new();
    for line in s.all("tenant") {
        let (Some(name), Some(functions)) = (line.text("name"), line.text("functions")) else { continue };
        let functions: Vec<String> = functions.split(',').map(|f| f.trim().to_string()).collect();
        if functions.iter().any(|f| f.is_empty() || f.ends_with('*')) {
            let expected = "names of functions separated by commas, without *".to_string();
            problems.push((line.place("functions"), format!("functions of tenant {name}"), expected));
        }
        tenants.insert(name, functions);
    }
    tenants
}

impl Sharding {
    /// Returns the sharding directives as text.
    pub(crate) fn lines(&self, zones: &[String]) -> Vec<String> {
        let old = self.divisions.old();
        let mut shards = format!("shards {} generation {}", old.shards(), old.generation());
        if let (Some(next), Some(stage)) = (self.divisions.next(), self.divisions.phase()) {
            let stage = PHASES[stage as usize];
            shards += &format!(" next {} stage {stage}", next.shards());
        }
        shards += &format!(" calls {}/s first {}", self.calls, self.first);
        shards += &self.workers.map_or(String::new(), |n| format!(" workers {n}"));
        let mut out = vec![shards];
        let most = self.divisions.each().max_by_key(|d| d.shards()).unwrap_or(old);
        let weighted = (0..most.shards()).filter(|s| most.weight(*s) != 1);
        out.extend(weighted.map(|s| format!("shard {s} weight {}", most.weight(s))));
        let named = self.zones.iter().filter_map(|(z, n)| Some((zones.get(usize::from(*z))?, n)));
        out.extend(named.map(|(zone, n)| format!("shard-front-ends {} {n}", quoted(zone))));
        out
    }

    /// Returns the sharding keys of a function's line.
    pub(crate) fn of_function(&self, name: &str) -> String {
        let Some(hot) = self.hot.iter().find(|f| f.name == name) else { return String::new() };
        format!(" calls {}/s", hot.calls) + &hot.spread.map_or(String::new(), |n| format!(" spread {n}"))
    }

    /// Returns the sharding keys of a tenant's line.
    pub(crate) fn of_tenant(&self, name: &str) -> String {
        let of = |functions: &Vec<String>| format!(" functions {}", quoted(&functions.join(",")));
        self.tenants.get(name).map_or(String::new(), of)
    }
}
