//! Settings of a process that is part of a fleet: replicas of the cluster state, leases, retirements, pools and
//! reservations.

use crate::build::{MS, S};
use crate::model::{Config, Tenant};
use crate::source::Source;
use crate::Position;
use std::collections::{BTreeMap, BTreeSet};

/// Fleet settings; without them a front end shares no state. Times are in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// Name of this process; its front ends are the members `NAME/0`, `NAME/1`, ...
    pub member: String,
    /// Addresses of the replicas by their numbers.
    pub keepers: BTreeMap<u64, String>,
    /// Settings of the replica that this process runs, if any.
    pub keep: Option<ReplicaSettings>,
    /// Folder that stores the last incarnations of the members.
    pub folder: Option<String>,
    pub view_lease: i64,
    /// Maximum difference in rate between the clocks of two processes.
    pub drift: f64,
    /// Retention of a tombstone after every member confirmed it.
    pub remember: i64,
    /// How long startup waits for the first response from the replicas.
    pub max_startup_wait: i64,
    /// A watched file with one retired function per line.
    pub retirements: Option<String>,
    pub pools: Vec<Pool>,
    pub pools_edition: u64,
    /// Staged recovery after a loss of all state; `None`: calls are admitted immediately.
    pub recover: Option<RecoverySettings>,
}

/// Limits of the recovery stages, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RecoverySettings {
    pub waking: i64,
    pub asking: i64,
    pub reserved: i64,
    /// Minimum share of the calls outside reservations that is admitted.
    pub share: f64,
    /// A worker is new if it started less than this time before the front end, or after it.
    pub new: i64,
}

/// The replica that this process runs.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaSettings {
    pub number: u64,
    pub listen: String,
    pub store: String,
}

/// Concurrency permits shared by several functions.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    pub name: String,
    /// Exact names, or prefixes followed by `*`.
    pub functions: Vec<String>,
    /// `None`: as many as the ready workers provide.
    pub permits: Option<u32>,
    /// Permits reserved for tenants, by tenant name.
    pub reservations: Vec<(String, u32)>,
}

/// Directives that are valid only with replicas.
const FLEET_ONLY: &[&str] = &[
    "keep",
    "fleet-folder",
    "view-lease",
    "drift",
    "remember",
    "asking-most",
    "retirements",
    "pool",
    "reserve",
    "pools-edition",
    "recover",
];

type FaultList = Vec<(Position, String, String)>;

/// Reads the fleet directives. Returns `None` if no replica is configured. Faults are added to `problems`.
pub fn fleet(s: &Source<'_>, tenants: &[Tenant], problems: &mut FaultList) -> Option<Fleet> {
    let keepers: BTreeMap<u64, String> =
        s.all("keeper").filter_map(|l| Some((l.count("number")?, l.text("address")?))).collect();
    let member = s.text("member", "name");
    let (first, last) = (s.one("keeper"), s.all("keeper").last());
    match (s.one("member"), first) {
        (Some(line), None) => {
            problems.push((
                line.at.clone(),
                "member without keepers".into(),
                "1, 3 or 5 keeper lines".into(),
            ));
        }
        (None, Some(line)) => {
            problems.push((line.at.clone(), "keeper without a member".into(), "a member line".into()));
        }
        (None, None) => {
            let fleet_lines = FLEET_ONLY.iter().filter_map(|name| s.one(name));
            fleet_lines.for_each(|l| {
                let what = format!("{} without keepers", l.directive.name);
                problems.push((l.at.clone(), what, "member and keeper lines".into()));
            });
            for line in s.all("function") {
                for key in ["generation", "retire"].iter().filter(|k| line.get(k).is_some()) {
                    let expected = "member and keeper lines".to_string();
                    problems.push((line.place(key), format!("{key} without keepers"), expected));
                }
            }
            return None;
        }
        (Some(_), Some(_)) => {}
    }
    if let Some(line) = last.filter(|_| ![1, 3, 5].contains(&s.all("keeper").count())) {
        let what = format!("{} keepers", s.all("keeper").count());
        problems.push((line.at.clone(), what, "1, 3 or 5 keeper lines".into()));
    }
    let keep = s.one("keep").and_then(|l| {
        Some(ReplicaSettings {
            number: l.count("number")?,
            listen: l.text("listen")?,
            store: l.text("store")?,
        })
    });
    if let (Some(keep), Some(line)) = (&keep, s.one("keep")) {
        if !keepers.contains_key(&keep.number) {
            let known: Vec<String> = keepers.keys().map(u64::to_string).collect();
            let expected = format!("the number of a keeper line ({})", known.join(", "));
            problems.push((line.place("number"), format!("keep names keeper {}", keep.number), expected));
        }
    }
    check_function_names(s, problems);
    Some(Fleet {
        member: member.unwrap_or_default(),
        keepers,
        keep,
        folder: s.text("fleet-folder", "folder"),
        view_lease: s.duration("view-lease", 2 * S),
        drift: s.number("drift", "share", 0.01),
        remember: s.duration("remember", 3600 * S),
        max_startup_wait: s.duration("asking-most", 2000 * MS),
        retirements: s.text("retirements", "file"),
        pools: pools(s, tenants, problems),
        pools_edition: s.count("pools-edition", "number", 1),
        recover: recover(s, problems),
    })
}

