//! One commit: intents that come, and intents that go.

use crate::store::{write, Batch, Intent, IntentStore, Micros, BLIND, MARKS, RUNS, STATE};
use crate::IntentLogError;
use redb::{ReadableTable, ReadableTableMetadata};
use stagehoist_recovery::Identity;
use std::collections::VecDeque;

/// Intents dropped in one commit at most, so that no commit takes long.
const DROPPED_MOST: usize = 4096;

impl IntentStore {
    pub(crate) fn write(&mut self, batch: &Batch, now: Micros) -> Result<(), IntentLogError> {
        let (Some(run), Some(database)) = (self.run, &self.database) else {
            return Err(IntentLogError::NotStarted);
        };
        let transaction = write(database)?;
        let mut plan = Plan {
            expired: due(&self.expiring, now),
            ended_expired: due(&self.ended_expiring, now),
            ..Plan::new(self)
        };
        {
            let mut marks = transaction.open_table(MARKS)?;
            for mark in &batch.intents {
                marks.insert((mark.identity, run, mark.number), ())?;
            }
            let ended = self.ended_expiring.iter().take(plan.ended_expired);
            for (_, mark) in self.expiring.iter().take(plan.expired).chain(ended) {
                marks.remove((mark.identity, run, mark.number))?;
            }
            if plan.former.is_some_and(|f| f.due <= now) {
                plan.drop_former(&mut marks, run, DROPPED_MOST as u64)?;
            }
            let over = marks.len()?.saturating_sub(self.options.most);
            if over > 0 {
                let gone = plan.drop_former(&mut marks, run, over)?;
                let own = self.expiring.iter().skip(plan.expired).take((over - gone) as usize);
                for (_, mark) in own {
                    marks.remove((mark.identity, run, mark.number))?;
                }
                plan.expired = self.expiring.len().min(plan.expired + (over - gone) as usize);
            }
            let mut state = transaction.open_table(STATE)?;
            if over > 0 {
                // In one commit with what is dropped: a file that lacks something says so.
                state.insert(BLIND, 1)?;
                plan.unproven_until = Some(now + self.options.replica);
            } else if plan.unproven_until.is_some_and(|at| at <= now) {
                state.remove(BLIND)?;
                plan.unproven_until = None;
            }
            transaction.open_table(RUNS)?.insert(self.current_number, self.commits + 1)?;
        }
        transaction.commit()?;
        self.commits += 1;
        (self.former, self.unproven_until) = (plan.former, plan.unproven_until);
        self.expiring.drain(..plan.expired);
        self.ended_expiring.drain(..plan.ended_expired);
        self.expiring.extend(batch.intents.iter().map(|m| (now + self.options.replica, *m)));
        self.ended_expiring.extend(batch.ended.iter().map(|m| (now + self.options.ended_retention, *m)));
        Ok(())
    }
}

/// Intents of runs before the present one.
#[derive(Clone, Copy)]
pub(crate) struct Former {
    /// When they are no longer needed.
    pub(crate) due: Micros,
    /// Rows before this one were looked at; new rows are of the present run.
    pub(crate) from: (Identity, u64, u64),
}

/// What a commit will have changed.
struct Plan {
    expired: usize,
    ended_expired: usize,
    former: Option<Former>,
    unproven_until: Option<Micros>,
}

impl Plan {
    fn new(store: &IntentStore) -> Plan {
        Plan { expired: 0, ended_expired: 0, former: store.former, unproven_until: store.unproven_until }
    }

    /// Drops up to `most` intents of former runs; how many went.
    fn drop_former(
        &mut self,
        marks: &mut redb::Table<(Identity, u64, u64), ()>,
        run: u64,
        most: u64,
    ) -> Result<u64, IntentLogError> {
        let Some(former) = self.former.as_mut() else { return Ok(0) };
        let mut found = Vec::new();
        let mut more = false;
        for row in marks.range(former.from..)? {
            let key = row?.0.value();
            if found.len() as u64 >= most {
                (former.from, more) = (key, true);
                break;
            }
            if key.1 != run {
                found.push(key);
            }
        }
        for key in &found {
            marks.remove(*key)?;
        }
        if !more {
            self.former = None;
        }
        Ok(found.len() as u64)
    }
}

/// Entries of a line whose time has come, so many as go into one commit.
fn due(line: &VecDeque<(Micros, Intent)>, now: Micros) -> usize {
    line.iter().take(DROPPED_MOST).take_while(|(at, _)| *at <= now).count()
}
