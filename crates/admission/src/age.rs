//! How long a message waited in its queue, where the broker stamps nothing.
//!
//! A queue is first in, first out. When it was last seen empty, and how many messages came out of it since, bounds the age
//! of each: none is older than the moment of emptiness. Its depth at a later moment tells how many came in between, and so,
//! at an even pace, when the n-th of them came. A stamp on the message counts only within these bounds, so that clocks which
//! disagree do no harm to a queue that is kept empty.

use stagehoist::Micros;

/// Messages that had come into the queue by a moment, since it was empty or first looked at.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Arrivals {
    at: Micros,
    messages: f64,
}

/// What is known of one queue, seen from one consumer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Age {
    /// The queue was empty then; None: not seen empty by this process.
    empty: Option<Micros>,
    /// Messages taken here since `empty`, or since the first look.
    taken: u64,
    /// Consumers that share the queue.
    consumers: u64,
    /// The first and the last depth that the broker gave since `empty`.
    first: Option<Arrivals>,
    last: Option<Arrivals>,
    /// This process did not run for a while: silence tells nothing until the broker has answered.
    is_doubtful: bool,
}

impl Default for Age {
    fn default() -> Age {
        Age { empty: None, taken: 0, consumers: 1, first: None, last: None, is_doubtful: false }
    }
}

impl Age {
    /// Nothing more is to be had though the broker may send: the queue is empty.
    pub fn empty(&mut self, now: Micros) {
        *self = Age { empty: Some(now), consumers: self.consumers, ..Age::default() };
    }

    /// The broker may send and sends nothing. That tells of an empty queue only once what was known to wait was taken:
    /// between two parts of a long backlog a broker pauses too.
    pub fn dry(&mut self, now: Micros) {
        let known = (self.empty.is_some() || self.last.is_some()) && !self.is_doubtful;
        let left = self.last.is_some_and(|l| ((self.taken * self.consumers) as f64) < l.messages);
        if known && !left {
            self.empty(now);
        }
    }

    /// The broker told the queue's depth (messages ready) and its consumers, as a passive declaration does.
    pub fn depth(&mut self, depth: u64, consumers: u64, now: Micros) {
        self.consumers = consumers.max(1);
        self.is_doubtful = false;
        if depth == 0 {
            return self.empty(now);
        }
        // Where several take in turn, each has had an equal part.
        let came = (self.taken * self.consumers + depth) as f64;
        let arrivals = Arrivals { at: now, messages: came };
        self.first = self.first.or(Some(arrivals));
        self.last = Some(arrivals);
    }

    /// The connection was lost or is new: what was taken may come again, the moment of emptiness stands.
    pub fn restart(&mut self) {
        *self = Age { empty: self.empty, ..Age::default() };
    }

    /// This process did not run for a while. What was sent to it meanwhile comes in parts, with pauses between, so that silence
    /// does not tell of an empty queue; the answer to a question asked now comes after all of it.
    pub fn doubt(&mut self) {
        self.is_doubtful = true;
    }

    /// Whether [`Age::doubt`] stands.
    pub fn is_doubted(&self) -> bool {
        self.is_doubtful
    }

    /// Whether the depth is worth asking for: the queue was not seen empty for `after` microseconds.
    pub fn is_unsure(&self, now: Micros, after: Micros) -> bool {
        self.empty.is_none_or(|t| now - t > after)
    }

    /// A message was taken; returns how long it waited, in microseconds. `stamp` is when it was published, where the
    /// message tells, on this process's clock.
    pub fn taken(&mut self, stamp: Option<Micros>, redelivered: bool, now: Micros) -> Micros {
        self.taken += 1;
        if redelivered {
            // It was out at another consumer, so that its place tells nothing.
            return stamp.map_or(0, |s| (now - s).max(0));
        }
        let bounds = self.bounds(now);
        let age = stamp.map_or(bounds.likely, |published| now - published);
        age.clamp(bounds.least, bounds.greatest.max(bounds.least))
    }

    /// The age of the message taken last.
    fn bounds(&self, now: Micros) -> AgeBounds {
        let place = (self.taken * self.consumers) as f64;
        let greatest = self.empty.map_or(Micros::MAX / 4, |empty| now - empty);
        let Some(last) = self.last else {
            // No depth known yet: it came at some time since the queue was empty.
            let likely = self.empty.map_or(0, |empty| (now - empty) / 2);
            return AgeBounds { least: 0, likely, greatest };
        };
        if place > last.messages {
            // It came after the last look.
            let since_last = now - last.at;
            return AgeBounds { least: 0, likely: since_last / 2, greatest: greatest.min(since_last).max(0) };
        }
        let arrived_at = self.arrival_time(place, last);
        // With others taking in turn the place is a guess; that it was there at the first look is surer.
        let was_there = |first: &Arrivals| place <= first.messages && self.consumers == 1;
        let least = self.first.filter(was_there).map_or(0, |first| now - first.at);
        AgeBounds { least, likely: (now - arrived_at).max(least), greatest }
    }

    /// When the message at this place came in, by the pace of arrivals: since the queue was empty where it was seen
    /// so, else between the first look and the last.
    fn arrival_time(&self, place: f64, last: Arrivals) -> Micros {
        if let Some(empty) = self.empty {
            return empty + ((last.at - empty) as f64 * place / last.messages) as Micros;
        }
        let Some(first) = self.first else { return last.at };
        if last.at <= first.at || last.messages <= first.messages {
            return first.at;
        }
        let pace = (last.messages - first.messages) / (last.at - first.at) as f64;
        last.at - ((last.messages - place) / pace) as Micros
    }
}

/// The least, likely and greatest age of a message, in microseconds.
struct AgeBounds {
    least: Micros,
    likely: Micros,
    greatest: Micros,
}
