//! Which shards a front end of a divided fleet owns by the list of front ends, without I/O.
//!
//! Nothing is owned before the first whole list. A shard that comes is owned at once. One that goes is handed over: its queue
//! is consumed a while longer, until whoever comes in its place knows the list too; then its calls and its workers are kept
//! as long again, for what is under way over the cancelled queue. A list that fails changes nothing.

use crate::discovery::front_ends::Entry;
use stagehoist::Micros;
use stagehoist_config::Config;
use stagehoist_sharding::{Division, Divisions, FrontEnd, FrontEnds, Key, Member, Shard, MAX_MEMBERS};
use std::collections::BTreeMap;

/// Added to the time in which all know a list, before a queue is left; and the time of a `basic.cancel` and its answer.
const MARGIN: Micros = 1_000_000;

/// What a front end has of one division served, in ascending order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OwnedShards {
    pub generation: u32,
    pub current: Vec<Shard>,
    /// No more its own; their queues are consumed still.
    pub leaving: Vec<Shard>,
    /// Their queues are consumed no more; what still comes over them is taken.
    pub retained: Vec<Shard>,
}

impl OwnedShards {
    /// Shards whose functions and workers are this front end's.
    pub fn served(&self) -> Vec<Shard> {
        let mut all = [&self.current[..], &self.leaving, &self.retained].concat();
        all.sort_unstable();
        all
    }

    /// Shards whose queues are consumed.
    pub fn consumed(&self) -> impl Iterator<Item = Shard> + '_ {
        self.current.iter().chain(&self.leaving).copied()
    }
}

/// One front end's shards by the list of front ends.
#[derive(Debug)]
pub struct Ownership {
    divisions: Divisions,
    member: Member,
    name: String,
    /// Name of the own zone; None: zones aren't told, and all are of one.
    zone: Option<String>,
    handover: Micros,
    /// None: no list came yet.
    front_ends: Option<FrontEnds>,
    /// The others of the own zone. What is believed of another zone changes nothing in one's own.
    known: BTreeMap<Key, FrontEnd>,
    /// Own shards, by generation, that went, and when; bounded by the divisions.
    released: BTreeMap<(u32, Shard), Micros>,
    current: Vec<OwnedShards>,
    omitted: usize,
    is_listed: bool,
    /// Lists that changed own shards.
    pub changes: u64,
}

impl Ownership {
    /// None: front ends own by their numbers, or the fleet isn't divided. `first` in the configuration is this front end's number.
    pub fn new(config: &Config) -> Option<Ownership> {
        let (sharding, list) = (config.sharding.as_ref()?, config.front_ends_list.as_ref()?);
        let zone = config.zone.clone().or_else(|| config.zones.first().cloned());
        let at = config.zones.iter().position(|z| Some(z) == zone.as_ref()).unwrap_or(0);
        let name = format!("{}-{}", list.name, sharding.first);
        Some(Ownership {
            divisions: sharding.divisions.clone(),
            member: Member::new(&name, at as u16, 1.0),
            name,
            zone,
            handover: list.interval() + MARGIN,
            front_ends: None,
            known: BTreeMap::new(),
            released: BTreeMap::new(),
            current: Vec::new(),
            omitted: 0,
            is_listed: true,
            changes: 0,
        })
    }

    /// Others of the own zone that are counted.
    pub fn front_end_count(&self) -> usize {
        self.known.len()
    }

    /// For how long a queue that goes is consumed, and what still comes over it is taken as long again.
    pub fn handover(&self) -> Micros {
        self.handover
    }

    /// Whether this front end counts another to its shards, and so a whole list came.
    pub fn is_known(&self) -> bool {
        self.front_ends.is_some()
    }

