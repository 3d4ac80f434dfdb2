//! A store on a thread of its own. Nobody waits for it: requests go into a bounded queue, answers come back
//! by the asker's channel. A queue that is full, and a store that can't write, count as "not recorded".

use crate::{file, Batch, Intent, IntentLogError, IntentStore, LastRun, Options};
use stagehoist_recovery::{AttemptKnowledge, Identity};
use std::path::PathBuf;
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch};

/// Requests to a store that wait for it.
const QUEUE_CAPACITY: usize = 65_536;
/// Requests in one commit at most.
const MAX_BATCH: usize = 8192;
/// How often a store without work drops what is no longer needed, and reopens a database that failed.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// Where a member's intents are kept.
#[derive(Clone, Debug)]
pub struct LogLocation {
    /// The folder; made where it is missing.
    pub folder: PathBuf,
    /// The member's; letters, digits, `-` and `_`, others become `_`.
    pub name: String,
    /// Counts its runs by itself, with the small file beside the store as the last_run of the last: for a member without
    /// replicas. Else [`IntentLog::begin`] tells the run, and until then nothing is recorded or proven.
    pub standalone: bool,
}

/// An answer of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// The intent is on disk, or (false) not as far as is known.
    Recorded(Intent, bool),
    /// To [`IntentLog::query`] under this number.
    Answered(u64, AttemptKnowledge),
}

/// Where answers go. One comes for each request that asks for one, so that what waits there is bounded by what was asked.
pub type EventSender = mpsc::UnboundedSender<LogEvent>;

enum LogRequest {
    Record(Intent, EventSender),
    Ended(Intent),
    Query(u64, Identity, EventSender),
    Begin(u64, Option<LastRun>),
}

/// Talks to a store; it ends with the last of its kind.
#[derive(Clone, Debug)]
pub struct IntentLog {
    requests: SyncSender<LogRequest>,
    state: watch::Receiver<Option<LastRun>>,
}

impl IntentLog {
    /// Asks for an intent. False: the queue is full or the store gone, and nothing will be answered.
    pub fn record(&self, mark: Intent, reply: &EventSender) -> bool {
        self.requests.try_send(LogRequest::Record(mark, reply.clone())).is_ok()
    }

    /// The message of an intent can't come again. Where it is lost, the intent goes by its age.
    pub fn ended(&self, mark: Intent) {
        let _ = self.requests.try_send(LogRequest::Ended(mark));
    }

    /// Asks what is known of a message; all intents asked for before are looked at. False as with [`IntentLog::record`].
    pub fn query(&self, number: u64, identity: Identity, reply: &EventSender) -> bool {
        self.requests.try_send(LogRequest::Query(number, identity, reply.clone())).is_ok()
    }

    /// This run's number is known, with what is known of the run before.
    pub fn begin(&self, run: u64, last_run: Option<LastRun>) -> bool {
        self.requests.try_send(LogRequest::Begin(run, last_run)).is_ok()
    }

    /// The run that is in progress and its commits so far; for the cluster state's replicas, as the next run's last_run.
    pub fn commits(&self) -> Option<LastRun> {
        *self.state.borrow()
    }
}

/// Opens a member's store, sets a damaged one aside, and starts its thread, which ends once all of [`IntentLog`] are dropped.
///
/// # Errors
/// The folder or the file can't be used at all, or another process has it.
pub fn start(place: &LogLocation, options: Options) -> Result<(IntentLog, JoinHandle<()>), IntentLogError> {
    std::fs::create_dir_all(&place.folder)?;
    let keep = |c: char| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' };
    let name: String = place.name.chars().map(keep).collect();
    let path = file::store(&place.folder, &name);
    let clock = Instant::now();
    let open = || IntentStore::open(file::opener(path.clone()), options, 0);
    let mut store = match open() {
        Err(IntentLogError::Damaged(why)) => {
            let aside = file::set_aside(&path)?;
            tracing::error!(file = %aside.display(), why, "the intent log is damaged and quarantined; what it held is unknown now");
            open()?
        }
        other => other?,
    };
    if place.standalone {
        let last_run = file::read_last_run(&place.folder, &name)?;
        let last = store.last_run()?.max(last_run.map(|w| w.run));
        let run = last.unwrap_or(0) + 1;
        // The number beside the store first: a store that has begun and is then set back is recognized by it.
        file::note_run(&place.folder, &name, run)?;
        store.begin(run, last_run, 0)?;
        tracing::info!(run, proves = store.is_proof(0), "intent log open");
    }
    let (requests, queue) = sync_channel(QUEUE_CAPACITY);
    let (state, seen) = watch::channel(store.commits());
    let thread = std::thread::Builder::new().name(format!("marks-{name}"));
    let worker = StoreThread { store, clock, path, pending_begin: None };
    let thread = thread.spawn(move || worker.run(&queue, &state))?;
    Ok((IntentLog { requests, state: seen }, thread))
}

/// The store and what its thread keeps between two rounds.
struct StoreThread {
    store: IntentStore,
    clock: Instant,
    path: PathBuf,
    /// A run that is to begin as soon as the disk takes it.
    pending_begin: Option<RunStart>,
}

/// A run's number, and what is known elsewhere of the run before.
struct RunStart {
    run: u64,
    last_run: Option<LastRun>,
}

/// An intent that was asked for, and who waits for it.
struct PendingIntent {
    intent: Intent,
    reply: EventSender,
}

/// A question that waits for the commit before it.
struct PendingQuery {
    number: u64,
    identity: Identity,
    reply: EventSender,
}

/// What is done in one round of the thread.
#[derive(Default)]
struct Round {
    batch: Batch,
    intents: Vec<PendingIntent>,
    queries: Vec<PendingQuery>,
}

impl StoreThread {
    /// Serves requests until all who could send one are gone.
    fn run(mut self, queue: &Receiver<LogRequest>, state: &watch::Sender<Option<LastRun>>) {
        loop {
            let first = match queue.recv_timeout(IDLE_INTERVAL) {
                Ok(first) => Some(first),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            // All that came while the last commit ran.
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
        tracing::error!(run, %fault, "the intent log can't begin this run");
        // A disk may come back; a number that is too low stays so.
        if !matches!(fault, IntentLogError::RunSuperseded { .. }) {
            self.pending_begin = Some(RunStart { run, last_run });
        }
    }

    /// Writes what came, and drops what is no longer needed.
    fn commit(&mut self, batch: Batch, intents: Vec<PendingIntent>) {
        let has_begun = self.store.commits().is_some();
        let is_idle = batch.intents.is_empty() && batch.ended.is_empty();
        if is_idle && !(has_begun && self.store.is_due(self.now())) {
            return;
        }
        let now = self.now();
        let written = self.store.commit(&batch, now);
        if let Err(fault) = &written {
            tracing::error!(%fault, marks = intents.len(), "intents not written; their attempts are not sent");
            if let IntentLogError::Damaged(why) = fault {
                self.quarantine(why);
            }
        }
        // An asker that is gone needs no answer.
        for PendingIntent { intent, reply } in intents {
            let _ = reply.send(LogEvent::Recorded(intent, written.is_ok()));
        }
    }

    fn quarantine(&self, why: &str) {
        match file::set_aside(&self.path) {
            Ok(aside) => tracing::error!(file = %aside.display(), why, "intent log quarantined"),
            Err(error) => tracing::error!(%error, "the intent log can't be quarantined"),
        }
    }
}
