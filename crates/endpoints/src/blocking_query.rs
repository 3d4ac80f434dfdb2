//! The state of blocking queries as Consul's HTTP API defines them (feature "Blocking Queries"): which index to ask with,
//! what an answer's index means, when to ask again.

use stagehoist::Micros;

/// What an answer to a query means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryOutcome {
    /// The list may have changed: use it.
    Changed,
    /// The wait ran out with nothing new.
    Same,
}

/// One follower's place in the sequence of indices.
#[derive(Clone, Debug)]
pub struct BlockingQuery {
    index: u64,
    failures: u32,
    first: Micros,
    max_pause: Micros,
}

impl BlockingQuery {
    /// A follower that asks again after a failure in `first` at the earliest and `most` at the latest.
    pub fn new(first: Micros, most: Micros) -> BlockingQuery {
        BlockingQuery { index: 0, failures: 0, first, max_pause: most }
    }

    /// The index for the next query; 0 answers at once.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// An answer came with this `X-Consul-Index`. An index that went backwards, or is missing or nought, starts the
    /// sequence anew: the next query asks with 0, as the documentation wants it, so that it can't block for long on an
    /// index that the restarted service will only reach much later.
    pub fn on_answer(&mut self, index: Option<u64>) -> QueryOutcome {
        self.failures = 0;
        match index {
            Some(new) if new > 0 && new >= self.index => {
                let same = new == self.index;
                self.index = new;
                if same {
                    QueryOutcome::Same
                } else {
                    QueryOutcome::Changed
                }
            }
            _ => {
                self.index = 0;
                QueryOutcome::Changed
            }
        }
    }

    /// A query failed. Gives the pause before the next one; `part` from 0 to 1 spreads followers apart.
    pub fn on_failure(&mut self, part: f64) -> Micros {
        let grown = self.first.saturating_mul(1 << self.failures.min(20)).min(self.max_pause);
        self.failures = self.failures.saturating_add(1);
        grown / 2 + (grown as f64 / 2.0 * part.clamp(0.0, 1.0)) as Micros
    }
}
