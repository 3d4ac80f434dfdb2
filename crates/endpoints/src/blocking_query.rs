//! State of blocking queries as Consul's HTTP API defines them (feature "Blocking Queries"): the index for the next query,
//! the meaning of an answer's index, and the pause before the next query.

use stagehoist::Micros;

/// Whether the answer to a query may carry a changed list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryOutcome {
    /// The list may have changed and has to be applied.
    Changed,
    /// The wait expired without a change.
    Unchanged,
}

/// The index state of one watch on the list.
#[derive(Clone, Debug)]
pub struct BlockingQuery {
    index: u64,
    failures: u32,
    first: Micros,
    max_pause: Micros,
}

impl BlockingQuery {
    /// Creates a watch whose pause after a failure grows from `first` to at most `max`.
    pub fn new(first: Micros, max: Micros) -> BlockingQuery {
        BlockingQuery { index: 0, failures: 0, first, max_pause: max }
    }

    /// Returns the index for the next query; a query with index 0 is answered at once.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Processes an answer with this `X-Consul-Index`. If the index decreased, is missing or is 0, the next query uses
    /// index 0, as the documentation requires. Otherwise that query could block for long on an index that a restarted
    /// service reaches only much later.
    pub fn on_answer(&mut self, index: Option<u64>) -> QueryOutcome {
        self.failures = 0;
        match index {
            Some(new) if new > 0 && new >= self.index => {
                let same = new == self.index;
                self.index = new;
                if same {
                    QueryOutcome::Unchanged
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

    /// Records a failed query and returns the pause before the next one. `jitter`, from 0 to 1, spreads out many watches.
    pub fn on_failure(&mut self, jitter: f64) -> Micros {
        let pause = self.first.saturating_mul(1 << self.failures.min(20)).min(self.max_pause);
        self.failures = self.failures.saturating_add(1);
        pause / 2 + (pause as f64 / 2.0 * jitter.clamp(0.0, 1.0)) as Micros
    }
}