    /// A whole list came. Gives what is owned where that changed.
    pub fn listed(&mut self, list: &[Entry], now: Micros) -> Option<Vec<OwnedShards>> {
        let listed = self.of_zone(list);
        let changed: Vec<(Key, Option<FrontEnd>)> = {
            let came = listed.iter().filter(|(key, f)| self.known.get(key) != Some(f));
            let left = self.known.keys().filter(|key| !listed.contains_key(key));
            left.map(|key| (*key, None)).chain(came.map(|(key, f)| (*key, Some(*f)))).collect()
        };
        match self.front_ends.as_mut() {
            Some(known) => drop(known.apply(&changed)),
            None => {
                let all = FrontEnds::of(&self.divisions, self.member, listed.values().copied());
                self.front_ends = Some(all);
            }
        }
        self.known = listed;
        self.renew(now)
    }

    /// Time passes: what was handed over is let go.
    pub fn tick(&mut self, now: Micros) -> Option<Vec<OwnedShards>> {
        self.due().filter(|due| *due <= now)?;
        self.renew(now)
    }

    /// When [`Ownership::tick`] has something to tell.
    pub fn due(&self) -> Option<Micros> {
        let of = |d: &OwnedShards| -> Option<Micros> {
            let at = |s: &Shard| self.released.get(&(d.generation, *s)).copied();
            let leaving = d.leaving.iter().filter_map(at).map(|at| at + self.handover);
            let kept = d.retained.iter().filter_map(at).map(|at| at + 2 * self.handover);
            leaving.chain(kept).min()
        };
        self.current.iter().filter_map(of).min()
    }

    /// The other front ends of the own zone, at most so many that the table holds them beside this one; the same are left
    /// out everywhere. A name that stands twice counts once, by the last line.
    fn of_zone(&mut self, list: &[Entry]) -> BTreeMap<Key, FrontEnd> {
        let mine = |e: &&Entry| self.zone.as_ref().is_none_or(|z| *z == e.zone);
        let member = |e: &Entry| {
            let member = Member::new(&e.name, self.member.zone, 1.0);
            (member.key, FrontEnd { member, serves: e.serves })
        };
        let mut listed: BTreeMap<Key, FrontEnd> = list.iter().filter(mine).map(member).collect();
        let is_listed = listed.remove(&self.member.key).is_some();
        if self.is_listed && !is_listed {
            tracing::warn!(name = self.name, "the list of front ends leaves this one out; it counts itself");
        }
        let over = listed.len().saturating_sub(MAX_MEMBERS - 1);
        if over > 0 && over != self.omitted {
            tracing::warn!(
                left_out = over,
                most = MAX_MEMBERS,
                "the list of front ends is too long; the last by key are left out"
            );
        }
        (self.is_listed, self.omitted) = (is_listed, over);
        if let Some(first) = listed.keys().nth(MAX_MEMBERS - 1).copied() {
            drop(listed.split_off(&first));
        }
        listed
    }

    /// What is owned now; given where it changed.
    fn renew(&mut self, now: Micros) -> Option<Vec<OwnedShards>> {
        let front_ends = self.front_ends.as_ref()?;
        let own_before: Vec<Vec<Shard>> = self.current.iter().map(|d| d.current.clone()).collect();
        let mut told = Vec::new();
        for (at, division) in self.divisions.served().map(Division::generation).enumerate() {
            let own = front_ends.own_key(division).to_vec();
            for shard in own_before.get(at).into_iter().flatten().filter(|s| !own.contains(s)) {
                self.released.insert((division, *shard), now);
            }
            self.released.retain(|(generation, shard), _| *generation != division || !own.contains(shard));
            let mut owned = OwnedShards { generation: division, current: own, ..OwnedShards::default() };
            for ((_, shard), at) in self.released.range((division, 0)..=(division, Shard::MAX)) {
                match now - at {
                    age if age < self.handover => owned.leaving.push(*shard),
                    age if age < 2 * self.handover => owned.retained.push(*shard),
                    _ => {}
                }
            }
            told.push(owned);
        }
        let handover = self.handover;
        self.released.retain(|_, at| now - *at < 2 * handover);
        if told == self.current {
            return None;
        }
        let own: Vec<Vec<Shard>> = told.iter().map(|d| d.current.clone()).collect();
        if own != own_before {
            self.changes += 1;
            tracing::info!(?own, others = self.known.len(), "own shards by the list of front ends");
        }
        self.current.clone_from(&told);
        Some(told)
    }
}