fn recover(s: &Source<'_>, problems: &mut FaultList) -> Option<RecoverySettings> {
    let line = s.one("recover")?;
    if s.one("fleet-folder").is_none() {
        // The folder records whether the last run shut down gracefully.
        let expected = "a fleet-folder line".to_string();
        problems.push((line.at.clone(), "recover without a fleet-folder".into(), expected));
    }
    Some(RecoverySettings {
        waking: line.duration("waking").unwrap_or(2 * S),
        asking: line.duration("asking").unwrap_or(3 * S),
        reserved: line.duration("reserved").unwrap_or(20 * S),
        share: line.number("share").unwrap_or(0.05),
        new: line.duration("new").unwrap_or(60 * S),
    })
}

/// Rejects function names such as `NAME@2`, which are used internally for later generations.
fn check_function_names(s: &Source<'_>, problems: &mut FaultList) {
    for line in s.all("function") {
        if let Some(name) = line.text("name").filter(|n| has_generation_suffix(n)) {
            let expected = "a name without @ and a number at its end".to_string();
            problems.push((line.place("name"), format!("function {name}"), expected));
        }
    }
}

/// Returns whether a name ends with a generation number, as in `NAME@2`.
pub fn has_generation_suffix(name: &str) -> bool {
    let tail = name.rsplit_once('@').map(|(_, tail)| tail);
    tail.is_some_and(|t| !t.is_empty() && t.bytes().all(|b| b.is_ascii_digit()))
}

fn pools(s: &Source<'_>, tenants: &[Tenant], problems: &mut FaultList) -> Vec<Pool> {
    let mut pools: Vec<Pool> = Vec::new();
    let mut pool_by_pattern: BTreeMap<String, String> = BTreeMap::new();
    for line in s.all("pool") {
        let (Some(name), Some(functions), Some(lanes)) =
            (line.text("name"), line.text("functions"), line.text("lanes"))
        else {
            continue;
        };
        let functions: Vec<String> =
            functions.split(',').map(|f| f.trim().to_string()).filter(|f| !f.is_empty()).collect();
        if functions.is_empty() {
            let expected = "names of functions, or prefixes followed by *".to_string();
            problems.push((line.place("functions"), format!("pool {name} without functions"), expected));
        }
        for pattern in &functions {
            if let Some(other) = pool_by_pattern.insert(pattern.clone(), name.clone()) {
                let what = format!("pool {name} includes {pattern}, as does pool {other}");
                problems.push((line.place("functions"), what, "each pattern in one pool, once".into()));
            }
        }
        let size = if lanes == "by-workers" { None } else { lanes.parse().ok().filter(|n| *n > 0) };
        if size.is_none() && lanes != "by-workers" {
            let expected = "a whole number from 1, or by-workers".to_string();
            problems.push((line.place("lanes"), format!("lanes is {lanes:?}"), expected));
        }
        pools.push(Pool { name, functions, permits: size, reservations: Vec::new() });
    }
    if let Some(line) = s.one("pool").filter(|_| s.one("fleet-front-ends").is_none()) {
        let expected =
            "a fleet-front-ends line: the guaranteed minimums of a pool are divided by that number"
                .to_string();
        problems.push((line.at.clone(), "pool without fleet-front-ends".into(), expected));
    }
    let mut seen = BTreeSet::new();
    for line in s.all("reserve") {
        let (Some(tenant), Some(name), Some(lanes)) =
            (line.text("tenant"), line.text("pool"), line.count("lanes"))
        else {
            continue;
        };
        if !tenants.iter().any(|t| t.name == tenant) {
            let expected = "a tenant of this configuration".to_string();
            problems.push((line.place("tenant"), format!("reserve names tenant {tenant}"), expected));
        }
        if tenants.first().is_some_and(|t| t.name == tenant) {
            let what = format!("reserve names tenant {tenant}, which owns the calls that name no tenant");
            problems.push((line.place("tenant"), what, "another tenant line before it".into()));
        }
        if !seen.insert((tenant.clone(), name.clone())) {
            let what = format!("reserve {tenant} is repeated for pool {name}");
            problems.push((line.at.clone(), what, "one occurrence".into()));
        }
        let Some(pool) = pools.iter_mut().find(|p| p.name == name) else {
            let expected = "a pool of this configuration".to_string();
            problems.push((line.place("pool"), format!("reserve names pool {name}"), expected));
            continue;
        };
        pool.reservations.push((tenant, lanes as u32));
        let sum: u64 = pool.reservations.iter().map(|r| u64::from(r.1)).sum();
        if let Some(most) = pool.permits.filter(|most| sum > u64::from(*most)) {
            let what = format!("{sum} lanes of pool {name} are reserved");
            problems.push((line.place("lanes"), what, format!("at most its {most}")));
        }
    }
    pools
}

impl Config {
    /// Returns the maximum duration of an attempt, in microseconds: the longest time that any caller waits, plus the answer
    /// margin.
    pub fn longest_attempt(&self) -> i64 {
        self.classes.iter().map(|c| c.give_up).max().unwrap_or(0) + self.answer_margin
    }

    /// Returns whether calls of a function are rejected while it is unknown whether the function is retired.
    pub fn is_strict(&self, function: &str) -> bool {
        self.function(function).is_some_and(|f| f.strict)
    }
}
