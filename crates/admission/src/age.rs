//! How long a message waited in its queue, where the broker stamps nothing.
//!
//! A queue is first in, first out. When it was last seen empty, and how many messages came out of it since, bounds the age
//! of each: none is older than the moment of emptiness. Its depth at a later moment tells how many came in between, and so,
//! at an even pace, when the n-th of them came. A stamp on the message counts only within these bounds, so that clocks which
//! disagree do no harm to a queue that is kept empty.

use stagehoist::Micros;

/// What is known of one queue, seen from one consumer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Age {
    /// The queue was empty then; None: not seen empty by this process.
    empty: Option<Micros>,
    /// Messages taken here since `empty`, or since the first look.
    taken: u64,
    /// Consumers that share the queue.
    consumers: u64,
    /// The first and the last depth told since `empty`: when, and all messages that had come in by then.
    first: Option<(Micros, f64)>,
    last: Option<(Micros, f64)>,
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
        let left = self.last.is_some_and(|l| ((self.taken * self.consumers) as f64) < l.1);
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
        self.first = self.first.or(Some((now, came)));
        self.last = Some((now, came));
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
        let (least, guess, most) = self.bounds(now);
        let age = stamp.map_or(guess, |s| now - s);
        age.clamp(least, most.max(least))
    }

    /// The least, likely and greatest age of the message taken last.
    fn bounds(&self, now: Micros) -> (Micros, Micros, Micros) {
        let place = (self.taken * self.consumers) as f64;
        let most = self.empty.map_or(Micros::MAX / 4, |t| now - t);
        let Some((at, came)) = self.last else {
            // No depth told yet: it came at some time since the queue was empty.
            return (0, self.empty.map_or(0, |t| (now - t) / 2), most);
        };
        if place > came {
            // It came after the last look.
            return (0, (now - at) / 2, most.min(now - at).max(0));
        }
        // Where the queue was empty once, the way from there to the last look; else the pace between two looks.
        let came_at = match (self.empty, self.first) {
            (Some(t), _) => t + ((at - t) as f64 * place / came) as Micros,
            (None, Some((from, at_first))) if at > from && came > at_first => {
                let pace = (came - at_first) / (at - from) as f64;
                at - ((came - place) / pace) as Micros
            }
            _ => self.first.map_or(at, |f| f.0),
        };
        // With others taking in turn the place is a guess; that it was there at the first look is surer.
        let seen = self.first.filter(|f| place <= f.1 && self.consumers == 1).map_or(0, |f| now - f.0);
        (seen, (now - came_at).max(seen), most)
    }
}
