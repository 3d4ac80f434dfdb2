//! What the desk does with each note.

use super::desk::Tools;
use crate::figures::Figures;
use crate::frames::{encode, SAID_MOST, VIEW_MOST};
use crate::kinds::{Applied, Batch, Dones, Metrics, CHANGES_MOST};
use bytes::Bytes;
use openraft::ServerState;
use stagehoist_registry::{
    Command, Done, Lead, Member, Micros, Report, ToKeeper, ToMember, Version, PROTOCOL,
};
use std::collections::{BTreeMap, VecDeque};
use std::future::Future;
use std::pin::Pin;
use std::time::Duration;
use tokio::sync::mpsc;

/// Changes that wait to be proposed, and most in one entry.
const QUEUE_MOST: usize = 4096;
const BATCH_MOST: usize = CHANGES_MOST as usize / 2;
/// Length of an entry in bytes, but for one change that is longer alone.
const ENTRY_MOST: usize = 2 * SAID_MOST;
const PROPOSAL_MOST: Duration = Duration::from_secs(3);

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
            self.lead = Some(Lead::new(self.tools.terms, self.now));
            self.is_due = true;
            tracing::info!(target: "stagehoist_keeper", event = "leading", keeper = self.tools.own, term, "leading");
        }
    }

    fn follow(&mut self, leader: Option<u64>) {
        self.lead = None;
        self.queue.clear();
        self.flight = None;
        tracing::info!(target: "stagehoist_keeper", event = "following", keeper = self.tools.own, term = self.term,
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
                    tracing::error!(target: "stagehoist_keeper", event = "retirement", function = %retirement.function,
                        "the record is full");
                } else if known.is_none() {
                    tracing::info!(target: "stagehoist_keeper", event = "retirement", function = %retirement.function,
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

    fn propose(&mut self, who: For, command: Command) {
        if self.queue.len() < QUEUE_MOST {
            self.queue.push_back((who, command));
        } else if let For::Join(conn) | For::Leave(conn) = who {
            self.close(conn, "too much waits");
        }
    }

    /// The entry under way is agreed on, or it is not known whether it will be.
    pub fn settle(&mut self, done: Agreed) {
        let Some((asked, _)) = self.flight.take() else { return };
        self.record = self.tools.applied.borrow().clone();
        self.is_due = true;
        let results = done.map(|d| d.0).unwrap_or_default();
        for (at, (who, command)) in asked.into_iter().enumerate() {
            match (who, results.get(at)) {
                (For::Join(conn), Some(Done::Joined(member))) if self.conns.contains_key(&conn) => {
                    self.welcome(conn, member.clone());
                }
                (For::Join(conn), Some(Done::Refused { why })) => {
                    self.turn_away(conn, ToMember::Refused { why: why.clone() });
                }
                // Its front end comes again; a run that was counted in vain is not missed.
                (For::Join(conn), None) => self.close(conn, "not agreed on"),
                (For::Leave(conn), _) => self.close(conn, "left"),
                (For::Nobody, Some(Done::Refused { why })) => {
                    tracing::warn!(target: "stagehoist_keeper", event = "retirement", why, "a change is refused");
                }
                _ => {}
            }
            if let (Command::InForce { function, generation, but_for }, Some(Done::Changed)) =
                (command, results.get(at))
            {
                tracing::info!(target: "stagehoist_keeper", event = "retirement", %function, generation, ?but_for,
                    "in force");
            }
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

    fn take_off(&mut self) {
        let mut length = 0;
        let mut fits = |(_, command): &(For, Command)| {
            length += encode(command).map_or(0, |c| c.len());
            length <= ENTRY_MOST
        };
        let fitting = self.queue.iter().take(BATCH_MOST).take_while(|c| fits(c)).count().max(1);
        let asked: Vec<_> = self.queue.drain(..fitting.min(self.queue.len())).collect();
        let batch = Batch(asked.iter().map(|(_, c)| c.clone()).collect());
        self.figures.proposals += 1;
        self.figures.changes += asked.len() as u64;
        let raft = self.tools.raft.clone();
        let flight = async move {
            let written = tokio::time::timeout(PROPOSAL_MOST, raft.client_write(batch)).await;
            Some(written.ok()?.ok()?.data)
        };
        self.flight = Some((asked, Box::pin(flight)));
    }

    /// Sends the newest view, where it was not sent yet.
    fn show(&mut self, conn: u64) {
        let view = &self.record.record.view;
        let Some(at) = self.conns.get_mut(&conn) else { return };
        if at.sent == Some(view.version) {
            return;
        }
        at.sent = Some(view.version);
        if self.view.0 != view.version || self.view.1.is_empty() {
            let Ok(frame) = encode(&ToMember::View(view.clone())) else { return };
            self.view = (view.version, frame);
        }
        let frame = self.view.1.clone();
        self.hand(conn, frame);
    }

    fn say(&mut self, conn: u64, message: &ToMember) {
        if let Ok(frame) = encode(message) {
            self.hand(conn, frame);
        }
    }

    fn hand(&mut self, conn: u64, frame: Bytes) {
        let Some(at) = self.conns.get(&conn) else { return };
        if at.out.try_send(frame).is_ok() {
            self.figures.messages_out += 1;
        } else {
            self.close(conn, "it does not read");
        }
    }

    fn turn_away(&mut self, conn: u64, message: ToMember) {
        self.say(conn, &message);
        self.close(conn, "turned away");
    }

    /// Ends a connection: what was handed over still goes out.
    pub fn close(&mut self, conn: u64, why: &str) {
        let Some(at) = self.conns.remove(&conn) else { return };
        if let Some(member) = at.member {
            if self.names.get(&member.name) == Some(&conn) {
                self.names.remove(&member.name);
            }
            tracing::info!(target: "stagehoist_keeper", event = "session", name = %member.name,
                incarnation = member.incarnation, why, "left");
        }
    }
}
