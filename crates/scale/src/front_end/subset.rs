//! The workers of a front end's own shards, out of the whole list: as the product does it, by the sharding
//! package.

use super::division::Divided;
use super::scene::{Scene, SECOND};
use stagehoist::{Lifecycle, Micros, RosterForm, RosterRow, WorkerId};
use stagehoist_sharding::{Assignment, Division, Key, Member, Shard, Transition};
use std::collections::{BTreeMap, HashMap, HashSet};

/// Longer than a call of a scene or a load lasts: a worker that left the subset is told gone after it.
const DRAIN_MOST: Micros = 11 * SECOND;

pub struct Subset {
    division: Division,
    own: Vec<Shard>,
    assignment: Assignment,
    /// Workers that are ready, by key, as the list has them.
    rows: HashMap<Key, RosterRow>,
    /// In how many shards each of the subset is.
    mine: BTreeMap<WorkerId, (Key, usize)>,
    transition: Transition,
}

/// Name of a worker.
pub fn worker_name(worker: WorkerId) -> String {
    format!("s-{worker:08x}")
}

fn member(row: &RosterRow) -> Member {
    Member::new(&worker_name(row.worker), u16::from(row.zone), row.capacity)
}

impl Subset {
    pub fn new(divided: &Divided, scene: &Scene, number: u32) -> Subset {
        Subset {
            division: divided.division.clone(),
            own: divided.own(scene, number),
            assignment: Assignment::new(&divided.division),
            rows: HashMap::new(),
            mine: BTreeMap::new(),
            transition: Transition::new(DRAIN_MOST),
        }
    }

    /// Rows for the module in place of those that the list tells; what drained long enough goes with them,
    /// not by itself.
    pub fn told(&mut self, form: RosterForm, rows: &[RosterRow], now: Micros) -> Vec<RosterRow> {
        if self.assignment.is_empty() {
            let ready = rows.iter().filter(|r| r.lifecycle == Lifecycle::Ready);
            self.assignment = Assignment::of(&self.division, ready.map(member)).0;
        }
        if form == RosterForm::Full {
            let listed: HashSet<Key> = rows.iter().map(|r| member(r).key).collect();
            let gone: Vec<Key> = self.rows.keys().filter(|k| !listed.contains(k)).copied().collect();
            gone.into_iter().for_each(|k| self.goes(k));
        }
        rows.iter().for_each(|row| self.takes(row));
        let before = std::mem::take(&mut self.mine);
        for key in self.own.iter().flat_map(|s| self.assignment.of_shard(*s)) {
            let Some(row) = self.rows.get(&key) else { continue };
            self.mine.entry(row.worker).or_insert_with(|| (key, self.assignment.shards(key).len()));
        }
        let listed: HashMap<WorkerId, &RosterRow> = rows.iter().map(|r| (r.worker, r)).collect();
        let mine = |w: WorkerId| self.mine.contains_key(&w);
        let shared: Vec<RosterRow> = rows.iter().map(|r| self.shared(r)).collect();
        // A whole list leaves out what is gone.
        let drained = self.transition.expire(now).filter(|_| form != RosterForm::Full);
        let mut told = drained.map_or(Vec::new(), |t| t.rows);
        told.extend(self.transition.listed(form, &shared, mine, now).rows);
        let came = self.mine.iter().filter(|(w, m)| before.get(w) != Some(m) && !listed.contains_key(w));
        let came = came.filter_map(|(_, m)| self.rows.get(&m.0));
        let came: Vec<RosterRow> = came.map(|r| self.shared(r)).collect();
        let left = before.into_keys().filter(|w| !self.mine.contains_key(w) && !listed.contains_key(w));
        let left: Vec<WorkerId> = left.collect();
        told.extend(self.transition.moved(&came, &left, now).rows);
        told
    }

    /// Whether a worker that takes the place of another would be one of the subset.
    pub fn would_have(&mut self, old: &RosterRow, new: &RosterRow) -> bool {
        let (old, new) = (member(old), member(new));
        self.assignment.remove(old.key);
        let taken = self.assignment.insert(new).is_ok();
        let mine = self.assignment.shards(new.key).iter().any(|s| self.own.contains(s));
        // The assignment hangs on its members alone: with the same ones it is the same again.
        self.assignment.remove(new.key);
        let restored = self.assignment.insert(old).is_ok();
        taken && mine && restored
    }

    /// Each of a worker's shards is told its part of the worker.
    fn shared(&self, row: &RosterRow) -> RosterRow {
        let among = self.mine.get(&row.worker).map_or(1, |m| m.1.max(1));
        RosterRow { capacity: row.capacity / among as f64, ..row.clone() }
    }

    fn takes(&mut self, row: &RosterRow) {
        let member = member(row);
        if row.lifecycle == Lifecycle::Ready && self.assignment.insert(member).is_ok() {
            self.rows.insert(member.key, row.clone());
        } else {
            self.goes(member.key);
        }
    }

    fn goes(&mut self, key: Key) {
        self.assignment.remove(key);
        self.rows.remove(&key);
    }
}
