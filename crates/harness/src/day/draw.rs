//! Moments and victims that a day leaves open, drawn by a seed.

use super::{Day, Pick, ScenarioFault};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;
use std::time::Duration;

/// A trouble and when it comes.
#[derive(Clone, Debug, PartialEq)]
pub struct Planned {
    /// It comes no earlier and no later; where they are the same the moment is exact.
    pub from: Duration,
    pub to: Duration,
    pub trouble: ScenarioFault,
    /// Its words after the moment, and the line that they stand on.
    pub text: String,
    pub line: usize,
}

impl Day {
    /// The day with every moment, victim and function settled: what the file leaves open is drawn by the seed, which also
    /// becomes the day's own. The same seed draws the same.
    pub fn drawn(&self, seed: u64) -> Day {
        let mut day = self.clone();
        day.seed = seed;
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut retired = BTreeSet::new();
        for planned in &mut day.troubles {
            let keepers_only = matches!(planned.trouble, ScenarioFault::Store { .. });
            let among = match planned.trouble {
                _ if keepers_only => day.fleet.keepers,
                ScenarioFault::MachineKill { .. } | ScenarioFault::MachineStop { .. } => self.machines(),
                _ => day.front_ends,
            };
            planned.settle(&mut random, among, &mut retired);
        }
        day.troubles.sort_by_key(|t| t.from);
        day
    }

    /// The settled day's seed and troubles as lines of a day file; with the file's other lines they play it again.
    pub fn drawn_text(&self) -> String {
        let mut text = format!("seed {}\n", self.seed);
        for planned in &self.troubles {
            text += &format!("at {}us {}\n", planned.from.as_micros(), planned.text);
        }
        text
    }
}

impl Planned {
    fn settle(&mut self, random: &mut ChaCha8Rng, among: u32, retired: &mut BTreeSet<String>) {
        if self.from < self.to {
            let part: f64 = random.random();
            let at = self.from + (self.to - self.from).mul_f64(part);
            // Whole milliseconds, never past the end of the range.
            self.from = Duration::from_millis(at.as_millis() as u64).max(self.from);
            self.to = self.from;
        }
        if let Some(pick) = self.trouble.pick_mut().filter(|pick| **pick == Pick::Any) {
            let number = random.random_range(0..among.max(1));
            *pick = Pick::Number(number);
            let words = self.text.split(' ').map(|w| if w == "any" { number.to_string() } else { w.into() });
            self.text = words.collect::<Vec<_>>().join(" ");
        }
        if let ScenarioFault::Retire { functions, successor } = &mut self.trouble {
            if functions.len() > 1 {
                // One that still stands, where there is one.
                let left: Vec<&String> = functions.iter().filter(|f| !retired.contains(*f)).collect();
                let from = if left.is_empty() { functions.iter().collect() } else { left };
                let name = from[random.random_range(0..from.len())].clone();
                let successor = successor.as_ref().map(|s| format!(" successor {s}")).unwrap_or_default();
                self.text = format!("retire {name}{successor}");
                *functions = vec![name];
            }
            retired.extend(functions.iter().cloned());
        }
    }
}
