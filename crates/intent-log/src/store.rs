//! The store of one member's intents: writes them, queries them, and drops them after their retention.

use crate::commit::FormerRuns;
use crate::file::open_checked;
use crate::IntentLogError;
use redb::{Database, Durability, ReadableTable, ReadableTableMetadata, TableDefinition, WriteTransaction};
use stagehoist_recovery::{AttemptKnowledge, Identity};
use std::collections::VecDeque;

pub(crate) type Micros = i64;

/// Identity, run and number: the key of an intent on disk.
pub(crate) type IntentRow = (Identity, u64, u64);
/// Lower bound of all rows.
const FIRST_ROW: IntentRow = (0, 0, 0);

/// Intents by identity, run and number, so that two calls with the same message id have separate intents.
pub(crate) const INTENTS: TableDefinition<IntentRow, ()> = TableDefinition::new("marks");
/// Runs that began, with the number of commits of each.
pub(crate) const RUNS: TableDefinition<u64, u64> = TableDefinition::new("runs");
/// Flags of the file. [`INCOMPLETE`]: intents that may still be queried are missing from the file; removed once
/// [`Options::retention`] has passed within one run.
pub(crate) const STATE: TableDefinition<&str, u64> = TableDefinition::new("state");
pub(crate) const INCOMPLETE: &str = "blind";
/// Maximum runs kept in the table of runs.
const MAX_RUNS: u64 = 1024;

/// The intent to attempt a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Intent {
    /// The identity of the call's message.
    pub identity: Identity,
    /// The number of the call, unique within the run.
    pub number: u64,
}

/// The number and commits of a run, stored outside the intent store to verify that the store was not set back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LastRun {
    /// The number of the run.
    pub run: u64,
    /// The minimum number of commits that the run made.
    pub commits: u64,
}

/// Limits and retention times of a store.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// How long an intent is kept, in microseconds. Must exceed the age of any message that may still be redelivered.
    pub retention: Micros,
    /// How long an intent is kept after its message has ended, in microseconds.
    pub ended_retention: Micros,
    /// Maximum number of intents. Beyond it the oldest are dropped early, and for `retention` after that the store no
    /// longer answers that a message has not run. An intent takes about 70 bytes on disk.
    pub max_intents: u64,
}

impl Default for Options {
    fn default() -> Options {
        Options { retention: 3_600_000_000, ended_retention: 60_000_000, max_intents: 1_000_000 }
    }
}

/// The changes of one commit.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    /// Intents to write.
    pub intents: Vec<Intent>,
    /// Intents of this run whose message cannot be redelivered.
    pub ended: Vec<Intent>,
}

/// An intent on disk and when it expires.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Expiring {
    pub(crate) at: Micros,
    pub(crate) intent: Intent,
}

/// Opens the database; called again after an error from which the open database cannot recover.
pub type Opener = Box<dyn FnMut() -> Result<Database, IntentLogError> + Send>;

/// A store of intents.
pub struct IntentStore {
    opener: Opener,
    pub(crate) database: Option<Database>,
    pub(crate) options: Options,
    pub(crate) run: Option<u64>,
    /// The latest number of this run. Its intents are stored under the first one (`run`).
    pub(crate) current_number: u64,
    pub(crate) commits: u64,
    /// The previous run in the file, with its commits.
    previous_run: Option<LastRun>,
    /// Whether the file contains all commits of the previous run.
    is_complete: bool,
    /// Intents of former runs; `None` once all are dropped.
    pub(crate) former: Option<FormerRuns>,
    /// Until when a missing intent proves nothing; `None`: no such restriction.
    pub(crate) unproven_until: Option<Micros>,
    /// Intents of this run in order of expiry. Intents of ended messages are also in `ended_expiring` and are dropped from
    /// there first; their removal by the entry in `expiring` then has no effect.
    pub(crate) expiring: VecDeque<Expiring>,
    pub(crate) ended_expiring: VecDeque<Expiring>,
}

impl IntentStore {
    /// Opens a store. It accepts intents only after [`IntentStore::begin`].
    pub fn open(mut opener: Opener, options: Options, now: Micros) -> Result<IntentStore, IntentLogError> {
        let database = open_checked(&mut opener)?;
        let mut store = IntentStore {
            opener,
            database: None,
            options,
            run: None,
            current_number: 0,
            commits: 0,
            previous_run: None,
            is_complete: false,
            former: Some(FormerRuns { due: now + options.retention, from: FIRST_ROW }),
            unproven_until: None,
            expiring: VecDeque::new(),
            ended_expiring: VecDeque::new(),
        };
        store.adopt(database, now)?;
        Ok(store)
    }

    /// Uses a newly opened database. A database without runs is new: nothing is known about earlier attempts.
    fn adopt(&mut self, database: Database, now: Micros) -> Result<(), IntentLogError> {
        let transaction = write(&database)?;
        let is_incomplete = {
            transaction.open_table(INTENTS)?;
            let runs = transaction.open_table(RUNS)?;
            let mut state = transaction.open_table(STATE)?;
            let is_new = runs.is_empty()?;
            if is_new {
                state.insert(INCOMPLETE, 1)?;
            }
            is_new || state.get(INCOMPLETE)?.is_some()
        };
        transaction.commit()?;
        if is_incomplete {
            self.is_complete = false;
            self.unproven_until = Some(now + self.options.retention);
        }
        self.database = Some(database);
        Ok(())
    }

