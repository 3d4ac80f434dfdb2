//! Several replicas in one test process, each behind a relay.
#![allow(dead_code)]

pub mod relay;

use relay::Relay;
use stagehoist_cluster_state::{LeaseTerms, Retirement, RetirementMode, Tombstone, TombstoneState};
use stagehoist_consensus::{start, Now, Options, ReplicaOptions, Running, Session, Timing};
use std::collections::{BTreeMap, BTreeSet};
use std::net::TcpListener;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A time limit that is reached only on a fault.
pub const LIMIT: Duration = Duration::from_secs(20);

pub fn terms() -> LeaseTerms {
    LeaseTerms { lease: 1_000_000, drift_ppm: 1000, quorum: 500_000, tombstone_retention: 600_000_000 }
}

/// Settings that all processes share.
pub fn options() -> Options {
    Options {
        allocation: None,
        replicas: BTreeMap::new(),
        replica: None,
        terms: terms(),
        edition: 0,
        pools: Vec::new(),
        members: Vec::new(),
        session_folder: None,
        seed: 1,
        timing: Timing::default(),
    }
}

/// The consensus threads of this process.
fn threads() -> BTreeSet<String> {
    let tasks = std::fs::read_dir("/proc/self/task").unwrap();
    let tasks = tasks.map(|t| t.unwrap().path());
    let is_keeper =
        |p: &PathBuf| std::fs::read_to_string(p.join("comm")).is_ok_and(|c| c.starts_with("stagehoist-cons"));
    tasks.filter(is_keeper).map(|t| t.file_name().unwrap().to_string_lossy().into_owned()).collect()
}

pub fn clock() -> Now {
    let began = Instant::now();
    Arc::new(move || i64::try_from(began.elapsed().as_micros()).unwrap())
}

