//! Computes which shards a front end of a divided fleet owns according to the list of front ends, without I/O.
//!
//! Nothing is owned before the first complete list. A shard that is gained is owned at once. A shard that is lost is
//! handed over: its queue is consumed until the new owners know the list too. Then the queue is cancelled, and the
//! shard's calls and workers are retained for the same time again, because messages may already be on their way from
//! the queue. A failed list changes nothing.

use crate::discovery::front_ends::Entry;
use stagehoist::Micros;
use stagehoist_config::Config;
use stagehoist_sharding::{Division, Divisions, FrontEnd, FrontEnds, Key, Member, Shard, MAX_MEMBERS};
use std::collections::BTreeMap;

/// Safety margin added to the time within which all front ends know a list, before a queue is left; it covers a
/// `basic.cancel` and its answer.
const MARGIN: Micros = 1_000_000;

/// The shards that a front end has of one division served, in ascending order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OwnedShards {
    pub generation: u32,
    pub current: Vec<Shard>,
    /// No longer owned; their queues are still consumed.
    pub leaving: Vec<Shard>,
    /// Their queues are no longer consumed; late deliveries from them are still accepted.
    pub retained: Vec<Shard>,
}

impl OwnedShards {
    /// Returns the shards whose functions and workers belong to this front end.
    pub fn served(&self) -> Vec<Shard> {
        let mut members = [&self.current[..], &self.leaving, &self.retained].concat();
        members.sort_unstable();
        members
    }

    /// Returns the shards whose queues are consumed.
    pub fn consumed(&self) -> impl Iterator<Item = Shard> + '_ {
        self.current.iter().chain(&self.leaving).copied()
    }
}

/// The shards of one front end according to the list of front ends.
#[derive(Debug)]
pub struct Ownership {
    divisions: Divisions,
    member: Member,
    name: String,
    /// Name of this front end's zone; `None` if zones aren't configured and all front ends count as one zone.
    zone: Option<String>,
    handover_time: Micros,
    /// `None` before the first list.
    front_ends: Option<FrontEnds>,
    /// The other front ends of this zone. The membership of another zone does not affect the shards owned here.
    known: BTreeMap<Key, FrontEnd>,
    /// Shards that are no longer owned, keyed by their division's generation and the shard, with the time at which
    /// each was lost. The divisions bound how many there are.
    released: BTreeMap<(u32, Shard), Micros>,
    current: Vec<OwnedShards>,
    omitted: usize,
    is_listed: bool,
    /// Number of lists that changed the owned shards.
    pub changes: u64,
}

