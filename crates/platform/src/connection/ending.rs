//! Ends exchanges: abandoned and withdrawn ones, and those that were open when the connection ended.

use super::delivery::Position;
use super::{
    AbandonedRequest, Closure, ConnectionState, Exchange, PendingExchange, ProtocolViolation, Tag,
    MAX_ABANDONED,
};
use bytes::BytesMut;
use stagehoist::{Micros, Outcome};
use stagehoist_gateway::state::{AttemptResult, Input};

impl ConnectionState {
    /// Abandons a request. An unwritten request is removed from the queue. The connection counts as silent if the
    /// write of the request began at least `timeout` ago and nothing was read since. A partly written request is not
    /// completed, because the executor would then start it. In that case nothing more is written on the connection
    /// ([`ConnectionState::is_truncated`]), and the caller must withdraw the requests queued on it. A completely
    /// written request may still be on its way: the executor must confirm its arrival, or [`ConnectionState::expire`]
    /// fails. Returns true if the connection is to be reset: it is truncated and awaits no answer to a request that
    /// was started, or it is silent and of no use to other requests.
    pub fn abandon(&mut self, id: u64, text: &str, now: Micros, timeout: Micros) -> bool {
        let tag = Tag::Call(id);
        let Some(open) = self.pending.remove(&tag) else { return false };
        self.attempts -= 1;
        match open.started_at {
            None => self.remove_queued(tag),
            Some(at) => {
                self.is_silent |= self.last_read <= at && now - at >= timeout;
                match open.written {
                    None => {
                        self.is_truncated = true;
                        self.queue.clear();
                    }
                    Some(written) => {
                        let request = AbandonedRequest { id, position: written.position };
                        return self.stop(request, text, now);
                    }
                }
            }
        }
        self.is_spent()
    }

    /// Tells the executor to stop a completely written request, and to confirm that the request has arrived if that is
    /// not known. Returns true if the connection is to be reset instead, which stops the request as well.
    fn stop(&mut self, request: AbandonedRequest, text: &str, now: Micros) -> bool {
        let is_unconfirmed = self.deliveries.on_abandoned(request.position, now);
        if self.is_truncated {
            return self.is_spent();
        }
        if is_unconfirmed && self.is_silent && self.is_idle() {
            return true;
        }
        let is_checked = self.has_probe_after(request.position);
        if self.abandoned.len() == MAX_ABANDONED {
            self.abandoned.pop_front();
        }
        self.abandoned.push_back(request);
        self.push(None, format!("STOP {text}\r\n").into_bytes(), now);
        if is_unconfirmed && !is_checked && !self.forbids_probes {
            self.send_probe("NOOP", Exchange::DeliveryCheck { sent: now }, now);
        }
        false
    }

    /// Whether an unanswered probe is or will be written behind this position.
    fn has_probe_after(&self, position: Position) -> bool {
        let is_after = |open: &PendingExchange| open.written.is_none_or(|probe| probe.position > position);
        self.pending.values().any(|open| open.exchange.is_probe() && is_after(open))
    }

    /// Withdraws a request that is not completely written and must not start any more. An unwritten request ends as
    /// `Full`; a partly written one ends as an error, and nothing more is written on the connection, as after
    /// [`ConnectionState::abandon`]. Returns true if the connection is to be closed.
    pub fn withdraw_call(&mut self, id: u64, now: Micros, inputs: &mut Vec<Input>) -> bool {
        let tag = Tag::Call(id);
        let Some(open) = self.pending.get(&tag).filter(|open| open.written.is_none()) else {
            return false;
        };
        let outcome = if open.started_at.is_some() {
            self.is_truncated = true;
            self.queue.clear();
            Outcome::Error
        } else {
            self.remove_queued(tag);
            Outcome::Full
        };
        self.finish(tag, outcome, now, inputs);
        self.is_spent()
    }

    /// Returns when the next pending load order counts as lost, or the next abandoned request as undelivered.
    pub fn next_timeout(&self, load_timeout: Micros) -> Option<Micros> {
        let due = |o: &PendingExchange| match o.exchange {
            Exchange::Load { sent, .. } => Some(sent + load_timeout),
            _ => None,
        };
        self.pending.values().filter_map(due).chain(self.deliveries.next_deadline()).min()
    }

    /// Whether no message that may still be on its way to the executor could start a request there.
    pub fn is_settled(&self) -> bool {
        !self.deliveries.has_unconfirmed() && !self.pending.values().any(PendingExchange::is_started)
    }

    /// Whether nothing more may be written on this connection.
    pub fn is_truncated(&self) -> bool {
        self.is_truncated
    }

    /// Whether the connection is truncated and awaits no answer to anything that was started.
    pub fn is_spent(&self) -> bool {
        self.is_truncated && !self.pending.values().any(PendingExchange::is_started)
    }

    /// Removes a queued message that is not started. A partly written message must be completed, because otherwise
    /// the executor could not parse what follows.
    fn remove_queued(&mut self, tag: Tag) {
        self.queue.retain(|item| item.tag != Some(tag) || item.done > 0);
    }

