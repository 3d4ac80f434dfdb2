//! One commit: intents that come, and intents that go.

use crate::store::{
    write, Batch, Expiring, Intent, IntentRow, IntentStore, Micros, BLIND, INTENTS, RUNS, STATE,
};
use crate::IntentLogError;
use redb::{ReadableTable, ReadableTableMetadata};
use std::collections::VecDeque;

/// Intents dropped in one commit at most, so that no commit takes long.
const DROPPED_MOST: usize = 4096;

impl IntentStore {
    /// One transaction: new intents go in, those no longer needed and those over the bound go out.
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
                // In one commit with what is dropped: a file that lacks something says so.
                state.insert(BLIND, 1)?;
                plan.unproven_until = Some(now + self.options.retention);
            } else if plan.unproven_until.is_some_and(|at| at <= now) {
                state.remove(BLIND)?;
                plan.unproven_until = None;
            }
            transaction.open_table(RUNS)?.insert(self.current_number, self.commits + 1)?;
        }
        transaction.commit()?;
        self.apply_committed(&plan, batch, now);
        Ok(())
    }

    /// Intents whose time has come, of this run and of former ones.
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
            plan.drop_former(intents, run, DROPPED_MOST as u64)?;
        }
        Ok(())
    }

    /// Intents over the bound, those of former runs first, then the oldest of this one. Whether there were any.
    fn drop_over_bound(
        &self,
        intents: &mut IntentTable<'_>,
        plan: &mut Plan,
        run: u64,
    ) -> Result<bool, IntentLogError> {
        let over = intents.len()?.saturating_sub(self.options.most);
        if over == 0 {
            return Ok(false);
        }
        let own = (over - plan.drop_former(intents, run, over)?) as usize;
        for Expiring { intent, .. } in self.expiring.iter().skip(plan.expired).take(own) {
            intents.remove((intent.identity, run, intent.number))?;
        }
        plan.expired = self.expiring.len().min(plan.expired + own);
        Ok(true)
    }

    /// What is on disk now, in memory.
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

/// Intents of runs before the present one.
#[derive(Clone, Copy)]
pub(crate) struct Former {
    /// When they are no longer needed.
    pub(crate) due: Micros,
    /// Rows before this one were looked at; new rows are of the present run.
    pub(crate) from: IntentRow,
}

/// What a commit will have changed.
struct Plan {
    expired: usize,
    ended_expired: usize,
    former: Option<Former>,
    unproven_until: Option<Micros>,
}

impl Plan {
    fn new(store: &IntentStore, now: Micros) -> Plan {
        Plan {
            expired: due(&store.expiring, now),
            ended_expired: due(&store.ended_expiring, now),
            former: store.former,
            unproven_until: store.unproven_until,
        }
    }

    /// Drops up to `most` intents of former runs; how many went.
    fn drop_former(
        &mut self,
        intents: &mut IntentTable<'_>,
        run: u64,
        most: u64,
    ) -> Result<u64, IntentLogError> {
        let Some(former) = self.former.as_mut() else { return Ok(0) };
        let mut found = Vec::new();
        let mut more = false;
        for row in intents.range(former.from..)? {
            let key = row?.0.value();
            if found.len() as u64 >= most {
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

/// Entries of a queue whose time has come, so many as go into one commit.
fn due(queue: &VecDeque<Expiring>, now: Micros) -> usize {
    queue.iter().take(DROPPED_MOST).take_while(|expiring| expiring.at <= now).count()
}