impl Ownership {
    /// Returns `None` if front ends own shards by their numbers, or the fleet isn't divided. `first` in the
    /// configuration is this front end's number.
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
            handover_time: list.interval() + MARGIN,
            front_ends: None,
            known: BTreeMap::new(),
            released: BTreeMap::new(),
            current: Vec::new(),
            omitted: 0,
            is_listed: true,
            changes: 0,
        })
    }

    /// Returns the number of other front ends of this zone.
    pub fn front_end_count(&self) -> usize {
        self.known.len()
    }

    /// Returns for how long the queue of a lost shard is still consumed. Its late deliveries are accepted for the
    /// same time again.
    pub fn handover_time(&self) -> Micros {
        self.handover_time
    }

    /// Returns whether a complete list was received.
    pub fn is_known(&self) -> bool {
        self.front_ends.is_some()
    }

    /// Applies a complete list. Returns the owned shards if they changed.
    pub fn listed(&mut self, list: &[Entry], now: Micros) -> Option<Vec<OwnedShards>> {
        let listed = self.zone_members(list);
        let changed: Vec<(Key, Option<FrontEnd>)> = {
            let added = listed.iter().filter(|(key, f)| self.known.get(key) != Some(f));
            let removed = self.known.keys().filter(|key| !listed.contains_key(key));
            removed.map(|key| (*key, None)).chain(added.map(|(key, f)| (*key, Some(*f)))).collect()
        };
        match self.front_ends.as_mut() {
            Some(known) => drop(known.apply(&changed)),
            None => {
                let members = FrontEnds::of(&self.divisions, self.member, listed.values().copied());
                self.front_ends = Some(members);
            }
        }
        self.known = listed;
        self.recompute(now)
    }

    /// Releases shards whose handover has ended.
    pub fn tick(&mut self, now: Micros) -> Option<Vec<OwnedShards>> {
        self.due().filter(|due| *due <= now)?;
        self.recompute(now)
    }

    /// Returns when [`Ownership::tick`] is to be called next.
    pub fn due(&self) -> Option<Micros> {
        let of = |d: &OwnedShards| -> Option<Micros> {
            let at = |s: &Shard| self.released.get(&(d.generation, *s)).copied();
            let leaving = d.leaving.iter().filter_map(at).map(|at| at + self.handover_time);
            let retained_until = d.retained.iter().filter_map(at).map(|at| at + 2 * self.handover_time);
            leaving.chain(retained_until).min()
        };
        self.current.iter().filter_map(of).min()
    }

    /// Returns the other front ends of this zone. The table must hold them and this front end, so the excess of a
    /// list that is too long is omitted: the last entries by key, so that every front end omits the same ones. A name
    /// that is listed twice counts once, by its last line.
    fn zone_members(&mut self, list: &[Entry]) -> BTreeMap<Key, FrontEnd> {
        let is_own_zone = |e: &&Entry| self.zone.as_ref().is_none_or(|z| *z == e.zone);
        let member = |e: &Entry| {
            let member = Member::new(&e.name, self.member.zone, 1.0);
            (member.key, FrontEnd { member, serves: e.serves })
        };
        let mut listed: BTreeMap<Key, FrontEnd> = list.iter().filter(is_own_zone).map(member).collect();
        let is_listed = listed.remove(&self.member.key).is_some();
        if self.is_listed && !is_listed {
            tracing::warn!(
                name = self.name,
                "this front end is missing from the list of front ends; counting it anyway"
            );
        }
        let excess = listed.len().saturating_sub(MAX_MEMBERS - 1);
        if excess > 0 && excess != self.omitted {
            tracing::warn!(
                left_out = excess,
                most = MAX_MEMBERS,
                "list of front ends is too long; ignoring the last entries by key"
            );
        }
        (self.is_listed, self.omitted) = (is_listed, excess);
        if let Some(first_excess) = listed.keys().nth(MAX_MEMBERS - 1).copied() {
            drop(listed.split_off(&first_excess));
        }
        listed
    }

    /// Recomputes the owned shards; returns them if they changed.
    fn recompute(&mut self, now: Micros) -> Option<Vec<OwnedShards>> {
        let front_ends = self.front_ends.as_ref()?;
        let own_before: Vec<Vec<Shard>> = self.current.iter().map(|d| d.current.clone()).collect();
        let mut divisions = Vec::new();
        for (at, division) in self.divisions.served().map(Division::generation).enumerate() {
            let owned_shards = front_ends.owned_shards(division).to_vec();
            for shard in own_before.get(at).into_iter().flatten().filter(|s| !owned_shards.contains(s)) {
                self.released.insert((division, *shard), now);
            }
            self.released
                .retain(|(generation, shard), _| *generation != division || !owned_shards.contains(shard));
            let mut owned =
                OwnedShards { generation: division, current: owned_shards, ..OwnedShards::default() };
            for ((_, shard), at) in self.released.range((division, 0)..=(division, Shard::MAX)) {
                match now - at {
                    age if age < self.handover_time => owned.leaving.push(*shard),
                    age if age < 2 * self.handover_time => owned.retained.push(*shard),
                    _ => {}
                }
            }
            divisions.push(owned);
        }
        let handover_time = self.handover_time;
        self.released.retain(|_, at| now - *at < 2 * handover_time);
        if divisions == self.current {
            return None;
        }
        let own: Vec<Vec<Shard>> = divisions.iter().map(|d| d.current.clone()).collect();
        if own != own_before {
            self.changes += 1;
            tracing::info!(?own, others = self.known.len(), "owned shards changed");
        }
        self.current.clone_from(&divisions);
        Some(divisions)
    }
}
