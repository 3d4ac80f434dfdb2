//! What a process is notified of the fleet that it is part of: the replicas of the cluster state, promises, retirements, pools.

use crate::build::{MS, S};
use crate::model::{Config, Tenant};
use crate::source::Source;
use crate::Position;
use std::collections::{BTreeMap, BTreeSet};

/// The part of a configuration without which a front end shares nothing; times in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// Of this process; its front ends are members `NAME/0`, `NAME/1`, ...
    pub member: String,
    /// Addresses of the replicas by their numbers.
    pub keepers: BTreeMap<u64, String>,
    /// Where this process is a replica itself.
    pub keep: Option<ReplicaSettings>,
    /// In which the members' last incarnations are kept.
    pub folder: Option<String>,
    pub view_lease: i64,
    /// Most that two processes' clocks differ in rate.
    pub drift: f64,
    /// How long a tombstone is kept once every member confirmed it.
    pub remember: i64,
    /// How long a start waits for the first word of the replicas.
    pub asking_most: i64,
    /// A watched file with one retired function a line.
    pub retirements: Option<String>,
    pub pools: Vec<Pool>,
    pub pools_edition: u64,
    /// The way back to service by stages after a loss of everything; None: calls go in as they come.
    pub recover: Option<Recover>,
}

/// Limits of the stages after a loss, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Recover {
    pub waking: i64,
    pub asking: i64,
    pub reserved: i64,
    /// Part of the calls outside reservations that is admitted at least.
    pub share: f64,
    /// A worker that started less than this before the front end did, or later, is new.
    pub new: i64,
}

/// The replica that this process runs.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaSettings {
    pub number: u64,
    pub listen: String,
    pub store: String,
}

/// Permits that some functions share.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    pub name: String,
    /// Names, or beginnings of names with a closing `*`.
    pub functions: Vec<String>,
    /// None: as many as the ready workers have.
    pub permits: Option<u32>,
    /// Permits kept for tenants, by name.
    pub reservations: Vec<(String, u32)>,
}

/// Directives that mean nothing without replicas.
const OF_FLEET: &[&str] = &[
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

/// What the directives say of the fleet; None where there is no replica. What is wrong goes to `stray`.
pub fn fleet(s: &Source<'_>, tenants: &[Tenant], stray: &mut FaultList) -> Option<Fleet> {
    let keepers: BTreeMap<u64, String> =
        s.all("keeper").filter_map(|l| Some((l.count("number")?, l.text("address")?))).collect();
    let member = s.text("member", "name");
    let (first, last) = (s.one("keeper"), s.all("keeper").last());
    match (s.one("member"), first) {
        (Some(line), None) => {
            stray.push((line.at.clone(), "member without keepers".into(), "1, 3 or 5 keeper lines".into()));
        }
        (None, Some(line)) => {
            stray.push((line.at.clone(), "keeper without a member".into(), "a member line".into()));
        }
        (None, None) => {
            let alone = OF_FLEET.iter().filter_map(|name| s.one(name));
            alone.for_each(|l| {
                let what = format!("{} without keepers", l.directive.name);
                stray.push((l.at.clone(), what, "member and keeper lines".into()));
            });
            for line in s.all("function") {
                for key in ["generation", "retire"].iter().filter(|k| line.get(k).is_some()) {
                    let expected = "member and keeper lines".to_string();
                    stray.push((line.place(key), format!("{key} without keepers"), expected));
                }
            }
            return None;
        }
        (Some(_), Some(_)) => {}
    }
    if let Some(line) = last.filter(|_| ![1, 3, 5].contains(&s.all("keeper").count())) {
        let what = format!("{} keepers", s.all("keeper").count());
        stray.push((line.at.clone(), what, "1, 3 or 5 keeper lines".into()));
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
            stray.push((line.place("number"), format!("keep names keeper {}", keep.number), expected));
        }
    }
    numbered_names(s, stray);
    Some(Fleet {
        member: member.unwrap_or_default(),
        keepers,
        keep,
        folder: s.text("fleet-folder", "folder"),
        view_lease: s.duration("view-lease", 2 * S),
        drift: s.number("drift", "share", 0.01),
        remember: s.duration("remember", 3600 * S),
        asking_most: s.duration("asking-most", 2000 * MS),
        retirements: s.text("retirements", "file"),
        pools: pools(s, tenants, stray),
        pools_edition: s.count("pools-edition", "number", 1),
        recover: recover(s, stray),
    })
}

