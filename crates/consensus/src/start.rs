//! Start and shutdown of a process's replica and sessions.

use crate::listener;
use crate::replica::{run, Parts};
use crate::session::{member_seed, run_session, SessionClient};
use crate::session_file::SessionFile;
use crate::store;
use crate::{ConsensusError, Now, Options, Session, SessionReport, Statistics};
use stagehoist_cluster_state::{LeaseHolder, Retirement};
use std::collections::BTreeMap;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Retirements queued for a session.
const MAX_RETIREMENTS: usize = 64;
/// Inquiry messages queued in each direction; one that finds the queue full is sent again or answered as not known.
const MAX_MESSAGES: usize = 256;
/// Time limits for sessions to leave and for Raft to shut down.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(2);
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);

/// A process's running sessions and replica, on a dedicated thread.
pub struct Running {
    /// Sessions by the front end's name.
    pub sessions: BTreeMap<String, Session>,
    statistics: watch::Receiver<Statistics>,
    stop: watch::Sender<bool>,
    thread: Option<JoinHandle<()>>,
}

impl Running {
    /// Statistics of this process's replica; all zero if it has none.
    pub fn statistics(&self) -> watch::Receiver<Statistics> {
        self.statistics.clone()
    }

    /// Shuts down within about five seconds: members leave, tasks end and the thread is joined.
    pub fn stop(mut self) {
        self.end();
    }

    fn end(&mut self) {
        self.stop.send_replace(true);
        if let Some(thread) = self.thread.take() {
            if thread.join().is_err() {
                tracing::error!(target: "stagehoist_consensus", "the consensus thread panicked");
            }
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.end();
    }
}

/// Starts the sessions of a process, and its replica if one is configured.
///
/// # Errors
/// Faults that show immediately: an unconfigured replica number, an address that can't be bound, or a store that
/// can't be opened.
pub fn start(options: Options, now: Now) -> Result<Running, ConsensusError> {
    let timing = options.timing;
    if options.replicas.is_empty() {
        return Err(ConsensusError::NoReplicas);
    }
    if timing.heartbeat_ms == 0
        || timing.election_ms.0 < 2 * timing.heartbeat_ms
        || timing.election_ms.1 <= timing.election_ms.0
    {
        return Err(ConsensusError::Timing {
            heartbeat_ms: timing.heartbeat_ms,
            election_ms: timing.election_ms,
        });
    }
    let parts = parts(&options)?;
    let (stop, stopped) = watch::channel(false);
    let mut sessions = BTreeMap::new();
    let mut clients = Vec::new();
    for name in &options.members {
        let (session, client) = make_session(&options, name, &now, &stopped)?;
        sessions.insert(name.clone(), session);
        clients.push(client);
    }
    let (statistics_sender, statistics) = watch::channel(Statistics::default());
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(ConsensusError::Thread)?;
    let (ready, ready_receiver) = std::sync::mpsc::channel();
    let work = move || {
        runtime.block_on(run_thread(options, parts, now, clients, statistics_sender, stopped, ready));
        // Drops Raft tasks that still wait, together with the runtime and the store.
        runtime.shutdown_timeout(SHUTDOWN_TIMEOUT);
    };
    let thread = std::thread::Builder::new()
        .name("stagehoist-consensus".into())
        .spawn(work)
        .map_err(ConsensusError::Thread)?;
    let running = Running { sessions, statistics, stop, thread: Some(thread) };
    match ready_receiver.recv() {
        Ok(Ok(())) => Ok(running),
        Ok(Err(e)) => Err(e),
        Err(_) => Err(ConsensusError::Agreement("the consensus thread exited during startup".into())),
    }
}

fn parts(options: &Options) -> Result<Option<Parts>, ConsensusError> {
    let Some(replica) = &options.replica else { return Ok(None) };
    if !options.replicas.contains_key(&replica.number) {
        return Err(ConsensusError::NotAReplica { number: replica.number });
    }
    let listen_error = |source| ConsensusError::Listen { address: replica.listen.clone(), source };
    let listener = listener::listen(&replica.listen).map_err(listen_error)?;
    let (store, start) = store::open(&replica.store)?;
    Ok(Some(Parts { number: replica.number, store, start, listener }))
}

fn make_session(
    options: &Options,
    name: &str,
    now: &Now,
    stop: &watch::Receiver<bool>,
) -> Result<(Session, SessionClient), ConsensusError> {
    let folder = options.session_folder.as_deref();
    let session_file = SessionFile::open(folder, name).map_err(|source| ConsensusError::Incarnations {
        path: folder.map(Into::into).unwrap_or_default(),
        source,
    })?;
    // The stored view is published immediately, marked as stale.
    let mut holder = LeaseHolder::new(options.terms);
    holder.on_view(session_file.memory.view.clone());
    let (status_sender, status_receiver) = watch::channel(holder.status().clone());
    let (member_sender, member) = watch::channel(None);
    let (report_sender, report_receiver) = watch::channel(SessionReport::default());
    let (retire, retire_receiver) = mpsc::channel::<Retirement>(MAX_RETIREMENTS);
    let (inquiry_sender, inquiry_receiver) = mpsc::channel(MAX_MESSAGES);
    let (event_sender, event_receiver) = mpsc::channel(MAX_MESSAGES);
    let client = SessionClient {
        name: name.into(),
        replicas: options.replicas.clone(),
        terms: options.terms,
        edition: options.edition,
        pools: options.pools.clone(),
        now: now.clone(),
        seed: member_seed(options.seed, name),
        file: session_file,
        status: status_sender,
        member: member_sender,
        report: report_receiver,
        retire: retire_receiver,
        inquiries: inquiry_receiver,
        inquiry_events: event_sender,
        stop: stop.clone(),
    };
    Ok((
        Session {
            status: status_receiver,
            member,
            report: report_sender,
            retire,
            inquiries: inquiry_sender,
            inquiry_events: event_receiver,
        },
        client,
    ))
}

type Ready = std::sync::mpsc::Sender<Result<(), ConsensusError>>;

/// Runs the replica and the sessions until stopped.
async fn run_thread(
    options: Options,
    parts: Option<Parts>,
    now: Now,
    clients: Vec<SessionClient>,
    statistics: watch::Sender<Statistics>,
    mut stop: watch::Receiver<bool>,
    ready: Ready,
) {
    let mut tasks = JoinSet::new();
    let raft = match parts {
        Some(parts) => match run(&options, parts, now, statistics, &mut tasks).await {
            Ok(raft) => Some(raft),
            Err(e) => {
                let _ = ready.send(Err(e));
                return;
            }
        },
        None => None,
    };
    let _ = ready.send(Ok(()));
    drop(ready);
    let mut sessions = JoinSet::new();
    for client in clients {
        sessions.spawn(run_session(client));
    }
    let _ = stop.wait_for(|s| *s).await;
    let _ = timeout(LEAVE_TIMEOUT, async { while sessions.join_next().await.is_some() {} }).await;
    sessions.shutdown().await;
    if let Some(raft) = raft {
        let _ = timeout(SHUTDOWN_TIMEOUT, raft.shutdown()).await;
    }
    tasks.shutdown().await;
}
