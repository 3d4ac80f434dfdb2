//! What is abandoned, withdrawn or lost, and what the end of the connection means for each that was open.

use super::{Closure, ConnectionState, Exchange, PendingExchange, ProtocolViolation, Tag, STOPPED};
use bytes::BytesMut;
use stagehoist::{Micros, Outcome};
use stagehoist_gateway::state::{AttemptResult, Input};

impl ConnectionState {
    /// Abandons a request. Nothing is written where none of it was; the line counts as silent where nothing
    /// came since it was written `patience` ago or longer. Where a part of it was written the rest never is,
    /// as that would have it begin: the line takes nothing more ([`ConnectionState::is_truncated`]), and what waits on it is
    /// to be withdrawn. True where the connection is to be ended, as nothing that began is left on such a
    /// line.
    pub fn stop(&mut self, id: u64, text: &str, now: Micros, patience: Micros) -> bool {
        let tag = Tag::Call(id);
        let Some(open) = self.pending.remove(&tag) else { return false };
        self.attempts -= 1;
        match open.started_at {
            None => self.unqueue(tag),
            Some(at) => {
                self.silent |= self.read <= at && now - at >= patience;
                if open.written_at.is_none() {
                    self.is_truncated = true;
                    self.queue.clear();
                }
                if !self.is_truncated {
                    if self.stopped.len() == STOPPED {
                        self.stopped.pop_front();
                    }
                    self.stopped.push_back(id);
                    self.push(None, format!("STOP {text}\r\n").into_bytes(), now);
                }
            }
        }
        self.is_spent()
    }

    /// Takes back a request that is not written whole and must not begin now. Where nothing of it was written that is reported as
    /// `Full`; else as an error, and the line takes nothing more, as after [`ConnectionState::stop`]. True where the connection is to be
    /// ended.
    pub fn take_back(&mut self, id: u64, now: Micros, inputs: &mut Vec<Input>) -> bool {
        let tag = Tag::Call(id);
        let Some(open) = self.pending.get(&tag).filter(|open| open.written_at.is_none()) else {
            return false;
        };
        let outcome = if open.started_at.is_some() {
            self.is_truncated = true;
            self.queue.clear();
            Outcome::Error
        } else {
            self.unqueue(tag);
            Outcome::Full
        };
        self.finish(tag, outcome, now, inputs);
        self.is_spent()
    }

    /// When the next order that is awaited here counts as lost.
    pub fn order_due(&self, order: Micros) -> Option<Micros> {
        let due = |o: &PendingExchange| match o.exchange {
            Exchange::Load { sent, .. } => Some(sent + order),
            _ => None,
        };
        self.pending.values().filter_map(due).min()
    }

    /// Whether nothing more is written here.
    pub fn is_truncated(&self) -> bool {
        self.is_truncated
    }

    /// Whether nothing is awaited any more on a line that takes nothing.
    pub fn is_spent(&self) -> bool {
        self.is_truncated && self.pending.values().all(|o| o.started_at.is_none())
    }

    /// Takes out what was not begun to be written. What was must be written to its end, or nothing behind it can be read.
    fn unqueue(&mut self, tag: Tag) {
        self.queue.retain(|item| item.tag != Some(tag) || item.done > 0);
    }

    /// Orders that waited here for longer than they count, or than they may, are not begun any more.
    pub fn withdraw_overdue(&mut self, now: Micros, order: Micros, inputs: &mut Vec<Input>) {
        let outcome = |o: &PendingExchange| match o.exchange {
            Exchange::Load { sent, .. } if now - sent >= order => Some(Outcome::Timeout),
            Exchange::Load { start_by, .. } if now > start_by => Some(Outcome::Superseded),
            _ => None,
        };
        let unbegun = self.pending.iter().filter(|(_, o)| o.started_at.is_none());
        let over: Vec<(Tag, Outcome)> = unbegun.filter_map(|(tag, o)| Some((*tag, outcome(o)?))).collect();
        for (tag, outcome) in over {
            self.unqueue(tag);
            self.finish(tag, outcome, now, inputs);
        }
    }

