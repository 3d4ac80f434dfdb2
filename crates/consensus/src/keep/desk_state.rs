//! What the desk does with each note.

mod agree;
mod asks;
mod out;
mod retiring;

use super::desk::Tools;
use super::leading::Leading;
use crate::figures::Figures;
use crate::kinds::{Applied, Dones, Metrics};
use agree::QUEUE_MOST;
use bytes::Bytes;
use openraft::ServerState;
use stagehoist_cluster_state::{
    Command, Lead, Member, Micros, Report, ToKeeper, ToMember, Version, PROTOCOL,
};
use std::collections::{BTreeMap, VecDeque};
use std::future::Future;
use std::pin::Pin;
use tokio::sync::mpsc;

/// A front end's connection.
pub struct Conn {
    out: mpsc::Sender<Bytes>,
    member: Option<Member>,
    /// The last run under its name, when it came.
    before: Option<u64>,
    /// The view that was sent last.
    sent: Option<Version>,
}

/// Who waits for a change: a connection for its welcome, or to be closed once it left.
enum For {
    Nobody,
    Join(u64),
    Leave(u64),
    /// Told if it is refused.
    Retire(u64),
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
    leading: Leading,
    lead: Option<Lead>,
    leader: Option<u64>,
    conns: BTreeMap<u64, Conn>,
    names: BTreeMap<String, u64>,
    queue: VecDeque<(For, Command)>,
    flight: Option<(Vec<(For, Command)>, Flight)>,
    /// The newest view as it goes out, and the one that all were handed.
    view: (Version, Bytes),
    shown: Version,
    /// A retirement found no room, and none was taken since.
    is_full: bool,
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
            leading: Leading::default(),
            lead: None,
            leader: None,
            conns: BTreeMap::new(),
            names: BTreeMap::new(),
            queue: VecDeque::new(),
            flight: None,
            view: (0, Bytes::new()),
            shown: 0,
            is_full: false,
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

    /// How this keeper stands by Raft's account. It leads once its record has come far enough ([`Leading`]).
    pub fn stand(&mut self, metrics: &Metrics) {
        let term = metrics.current_term;
        let elected = metrics.state == ServerState::Leader
            && metrics.vote.committed
            && metrics.vote.leader_id.node_id == self.tools.own;
        // In one term there is one leader, so that the term tells whose an entry is.
        let applied = self.record.last.map(|l| (l.leader_id.term, l.index));
        let leads = self.leading.may(elected, metrics.vote.leader_id.term, metrics.last_log_index, applied);
        if self.lead.is_some() && (!leads || term != self.term) {
            self.follow(metrics.current_leader);
        }
        if metrics.current_leader != self.leader {
            self.leader = metrics.current_leader;
            tracing::info!(target: "stagehoist_consensus", event = "following", keeper = self.tools.own, term,
                leader = self.leader, "who leads has changed");
        }
        self.term = term;
        self.figures.last_entry = metrics.last_log_index.unwrap_or(0);
        self.figures.purged = metrics.purged.map_or(0, |l| l.index);
        if leads && self.lead.is_none() {
            let lead = Lead::new(self.tools.terms, self.now);
            self.lead = Some(match self.tools.dealing {
                Some(limits) => lead.dealing(limits),
                None => lead,
            });
            tracing::info!(target: "stagehoist_consensus", event = "leading", keeper = self.tools.own, term,
                "leading");
        }
    }

    fn follow(&mut self, leader: Option<u64>) {
        self.lead = None;
        self.queue.clear();
        self.flight = None;
        tracing::info!(target: "stagehoist_consensus", event = "following", keeper = self.tools.own,
            term = self.term,
            "no longer leading");
        for conn in self.conns.keys().copied().collect::<Vec<_>>() {
            self.turn_away(conn, ToMember::Elsewhere { leader });
        }
    }

    /// A connection's first message.
    pub fn came(&mut self, conn: u64, hello: ToKeeper, out: mpsc::Sender<Bytes>) {
        self.figures.messages_in += 1;
        self.conns.insert(conn, Conn { out, member: None, before: None, sent: None });
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
        if let Some(at) = self.conns.get_mut(&conn) {
            at.before = self.record.record.members.get(&name).map(|run| run.incarnation);
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
        tracing::info!(target: "stagehoist_consensus", event = "session", name = %member.name,
            incarnation = member.incarnation, "joined");
        let mut before = None;
        if let Some(at) = self.conns.get_mut(&conn) {
            at.member = Some(member.clone());
            before = at.before;
        }
        self.say(conn, &ToMember::Welcome { member, terms: self.tools.terms, before });
        self.show(conn);
    }

    pub fn said(&mut self, conn: u64, said: ToKeeper) {
        self.figures.messages_in += 1;
        let Some(at) = self.conns.get(&conn) else { return };
        match (said, at.member.clone()) {
            (ToKeeper::Report(report), Some(member)) => self.report(conn, &member, &report),
            (ToKeeper::Retire(retirement), Some(_)) => self.retire(conn, retirement),
            (ToKeeper::Leave, Some(member)) => self.propose(For::Leave(conn), Command::Leave(member)),
            (ToKeeper::Ask { number, turn, to, keys }, Some(member)) => {
                self.ask(conn, member, (number, turn), &to, keys);
            }
            (ToKeeper::Answer { to, number, known }, Some(member)) => self.pass(member, &to, number, known),
            (ToKeeper::Hello { .. }, _) | (_, None) => self.close(conn, "out of order"),
        }
    }

    fn report(&mut self, conn: u64, member: &Member, report: &Report) {
        // The view first: the grant is for the newest.
        self.show(conn);
        let Some(lead) = &mut self.lead else { return };
        let granted = lead.report(&self.record.record, member, report, self.now, self.acked);
        if let Some(grant) = granted {
            self.figures.promised += 1;
            self.say(conn, &ToMember::Grant(grant));
        }
    }

    /// When time alone may bring something; never, while changes are under way: what is due would be proposed
    /// again.
    pub fn next(&self) -> Option<Micros> {
        let is_open = self.flight.is_none() && self.queue.is_empty();
        self.lead.as_ref().filter(|_| is_open)?.next(&self.record.record, self.now)
    }

    /// What follows from all that came in this turn.
    pub fn finish(&mut self, ticked: bool) {
        if let Some(lead) = &mut self.lead {
            if self.flight.is_none() && self.queue.is_empty() {
                let due = lead.due(&self.record.record, self.now);
                self.queue.extend(due.into_iter().map(|c| (For::Nobody, c)).take(QUEUE_MOST));
            }
            if self.flight.is_none() && !self.queue.is_empty() {
                self.take_off();
            }
            self.show_all();
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
