//! For how long this process itself did not run: stopped, throttled, or busy with one thing. What it reads after that may
//! have waited in the socket for so long, and that is neither the workers' slowness nor time that callers still have.

use stagehoist::Micros;

/// How often the loop is expected to look.
pub const BEAT: Micros = 10_000;
/// A look that comes so much later than expected means that the process did not run.
const SLACK: Micros = 15_000;

/// When the loop last looked, and its last gap.
#[derive(Clone, Copy, Debug)]
pub struct Pulse {
    beat: Micros,
    gap: (Micros, Micros),
    /// Sum and longest of the gaps, in microseconds, and their number.
    pub lost: (Micros, Micros, u64),
}

impl Pulse {
    pub fn new(now: Micros) -> Pulse {
        Pulse { beat: now, gap: (0, 0), lost: (0, 0, 0) }
    }

    /// The loop looks, as it should every [`BEAT`].
    pub fn beat(&mut self, now: Micros) {
        let passed = now - self.beat;
        self.beat = now;
        if passed > BEAT + SLACK {
            self.gap = (now, passed);
            self.lost = (self.lost.0 + passed, self.lost.1.max(passed), self.lost.2 + 1);
        }
    }

    /// How long bytes read now may have lain in their socket because this process did not run; 0 as a rule.
    pub fn late(&self, now: Micros) -> Micros {
        let passed = now - self.beat;
        if passed > BEAT + SLACK {
            return passed;
        }
        // What the gap left behind is read in the turns right after it.
        let (at, gap) = self.gap;
        if gap > 0 && now - at <= BEAT {
            gap
        } else {
            0
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_gap_counts_before_and_right_after_the_look_that_finds_it() {
        let mut pulse = Pulse::new(0);
        (1..=100).for_each(|n| pulse.beat(n * BEAT));
        assert_eq!(pulse.late(100 * BEAT + 9_000), 0);
        let back = 100 * BEAT + 300_000;
        assert_eq!(pulse.late(back), 300_000);
        pulse.beat(back);
        assert_eq!((pulse.late(back), pulse.late(back + 5_000)), (300_000, 300_000));
        assert_eq!(pulse.late(back + 2 * BEAT), 0);
        assert_eq!(pulse.lost, (300_000, 300_000, 1));
    }
}
