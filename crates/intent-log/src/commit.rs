//! Commits: each writes new intents and drops old ones.

use crate::store::{
    write, Batch, Expiring, Intent, IntentRow, IntentStore, Micros, INCOMPLETE, INTENTS, RUNS, STATE,
};
use crate::IntentLogError;
use redb::{ReadableTable, ReadableTableMetadata};
use std::collections::VecDeque;

/// Maximum intents dropped from each source in one commit, to bound its duration.
const MAX_DROPPED_PER_COMMIT: usize = 4096;

impl IntentStore {
    /// Writes new intents and drops expired ones and those over the bound, in one transaction.
    pub(crate) fn write(&mut self, batch: &Batch, now: Micros) -> Result<(), IntentLogError> {
        let (Some(run), Some(database)) = (self.run, &self.database) else {
            return Err(IntentLogError::NotStarted);
        };
        let transaction = write(database)?;
        let mut plan = Plan::new(self, now);
        {
            let mut intents = transaction.open_table(INTENTS)?;
            for intent in &batch.intents {
                intents.insert((intent.identity, run, intent.number), ())?;
            }
            self.drop_expired(&mut intents, &mut plan, run, now)?;
            let is_over = self.drop_over_bound(&mut intents, &mut plan, run)?;
            let mut state = transaction.open_table(STATE)?;
            if is_over {
                // Set in the same transaction as the drop, so that a file with missing intents always has this flag.
                state.insert(INCOMPLETE, 1)?;
                plan.unproven_until = Some(now + self.options.retention);
            } else if plan.unproven_until.is_some_and(|at| at <= now) {
                state.remove(INCOMPLETE)?;
                plan.unproven_until = None;
            }
            transaction.open_table(RUNS)?.insert(self.current_number, self.commits + 1)?;
        }
        transaction.commit()?;
        self.apply_committed(&plan, batch, now);
        Ok(())
    }

    /// Drops expired intents of this run and of former ones.
    fn drop_expired(
        &self,
        intents: &mut IntentTable<'_>,
        plan: &mut Plan,
        run: u64,
        now: Micros,
    ) -> Result<(), IntentLogError> {
        let expired = self.expiring.iter().take(plan.expired);
        let ended = self.ended_expiring.iter().take(plan.ended_expired);
        for Expiring { intent, .. } in expired.chain(ended) {
            intents.remove((intent.identity, run, intent.number))?;
        }
        if plan.former.is_some_and(|former| former.due <= now) {
            plan.drop_former(intents, run, MAX_DROPPED_PER_COMMIT as u64)?;
        }
        Ok(())
    }

    /// Drops intents over the bound: those of former runs first, then the oldest of this run. Returns whether there were any.
    fn drop_over_bound(
        &self,
        intents: &mut IntentTable<'_>,
        plan: &mut Plan,
        run: u64,
    ) -> Result<bool, IntentLogError> {
        let over = intents.len()?.saturating_sub(self.options.max_intents);
        if over == 0 {
            return Ok(false);
        }
        let from_this_run = (over - plan.drop_former(intents, run, over)?) as usize;
        for Expiring { intent, .. } in self.expiring.iter().skip(plan.expired).take(from_this_run) {
            intents.remove((intent.identity, run, intent.number))?;
        }
        plan.expired = self.expiring.len().min(plan.expired + from_this_run);
        Ok(true)
    }

    /// Updates the in-memory state after a successful transaction.
    fn apply_committed(&mut self, plan: &Plan, batch: &Batch, now: Micros) {
        self.commits += 1;
        self.former = plan.former;
        self.unproven_until = plan.unproven_until;
        self.expiring.drain(..plan.expired);
        self.ended_expiring.drain(..plan.ended_expired);
        let expiring = |at| move |intent: &Intent| Expiring { at, intent: *intent };
        self.expiring.extend(batch.intents.iter().map(expiring(now + self.options.retention)));
        self.ended_expiring.extend(batch.ended.iter().map(expiring(now + self.options.ended_retention)));
    }
}

type IntentTable<'t> = redb::Table<'t, IntentRow, ()>;

/// Progress of dropping the intents of former runs.
#[derive(Clone, Copy)]
pub(crate) struct FormerRuns {
    /// When the intents of former runs expire.
    pub(crate) due: Micros,
    /// The first row not scanned yet. Rows added before it belong to the present run.
    pub(crate) from: IntentRow,
}

/// In-memory changes to apply if the transaction succeeds.
struct Plan {
    expired: usize,
    ended_expired: usize,
    former: Option<FormerRuns>,
    unproven_until: Option<Micros>,
}

impl Plan {
    fn new(store: &IntentStore, now: Micros) -> Plan {
        Plan {
            expired: count_expired(&store.expiring, now),
            ended_expired: count_expired(&store.ended_expiring, now),
            former: store.former,
            unproven_until: store.unproven_until,
        }
    }

    /// Drops up to `max` intents of former runs and returns how many were dropped.
    fn drop_former(
        &mut self,
        intents: &mut IntentTable<'_>,
        run: u64,
        max: u64,
    ) -> Result<u64, IntentLogError> {
        let Some(former) = self.former.as_mut() else { return Ok(0) };
        let mut found = Vec::new();
        let mut more = false;
        for row in intents.range(former.from..)? {
            let key = row?.0.value();
            if found.len() as u64 >= max {
                former.from = key;
                more = true;
                break;
            }
            if key.1 != run {
                found.push(key);
            }
        }
        for key in &found {
            intents.remove(*key)?;
        }
        if !more {
            self.former = None;
        }
        Ok(found.len() as u64)
    }
}

/// Returns the number of expired entries of a queue, limited to what one commit may drop.
fn count_expired(queue: &VecDeque<Expiring>, now: Micros) -> usize {
    queue.iter().take(MAX_DROPPED_PER_COMMIT).take_while(|expiring| expiring.at <= now).count()
}
