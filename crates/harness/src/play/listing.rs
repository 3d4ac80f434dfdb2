//! The list of front ends as a source with a time to live shows it: who is dead or stopped is left out a while later, who is back
//! stands on it at once. While the lists fail it stays as it was.

use super::{ScenarioRunner, Undo};
use crate::stack::HarnessError;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Who gives no sign is left out after so long.
const TIME_TO_LIVE: Duration = Duration::from_millis(500);

#[derive(Default)]
pub(super) struct Listing {
    /// Since when a front end gave no sign.
    silent: BTreeMap<u32, Instant>,
    left_out: Vec<u32>,
}

impl ScenarioRunner<'_> {
    /// Writes the list anew where it changed.
    pub(super) fn list_front_ends(&mut self) -> Result<(), HarnessError> {
        if !self.stack.day.owners_listed {
            return Ok(());
        }
        let now = Instant::now();
        let stopped = self.undo.iter().filter_map(|(_, undo)| match undo {
            Undo::Continue(front_end) => Some(*front_end),
            _ => None,
        });
        let silent: Vec<u32> = self.down.keys().copied().chain(stopped).collect();
        let listing = &mut self.listing;
        listing.silent.retain(|front_end, _| silent.contains(front_end));
        for front_end in silent {
            listing.silent.entry(front_end).or_insert(now);
        }
        let over = listing.silent.iter().filter(|(_, since)| now.duration_since(**since) >= TIME_TO_LIVE);
        let left_out: Vec<u32> = over.map(|s| *s.0).collect();
        let fails = self.undo.iter().any(|(_, undo)| matches!(undo, Undo::ListWell));
        if fails || left_out == listing.left_out {
            return Ok(());
        }
        let listed: Vec<u32> = (0..self.stack.day.front_ends).filter(|f| !left_out.contains(f)).collect();
        listing.left_out = left_out;
        self.stack.list_front_ends(&listed)
    }
}