    /// Withdraws what was not begun to be written, as the executor or this connection takes nothing new. The latter is this
    /// side's doing and says nothing against the executor.
    pub fn withdraw(&mut self, now: Micros, inputs: &mut Vec<Input>) {
        let outcome = if self.is_truncated { Outcome::Full } else { Outcome::ConnectFailed };
        let unbegun = |o: &PendingExchange| {
            o.started_at.is_none() && (self.is_truncated || !matches!(o.exchange, Exchange::Probe { .. }))
        };
        let tags: Vec<Tag> = self.pending.iter().filter(|(_, o)| unbegun(o)).map(|(t, _)| *t).collect();
        for tag in tags {
            self.unqueue(tag);
            self.finish(tag, outcome, now, inputs);
        }
    }

    fn finish(&mut self, tag: Tag, outcome: Outcome, at: Micros, inputs: &mut Vec<Input>) {
        self.answered(
            tag,
            AttemptResult { read_at: at, ..AttemptResult::without_answer(outcome) },
            0,
            inputs,
        );
    }

    /// The connection ended: each that was open ends, by what is known of it.
    pub fn end(&mut self, how: Closure, now: Micros, inputs: &mut Vec<Input>) {
        let mut tags: Vec<(Tag, bool)> =
            self.pending.iter().map(|(t, o)| (*t, o.started_at.is_some())).collect();
        tags.sort_by_key(|(tag, _)| match tag {
            Tag::Call(id) | Tag::Internal(id) => *id,
        });
        for (tag, begun) in tags {
            let order = self.pending.get(&tag).is_some_and(|o| matches!(o.exchange, Exchange::Load { .. }));
            let outcome = match how {
                // An order that never left says nothing about its worker, nor of copies there.
                Closure::LocalFailure if order => Outcome::Superseded,
                Closure::LocalFailure => Outcome::Full,
                _ if !begun => Outcome::ConnectFailed,
                Closure::NotConnected => Outcome::ConnectFailed,
                Closure::Broken => Outcome::Reset,
                Closure::ProtocolViolated => Outcome::Error,
            };
            self.finish(tag, outcome, now, inputs);
        }
        self.queue.clear();
        self.buffer = BytesMut::new();
    }

    /// Ends health checks and orders that were never answered, and tells whether an answer stopped short on the way.
    pub fn expire(
        &mut self,
        now: Micros,
        patience: Micros,
        order: Micros,
        inputs: &mut Vec<Input>,
    ) -> Result<(), ProtocolViolation> {
        if !self.buffer.is_empty() && now - self.read >= patience {
            return Err(ProtocolViolation::Short);
        }
        let over = |o: &PendingExchange| match o.exchange {
            Exchange::Attempt { .. } => false,
            Exchange::Probe { sent, .. } => now - sent >= patience,
            Exchange::Load { sent, .. } => now - sent >= order,
        };
        self.withdraw_overdue(now, order, inputs);
        // An order that counts as lost must not arrive after all: what may still lie on its way goes with the connection.
        // It does where a part of it is not written, whatever came meanwhile, and where nothing came since it was.
        let lies = |o: &PendingExchange| {
            matches!(o.exchange, Exchange::Load { .. })
                && over(o)
                && o.written_at.is_none_or(|at| self.read <= at)
        };
        if self.pending.values().any(lies) {
            return Err(ProtocolViolation::Silent);
        }
        let tags: Vec<Tag> = self.pending.iter().filter(|(_, o)| over(o)).map(|(t, _)| *t).collect();
        for tag in tags {
            self.unqueue(tag);
            self.finish(tag, Outcome::Timeout, now, inputs);
        }
        Ok(())
    }
}