/// Returns a port without a listener, outside the range of ephemeral ports for outgoing connections.
fn port() -> u16 {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(0);
    let base = 12_000 + u16::try_from(std::process::id() % 200).unwrap() * 80;
    loop {
        let port = base + NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

/// Replicas 1 to n, each behind a relay; every process reaches every replica through its relay.
pub struct Fleet {
    pub folder: tempfile::TempDir,
    pub keepers: BTreeMap<u64, String>,
    listen: BTreeMap<u64, String>,
    pub relays: BTreeMap<u64, Relay>,
    pub running: BTreeMap<u64, Running>,
    pub timing: Timing,
    /// The thread of each replica.
    pub threads: BTreeMap<u64, String>,
}

impl Fleet {
    pub fn new(keepers: u64) -> Fleet {
        // Logs as the usual environment variable says; nothing if it is not set.
        let filter = tracing_subscriber::EnvFilter::from_default_env();
        let _ = tracing_subscriber::fmt()
            .with_env_filter(filter)
            .with_writer(std::io::stderr)
            .with_ansi(false)
            .try_init();
        let listen: BTreeMap<u64, String> =
            (1..=keepers).map(|n| (n, format!("127.0.0.1:{}", port()))).collect();
        let relays: BTreeMap<u64, Relay> = listen.iter().map(|(n, to)| (*n, Relay::new(to))).collect();
        let keepers = relays.iter().map(|(n, r)| (*n, r.address.clone())).collect();
        Fleet {
            folder: tempfile::tempdir().unwrap(),
            keepers,
            listen,
            relays,
            running: BTreeMap::new(),
            timing: Timing::default(),
            threads: BTreeMap::new(),
        }
    }

    /// Starts replicas, each with a member `mN`.
    pub fn started(keepers: u64) -> Fleet {
        let mut fleet = Fleet::new(keepers);
        fleet.start_all();
        fleet
    }

    pub fn start_all(&mut self) {
        for number in self.listen.keys().copied().collect::<Vec<_>>() {
            self.start(number);
        }
        self.until_all_vote();
    }

    /// Waits until every running replica participates fully and all name the same leader.
    pub fn until_all_vote(&self) {
        self.until("all vote", |f| f.running.keys().all(|n| f.votes(*n)) && f.agreed_leader().is_some());
    }

    pub fn store(&self, number: u64) -> PathBuf {
        self.folder.path().join(format!("k{number}"))
    }

    pub fn listens(&self, number: u64) -> &str {
        &self.listen[&number]
    }

    pub fn options(&self, members: &[String]) -> Options {
        Options {
            replicas: self.keepers.clone(),
            members: members.to_vec(),
            session_folder: Some(self.folder.path().join("incarnations")),
            timing: self.timing,
            ..options()
        }
    }

    pub fn keeper_options(&self, number: u64) -> Options {
        let replica =
            ReplicaOptions { number, listen: self.listen[&number].clone(), store: self.store(number) };
        Options { replica: Some(replica), ..self.options(&[format!("m{number}")]) }
    }

    pub fn start(&mut self, number: u64) {
        let before = threads();
        let running = start(self.keeper_options(number), clock()).unwrap();
        self.threads.extend(threads().difference(&before).next().map(|t| (number, t.clone())));
        self.running.insert(number, running);
    }

    pub fn stop(&mut self, number: u64) {
        if let Some(running) = self.running.remove(&number) {
            running.stop();
        }
    }

    pub fn leader(&self) -> Option<u64> {
        let leads = |r: &Running| r.statistics().borrow().is_leader;
        self.running.iter().find(|(_, r)| leads(r)).map(|(n, _)| *n)
    }

    /// Returns the leader if all running replicas name the same one in the same term: right after an election the
    /// previous leader may still consider itself the leader.
    pub fn agreed_leader(&self) -> Option<u64> {
        let mut known = self.running.values().map(|running| {
            let statistics = running.statistics();
            let statistics = statistics.borrow();
            (statistics.leader, statistics.term)
        });
        let first = known.next()?;
        let is_agreed = known.all(|other| other == first);
        self.leader().filter(|leader| is_agreed && first.0 == Some(*leader))
    }

    /// Whether a replica participates fully, so that it forms a majority with one other of three.
    pub fn votes(&self, number: u64) -> bool {
        self.running[&number].statistics().borrow().is_voter
    }

    pub fn sessions(&self) -> Vec<&Session> {
        self.running.values().flat_map(|r| r.sessions.values()).collect()
    }

    pub fn session(&self, number: u64) -> &Session {
        &self.running[&number].sessions[&format!("m{number}")]
    }

    /// Waits for a condition while every front end confirms the views it receives.
    pub fn until(&self, description: &str, condition: impl Fn(&Fleet) -> bool) {
        let sessions = self.sessions();
        wait(description, || {
            sessions.iter().for_each(|s| confirm(s));
            condition(self)
        });
    }
}

pub fn wait(description: &str, mut condition: impl FnMut() -> bool) {
    let began = Instant::now();
    while !condition() {
        assert!(began.elapsed() < LIMIT, "not within {LIMIT:?}: {description}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Confirms the view, as a front end does that serves none of the retired functions.
pub fn confirm(session: &Session) {
    let version = session.status.borrow().view.version;
    session.report.send_if_modified(|report| std::mem::replace(&mut report.confirmed, version) != version);
}

pub fn is_fresh(session: &Session, now: &Now) -> bool {
    !session.status.borrow().is_stale(now())
}

pub fn retirement(function: &str, mode: RetirementMode) -> Retirement {
    let (function, reason) = (function.to_string(), "test".to_string());
    Retirement { function, generation: 1, successor: None, reason, mode, requested_ms: 0 }
}

pub fn shown(session: &Session, function: &str) -> Option<Tombstone> {
    session.status.borrow().view.retired(function, 1).cloned()
}

/// Whether the retirement is in force for all members without exception.
pub fn in_force(session: &Session, function: &str) -> bool {
    shown(session, function)
        .is_some_and(|t| matches!(t.state, TombstoneState::InForce { but_for } if but_for.is_empty()))
}
