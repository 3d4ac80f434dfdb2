//! What the desk does with each note.

mod agree;
mod out;

use super::desk::Tools;
use crate::figures::Figures;
use crate::frames::VIEW_MOST;
use crate::kinds::{Applied, Dones, Metrics};
use agree::QUEUE_MOST;
use bytes::Bytes;
use openraft::ServerState;
use stagehoist_registry::{Command, Lead, Member, Micros, Report, ToKeeper, ToMember, Version, PROTOCOL};
use std::collections::{BTreeMap, VecDeque};
use std::future::Future;
use std::pin::Pin;
use tokio::sync::mpsc;

/// A front end's connection.
pub struct Conn {
    out: mpsc::Sender<Bytes>,
    member: Option<Member>,
    /// The view that was sent last.
    sent: Option<Version>,
}

/// Who waits for a change: a connection for its welcome, or to be closed once it left.
enum For {
    Nobody,
    Join(u64),
    Leave(u64),
}

/// The entry under way: for whom its changes are, and what came of them; none where that is not known.
type Agreed = Option<Dones>;
type Flight = Pin<Box<dyn Future<Output = Agreed> + Send>>;

pub struct Desk {
    pub tools: Tools,
    pub now: Micros,
    pub acked: Micros,
    pub record: Applied,
    term: u64,
    lead: Option<Lead>,
    leader: Option<u64>,
    conns: BTreeMap<u64, Conn>,
    names: BTreeMap<String, u64>,
    queue: VecDeque<(For, Command)>,
    flight: Option<(Vec<(For, Command)>, Flight)>,
    /// Something changed that promises or confirmations hang on.
    is_due: bool,
    /// The newest view as it goes out.
    view: (Version, Bytes),
    figures: Figures,
}

impl Desk {
    pub fn new(tools: Tools) -> Desk {
        Desk {
            tools,
            now: 0,
            acked: Micros::MIN / 2,
            record: Applied::default(),
            term: 0,
            lead: None,
            leader: None,
            conns: BTreeMap::new(),
            names: BTreeMap::new(),
            queue: VecDeque::new(),
            flight: None,
            is_due: false,
            view: (0, Bytes::new()),
            figures: Figures::default(),
        }
    }

    /// What came of the entry under way; never, where there is none.
    pub async fn agreed(&mut self) -> Agreed {
        match &mut self.flight {
            Some((_, flight)) => flight.await,
            None => std::future::pending().await,
        }
    }

    /// How this keeper stands by Raft's account. It leads once an entry of its own term is in its record.
    pub fn stand(&mut self, metrics: &Metrics) {
        let term = metrics.current_term;
        let is_own = |l: openraft::LogId<u64>| l.leader_id == metrics.vote.leader_id;
        let leads = metrics.state == ServerState::Leader
            && metrics.vote.committed
            && metrics.vote.leader_id.node_id == self.tools.own
            && self.record.last.is_some_and(is_own);
        if self.lead.is_some() && (!leads || term != self.term) {
            self.follow(metrics.current_leader);
        }
        if metrics.current_leader != self.leader {
            self.leader = metrics.current_leader;
            tracing::info!(target: "stagehoist_keeper", event = "following", keeper = self.tools.own, term,
                leader = self.leader, "who leads has changed");
        }
        self.term = term;
        if leads && self.lead.is_none() {
            let lead = Lead::new(self.tools.terms, self.now);
            self.lead = Some(match self.tools.dealing {
                Some(limits) => lead.dealing(limits),
                None => lead,
            });
            self.is_due = true;
            tracing::info!(target: "stagehoist_keeper", event = "leading", keeper = self.tools.own, term,
                "leading");
        }
    }

    fn follow(&mut self, leader: Option<u64>) {
        self.lead = None;
        self.queue.clear();
        self.flight = None;
        tracing::info!(target: "stagehoist_keeper", event = "following", keeper = self.tools.own,
            term = self.term,
            "no longer leading");
        for conn in self.conns.keys().copied().collect::<Vec<_>>() {
            self.turn_away(conn, ToMember::Elsewhere { leader });
        }
    }