    /// Returns the last run in the file.
    pub fn last_run(&self) -> Result<Option<u64>, IntentLogError> {
        let Some(database) = &self.database else { return Ok(None) };
        let runs = database.begin_read()?.open_table(RUNS)?;
        let last = runs.last()?.map(|(run, _)| run.value());
        Ok(last)
    }

    /// Begins a run under this number, which is on disk when this returns. A later call may give the same run a higher
    /// number. `last_run` is the externally stored state of the previous run; without it the store never answers that a
    /// message has not run.
    ///
    /// # Errors
    /// [`IntentLogError::RunSuperseded`] if the file contains this run or a later one.
    pub fn begin(&mut self, run: u64, last_run: Option<LastRun>, now: Micros) -> Result<(), IntentLogError> {
        self.reopen(now)?;
        let database = self.database.as_ref().ok_or(IntentLogError::NotStarted)?;
        let transaction = write(database)?;
        let previous = {
            let mut runs = transaction.open_table(RUNS)?;
            let last = runs.last()?;
            let last = last.map(|(run, commits)| LastRun { run: run.value(), commits: commits.value() });
            if let Some(last) = last.filter(|last| last.run >= run) {
                return Err(IntentLogError::RunSuperseded { requested: run, last: last.run });
            }
            runs.insert(run, self.commits)?;
            while runs.len()? > MAX_RUNS {
                runs.pop_first()?;
            }
            // An earlier number of the same run does not count as a previous run.
            self.run.map_or(last, |_| self.previous_run)
        };
        transaction.commit()?;
        self.is_complete = previous
            .zip(last_run)
            .is_some_and(|(found, expected)| found.run == expected.run && found.commits >= expected.commits);
        self.previous_run = previous;
        self.current_number = run;
        self.run.get_or_insert(run);
        Ok(())
    }

    /// Returns the number and commits of this run so far, to be stored externally as the next run's `last_run`.
    pub fn commits(&self) -> Option<LastRun> {
        self.run.map(|_| LastRun { run: self.current_number, commits: self.commits })
    }

    /// Returns whether a commit is due even without new intents: to reopen a failed database, to drop expired intents of
    /// this run or of former runs, or to remove the flag of a file with missing intents after the retention time.
    pub fn is_due(&self, now: Micros) -> bool {
        let is_first_due =
            |queue: &VecDeque<Expiring>| queue.front().is_some_and(|expiring| expiring.at <= now);
        self.database.is_none()
            || is_first_due(&self.expiring)
            || is_first_due(&self.ended_expiring)
            || self.former.is_some_and(|former| former.due <= now)
            || self.unproven_until.is_some_and(|at| at <= now)
    }

    /// Writes intents; all of them are on disk when this returns.
    ///
    /// # Errors
    /// None of the intents counts as written, though some may be on disk. The next call reopens the database.
    pub fn commit(&mut self, batch: &Batch, now: Micros) -> Result<(), IntentLogError> {
        self.reopen(now)?;
        let written = self.write(batch, now);
        if written.is_err() && !matches!(written, Err(IntentLogError::NotStarted)) {
            // After a failed write, redb accepts no further writes.
            self.database = None;
        }
        written
    }

    /// Reopens the database if it failed.
    fn reopen(&mut self, now: Micros) -> Result<(), IntentLogError> {
        if self.database.is_some() {
            return Ok(());
        }
        let database = open_checked(&mut self.opener)?;
        let reopened = self.adopt(database, now).and_then(|()| self.resume());
        if reopened.is_err() {
            self.database = None;
        }
        reopened
    }

    /// Continues the same run in a reopened database. In a new file it becomes the first run.
    fn resume(&mut self) -> Result<(), IntentLogError> {
        let (Some(_), Some(database)) = (self.run, &self.database) else { return Ok(()) };
        let transaction = write(database)?;
        {
            let mut runs = transaction.open_table(RUNS)?;
            if runs.get(self.current_number)?.is_none() {
                self.is_complete = false;
                runs.insert(self.current_number, self.commits)?;
            }
        }
        transaction.commit()?;
        Ok(())
    }

    /// Returns whether this member may have sent an attempt of a message, has sent none, or cannot determine it.
    pub fn query(&self, identity: Identity, now: Micros) -> AttemptKnowledge {
        match self.contains(identity) {
            Ok(true) => AttemptKnowledge::MayHaveRun,
            Ok(false) if self.can_prove_absence(now) => AttemptKnowledge::None,
            _ => AttemptKnowledge::NotKnown,
        }
    }

    /// Returns whether a missing intent proves that no attempt was sent in this run or any earlier one.
    pub fn can_prove_absence(&self, now: Micros) -> bool {
        self.run.is_some() && self.is_complete && self.unproven_until.is_none_or(|at| at <= now)
    }

    fn contains(&self, identity: Identity) -> Result<bool, IntentLogError> {
        let database = self.database.as_ref().ok_or(IntentLogError::NotStarted)?;
        let intents = database.begin_read()?.open_table(INTENTS)?;
        let mut found = intents.range((identity, 0, 0)..=(identity, u64::MAX, u64::MAX))?;
        Ok(found.next().transpose()?.is_some())
    }
}

pub(crate) fn write(database: &Database) -> Result<WriteTransaction, IntentLogError> {
    let mut transaction = database.begin_write()?;
    transaction.set_durability(Durability::Immediate);
    Ok(transaction)
}
