//! A store on its own thread. Callers never block on it: requests go into a bounded queue, and answers are sent to the
//! caller's channel. If the queue is full or the store cannot write, an intent counts as "not recorded".

use crate::{file, Batch, Intent, IntentLogError, IntentStore, LastRun, Options};
use stagehoist_recovery::{AttemptKnowledge, Identity};
use std::path::PathBuf;
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch};

/// Maximum requests queued for a store.
const QUEUE_CAPACITY: usize = 65_536;
/// Maximum requests in one commit.
const MAX_BATCH: usize = 8192;
/// How often an idle store drops expired intents and reopens a failed database.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// Location of a member's intent log.
#[derive(Clone, Debug)]
pub struct LogLocation {
    /// The folder; created if missing.
    pub folder: PathBuf,
    /// The member's name. Characters other than ASCII letters, digits, `-` and `_` are replaced by `_` in file names.
    pub name: String,
    /// For a member without replicas: the log numbers its runs itself and uses the file beside the store as the external
    /// [`LastRun`]. If false, [`IntentLog::begin`] sets the run, and until then nothing is recorded and queries cannot
    /// prove that a message has not run.
    pub standalone: bool,
}

/// A response of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// The result of [`IntentLog::record`]: true if the intent is on disk, false if the write failed.
    Recorded(Intent, bool),
    /// The answer to the [`IntentLog::query`] with this number.
    Answered(u64, AttemptKnowledge),
}

/// Channel for events. The store sends exactly one event per `record` or `query`, so open requests bound its length.
pub type EventSender = mpsc::UnboundedSender<LogEvent>;

enum LogRequest {
    Record(Intent, EventSender),
    Ended(Intent),
    Query(u64, Identity, EventSender),
    Begin(u64, Option<LastRun>),
}

/// Handle of a store's thread. The thread ends when the last handle is dropped.
#[derive(Clone, Debug)]
pub struct IntentLog {
    requests: SyncSender<LogRequest>,
    state: watch::Receiver<Option<LastRun>>,
}

impl IntentLog {
    /// Requests that an intent is written. Returns false if the queue is full or the thread has ended; then no event
    /// follows.
    pub fn record(&self, intent: Intent, reply: &EventSender) -> bool {
        self.requests.try_send(LogRequest::Record(intent, reply.clone())).is_ok()
    }

    /// Reports that the message of an intent cannot be redelivered. If this request is lost, the intent expires by its age.
    pub fn ended(&self, intent: Intent) {
        let _ = self.requests.try_send(LogRequest::Ended(intent));
    }

    /// Queries what is known of a message, including all intents requested before. Returns false as [`IntentLog::record`]
    /// does.
    pub fn query(&self, number: u64, identity: Identity, reply: &EventSender) -> bool {
        self.requests.try_send(LogRequest::Query(number, identity, reply.clone())).is_ok()
    }

    /// Sets the number of this run and the externally stored state of the previous run. Returns false as
    /// [`IntentLog::record`] does.
    pub fn begin(&self, run: u64, last_run: Option<LastRun>) -> bool {
        self.requests.try_send(LogRequest::Begin(run, last_run)).is_ok()
    }

    /// Returns the present run and its commits so far, which the replicas store as the next run's `last_run`.
    pub fn commits(&self) -> Option<LastRun> {
        *self.state.borrow()
    }
}

/// Opens a member's store, quarantining a damaged one, and starts its thread, which ends once all [`IntentLog`] handles are
/// dropped.
///
/// # Errors
/// If the folder or the file cannot be used, or another process has the file open.
pub fn start(
    location: &LogLocation,
    options: Options,
) -> Result<(IntentLog, JoinHandle<()>), IntentLogError> {
    std::fs::create_dir_all(&location.folder)?;
    let sanitize = |c: char| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' };
    let name: String = location.name.chars().map(sanitize).collect();
    let path = file::store_path(&location.folder, &name);
    let clock = Instant::now();
    let open = || IntentStore::open(file::opener(path.clone()), options, 0);
    let mut store = match open() {
        Err(IntentLogError::Damaged(why)) => {
            let aside = file::quarantine_file(&path)?;
            tracing::error!(file = %aside.display(), why, "intent log is damaged and was quarantined; its intents are lost");
            open()?
        }
        other => other?,
    };
    if location.standalone {
        let last_run = file::read_last_run(&location.folder, &name)?;
        let last = store.last_run()?.max(last_run.map(|previous| previous.run));
        let run = last.unwrap_or(0) + 1;
        // Written before the store begins the run, so that a store that is set back later is detected by this number.
        file::write_last_run(&location.folder, &name, run)?;
        store.begin(run, last_run, 0)?;
        tracing::info!(run, proves = store.can_prove_absence(0), "intent log opened");
    }
    let (requests, queue) = sync_channel(QUEUE_CAPACITY);
    let (state, state_receiver) = watch::channel(store.commits());
    let thread = std::thread::Builder::new().name(format!("marks-{name}"));
    let worker = StoreThread { store, clock, path, pending_begin: None };
    let thread = thread.spawn(move || worker.run(&queue, &state))?;
    Ok((IntentLog { requests, state: state_receiver }, thread))
}