    /// A connection's first message.
    pub fn came(&mut self, conn: u64, hello: ToKeeper, out: mpsc::Sender<Bytes>) {
        self.figures.messages_in += 1;
        self.conns.insert(conn, Conn { out, member: None, sent: None });
        let ToKeeper::Hello { protocol, name, member, at_least, edition, pools } = hello else {
            return self.close(conn, "no hello");
        };
        if protocol != PROTOCOL {
            let why = format!("protocol {protocol}; here it is {PROTOCOL}");
            return self.turn_away(conn, ToMember::Refused { why });
        }
        if self.lead.is_none() {
            let leader = self.leader.filter(|l| *l != self.tools.own);
            return self.turn_away(conn, ToMember::Elsewhere { leader });
        }
        if !self.admits(&name) {
            let why = "there are as many front ends as the fleet is told to have".into();
            return self.turn_away(conn, ToMember::Refused { why });
        }
        if edition > self.record.record.view.edition {
            self.propose(For::Nobody, Command::Pools { edition, pools });
        }
        match member.filter(|m| m.name == name && self.record.record.is_present(m)) {
            Some(member) => self.welcome(conn, member),
            None => self.propose(For::Join(conn), Command::Join { name, at_least }),
        }
    }

    fn welcome(&mut self, conn: u64, member: Member) {
        if let Some(old) = self.names.insert(member.name.clone(), conn) {
            self.close(old, "its front end came anew");
        }
        tracing::info!(target: "stagehoist_keeper", event = "session", name = %member.name,
            incarnation = member.incarnation, "joined");
        if let Some(at) = self.conns.get_mut(&conn) {
            at.member = Some(member.clone());
        }
        self.is_due = true;
        self.say(conn, &ToMember::Welcome { member, terms: self.tools.terms });
        self.show(conn);
    }

    pub fn said(&mut self, conn: u64, said: ToKeeper) {
        self.figures.messages_in += 1;
        let Some(at) = self.conns.get(&conn) else { return };
        match (said, at.member.clone()) {
            (ToKeeper::Report(report), Some(member)) => self.report(conn, &member, &report),
            (ToKeeper::Retire(retirement), Some(_)) => {
                let known = self.record.record.view.retired(&retirement.function, retirement.generation);
                if self.view.1.len() > VIEW_MOST / 2 {
                    tracing::error!(target: "stagehoist_keeper", event = "retirement",
                        function = %retirement.function,
                        "the record is full");
                } else if known.is_none() {
                    tracing::info!(target: "stagehoist_keeper", event = "retirement",
                        function = %retirement.function,
                        generation = retirement.generation, "proposed");
                    self.propose(For::Nobody, Command::Retire(retirement));
                }
            }
            (ToKeeper::Leave, Some(member)) => self.propose(For::Leave(conn), Command::Leave(member)),
            (ToKeeper::Hello { .. }, _) | (_, None) => self.close(conn, "out of order"),
        }
    }

    fn report(&mut self, conn: u64, member: &Member, report: &Report) {
        // The view first: the grant is for the newest.
        self.show(conn);
        let Some(lead) = &mut self.lead else { return };
        let granted = lead.report(&self.record.record, member, report, self.now, self.acked);
        self.is_due = true;
        if let Some(grant) = granted {
            self.figures.promised += 1;
            self.say(conn, &ToMember::Grant(grant));
        }
    }

    /// What follows from all that came in this turn.
    pub fn finish(&mut self, ticked: bool) {
        if let Some(lead) = &mut self.lead {
            // None of its own changes is under way: it would propose them again.
            if (self.is_due || ticked) && self.flight.is_none() && self.queue.is_empty() {
                self.is_due = false;
                let due = lead.due(&self.record.record, self.now);
                self.queue.extend(due.into_iter().map(|c| (For::Nobody, c)).take(QUEUE_MOST));
            }
            if self.flight.is_none() && !self.queue.is_empty() {
                self.take_off();
            }
            let newest = self.record.record.view.version;
            let behind = |c: &Conn| c.member.is_some() && c.sent != Some(newest);
            let behind: Vec<u64> = self.conns.iter().filter(|(_, c)| behind(c)).map(|(n, _)| *n).collect();
            for conn in behind {
                self.show(conn);
            }
        }
        self.figures.is_leader = self.lead.is_some();
        self.figures.votes = self.tools.gate.may_vote();
        self.figures.leader = self.leader;
        self.figures.term = self.term;
        self.figures.sessions = self.names.len();
        if ticked {
            let figures = &self.figures;
            self.tools.figures.send_if_modified(|told| {
                let differs = told != figures;
                if differs {
                    told.clone_from(figures);
                }
                differs
            });
        }
    }
}
