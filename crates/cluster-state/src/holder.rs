//! A front end's side of its session: what it was told, and until when it may rely on it by its own clock.

use crate::{Grant, Micros, Terms, Version, View};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Reports whose answers are still waited for.
const REPORTS_MOST: usize = 64;

/// What the driver of a front end reads; it never waits for it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Standing {
    /// The newest view that came.
    pub view: Arc<View>,
    /// Until then the view is known to be the newest in force; [`Micros::MIN`] before the first word.
    pub fresh_until: Micros,
    /// Lanes beside the floors, by pool and tenant, and until when.
    pub lanes: Arc<BTreeMap<(String, String), u32>>,
    pub lanes_until: Micros,
    /// Number of the grant that they came with; 0: none came.
    pub lanes_of: u64,
}

impl Standing {
    /// Whether a function may still be retired without this front end's knowledge.
    pub fn is_stale(&self, now: Micros) -> bool {
        now >= self.fresh_until
    }
}

/// Counts promises from when they were asked for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    terms: Terms,
    sent: VecDeque<(u64, Micros)>,
    next: u64,
    standing: Standing,
}

impl Holder {
    pub fn new(terms: Terms) -> Holder {
        let standing = Standing { fresh_until: Micros::MIN, lanes_until: Micros::MIN, ..Standing::default() };
        Holder { terms, sent: VecDeque::new(), next: 1, standing }
    }

    /// A connection was lost: answers to what was sent on it will not come. What was promised stands until it
    /// runs out.
    pub fn lost(&mut self) {
        self.sent.clear();
    }

    /// A report is being sent; its number.
    pub fn ask(&mut self, now: Micros) -> u64 {
        if self.sent.len() >= REPORTS_MOST {
            self.sent.pop_front();
        }
        let number = self.next;
        self.next += 1;
        self.sent.push_back((number, now));
        number
    }

    /// A view came; an older one than is known changes nothing.
    pub fn view(&mut self, view: View) -> bool {
        let newer = view.version > self.standing.view.version;
        if newer {
            self.standing.view = Arc::new(view);
        }
        newer
    }

    /// An answer came to a report.
    pub fn grant(&mut self, grant: Grant) -> bool {
        let Some(place) = self.sent.iter().position(|(n, _)| *n == grant.number) else { return false };
        let asked = self.sent[place].1;
        self.sent.drain(..=place);
        let lease = self.terms.lease.min(grant.lease);
        let until = asked + Terms { lease, ..self.terms }.held();
        if grant.version == self.standing.view.version {
            self.standing.fresh_until = self.standing.fresh_until.max(until);
        }
        if until >= self.standing.lanes_until {
            let lanes = grant.lanes.into_iter().map(|(pool, tenant, lanes)| ((pool, tenant), lanes));
            self.standing.lanes = Arc::new(lanes.collect());
            self.standing.lanes_until = until;
            self.standing.lanes_of = grant.number;
        }
        true
    }

    pub fn version(&self) -> Version {
        self.standing.view.version
    }

    pub fn standing(&self) -> &Standing {
        &self.standing
    }
}
