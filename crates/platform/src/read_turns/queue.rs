//! The order of turns, without I/O: fair queuing. Each connection has a virtual time up to which its reads have been
//! paid for. The next turn goes to the connection whose read is expected to end at the earliest virtual time, if it
//! costs as much as its last one. A connection that was idle starts at the present virtual time, so it comes before
//! those that always have input, and saves up nothing.

use super::source::{Line, Place, ReadCost, Source, SourceId, SourceKind};
use super::throttle::SharedRate;
use stagehoist::Micros;
use std::collections::{BTreeSet, HashMap};

/// Work of one round. It is small beside the deadlines of requests, and large beside the cost of polling the sockets.
const ROUND_WORK: u64 = 256;
/// Work of limited connections in one round.
const LIMITED_WORK: u64 = 64;
/// A connection is ahead of its share if it was served this much more than the one that is served now.
const BACKLOG_WORK: u64 = 64;
/// While the driver has more inputs queued than this, clients get no turns, so that the order of their requests is
/// decided here and not by who filled the queue first.
pub(super) const MAX_QUEUED_INPUTS: usize = 256;
/// The same for preferred clients, which then get a smaller part of a round. Their requests may have to be refused early.
pub(super) const MAX_QUEUED_BESIDE_PREFERRED: usize = 4 * MAX_QUEUED_INPUTS;
/// Work of preferred clients in a round in which the others get no turns.
const PREFERRED_WORK: u64 = 64;

/// Whether a turn is granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Grant {
    Now,
    Later,
}

const LINES: usize = 4;
const KINDS: usize = 2;

/// Rounds over some time, and the connections that wait at its end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReadStats {
    pub rounds: u32,
    /// Rounds without turns for clients that are not preferred, because the driver was behind.
    pub rounds_without_clients: u32,
    /// Turns that were waited for.
    pub granted: u32,
    pub waiting_clients: usize,
    pub waiting_peers: usize,
    pub waiting_limited: usize,
}

/// The turns of a round that begins.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct Round {
    pub granted: Vec<SourceId>,
    /// When the next round may begin; None if no connection waits.
    pub next_at: Option<Micros>,
}

/// All connections and those that wait.
#[derive(Debug)]
pub(super) struct TurnQueue {
    sources: HashMap<SourceId, Source>,
    lines: [BTreeSet<Place>; LINES],
    /// Virtual time of clients and of peers: each kind has its own, because they do not wait for each other.
    virtual_time: [u64; KINDS],
    /// Work of this round.
    used: u64,
    is_driver_behind: bool,
    next_id: u64,
    next_order: u64,
    shared_rate: SharedRate,
    stats: ReadStats,
}

impl TurnQueue {
    /// Creates a queue without connections.
    pub fn new(now: Micros) -> TurnQueue {
        TurnQueue {
            sources: HashMap::new(),
            lines: Default::default(),
            virtual_time: [0; KINDS],
            used: 0,
            is_driver_behind: false,
            next_id: 0,
            next_order: 0,
            shared_rate: SharedRate::new(now),
            stats: ReadStats::default(),
        }
    }

    /// Adds a connection.
    pub fn add(&mut self, kind: SourceKind) -> SourceId {
        self.next_id += 1;
        let id = SourceId(self.next_id);
        self.sources.insert(id, Source::new(kind));
        id
    }

    /// Prefers a connection to those of its kind that are not preferred.
    pub fn prefer(&mut self, id: SourceId) {
        if let Some(source) = self.sources.get_mut(&id) {
            source.is_preferred = true;
        }
    }

    /// Removes a connection, which may be waiting.
    pub fn remove(&mut self, id: SourceId) {
        let Some(source) = self.sources.remove(&id) else { return };
        if let Some((line, place)) = source.waiting {
            self.lines[line as usize].remove(&place);
        }
    }

    /// Requests a turn. It is granted at once while this round has work left and nobody of the same line waits.
    pub fn request(&mut self, id: SourceId, now: Micros) -> Grant {
        let Some(source) = self.sources.get_mut(&id) else { return Grant::Now };
        let virtual_time = &mut self.virtual_time[source.kind as usize];
        source.start = source.finish.max(*virtual_time);
        let line = match source.kind {
            SourceKind::Peer => Line::Peers,
            SourceKind::Client if source.unproductive.is_limited(now) => Line::Limited,
            SourceKind::Client if source.is_preferred => Line::PreferredClients,
            SourceKind::Client => Line::Clients,
        };
        let is_empty = |line: Line| self.lines[line as usize].is_empty();
        let is_open = match line {
            Line::Clients | Line::PreferredClients => {
                !self.is_driver_behind && is_empty(Line::Clients) && is_empty(Line::PreferredClients)
            }
            Line::Peers => is_empty(Line::Peers),
            Line::Limited => false,
        };
        if is_open && self.used < ROUND_WORK {
            *virtual_time = source.start;
            return Grant::Now;
        }
        self.next_order += 1;
        let expected_finish = source.start + source.charge_of(source.last_work);
        let place = Place { expected_finish, order: self.next_order, start: source.start, id };
        source.waiting = Some((line, place));
        self.lines[line as usize].insert(place);
        Grant::Later
    }