fn recover(s: &Source<'_>, stray: &mut FaultList) -> Option<Recover> {
    let line = s.one("recover")?;
    if s.one("fleet-folder").is_none() {
        // There it is noted whether the last run left in order.
        let expected = "a fleet-folder line".to_string();
        stray.push((line.at.clone(), "recover without a fleet-folder".into(), expected));
    }
    Some(Recover {
        waking: line.duration("waking").unwrap_or(2 * S),
        asking: line.duration("asking").unwrap_or(3 * S),
        reserved: line.duration("reserved").unwrap_or(20 * S),
        share: line.number("share").unwrap_or(0.05),
        new: line.duration("new").unwrap_or(60 * S),
    })
}

/// A later generation is known inside as `NAME@2`: no function may be called so itself.
fn numbered_names(s: &Source<'_>, stray: &mut FaultList) {
    for line in s.all("function") {
        if let Some(name) = line.text("name").filter(|n| ends_numbered(n)) {
            let expected = "a name without @ and a number at its end".to_string();
            stray.push((line.place("name"), format!("function {name}"), expected));
        }
    }
}

/// Whether a name ends like that of a numbered generation, as in `NAME@2`.
pub fn ends_numbered(name: &str) -> bool {
    let tail = name.rsplit_once('@').map(|(_, tail)| tail);
    tail.is_some_and(|t| !t.is_empty() && t.bytes().all(|b| b.is_ascii_digit()))
}

fn pools(s: &Source<'_>, tenants: &[Tenant], stray: &mut FaultList) -> Vec<Pool> {
    let mut pools: Vec<Pool> = Vec::new();
    let mut taken: BTreeMap<String, String> = BTreeMap::new();
    for line in s.all("pool") {
        let (Some(name), Some(functions), Some(lanes)) =
            (line.text("name"), line.text("functions"), line.text("lanes"))
        else {
            continue;
        };
        let functions: Vec<String> =
            functions.split(',').map(|f| f.trim().to_string()).filter(|f| !f.is_empty()).collect();
        if functions.is_empty() {
            let expected = "names of functions, or beginnings with a closing *".to_string();
            stray.push((line.place("functions"), format!("pool {name} without functions"), expected));
        }
        for pattern in &functions {
            if let Some(other) = taken.insert(pattern.clone(), name.clone()) {
                let what = format!("pool {name} takes {pattern}, as does pool {other}");
                stray.push((line.place("functions"), what, "each pattern in one pool, once".into()));
            }
        }
        let size = if lanes == "by-workers" { None } else { lanes.parse().ok().filter(|n| *n > 0) };
        if size.is_none() && lanes != "by-workers" {
            let expected = "a whole number from 1, or by-workers".to_string();
            stray.push((line.place("lanes"), format!("lanes is {lanes:?}"), expected));
        }
        pools.push(Pool { name, functions, permits: size, reservations: Vec::new() });
    }
    if let Some(line) = s.one("pool").filter(|_| s.one("fleet-front-ends").is_none()) {
        let expected = "a fleet-front-ends line: floors are parts of a pool by that number".to_string();
        stray.push((line.at.clone(), "pool without fleet-front-ends".into(), expected));
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
            stray.push((line.place("tenant"), format!("reserve names tenant {tenant}"), expected));
        }
        if tenants.first().is_some_and(|t| t.name == tenant) {
            let what = format!("reserve names tenant {tenant}, whose are the calls that name none");
            stray.push((line.place("tenant"), what, "a tenant line of others before it".into()));
        }
        if !seen.insert((tenant.clone(), name.clone())) {
            let what = format!("reserve {tenant} stands a second time for pool {name}");
            stray.push((line.at.clone(), what, "it once".into()));
        }
        let Some(pool) = pools.iter_mut().find(|p| p.name == name) else {
            let expected = "a pool of this configuration".to_string();
            stray.push((line.place("pool"), format!("reserve names pool {name}"), expected));
            continue;
        };
        pool.reservations.push((tenant, lanes as u32));
        let sum: u64 = pool.reservations.iter().map(|r| u64::from(r.1)).sum();
        if let Some(most) = pool.permits.filter(|most| sum > u64::from(*most)) {
            let what = format!("{sum} lanes of pool {name} are reserved");
            stray.push((line.place("lanes"), what, format!("at most its {most}")));
        }
    }
    pools
}

impl Config {
    /// The longest that an attempt may be out, in microseconds: as long as the most patient caller waits.
    pub fn longest_run(&self) -> i64 {
        self.classes.iter().map(|c| c.give_up).max().unwrap_or(0) + self.answer_margin
    }

    /// Whether a function's calls are refused where it can't be known whether it is retired.
    pub fn is_strict(&self, function: &str) -> bool {
        self.function(function).is_some_and(|f| f.strict)
    }
}
