//! One member's intents: written, asked for, and dropped once they are no longer needed.

use crate::commit::Former;
use crate::file::checked;
use crate::IntentLogError;
use redb::{Database, Durability, ReadableTable, ReadableTableMetadata, TableDefinition, WriteTransaction};
use stagehoist_recovery::{AttemptKnowledge, Identity};
use std::collections::VecDeque;

pub(crate) type Micros = i64;

/// Identity, run and number: the key of an intent on disk.
pub(crate) type IntentRow = (Identity, u64, u64);
/// Before every row.
const FIRST_ROW: IntentRow = (0, 0, 0);

/// By identity, run and number: a message whose id is used twice has two intents.
pub(crate) const INTENTS: TableDefinition<IntentRow, ()> = TableDefinition::new("marks");
/// Runs that began, with the commits of each.
pub(crate) const RUNS: TableDefinition<u64, u64> = TableDefinition::new("runs");
/// [`BLIND`]: intents are missing that may be asked for, until [`Options::retention`] has passed in one run.
pub(crate) const STATE: TableDefinition<&str, u64> = TableDefinition::new("state");
pub(crate) const BLIND: &str = "blind";
/// Runs that are remembered.
const RUNS_MOST: u64 = 1024;

/// An intent: the message, and the number of its call, unique within the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Intent {
    /// The message.
    pub identity: Identity,
    /// The call, unique within the run.
    pub number: u64,
}

/// What is known elsewhere of the run before the present one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LastRun {
    /// Its number.
    pub run: u64,
    /// Commits that it is known to have made at least.
    pub commits: u64,
}

/// Limits of a store.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// How long an intent is kept, in microseconds; to exceed the age of any message that may still be delivered again.
    pub retention: Micros,
    /// How long an intent is kept once its message is known to have ended.
    pub ended_retention: Micros,
    /// Intents held; the oldest go before their time where there are more, and nothing is proven for `retention` after that. An
    /// intent takes some 70 bytes on disk.
    pub most: u64,
}

impl Default for Options {
    fn default() -> Options {
        Options { retention: 3_600_000_000, ended_retention: 60_000_000, most: 1_000_000 }
    }
}

/// What goes into one commit.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    /// Intents to write.
    pub intents: Vec<Intent>,
    /// Intents of this run whose message can't come again.
    pub ended: Vec<Intent>,
}

/// An intent on disk, and when it is dropped.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Expiring {
    pub(crate) at: Micros,
    pub(crate) intent: Intent,
}

/// Opens the database; called anew after an error that it does not recover from.
pub type Opener = Box<dyn FnMut() -> Result<Database, IntentLogError> + Send>;

/// A store of intents.
pub struct IntentStore {
    opener: Opener,
    pub(crate) database: Option<Database>,
    pub(crate) options: Options,
    pub(crate) run: Option<u64>,
    /// The number that this run last began under; its intents go by the first one.
    pub(crate) current_number: u64,
    pub(crate) commits: u64,
    /// The last run before this one in the file, and its commits.
    before: Option<LastRun>,
    /// The run before is whole in the file.
    is_complete: bool,
    /// None: they are gone.
    pub(crate) former: Option<Former>,
    pub(crate) unproven_until: Option<Micros>,
    /// Intents of this run by when they go. What ended goes by a shorter line and is then missing in the longer one.
    pub(crate) expiring: VecDeque<Expiring>,
    pub(crate) ended_expiring: VecDeque<Expiring>,
}

impl IntentStore {
    /// Opens a store. No intent is taken before [`IntentStore::begin`].
    pub fn open(mut opener: Opener, options: Options, now: Micros) -> Result<IntentStore, IntentLogError> {
        let database = checked(&mut opener)?;
        let mut store = IntentStore {
            opener,
            database: None,
            options,
            run: None,
            current_number: 0,
            commits: 0,
            before: None,
            is_complete: false,
            former: Some(Former { due: now + options.retention, from: FIRST_ROW }),
            unproven_until: None,
            expiring: VecDeque::new(),
            ended_expiring: VecDeque::new(),
        };
        store.adopt(database, now)?;
        Ok(store)
    }

