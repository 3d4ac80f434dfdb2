//! Divides the event loop's time for reading among its connections. A connection reads only when it has a turn, and a
//! turn is one read of limited size. The turns of a round are limited too, and the runtime polls all sockets and timers
//! between rounds. So no connection keeps the loop from the others, whatever it sends, and neither do many together.
//!
//! The order of the turns is decided in `queue`. While the loop has time, a turn is granted at once.

mod queue;
mod source;
mod throttle;

pub use queue::ReadStats;
pub use source::{ReadCost, SourceKind};

use queue::{Grant, TurnQueue};
use source::SourceId;
use stagehoist::Micros;
use stagehoist_gateway::clock::Clock;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::Notify;

#[cfg(test)]
mod tests;

/// One connection's right to read. [`ReadTurns::remove`] ends it.
pub struct Turn {
    id: SourceId,
    is_waiting: Cell<bool>,
    is_granted: Cell<bool>,
    /// Since when the connection may have had the unread input for which the turn was requested.
    input_since: Cell<Micros>,
    /// The same for the first request, if there was input when the connection was accepted.
    first_input_since: Cell<Option<Micros>>,
    granted: Notify,
}

impl Turn {
    /// Whether a turn was requested and not granted yet.
    pub fn is_waiting(&self) -> bool {
        self.is_waiting.get()
    }

    /// Returns once the requested turn is granted.
    pub async fn granted(&self) {
        self.granted.notified().await;
    }

    /// States since when the connection may have had the input that its first request is for.
    pub fn set_first_input_since(&self, at: Micros) {
        self.first_input_since.set(Some(at));
    }

    /// Returns since when the connection may have had unread input.
    pub fn input_since(&self) -> Micros {
        self.input_since.get()
    }

    /// Uses the granted turn; returns false if there is none.
    pub fn take(&self) -> bool {
        self.is_granted.take()
    }

    fn grant(&self) {
        self.is_waiting.set(false);
        self.is_granted.set(true);
        self.granted.notify_one();
    }
}

/// The turns of all connections.
pub struct ReadTurns {
    clock: Clock,
    queue: RefCell<TurnQueue>,
    turns: RefCell<HashMap<SourceId, Rc<Turn>>>,
    /// When the last two rounds began, if connections waited after them.
    rounds_at: Cell<Option<[Micros; 2]>>,
    /// Notified when a round is to begin.
    round: Notify,
}

impl ReadTurns {
    /// Creates the turns of a loop without connections.
    pub fn new(clock: Clock) -> ReadTurns {
        let queue = RefCell::new(TurnQueue::new(clock.now()));
        ReadTurns {
            clock,
            queue,
            turns: RefCell::default(),
            rounds_at: Cell::new(None),
            round: Notify::new(),
        }
    }

    /// Adds a connection.
    pub fn add(&self, kind: SourceKind) -> Rc<Turn> {
        let id = self.queue.borrow_mut().add(kind);
        let turn = Rc::new(Turn {
            id,
            is_waiting: Cell::new(false),
            is_granted: Cell::new(false),
            input_since: Cell::new(0),
            first_input_since: Cell::new(None),
            granted: Notify::new(),
        });
        self.turns.borrow_mut().insert(id, turn.clone());
        turn
    }

    /// Gives a connection a greater share than others of its kind.
    pub fn prefer(&self, turn: &Turn) {
        self.queue.borrow_mut().prefer(turn.id);
    }

    /// Removes a connection that has ended.
    pub fn remove(&self, turn: &Turn) {
        self.queue.borrow_mut().remove(turn.id);
        self.turns.borrow_mut().remove(&turn.id);
    }

    /// Requests a turn for a connection with unread input. It may be granted at once.
    pub fn request(&self, turn: &Turn) {
        if turn.is_waiting.get() || turn.is_granted.get() {
            return;
        }
        let now = self.clock.now();
        let found_since = self.input_since(now);
        turn.input_since.set(turn.first_input_since.take().map_or(found_since, |at| at.min(found_since)));
        match self.queue.borrow_mut().request(turn.id, now) {
            Grant::Now => turn.is_granted.set(true),
            Grant::Later => {
                turn.is_waiting.set(true);
                self.round.notify_one();
            }
        }
    }

    /// Returns the earliest time at which input that the runtime finds at `now` may have arrived: while rounds are busy,
    /// right after the poll before the last.
    pub fn input_since(&self, now: Micros) -> Micros {
        self.rounds_at.get().map_or(now, |[earlier, _]| earlier)
    }

    /// Waits for a turn. Dropping the future leaves the request in place; the next call continues it.
    pub async fn acquire(&self, turn: &Turn) {
        self.request(turn);
        while !turn.take() {
            turn.granted().await;
        }
    }

    /// Records what a read cost. Returns true if this made the connection one that is limited from now on.
    pub fn charge(&self, turn: &Turn, cost: ReadCost) -> bool {
        let mut queue = self.queue.borrow_mut();
        let is_newly_limited = queue.charge(turn.id, cost, self.clock.now());
        if queue.needs_round() {
            self.round.notify_one();
        }
        is_newly_limited
    }

    /// Whether this connection has recently had more than its share, so that its input may wait.
    pub fn is_backlogged(&self, turn: &Turn) -> bool {
        self.queue.borrow().is_backlogged(turn.id, self.clock.now())
    }

    /// Returns the number of messages without effect that this connection has sent in the seconds before `now`. The
    /// numbers of several connections can be compared if they are of the same time.
    pub fn unproductive(&self, turn: &Turn, now: Micros) -> u32 {
        self.queue.borrow().unproductive(turn.id, now) as u32
    }

    /// Returns what happened since the last call, and who waits now.
    pub fn take_stats(&self) -> ReadStats {
        self.queue.borrow_mut().take_stats()
    }

    /// Begins rounds until dropped. `queued_inputs` returns the length of the driver's input queue.
    pub async fn run(self: Rc<Self>, queued_inputs: impl Fn() -> usize) {
        loop {
            self.round.notified().await;
            while let Some(next_at) = self.begin_round(&queued_inputs).await {
                if next_at > self.clock.now() {
                    let pause = tokio::time::sleep_until(self.clock.instant(next_at));
                    tokio::select! {
                        () = pause => {}
                        () = self.round.notified() => {}
                    }
                }
            }
        }
    }

    /// Begins a round once all sockets and timers were polled. Returns when the next round may begin; None if no
    /// connection waits.
    async fn begin_round(&self, queued_inputs: &impl Fn() -> usize) -> Option<Micros> {
        // The runtime wakes a task that yields after it has polled sockets and timers.
        tokio::task::yield_now().await;
        let now = self.clock.now();
        let round = self.queue.borrow_mut().begin_round(queued_inputs(), now);
        let last = self.rounds_at.get().map_or(now, |[_, last]| last);
        self.rounds_at.set(round.next_at.map(|_| [last, now]));
        let turns = self.turns.borrow();
        for id in round.granted {
            if let Some(turn) = turns.get(&id) {
                turn.grant();
            }
        }
        round.next_at
    }
}
