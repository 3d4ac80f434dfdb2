//! From when a keeper that Raft counts as the leader may lead its sessions.
//!
//! One that was killed and comes back before another was elected is the leader again at once, in its old term and without an
//! election. Its log has entries that were agreed on, shown to members and perhaps acted on, while its record stands where it
//! was last written. What it promised by that record would vouch for a view that its own earlier run overtook: a front end
//! that was cut off would take a function that is retired for one that is not.

/// Term and place of an entry.
pub type At = (u64, u64);

/// How far the record must come, while Raft counts this keeper as the leader of a term.
#[derive(Debug, Default)]
pub struct Leading {
    from: Option<At>,
}

impl Leading {
    /// Whether it may lead now. `elected`: Raft counts it as the leader of this term; `logged`: the last place of its log;
    /// `applied`: the last entry in its record.
    pub fn may(&mut self, elected: bool, term: u64, logged: Option<u64>, applied: Option<At>) -> bool {
        if !elected {
            self.from = None;
            return false;
        }
        let from = match self.from {
            Some(from) if from.0 == term => from,
            _ => *self.from.insert((term, logged.unwrap_or(0))),
        };
        // Both: an entry of its own term, and all that its log had when it began.
        applied.is_some_and(|applied| applied.0 == term && applied.1 >= from.1)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn one_that_leads_on_after_a_restart_waits_for_what_its_log_had() {
        let mut leading = Leading::default();
        assert!(!leading.may(false, 1, Some(8), Some((1, 6))));
        // Entries 7 and 8 are of its own term too, and may have been shown to members before it was killed.
        assert!(!leading.may(true, 1, Some(8), Some((1, 6))));
        assert!(!leading.may(true, 1, Some(9), Some((1, 7))));
        assert!(leading.may(true, 1, Some(9), Some((1, 8))), "what came since need not be there");
        assert!(leading.may(true, 1, Some(12), Some((1, 9))));
    }

    #[test]
    fn one_that_was_elected_waits_for_an_entry_of_its_own_term() {
        let mut leading = Leading::default();
        assert!(leading.may(true, 1, Some(3), Some((1, 3))));
        assert!(!leading.may(true, 2, Some(8), Some((1, 8))), "a later term begins anew");
        assert!(leading.may(true, 2, Some(9), Some((2, 9))));
        assert!(!leading.may(false, 3, Some(9), Some((2, 9))));
        assert!(!leading.may(true, 3, None, None));
    }
}
