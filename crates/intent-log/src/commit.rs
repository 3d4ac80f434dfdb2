//! One commit: marks that come, and marks that go.

use crate::store::{write, Batch, Mark, Micros, Store, BLIND, MARKS, RUNS, STATE};
use crate::MarksError;
use redb::{ReadableTable, ReadableTableMetadata};
use stagehoist_recovery::Identity;
use std::collections::VecDeque;

/// Marks dropped in one commit at most, so that no commit takes long.
const DROPPED_MOST: usize = 4096;

impl Store {
    pub(crate) fn write(&mut self, batch: &Batch, now: Micros) -> Result<(), MarksError> {
        let (Some(run), Some(database)) = (self.run, &self.database) else {
            return Err(MarksError::NotBegun);
        };
        let transaction = write(database)?;
        let mut plan = Plan { kept: due(&self.kept, now), ended: due(&self.ended, now), ..Plan::new(self) };
        {
            let mut marks = transaction.open_table(MARKS)?;
            for mark in &batch.marks {
                marks.insert((mark.identity, run, mark.number), ())?;
            }
            let ended = self.ended.iter().take(plan.ended);
            for (_, mark) in self.kept.iter().take(plan.kept).chain(ended) {
                marks.remove((mark.identity, run, mark.number))?;
            }
            if plan.former.is_some_and(|f| f.due <= now) {
                plan.drop_former(&mut marks, run, DROPPED_MOST as u64)?;
            }
            let over = marks.len()?.saturating_sub(self.options.most);
            if over > 0 {
                let gone = plan.drop_former(&mut marks, run, over)?;
                let own = self.kept.iter().skip(plan.kept).take((over - gone) as usize);
                for (_, mark) in own {
                    marks.remove((mark.identity, run, mark.number))?;
                }
                plan.kept = self.kept.len().min(plan.kept + (over - gone) as usize);
            }
            let mut state = transaction.open_table(STATE)?;
            if over > 0 {
                // In one commit with what is dropped: a file that lacks something says so.
                state.insert(BLIND, 1)?;
                plan.blind_until = Some(now + self.options.keep);
            } else if plan.blind_until.is_some_and(|at| at <= now) {
                state.remove(BLIND)?;
                plan.blind_until = None;
            }
            transaction.open_table(RUNS)?.insert(self.told, self.commits + 1)?;
        }
        transaction.commit()?;
        self.commits += 1;
        (self.former, self.blind_until) = (plan.former, plan.blind_until);
        self.kept.drain(..plan.kept);
        self.ended.drain(..plan.ended);
        self.kept.extend(batch.marks.iter().map(|m| (now + self.options.keep, *m)));
        self.ended.extend(batch.ended.iter().map(|m| (now + self.options.keep_ended, *m)));
        Ok(())
    }
}

/// Marks of runs before the present one.
#[derive(Clone, Copy)]
pub(crate) struct Former {
    /// When they are no longer needed.
    pub(crate) due: Micros,
    /// Rows before this one were looked at; new rows are of the present run.
    pub(crate) from: (Identity, u64, u64),
}

/// What a commit will have changed.
struct Plan {
    kept: usize,
    ended: usize,
    former: Option<Former>,
    blind_until: Option<Micros>,
}

impl Plan {
    fn new(store: &Store) -> Plan {
        Plan { kept: 0, ended: 0, former: store.former, blind_until: store.blind_until }
    }

    /// Drops up to `most` marks of former runs; how many went.
    fn drop_former(
        &mut self,
        marks: &mut redb::Table<(Identity, u64, u64), ()>,
        run: u64,
        most: u64,
    ) -> Result<u64, MarksError> {
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
fn due(line: &VecDeque<(Micros, Mark)>, now: Micros) -> usize {
    line.iter().take(DROPPED_MOST).take_while(|(at, _)| *at <= now).count()
}
