//! How the session service handles each message.

mod inquiries;
mod output;
mod proposals;
mod retirements;

use super::leading::Leading;
use super::service::ServiceContext;
use crate::statistics::Statistics;
use crate::types::{Applied, BatchOutcome, Metrics};
use bytes::Bytes;
use openraft::ServerState;
use proposals::MAX_QUEUE;
use stagehoist_cluster_state::{
    Command, Leader, Member, Micros, Report, SessionRequest, SessionResponse, Version, PROTOCOL,
};
use std::collections::{BTreeMap, VecDeque};
use std::future::Future;
use std::pin::Pin;
use tokio::sync::mpsc;

/// A front end's connection.
pub struct ServiceConnection {
    output: mpsc::Sender<Bytes>,
    member: Option<Member>,
    /// Incarnation of the last run under its name, at the time of the connection.
    before: Option<u64>,
    /// Version of the view that was sent last.
    sent: Option<Version>,
}

/// What waits for a change: a connection for its welcome, or a connection to be closed once its member has left.
enum Proposer {
    Nobody,
    Join(u64),
    Leave(u64),
    /// The connection is notified if the retirement is rejected.
    Retire(u64),
}

/// Outcome of the entry in flight; `None` if it is not known.
type ProposalOutcome = Option<BatchOutcome>;
type ProposalInFlight = Pin<Box<dyn Future<Output = ProposalOutcome> + Send>>;

/// The sessions of front ends with this replica, and what it decides while it leads.
pub struct SessionService {
    pub context: ServiceContext,
    pub now: Micros,
    pub acknowledged_at: Micros,
    pub state: Applied,
    term: u64,
    leading: Leading,
    leadership: Option<Leader>,
    leader: Option<u64>,
    connections: BTreeMap<u64, ServiceConnection>,
    by_name: BTreeMap<String, u64>,
    queue: VecDeque<(Proposer, Command)>,
    in_flight: Option<(Vec<(Proposer, Command)>, ProposalInFlight)>,
    /// The newest view, encoded, and the version that was sent to all members.
    view: (Version, Bytes),
    published: Version,
    /// A retirement was deferred for lack of capacity, and none has been accepted since.
    is_full: bool,
    statistics: Statistics,
}

impl SessionService {
    /// Creates a service that has no connections and does not lead.
    pub fn new(context: ServiceContext) -> SessionService {
        SessionService {
            context,
            now: 0,
            acknowledged_at: Micros::MIN / 2,
            state: Applied::default(),
            term: 0,
            leading: Leading::default(),
            leadership: None,
            leader: None,
            connections: BTreeMap::new(),
            by_name: BTreeMap::new(),
            queue: VecDeque::new(),
            in_flight: None,
            view: (0, Bytes::new()),
            published: 0,
            is_full: false,
            statistics: Statistics::default(),
        }
    }

    /// Waits for the outcome of the entry in flight; forever, if there is none.
    pub async fn proposal_outcome(&mut self) -> ProposalOutcome {
        match &mut self.in_flight {
            Some((_, proposal)) => proposal.await,
            None => std::future::pending().await,
        }
    }

    /// Applies Raft's metrics. The replica leads once its applied state is recent enough ([`Leading`]).
    pub fn on_metrics(&mut self, metrics: &Metrics) {
        let term = metrics.current_term;
        let elected = metrics.state == ServerState::Leader
            && metrics.vote.committed
            && metrics.vote.leader_id.node_id == self.context.number;
        // A term has at most one leader, so an entry's term identifies the leader that wrote it.
        let applied = self.state.last.map(|l| (l.leader_id.term, l.index));
        let leads =
            self.leading.may_lead(elected, metrics.vote.leader_id.term, metrics.last_log_index, applied);
        if self.leadership.is_some() && (!leads || term != self.term) {
            self.on_leadership_lost(metrics.current_leader);
        }
        if metrics.current_leader != self.leader {
            self.leader = metrics.current_leader;
            tracing::info!(target: "stagehoist_consensus", event = "following", keeper = self.context.number, term,
                leader = self.leader, "leader changed");
        }
        self.term = term;
        self.statistics.last_entry = metrics.last_log_index.unwrap_or(0);
        self.statistics.purged = metrics.purged.map_or(0, |l| l.index);
        if leads && self.leadership.is_none() {
            let leadership = Leader::new(self.context.terms, self.now);
            self.leadership = Some(match self.context.allocation {
                Some(limits) => leadership.with_allocation(limits),
                None => leadership,
            });
            tracing::info!(target: "stagehoist_consensus", event = "leading", keeper = self.context.number, term,
                "leadership gained");
        }
    }

    fn on_leadership_lost(&mut self, leader: Option<u64>) {
        self.leadership = None;
        self.queue.clear();
        self.in_flight = None;
        tracing::info!(target: "stagehoist_consensus", event = "following", keeper = self.context.number,
            term = self.term,
            "leadership lost");
        for connection in self.connections.keys().copied().collect::<Vec<_>>() {
            self.reject(connection, SessionResponse::Elsewhere { leader });
        }
    }