    /// Records the cost of a read. Returns true if the source is limited from now on.
    pub fn charge(&mut self, id: SourceId, cost: ReadCost, now: Micros) -> bool {
        self.used += cost.work();
        let Some(source) = self.sources.get_mut(&id) else { return false };
        source.last_work = cost.work();
        source.finish = source.finish.max(source.start) + source.charge_of(source.last_work);
        if cost.unproductive > 0 {
            source.unproductive.record(cost.unproductive, now);
            if source.is_limited {
                self.shared_rate.spend(cost.unproductive);
            }
        }
        let was_limited = std::mem::replace(&mut source.is_limited, source.unproductive.is_limited(now));
        source.is_limited && !was_limited
    }

    /// Whether a round is to begin although nobody waits, so that the work of this one is forgotten.
    pub fn needs_round(&self) -> bool {
        self.used >= ROUND_WORK / 2
    }

    /// Whether a connection is limited, or was served more than the one that is served now.
    pub fn is_backlogged(&self, id: SourceId, now: Micros) -> bool {
        self.sources.get(&id).is_some_and(|source| {
            source.unproductive.is_limited(now)
                || source.finish > self.virtual_time[source.kind as usize] + BACKLOG_WORK
        })
    }

    /// Returns the number of recent messages without effect.
    pub fn unproductive(&self, id: SourceId, now: Micros) -> f64 {
        self.sources.get(&id).map_or(0.0, |source| source.unproductive.value(now))
    }

    /// Returns what happened since the last call, and who waits now.
    pub fn take_stats(&mut self) -> ReadStats {
        let waiting = |line: Line| self.lines[line as usize].len();
        let now = ReadStats {
            waiting_clients: waiting(Line::Clients) + waiting(Line::PreferredClients),
            waiting_peers: waiting(Line::Peers),
            waiting_limited: waiting(Line::Limited),
            ..self.stats
        };
        self.stats = ReadStats::default();
        now
    }

    /// Begins a round and grants its turns: to peers, then clients, then those that are limited.
    pub fn begin_round(&mut self, queued_inputs: usize, now: Micros) -> Round {
        self.used = 0;
        self.is_driver_behind = queued_inputs > MAX_QUEUED_INPUTS;
        let mut granted = Vec::new();
        self.release(&[Line::Peers], ROUND_WORK, &mut granted);
        if !self.is_driver_behind {
            self.release(&[Line::Clients, Line::PreferredClients], ROUND_WORK, &mut granted);
        } else if queued_inputs <= MAX_QUEUED_BESIDE_PREFERRED {
            self.release(&[Line::PreferredClients], PREFERRED_WORK, &mut granted);
        }
        let limited_at = self.shared_rate.available_at(now);
        if limited_at <= now {
            self.release(&[Line::Limited], LIMITED_WORK, &mut granted);
        }
        let is_line_empty = |line: Line| self.lines[line as usize].is_empty();
        let next_at = match (
            [Line::Clients, Line::PreferredClients, Line::Peers].into_iter().all(is_line_empty),
            is_line_empty(Line::Limited),
        ) {
            (true, true) => None,
            (true, false) => Some(limited_at),
            (false, _) => Some(now),
        };
        self.stats.rounds += 1;
        self.stats.rounds_without_clients += u32::from(self.is_driver_behind);
        self.stats.granted += granted.len() as u32;
        Round { granted, next_at }
    }

    /// Grants turns of these lines, in one order, until they are expected to cause this much work.
    fn release(&mut self, lines: &[Line], max_work: u64, granted: &mut Vec<SourceId>) {
        let mut expected = 0;
        while expected < max_work {
            let first = |line: &Line| self.lines[*line as usize].first().copied().map(|place| (place, *line));
            let Some((place, line)) = lines.iter().filter_map(first).min_by_key(|(place, _)| *place) else {
                return;
            };
            self.lines[line as usize].remove(&place);
            let Some(source) = self.sources.get_mut(&place.id) else { continue };
            source.waiting = None;
            expected += source.last_work;
            if line != Line::Limited {
                let virtual_time = &mut self.virtual_time[source.kind as usize];
                *virtual_time = place.start.max(*virtual_time);
            }
            granted.push(place.id);
        }
    }
}
