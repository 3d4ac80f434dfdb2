//! Estimates how long a message waited in its queue if the broker adds no timestamp.
//!
//! A queue is first in, first out. The time at which it was last seen empty and the number of messages consumed since
//! then bound the age of each message: none arrived before that time. A later depth report gives the number of messages
//! that arrived since then. The arrival time of the n-th message follows from it if the arrival rate is assumed
//! constant. A timestamp on the message is clamped to these bounds, so that clock skew does no harm to a queue that is
//! kept empty.

use stagehoist::Micros;

/// Number of messages that had arrived in the queue by a point in time, counted since it was empty or first observed.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Arrivals {
    at: Micros,
    messages: f64,
}

/// Age estimate for the messages of one queue, from the view of one consumer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueAge {
    /// When the queue was last empty; None: this process has never seen it empty.
    empty: Option<Micros>,
    /// Messages received here since `empty`, or since the first observation.
    received: u64,
    /// Consumers that share the queue.
    consumers: u64,
    /// The first and the last depth that the broker reported since `empty`.
    first: Option<Arrivals>,
    last: Option<Arrivals>,
    /// This process was suspended for a while: a pause in deliveries means nothing until the broker has reported the
    /// depth.
    is_doubtful: bool,
}

impl Default for QueueAge {
    fn default() -> QueueAge {
        QueueAge { empty: None, received: 0, consumers: 1, first: None, last: None, is_doubtful: false }
    }
}

impl QueueAge {
    /// Records that the queue is empty: the broker may send and has no message.
    pub fn on_empty(&mut self, now: Micros) {
        *self = QueueAge { empty: Some(now), consumers: self.consumers, ..QueueAge::default() };
    }

    /// Records that the broker may send and sends nothing. The queue counts as empty only if all messages known to wait
    /// were received, because a broker also pauses between two parts of a long backlog.
    pub fn on_idle(&mut self, now: Micros) {
        let known = (self.empty.is_some() || self.last.is_some()) && !self.is_doubtful;
        let has_backlog = self.last.is_some_and(|l| ((self.received * self.consumers) as f64) < l.messages);
        if known && !has_backlog {
            self.on_empty(now);
        }
    }

    /// Records the queue's depth (messages ready) and number of consumers, as the broker reports them for a passive declare.
    pub fn on_depth(&mut self, depth: u64, consumers: u64, now: Micros) {
        self.consumers = consumers.max(1);
        self.is_doubtful = false;
        if depth == 0 {
            return self.on_empty(now);
        }
        // With several consumers in round-robin, each has received an equal share.
        let arrived = (self.received * self.consumers + depth) as f64;
        let arrivals = Arrivals { at: now, messages: arrived };
        self.first = self.first.or(Some(arrivals));
        self.last = Some(arrivals);
    }

    /// Records that the connection was lost or is new: messages already received may be redelivered, so only the time at
    /// which the queue was empty is kept.
    pub fn on_reconnect(&mut self) {
        *self = QueueAge { empty: self.empty, ..QueueAge::default() };
    }

    /// Records that this process was suspended for a while. The messages sent to it meanwhile arrive in parts with pauses
    /// between them, so a pause does not mean an empty queue. The answer to a depth query sent now arrives after all of
    /// them.
    pub fn on_suspended(&mut self) {
        self.is_doubtful = true;
    }

    /// Whether the broker has not yet reported the depth since [`QueueAge::on_suspended`].
    pub fn awaits_depth(&self) -> bool {
        self.is_doubtful
    }

    /// Whether the depth should be queried: the queue has not been seen empty for `after` microseconds.
    pub fn needs_depth(&self, now: Micros, after: Micros) -> bool {
        self.empty.is_none_or(|t| now - t > after)
    }

    /// Records a received message and returns how long it waited, in microseconds. `stamp` is the time at which it was
    /// published, if the message carries it, converted to this process's clock.
    pub fn on_message(&mut self, stamp: Option<Micros>, redelivered: bool, now: Micros) -> Micros {
        self.received += 1;
        if redelivered {
            // It was delivered to another consumer before, so its position in the queue is not known.
            return stamp.map_or(0, |s| (now - s).max(0));
        }
        let bounds = self.bounds(now);
        let age = stamp.map_or(bounds.likely, |published| now - published);
        age.clamp(bounds.least, bounds.greatest.max(bounds.least))
    }

    /// Returns bounds on the age of the message received last.
    fn bounds(&self, now: Micros) -> AgeBounds {
        let position = (self.received * self.consumers) as f64;
        let greatest = self.empty.map_or(Micros::MAX / 4, |empty| now - empty);
        let Some(last) = self.last else {
            // No depth is known yet: the message arrived at some time since the queue was empty.
            let likely = self.empty.map_or(0, |empty| (now - empty) / 2);
            return AgeBounds { least: 0, likely, greatest };
        };
        if position > last.messages {
            // It arrived after the last depth report.
            let since_last = now - last.at;
            return AgeBounds { least: 0, likely: since_last / 2, greatest: greatest.min(since_last).max(0) };
        }
        let arrived_at = self.arrival_time(position, last);
        // With other consumers the position is only an estimate, so the first depth report gives no lower bound.
        let in_first_report = |first: &Arrivals| position <= first.messages && self.consumers == 1;
        let least = self.first.filter(in_first_report).map_or(0, |first| now - first.at);
        AgeBounds { least, likely: (now - arrived_at).max(least), greatest }
    }

    /// Estimates when the message at this position arrived, by the arrival rate: since the queue was empty if that is
    /// known, otherwise between the first and the last depth report.
    fn arrival_time(&self, position: f64, last: Arrivals) -> Micros {
        if let Some(empty) = self.empty {
            return empty + ((last.at - empty) as f64 * position / last.messages) as Micros;
        }
        let Some(first) = self.first else { return last.at };
        if last.at <= first.at || last.messages <= first.messages {
            return first.at;
        }
        let rate = (last.messages - first.messages) / (last.at - first.at) as f64;
        last.at - ((last.messages - position) / rate) as Micros
    }
}

/// The minimum, likely and maximum age of a message, in microseconds.
struct AgeBounds {
    least: Micros,
    likely: Micros,
    greatest: Micros,
}
