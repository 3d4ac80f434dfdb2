//! A store on a thread of its own. Nobody waits for it: what is notified goes into a bounded line, what it answers comes back by
//! the asker's channel. A line that is full, and a store that can't write, count as "not recorded".

use crate::{file, Batch, Intent, IntentLogError, IntentStore, LastRun, Options};
use stagehoist_recovery::{AttemptKnowledge, Identity};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch};

/// Words to a store that wait for it.
const LINE: usize = 65_536;
/// Words in one commit at most.
const BATCH: usize = 8192;
/// How often a store without work sees to what is no longer needed, and to a database that failed.
const IDLE: Duration = Duration::from_secs(1);

/// Where a member's intents are kept.
#[derive(Clone, Debug)]
pub struct LogLocation {
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

/// Where answers go. One comes for each word that asks for one, so that what waits there is bounded by what was asked.
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
    /// Asks for an intent. False: the line is full or the store gone, and nothing will be answered.
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

    /// This run's number was notified, with what is known of the run before.
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
        // The number beside the store first: a store that has begun and is then set back is notified by it.
        file::note_run(&place.folder, &name, run)?;
        store.begin(run, last_run, 0)?;
        tracing::info!(run, proves = store.is_proof(0), "intent log open");
    }
    let (line, words) = sync_channel(LINE);
    let (state, seen) = watch::channel(store.commits());
    let thread = std::thread::Builder::new().name(format!("marks-{name}"));
    let thread = thread.spawn(move || run(store, &words, clock, &state, &path))?;
    Ok((IntentLog { requests: line, state: seen }, thread))
}

fn run(
    mut store: IntentStore,
    words: &Receiver<LogRequest>,
    clock: Instant,
    state: &watch::Sender<Option<LastRun>>,
    path: &Path,
) {
    let now = || clock.elapsed().as_micros() as i64;
    let mut begins: Option<(u64, Option<LastRun>)> = None;
    loop {
        let first = match words.recv_timeout(IDLE) {
            Ok(first) => Some(first),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => return,
        };
        let mut batch = Batch::default();
        let (mut marks, mut asks) = (Vec::new(), Vec::new());
        // All that came while the last commit ran.
        let more = std::iter::from_fn(|| words.try_recv().ok());
        for word in first.into_iter().chain(more).take(BATCH) {
            match word {
                LogRequest::Record(mark, reply) => {
                    batch.intents.push(mark);
                    marks.push((mark, reply));
                }
                LogRequest::Ended(mark) => batch.ended.push(mark),
                LogRequest::Query(number, identity, reply) => asks.push((number, identity, reply)),
                LogRequest::Begin(run, last_run) => begins = Some((run, last_run)),
            }
        }
        if let Some((run, last_run)) = begins {
            match store.begin(run, last_run, now()) {
                Ok(()) => begins = None,
                Err(fault) => {
                    tracing::error!(run, %fault, "the intent log can't begin this run");
                    // A disk may come back; a number that is too low stays so.
                    begins = begins.filter(|_| !matches!(fault, IntentLogError::RunSuperseded { .. }));
                }
            }
        }
        let begun = store.commits().is_some();
        if !batch.intents.is_empty() || !batch.ended.is_empty() || (begun && store.is_due(now())) {
            let written = store.commit(&batch, now());
            if let Err(fault) = &written {
                tracing::error!(%fault, marks = marks.len(), "intents not written; their attempts are not sent");
                if let IntentLogError::Damaged(why) = fault {
                    match file::set_aside(path) {
                        Ok(aside) => tracing::error!(file = %aside.display(), why, "intent log quarantined"),
                        Err(error) => tracing::error!(%error, "the intent log can't be quarantined"),
                    }
                }
            }
            // An asker that is gone needs no answer.
            for (mark, reply) in marks {
                let _ = reply.send(LogEvent::Recorded(mark, written.is_ok()));
            }
        }
        for (number, identity, reply) in asks {
            let _ = reply.send(LogEvent::Answered(number, store.query(identity, now())));
        }
        state.send_replace(store.commits());
    }
}