    /// Handles a connection's first message.
    pub fn on_connected(&mut self, connection: u64, hello: SessionRequest, responses: mpsc::Sender<Bytes>) {
        self.statistics.messages_received += 1;
        self.connections.insert(
            connection,
            ServiceConnection { output: responses, member: None, before: None, sent: None },
        );
        let SessionRequest::Hello { protocol, name, member, at_least, edition, pools } = hello else {
            return self.close(connection, "first message is not a hello");
        };
        if protocol != PROTOCOL {
            let why = format!("protocol {protocol}; here it is {PROTOCOL}");
            return self.reject(connection, SessionResponse::Rejected { reason: why });
        }
        if self.leadership.is_none() {
            let leader = self.leader.filter(|l| *l != self.context.number);
            return self.reject(connection, SessionResponse::Elsewhere { leader });
        }
        if !self.admits(&name) {
            let why = "there are as many front ends as the fleet is configured to have".into();
            return self.reject(connection, SessionResponse::Rejected { reason: why });
        }
        if edition > self.state.state.view.edition {
            self.propose(Proposer::Nobody, Command::Pools { edition, pools });
        }
        if let Some(state) = self.connections.get_mut(&connection) {
            state.before = self.state.state.members.get(&name).map(|run| run.incarnation);
        }
        match member.filter(|m| m.name == name && self.state.state.is_present(m)) {
            Some(member) => self.welcome(connection, member),
            None => self.propose(Proposer::Join(connection), Command::Join { name, at_least }),
        }
    }

    fn welcome(&mut self, connection: u64, member: Member) {
        if let Some(old) = self.by_name.insert(member.name.clone(), connection) {
            self.close(old, "replaced by a new connection of the same front end");
        }
        tracing::info!(target: "stagehoist_consensus", event = "session", name = %member.name,
            incarnation = member.incarnation, "front end joined");
        let mut before = None;
        if let Some(state) = self.connections.get_mut(&connection) {
            state.member = Some(member.clone());
            before = state.before;
        }
        self.send(connection, &SessionResponse::Welcome { member, terms: self.context.terms, before });
        self.send_view(connection);
    }

    /// Handles a request of a front end.
    pub fn on_request(&mut self, connection: u64, request: SessionRequest) {
        self.statistics.messages_received += 1;
        let Some(state) = self.connections.get(&connection) else { return };
        match (request, state.member.clone()) {
            (SessionRequest::Report(report), Some(member)) => self.report(connection, &member, &report),
            (SessionRequest::Retire(retirement), Some(_)) => self.retire(connection, retirement),
            (SessionRequest::Leave, Some(member)) => {
                self.propose(Proposer::Leave(connection), Command::Leave(member))
            }
            (SessionRequest::Inquire { number, round: turn, to, keys }, Some(member)) => {
                self.on_inquiry(connection, member, (number, turn), &to, keys);
            }
            (SessionRequest::Answer { to, number, known }, Some(member)) => {
                self.forward_answer(member, &to, number, known)
            }
            (SessionRequest::Hello { .. }, _) | (_, None) => self.close(connection, "unexpected message"),
        }
    }

    fn report(&mut self, connection: u64, member: &Member, report: &Report) {
        // Sends the view first, because the grant applies to the newest view.
        self.send_view(connection);
        let Some(leadership) = &mut self.leadership else { return };
        let granted = leadership.report(&self.state.state, member, report, self.now, self.acknowledged_at);
        if let Some(grant) = granted {
            self.statistics.promised += 1;
            self.send(connection, &SessionResponse::Grant(grant));
        }
    }

    /// When the next timer is due; `None` while changes are queued or in flight, as due commands would be proposed
    /// twice.
    pub fn next_due(&self) -> Option<Micros> {
        let is_idle = self.in_flight.is_none() && self.queue.is_empty();
        self.leadership.as_ref().filter(|_| is_idle)?.next_due(&self.state.state, self.now)
    }

    /// Proposes queued changes, sends changed views and updates statistics after a batch of messages.
    pub fn finish_batch(&mut self, ticked: bool) {
        if let Some(leadership) = &mut self.leadership {
            if self.in_flight.is_none() && self.queue.is_empty() {
                let due = leadership.due_commands(&self.state.state, self.now);
                self.queue.extend(due.into_iter().map(|c| (Proposer::Nobody, c)).take(MAX_QUEUE));
            }
            if self.in_flight.is_none() && !self.queue.is_empty() {
                self.propose_batch();
            }
            self.send_views();
        }
        self.statistics.is_leader = self.leadership.is_some();
        self.statistics.is_voter = self.context.participation.may_vote();
        self.statistics.leader = self.leader;
        self.statistics.term = self.term;
        self.statistics.sessions = self.by_name.len();
        if ticked {
            let newest = &self.statistics;
            self.context.statistics.send_if_modified(|published| {
                let differs = published != newest;
                if differs {
                    published.clone_from(newest);
                }
                differs
            });
        }
    }
}
