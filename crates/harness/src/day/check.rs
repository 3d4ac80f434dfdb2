//! What only the whole day shows to be wrong.

use super::{Day, DayFault, Pick, ScenarioFault, StoreFault};
use stagehoist_config::Position;

/// Front ends of a day with replicas, at most.
const FRONT_ENDS_MOST: u32 = 9;

impl Day {
    pub(super) fn check(&self, file: &str, faults: &mut Vec<DayFault>) {
        let mut fault = |line: usize, what: String, expected: String| {
            let at = Position { file: file.into(), line, column: 1 };
            faults.push(DayFault { at, what, expected });
        };
        let fleet = &self.fleet;
        if fleet.keepers > 0 && (self.front_ends > FRONT_ENDS_MOST || fleet.keepers > self.front_ends) {
            let what = format!("{} keepers of {} front ends", fleet.keepers, self.front_ends);
            fault(1, what, format!("at most {FRONT_ENDS_MOST} front ends, and no more keepers than these"));
        }
        let shared = !fleet.pools.is_empty() || !fleet.reserves.is_empty() || fleet.marks;
        let shared = shared || fleet.recover.is_some();
        if fleet.keepers == 0 && shared {
            fault(
                1,
                "pools, reservations, marks or recover without keepers".into(),
                "keepers and a number".into(),
            );
        }
        if self.machines > self.front_ends
            || self.machines > 0 && !self.front_ends.is_multiple_of(self.machines)
        {
            let what = format!("{} front ends on {} machines", self.front_ends, self.machines);
            fault(1, what, "as many front ends on each machine".into());
        }
        if self.owners_listed && self.division.is_none() {
            fault(1, "owners by a list on a day without shards".into(), "shards and a number".into());
        }
        let sizes = self.division.map(|d| (1, d.shards)).into_iter();
        let changes = self.troubles.iter().filter_map(|t| match t.trouble {
            ScenarioFault::Shards { to } => Some((t.line, to)),
            _ => None,
        });
        for (line, shards) in sizes.chain(changes) {
            if shards == 0 || shards > self.workers || shards > self.front_ends {
                let most = self.workers.min(self.front_ends);
                fault(
                    line,
                    format!("{shards} shards"),
                    format!("1 to {most}, at most the workers and front ends"),
                );
            }
            if self.division.is_none() {
                fault(line, "a change of shards on a day without them".into(), "shards and a number".into());
            }
            if self.owners_listed && line != 1 {
                fault(line, "a change of shards beside a list of owners".into(), "owners number".into());
            }
            if !fleet.pools.is_empty() {
                fault(line, "shards beside pools".into(), "one of both".into());
            }
        }
        for reserve in &fleet.reserves {
            if !fleet.pools.iter().any(|p| p.name == reserve.pool) {
                fault(1, format!("lanes reserved in no pool {:?}", reserve.pool), "a pool of the day".into());
            }
        }
        for planned in &self.troubles {
            let (trouble, line) = (&planned.trouble, planned.line);
            let named = trouble.clone().pick_mut().copied();
            let machine =
                matches!(trouble, ScenarioFault::MachineKill { .. } | ScenarioFault::MachineStop { .. });
            let (what, among) =
                if machine { ("machine", self.machines()) } else { ("front end", self.front_ends) };
            if matches!(named, Some(Pick::Number(n)) if n >= among) {
                let what = format!("{trouble:?} names a {what} that does not stand");
                fault(line, what, format!("0 to {}", among.saturating_sub(1)));
            }
            if planned.to >= self.length {
                let what = format!("{trouble:?} comes after the end of the day");
                fault(line, what, format!("a time before {:?}", self.length));
            }
            if trouble.needs_keepers() && fleet.keepers == 0 {
                fault(line, format!("{trouble:?} without keepers"), "keepers and a number".into());
            }
            let damage = matches!(trouble, ScenarioFault::Store { how: StoreFault::Damage, .. });
            if damage && matches!(named, Some(Pick::Number(n)) if n >= fleet.keepers) {
                fault(
                    line,
                    format!("{trouble:?} names no keeper"),
                    "a front end that keeps the record".into(),
                );
            }
            if let ScenarioFault::Surge { tenant, .. } = trouble {
                if !fleet.callers().iter().any(|c| c.tenant == *tenant) {
                    let expected = "other, or a tenant with a reservation, on a day with pools";
                    fault(line, format!("no calls come from tenant {tenant:?}"), expected.into());
                }
            }
        }
    }
}