/// The store's thread and its state between two rounds.
struct StoreThread {
    store: IntentStore,
    clock: Instant,
    path: PathBuf,
    /// A run that is not begun yet; retried until the store writes it.
    pending_begin: Option<RunStart>,
}

/// A run's number and the externally stored state of the previous run.
struct RunStart {
    run: u64,
    last_run: Option<LastRun>,
}

/// An intent to be written, and the channel for its result.
struct PendingIntent {
    intent: Intent,
    reply: EventSender,
}

/// A query to be answered after the commit of the same round.
struct PendingQuery {
    number: u64,
    identity: Identity,
    reply: EventSender,
}

/// The requests of one round of the thread.
#[derive(Default)]
struct Round {
    batch: Batch,
    intents: Vec<PendingIntent>,
    queries: Vec<PendingQuery>,
}

impl StoreThread {
    /// Serves requests until all handles are dropped.
    fn run(mut self, queue: &Receiver<LogRequest>, state: &watch::Sender<Option<LastRun>>) {
        loop {
            let first = match queue.recv_timeout(IDLE_INTERVAL) {
                Ok(first) => Some(first),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            // The requests that arrived during the last commit.
            let more = std::iter::from_fn(|| queue.try_recv().ok());
            let mut round = Round::default();
            for request in first.into_iter().chain(more).take(MAX_BATCH) {
                self.collect(request, &mut round);
            }
            self.begin_pending();
            self.commit(round.batch, round.intents);
            for PendingQuery { number, identity, reply } in round.queries {
                let knowledge = self.store.query(identity, self.now());
                let _ = reply.send(LogEvent::Answered(number, knowledge));
            }
            state.send_replace(self.store.commits());
        }
    }

    fn now(&self) -> i64 {
        self.clock.elapsed().as_micros() as i64
    }

    fn collect(&mut self, request: LogRequest, round: &mut Round) {
        match request {
            LogRequest::Record(intent, reply) => {
                round.batch.intents.push(intent);
                round.intents.push(PendingIntent { intent, reply });
            }
            LogRequest::Ended(intent) => round.batch.ended.push(intent),
            LogRequest::Query(number, identity, reply) => {
                round.queries.push(PendingQuery { number, identity, reply });
            }
            LogRequest::Begin(run, last_run) => self.pending_begin = Some(RunStart { run, last_run }),
        }
    }

    fn begin_pending(&mut self) {
        let Some(RunStart { run, last_run }) = self.pending_begin.take() else { return };
        let now = self.now();
        let Err(fault) = self.store.begin(run, last_run, now) else { return };
        tracing::error!(run, %fault, "intent log failed to begin the run");
        // A disk error may be temporary, so the run is retried. A run number that is too low fails permanently.
        if !matches!(fault, IntentLogError::RunSuperseded { .. }) {
            self.pending_begin = Some(RunStart { run, last_run });
        }
    }

    /// Writes the intents of a round and drops expired ones.
    fn commit(&mut self, batch: Batch, intents: Vec<PendingIntent>) {
        let has_begun = self.store.commits().is_some();
        let is_idle = batch.intents.is_empty() && batch.ended.is_empty();
        if is_idle && !(has_begun && self.store.is_due(self.now())) {
            return;
        }
        let now = self.now();
        let written = self.store.commit(&batch, now);
        if let Err(fault) = &written {
            tracing::error!(%fault, marks = intents.len(), "intents not written to the intent log; their attempts are not sent");
            if let IntentLogError::Damaged(why) = fault {
                self.quarantine(why);
            }
        }
        // A send error means that the caller no longer exists; it is ignored.
        for PendingIntent { intent, reply } in intents {
            let _ = reply.send(LogEvent::Recorded(intent, written.is_ok()));
        }
    }

    fn quarantine(&self, why: &str) {
        match file::quarantine_file(&self.path) {
            Ok(aside) => tracing::error!(file = %aside.display(), why, "damaged intent log quarantined"),
            Err(error) => tracing::error!(%error, "damaged intent log could not be quarantined"),
        }
    }
}
