//! Replicas and members in processes of their own, and what lies between them.

use super::board::Manner;
use super::fault::{Fault, Outcome};
use super::lines::{Answer, Ask, Peer, Program};
use super::relay::{Passed, Relays};
use super::replica::{self, State};
use super::{members, Settings};
use socket2::{Domain, Socket, Type};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Sessions of one process of members.
const MEMBERS_EACH: usize = 600;
/// Ports that connections going out don't take, from 16,000 on.
const PORTS: std::ops::Range<u16> = 16_000..32_000;
/// How old a replica's figures may be.
const FIGURES: Duration = Duration::from_millis(200);
/// A limit that only a fault reaches.
pub const LIMIT_MS: u64 = 60_000;

/// What is put together.
#[derive(Clone, Debug)]
pub struct Shape {
    pub replicas: u64,
    /// Of them, those that are started: a majority is missing in a negative control.
    pub started: u64,
    pub members: usize,
    pub manner: Manner,
    /// Members beside them that never confirm.
    pub silent: usize,
    pub settings: Settings,
}

impl Shape {
    pub fn of(members: usize) -> Shape {
        Shape {
            replicas: 3,
            started: 3,
            members,
            manner: Manner::Sound,
            silent: 0,
            settings: Settings::default(),
        }
    }
}

pub struct Cluster {
    pub replicas: BTreeMap<u64, Peer>,
    /// The first holds one session, whose bytes are counted.
    pub members: Vec<Peer>,
    /// What replicas said to each other, by whom and to whom.
    between: BTreeMap<(u64, u64), Arc<Passed>>,
    sampled: Vec<Arc<Passed>>,
    folder: tempfile::TempDir,
    _relays: Relays,
    /// How long it took until each member held a promise, in milliseconds; None: not all did.
    pub joined_ms: Option<f64>,
    /// Members that hold one.
    pub joined: usize,
}

/// Whether a port of this host may be listened on. The look does not listen itself: a process that is started
/// beside it has a copy of the socket until its program begins, and would keep the port in use over the look.
pub fn is_free(port: u16) -> bool {
    let bound = || {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], port)).into())
    };
    bound().is_ok()
}

/// A port that nobody listens on; no two of one process.
fn port() -> Outcome<u16> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let base = PORTS.start + (std::process::id() % 200) as u16 * 80;
    loop {
        let port = base + NEXT.fetch_add(1, Ordering::Relaxed);
        if port >= PORTS.end {
            return Err(Fault::Ports);
        }
        if is_free(port) {
            return Ok(port);
        }
    }
}

impl Cluster {
    /// Starts all of it, and waits until each member holds a promise, or the limit has passed.
    ///
    /// # Errors
    /// A process can't be started, or ended.
    pub fn start(program: &Program<'_>, shape: &Shape, limit_ms: u64) -> Outcome<Cluster> {
        let folder = tempfile::tempdir()?;
        let relays = Relays::start()?;
        let mut listen = BTreeMap::new();
        for number in 1..=shape.replicas {
            listen.insert(number, format!("127.0.0.1:{}", port()?));
        }
        let mut between = BTreeMap::new();
        let mut replicas = BTreeMap::new();
        for (number, own) in &listen {
            let mut reached = BTreeMap::from([(*number, own.clone())]);
            for (other, to) in listen.iter().filter(|(n, _)| *n != number) {
                let relay = relays.to(to)?;
                reached.insert(*other, relay.address);
                between.insert((*number, *other), relay.passed);
            }
            if *number > shape.started {
                continue;
            }
            let store = folder.path().join(format!("replica-{number}"));
            let settings = shape.settings.clone();
            let told =
                replica::Told { number: *number, listen: own.clone(), store, replicas: reached, settings };
            replicas.insert(*number, Peer::start(program, "replica", &told)?);
        }
        let (mut by_relay, mut sampled) = (BTreeMap::new(), Vec::new());
        for (number, to) in &listen {
            let relay = relays.to(to)?;
            by_relay.insert(*number, relay.address);
            sampled.push(relay.passed);
        }
        let mut cluster = Cluster {
            replicas,
            members: Vec::new(),
            between,
            sampled,
            folder,
            _relays: relays,
            joined_ms: None,
            joined: 0,
        };
        if shape.started * 2 > shape.replicas {
            cluster.until_led()?;
        }
        let began = Instant::now();
        let kept = Settings { folder: Some(cluster.folder.path().join("fleet")), ..shape.settings.clone() };
        let one =
            members::Told { replicas: by_relay, first: 0, count: 1, manner: shape.manner, settings: kept };
        cluster.members.push(Peer::start(program, "members", &one)?);
        for (first, count, manner) in groups(shape) {
            let settings = shape.settings.clone();
            let told = members::Told { replicas: listen.clone(), first, count, manner, settings };
            cluster.members.push(Peer::start(program, "members", &told)?);
        }
        let ask = Ask::Renewed { since: 0, share: 1.0, limit_ms };
        cluster.joined = cluster.all(&ask)?.iter().map(|a| a.holds).sum();
        if cluster.joined == shape.members + shape.silent {
            cluster.joined_ms = Some(began.elapsed().as_secs_f64() * 1000.0);
        }
        Ok(cluster)
    }

    fn until_led(&mut self) -> Outcome<()> {
        let end = Instant::now() + Duration::from_millis(LIMIT_MS);
        while Instant::now() < end {
            let states = self.states()?;
            if states.values().all(|s| s.votes) && states.values().any(|s| s.leads) {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Err(Fault::Late { what: "a leader", ms: LIMIT_MS })
    }

    /// How every replica stands once its figures, told every tenth of a second, are those of now.
    pub fn settled(&mut self) -> Outcome<BTreeMap<u64, State>> {
        std::thread::sleep(FIGURES);
        self.states()
    }

    /// How every replica stands.
    pub fn states(&mut self) -> Outcome<BTreeMap<u64, State>> {
        for replica in self.replicas.values_mut() {
            replica.request(&())?;
        }
        self.replicas.iter_mut().map(|(n, r)| Ok((*n, r.answer()?))).collect()
    }

    /// Who leads, by its own word.
    pub fn leader(&mut self) -> Outcome<Option<u64>> {
        Ok(self.states()?.into_iter().find(|(_, s)| s.leads).map(|(n, _)| n))
    }

    /// Asks every process of members the same, side by side.
    pub fn all(&mut self, ask: &Ask) -> Outcome<Vec<Answer>> {
        for members in &mut self.members {
            members.request(ask)?;
        }
        self.members.iter_mut().map(Peer::answer).collect()
    }

    /// Bytes that one replica said to another and was answered.
    pub fn between(&self, from: u64, to: u64) -> (u64, u64) {
        self.between.get(&(from, to)).map_or((0, 0), |p| p.now())
    }

    /// Bytes that one session sent, and those that it was sent.
    pub fn of_session(&self) -> (u64, u64) {
        let passed = self.sampled.iter().map(|p| p.now());
        passed.fold((0, 0), |all, one| (all.0 + one.0, all.1 + one.1))
    }
}

/// Members by process: first number, count, and how they behave.
fn groups(shape: &Shape) -> Vec<(usize, usize, Manner)> {
    let mut groups = Vec::new();
    let mut first = 1;
    for (mut left, manner) in
        [(shape.members.saturating_sub(1), shape.manner), (shape.silent, Manner::Silent)]
    {
        while left > 0 {
            let count = left.min(MEMBERS_EACH);
            groups.push((first, count, manner));
            (first, left) = (first + count, left - count);
        }
    }
    groups
}
