//! What the leading keeper knows beside the record: who confirmed what, which promises stand. It is forgotten
//! with the leadership; a new leader counts every promise that it does not know of as standing for
//! [`Terms::silence`].

mod due;

use crate::{Dealer, Grant, Limits, Member, Micros, Record, Report, Terms, Version};
use std::collections::BTreeMap;

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Session {
    confirmed: Version,
    /// Until when a promise given to it may be relied on.
    promised: Micros,
}

/// How far a tombstone has come with this leader; by the change that proposed it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Course {
    seen: Micros,
    /// Since when it is in force at every member.
    settled: Option<Micros>,
    /// When the last command for it was handed out, and how many members that excepted.
    written: Option<(Micros, usize)>,
}

/// The state of a leadership.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lead {
    terms: Terms,
    began: Micros,
    sessions: BTreeMap<Member, Session>,
    courses: BTreeMap<Version, Course>,
    /// When runs in whose place another joined were last let leave.
    let_leave: Option<Micros>,
    /// The change up to which the record was judged, and when time alone may bring something.
    judged: Option<Version>,
    wake: Option<Micros>,
    /// A tombstone waits for the end of promises.
    waits: bool,
    dealer: Option<Dealer>,
}

impl Lead {
    /// A leadership begins. To be called once this keeper's record has come as far as the first entry of its
    /// own term: before, a promise could vouch for a view that was overtaken under an earlier leader.
    pub fn new(terms: Terms, now: Micros) -> Lead {
        let (sessions, courses) = (BTreeMap::new(), BTreeMap::new());
        let (let_leave, judged, wake, dealer) = (None, None, None, None);
        Lead { terms, began: now, sessions, courses, let_leave, judged, wake, waits: false, dealer }
    }

    /// Deals lanes of the record's pools too; without it none are dealt.
    pub fn dealing(mut self, limits: Limits) -> Lead {
        self.dealer = Some(Dealer::new(self.terms, limits, self.began));
        self
    }

    /// Who deals the lanes.
    pub fn dealer(&self) -> Option<&Dealer> {
        self.dealer.as_ref()
    }

    /// A member reported. `acked` is when a majority is known to have followed this leader, by this keeper's
    /// clock: the time at which the oldest of the newest answers of a majority was asked for. No promise
    /// where that is too long ago, or where the member is not a present one.
    pub fn report(
        &mut self,
        record: &Record,
        member: &Member,
        report: &Report,
        now: Micros,
        acked: Micros,
    ) -> Option<Grant> {
        if !record.is_present(member) || now.saturating_sub(acked) > self.terms.quorum {
            return None;
        }
        let given = self.terms.given();
        let session = self.sessions.entry(member.clone()).or_default();
        // Nobody can have seen more than there is.
        let confirmed = report.confirmed.min(record.view.version);
        if confirmed > session.confirmed {
            session.confirmed = confirmed;
            self.judged = None;
        }
        session.promised = session.promised.max(now + given);
        Some(Grant {
            number: report.number,
            version: record.view.version,
            lease: self.terms.lease,
            lanes: self.dealer.as_mut().map_or_else(Vec::new, |d| d.report(record, member, report, now)),
        })
    }
}
