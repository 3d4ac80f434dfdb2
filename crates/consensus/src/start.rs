//! Start and end of a process's part in the agreement.

use crate::replica::{run, Parts};
use crate::session::{seed, session, SessionClient};
use crate::session_file::SessionFile;
use crate::store;
use crate::{ConsensusError, Now, Options, Session, SessionReport, Statistics};
use stagehoist_cluster_state::{LeaseHolder, Retirement};
use std::collections::BTreeMap;
use std::net::TcpListener;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Retirements that a session has not taken yet.
const MAX_RETIREMENTS: usize = 64;
/// Words about intents that wait on either side; what finds no room is asked again or not known.
const MAX_MESSAGES: usize = 256;
/// How long sessions may take to leave, and Raft to end.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(2);
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);

/// A process's part in the agreement, on a thread of its own.
pub struct Running {
    /// By the front end's name.
    pub sessions: BTreeMap<String, Session>,
    figures: watch::Receiver<Statistics>,
    stop: watch::Sender<bool>,
    thread: Option<JoinHandle<()>>,
}

impl Running {
    /// Figures of this process's replica; all zero where it has none.
    pub fn figures(&self) -> watch::Receiver<Statistics> {
        self.figures.clone()
    }

    /// Members leave in order, tasks end, the thread is joined: within about five seconds.
    pub fn stop(mut self) {
        self.end();
    }

    fn end(&mut self) {
        self.stop.send_replace(true);
        if let Some(thread) = self.thread.take() {
            if thread.join().is_err() {
                tracing::error!(target: "stagehoist_consensus", "the replica's thread failed");
            }
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.end();
    }
}

/// Starts the sessions of a process, and its replica where it is one.
///
/// # Errors
/// What can be told at once: a number that is not told, an address or a store that can't be had.
pub fn start(options: Options, now: Now) -> Result<Running, ConsensusError> {
    let pace = options.timing;
    if options.replicas.is_empty() {
        return Err(ConsensusError::NoReplicas);
    }
    if pace.heartbeat_ms == 0
        || pace.election_ms.0 < 2 * pace.heartbeat_ms
        || pace.election_ms.1 <= pace.election_ms.0
    {
        return Err(ConsensusError::Timing {
            heartbeat_ms: pace.heartbeat_ms,
            election_ms: pace.election_ms,
        });
    }
    let parts = parts(&options)?;
    let (stop, stopped) = watch::channel(false);
    let mut sessions = BTreeMap::new();
    let mut clients = Vec::new();
    for name in &options.members {
        let (session, client) = make(&options, name, &now, &stopped)?;
        sessions.insert(name.clone(), session);
        clients.push(client);
    }
    let (figures_in, figures) = watch::channel(Statistics::default());
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(ConsensusError::Thread)?;
    let (ready, readied) = std::sync::mpsc::channel();
    let work = move || {
        runtime.block_on(life(options, parts, now, clients, figures_in, stopped, ready));
        // Tasks of Raft that still wait are dropped with the runtime, and the store with them.
        runtime.shutdown_timeout(SHUTDOWN_TIMEOUT);
    };
    let thread = std::thread::Builder::new()
        .name("stagehoist-consensus".into())
        .spawn(work)
        .map_err(ConsensusError::Thread)?;
    let running = Running { sessions, figures, stop, thread: Some(thread) };
    match readied.recv() {
        Ok(Ok(())) => Ok(running),
        Ok(Err(e)) => Err(e),
        Err(_) => Err(ConsensusError::Agreement("the replica's thread failed".into())),
    }
}

fn parts(options: &Options) -> Result<Option<Parts>, ConsensusError> {
    let Some(keep) = &options.replica else { return Ok(None) };
    if !options.replicas.contains_key(&keep.number) {
        return Err(ConsensusError::NotAReplica { number: keep.number });
    }
    let listen = |source| ConsensusError::Listen { address: keep.listen.clone(), source };
    let listener = TcpListener::bind(&keep.listen).map_err(listen)?;
    listener.set_nonblocking(true).map_err(listen)?;
    let (store, start) = store::open(&keep.store)?;
    Ok(Some(Parts { number: keep.number, store, start, listener }))
}

fn make(
    options: &Options,
    name: &str,
    now: &Now,
    stop: &watch::Receiver<bool>,
) -> Result<(Session, SessionClient), ConsensusError> {
    let folder = options.session_folder.as_deref();
    let kept = SessionFile::open(folder, name).map_err(|source| ConsensusError::Incarnations {
        path: folder.map(Into::into).unwrap_or_default(),
        source,
    })?;
    // What was known is shown from the first moment on, as stale.
    let mut holder = LeaseHolder::new(options.terms);
    holder.on_view(kept.memory.view.clone());
    let (standing_in, standing) = watch::channel(holder.status().clone());
    let (member_in, member) = watch::channel(None);
    let (told, told_out) = watch::channel(SessionReport::default());
    let (retire, retire_out) = mpsc::channel::<Retirement>(MAX_RETIREMENTS);
    let (said, said_out) = mpsc::channel(MAX_MESSAGES);
    let (heard_in, heard) = mpsc::channel(MAX_MESSAGES);
    let client = SessionClient {
        name: name.into(),
        replicas: options.replicas.clone(),
        terms: options.terms,
        edition: options.edition,
        pools: options.pools.clone(),
        now: now.clone(),
        seed: seed(options.seed, name),
        file: kept,
        status: standing_in,
        member: member_in,
        report: told_out,
        retire: retire_out,
        inquiries: said_out,
        inquiry_events: heard_in,
        stop: stop.clone(),
    };
    Ok((
        Session { status: standing, member, report: told, retire, inquiries: said, inquiry_events: heard },
        client,
    ))
}

type Ready = std::sync::mpsc::Sender<Result<(), ConsensusError>>;

/// The whole life of the thread.
async fn life(
    options: Options,
    parts: Option<Parts>,
    now: Now,
    clients: Vec<SessionClient>,
    figures: watch::Sender<Statistics>,
    mut stop: watch::Receiver<bool>,
    ready: Ready,
) {
    let mut tasks = JoinSet::new();
    let raft = match parts {
        Some(parts) => match run(&options, parts, now, figures, &mut tasks).await {
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
        sessions.spawn(session(client));
    }
    let _ = stop.wait_for(|s| *s).await;
    let _ = timeout(LEAVE_TIMEOUT, async { while sessions.join_next().await.is_some() {} }).await;
    sessions.shutdown().await;
    if let Some(raft) = raft {
        let _ = timeout(SHUTDOWN_TIMEOUT, raft.shutdown()).await;
    }
    tasks.shutdown().await;
}