    /// Withdraws queued load orders that are past their timeout or past their `start_by` time.
    pub fn withdraw_overdue(&mut self, now: Micros, load_timeout: Micros, inputs: &mut Vec<Input>) {
        let outcome = |o: &PendingExchange| match o.exchange {
            Exchange::Load { sent, .. } if now - sent >= load_timeout => Some(Outcome::Timeout),
            Exchange::Load { start_by, .. } if now > start_by => Some(Outcome::Superseded),
            _ => None,
        };
        let unstarted = self.pending.iter().filter(|(_, o)| o.started_at.is_none());
        let overdue: Vec<(Tag, Outcome)> =
            unstarted.filter_map(|(tag, o)| Some((*tag, outcome(o)?))).collect();
        for (tag, outcome) in overdue {
            self.remove_queued(tag);
            self.finish(tag, outcome, now, inputs);
        }
    }

    /// Withdraws everything that is not started, because the executor or this connection accepts nothing new. If the
    /// connection is truncated, the outcome is `Full`: the cause is on this side and must not count against the
    /// executor. Otherwise the outcome is `ConnectFailed`, and health checks stay queued.
    pub fn withdraw(&mut self, now: Micros, inputs: &mut Vec<Input>) {
        let outcome = if self.is_truncated { Outcome::Full } else { Outcome::ConnectFailed };
        let unstarted =
            |o: &PendingExchange| o.started_at.is_none() && (self.is_truncated || !o.exchange.is_probe());
        let tags: Vec<Tag> = self.pending.iter().filter(|(_, o)| unstarted(o)).map(|(t, _)| *t).collect();
        for tag in tags {
            self.remove_queued(tag);
            self.finish(tag, outcome, now, inputs);
        }
    }

    fn finish(&mut self, tag: Tag, outcome: Outcome, at: Micros, inputs: &mut Vec<Input>) {
        self.on_answer(
            tag,
            AttemptResult { read_at: at, ..AttemptResult::without_answer(outcome) },
            0,
            inputs,
        );
    }

    /// Ends all pending exchanges after the connection ended, each with the outcome that its progress implies.
    pub fn end(&mut self, closure: Closure, now: Micros, inputs: &mut Vec<Input>) {
        let mut tags: Vec<(Tag, bool)> =
            self.pending.iter().map(|(t, o)| (*t, o.started_at.is_some())).collect();
        tags.sort_by_key(|(tag, _)| match tag {
            Tag::Call(id) | Tag::Internal(id) => *id,
        });
        for (tag, has_started) in tags {
            let is_load = self.pending.get(&tag).is_some_and(|o| matches!(o.exchange, Exchange::Load { .. }));
            let outcome = match closure {
                // A load order that was never sent must not count against its worker or the copies there.
                Closure::LocalFailure if is_load => Outcome::Superseded,
                Closure::LocalFailure => Outcome::Full,
                _ if !has_started => Outcome::ConnectFailed,
                Closure::NotConnected => Outcome::ConnectFailed,
                Closure::Broken => Outcome::Reset,
                Closure::ProtocolViolated => Outcome::Error,
            };
            self.finish(tag, outcome, now, inputs);
        }
        self.queue.clear();
        self.buffer = BytesMut::new();
    }

    /// Ends health checks and load orders that were not answered in time. Returns an error if the connection has to
    /// be closed because an answer is incomplete, or an overdue load order or an abandoned request may still reach the
    /// executor.
    pub fn expire(
        &mut self,
        now: Micros,
        timeout: Micros,
        load_timeout: Micros,
        inputs: &mut Vec<Input>,
    ) -> Result<(), ProtocolViolation> {
        if !self.buffer.is_empty() && now - self.last_read >= timeout {
            return Err(ProtocolViolation::Short);
        }
        if self.deliveries.is_overdue(now) {
            return Err(ProtocolViolation::Unconfirmed);
        }
        let is_overdue = |o: &PendingExchange| match o.exchange {
            Exchange::Attempt { .. } => false,
            Exchange::HealthCheck { sent, .. } | Exchange::DeliveryCheck { sent } => now - sent >= timeout,
            Exchange::Load { sent, .. } => now - sent >= load_timeout,
        };
        self.withdraw_overdue(now, load_timeout, inputs);
        // A load order that counts as lost must not reach the executor later, so the connection is closed while the
        // order may be on its way. An order may be on its way if it is not completely written (whatever was read
        // meanwhile), or if nothing was read since its last byte was written.
        let may_be_in_transit = |o: &PendingExchange| {
            matches!(o.exchange, Exchange::Load { .. })
                && is_overdue(o)
                && o.written.is_none_or(|written| self.last_read <= written.at)
        };
        if self.pending.values().any(may_be_in_transit) {
            return Err(ProtocolViolation::Silent);
        }
        let tags: Vec<Tag> = self.pending.iter().filter(|(_, o)| is_overdue(o)).map(|(t, _)| *t).collect();
        for tag in tags {
            self.remove_queued(tag);
            self.finish(tag, Outcome::Timeout, now, inputs);
        }
        Ok(())
    }
}