    /// Takes a database that was just opened. One without our tables is new: what came before it is not known.
    fn adopt(&mut self, database: Database, now: Micros) -> Result<(), IntentLogError> {
        let transaction = write(&database)?;
        let new = {
            transaction.open_table(INTENTS)?;
            let runs = transaction.open_table(RUNS)?;
            let mut state = transaction.open_table(STATE)?;
            let new = runs.is_empty()?;
            if new {
                state.insert(BLIND, 1)?;
            }
            new || state.get(BLIND)?.is_some()
        };
        transaction.commit()?;
        if new {
            self.is_complete = false;
            self.unproven_until = Some(now + self.options.retention);
        }
        self.database = Some(database);
        Ok(())
    }

    /// The last run in the file.
    pub fn last_run(&self) -> Result<Option<u64>, IntentLogError> {
        let Some(database) = &self.database else { return Ok(None) };
        let runs = database.begin_read()?.open_table(RUNS)?;
        let last = runs.last()?.map(|(run, _)| run.value());
        Ok(last)
    }

    /// A run begins under this number, which is on disk when this returns; it may be given a higher one later.
    /// `last_run` is what is known from elsewhere of the run before; without one nothing of former runs is proven.
    ///
    /// # Errors
    /// [`IntentLogError::RunSuperseded`] where the file knows this run or a later one: an older count than the store's.
    pub fn begin(&mut self, run: u64, last_run: Option<LastRun>, now: Micros) -> Result<(), IntentLogError> {
        self.reopen(now)?;
        let database = self.database.as_ref().ok_or(IntentLogError::NotStarted)?;
        let transaction = write(database)?;
        let before = {
            let mut runs = transaction.open_table(RUNS)?;
            let last = runs.last()?;
            let last = last.map(|(run, commits)| LastRun { run: run.value(), commits: commits.value() });
            if let Some(last) = last.filter(|last| last.run >= run) {
                return Err(IntentLogError::RunSuperseded { requested: run, last: last.run });
            }
            runs.insert(run, self.commits)?;
            while runs.len()? > RUNS_MOST {
                runs.pop_first()?;
            }
            // What this run began under before is no run before it.
            self.run.map_or(last, |_| self.before)
        };
        transaction.commit()?;
        self.is_complete = before.zip(last_run).is_some_and(|(before, expected)| {
            before.run == expected.run && before.commits >= expected.commits
        });
        self.before = before;
        self.current_number = run;
        self.run.get_or_insert(run);
        Ok(())
    }

    /// Commits of this run so far, for a last_run.
    pub fn commits(&self) -> Option<LastRun> {
        self.run.map(|_| LastRun { run: self.current_number, commits: self.commits })
    }

    /// Whether a commit would only drop what is no longer needed.
    pub fn is_due(&self, now: Micros) -> bool {
        let is_first_due =
            |queue: &VecDeque<Expiring>| queue.front().is_some_and(|expiring| expiring.at <= now);
        self.database.is_none()
            || is_first_due(&self.expiring)
            || is_first_due(&self.ended_expiring)
            || self.former.is_some_and(|f| f.due <= now)
            || self.unproven_until.is_some_and(|at| at <= now)
    }

    /// Writes intents; all of them are on disk when this returns.
    ///
    /// # Errors
    /// None of them counts as written, though some may be. The database is opened anew with the next call.
    pub fn commit(&mut self, batch: &Batch, now: Micros) -> Result<(), IntentLogError> {
        self.reopen(now)?;
        let written = self.write(batch, now);
        if written.is_err() && !matches!(written, Err(IntentLogError::NotStarted)) {
            // After a failed write redb takes no more.
            self.database = None;
        }
        written
    }

    /// Opens the database anew if it failed.
    fn reopen(&mut self, now: Micros) -> Result<(), IntentLogError> {
        if self.database.is_some() {
            return Ok(());
        }
        let database = checked(&mut self.opener)?;
        let fresh = self.adopt(database, now).and_then(|()| self.resume());
        if fresh.is_err() {
            self.database = None;
        }
        fresh
    }

    /// The same run goes on in a database that was opened anew. In a new file it is the first.
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

    /// What this member can say about a message: that an attempt may have left it, that none did, or that it can't tell.
    pub fn query(&self, identity: Identity, now: Micros) -> AttemptKnowledge {
        match self.contains(identity) {
            Ok(true) => AttemptKnowledge::MayHaveRun,
            Ok(false) if self.is_proof(now) => AttemptKnowledge::None,
            _ => AttemptKnowledge::NotKnown,
        }
    }

    /// Whether a missing intent means that no attempt left, in this run or the one before or any earlier one.
    pub fn is_proof(&self, now: Micros) -> bool {
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
