//! What the hollow front ends of a process see, for whoever waits for all of them.

use serde::{Deserialize, Serialize};
use stagehoist_cluster_state::{
    ClusterStatus, Demand, InquiryEvent, InquiryMessage, MessageKnowledge, TombstoneState,
};
use stagehoist_consensus::SessionReport;
use std::sync::atomic::{AtomicI64, AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// How front ends behave.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Manner {
    /// What they are shown they confirm at once.
    #[default]
    Sound,
    /// They confirm nothing, as one with a call in progress that never ends.
    Silent,
    /// What they report changes all the time: a fault.
    Flapping,
    /// The same, and they report of many pools.
    Verbose,
    /// They keep much more than they need: a fault.
    Hoarding,
}

/// Time between two changes of one that flaps.
const FLAP: Duration = Duration::from_millis(5);
/// Pools that it reports of.
const FLAP_POOLS: usize = 300;
/// Bytes that one keeps which hoards.
const HOARD: usize = 400 << 20;

#[derive(Default)]
struct Seen {
    /// Until when its view is known to be the newest.
    fresh_until: AtomicI64,
    /// Retirements that it was shown as in force.
    forced: AtomicUsize,
}

pub struct Board {
    seen: Vec<Seen>,
    views: AtomicU64,
}

impl Board {
    pub fn new(front_ends: usize) -> Board {
        let seen = || Seen { fresh_until: AtomicI64::new(i64::MIN), forced: AtomicUsize::new(0) };
        Board { seen: (0..front_ends).map(|_| seen()).collect(), views: AtomicU64::new(0) }
    }

    /// Views shown so far.
    pub fn views(&self) -> u64 {
        self.views.load(Ordering::Relaxed)
    }

    /// Front ends that hold a promise beyond this time.
    pub fn fresh_until(&self, at: i64) -> usize {
        self.seen.iter().filter(|s| s.fresh_until.load(Ordering::Relaxed) > at).count()
    }

    /// Front ends at which so many retirements are in force.
    pub fn forced(&self, count: usize) -> usize {
        self.seen.iter().filter(|s| s.forced.load(Ordering::Relaxed) >= count).count()
    }
}

/// A front end without calls.
pub async fn front_end(
    at: usize,
    mut standing: watch::Receiver<ClusterStatus>,
    told: watch::Sender<SessionReport>,
    manner: Manner,
    board: Arc<Board>,
) {
    let mut last = 0;
    // Written to, so that it is resident.
    let _hoard = vec![1_u8; if manner == Manner::Hoarding { HOARD } else { 0 }];
    if manner == Manner::Verbose {
        told.send_modify(|t| t.demand = (0..FLAP_POOLS).map(demand).collect());
    }
    loop {
        let (version, fresh_until, forced) = {
            let seen = standing.borrow_and_update();
            let is_new = seen.view.version != last;
            let forced = is_new.then(|| {
                let states = seen.view.tombstones.values();
                states.filter(|t| matches!(t.state, TombstoneState::InForce { .. })).count()
            });
            (seen.view.version, seen.fresh_until, forced)
        };
        if let Some(forced) = forced {
            last = version;
            board.views.fetch_add(1, Ordering::Relaxed);
            board.seen[at].forced.store(forced, Ordering::Relaxed);
            if manner != Manner::Silent {
                told.send_if_modified(|t| std::mem::replace(&mut t.confirmed, version) != version);
            }
        }
        board.seen[at].fresh_until.store(fresh_until, Ordering::Relaxed);
        tokio::select! {
            changed = standing.changed() => if changed.is_err() { return },
            () = tokio::time::sleep(FLAP), if matches!(manner, Manner::Flapping | Manner::Verbose) => {
                told.send_modify(|t| t.ready_capacity ^= 1);
            }
        }
    }
}

fn demand(pool: usize) -> Demand {
    Demand { pool: format!("pool-{pool:04}"), tenant: String::new(), in_use: 1, waiting: 0, applied: 0 }
}

/// Answers what other members ask: no attempt of such a message left here. What others answered goes to `tell`: the
/// question's number, and the messages of which all is known.
pub async fn answer_questions(
    mut heard: mpsc::Receiver<InquiryEvent>,
    said: mpsc::Sender<InquiryMessage>,
    tell: std::sync::mpsc::Sender<(u64, usize)>,
) {
    while let Some(word) = heard.recv().await {
        match word {
            InquiryEvent::Inquired { from, number, keys } => {
                let known = vec![MessageKnowledge::None; keys.len()];
                if said.send(InquiryMessage::Answer { to: from, number, known }).await.is_err() {
                    return;
                }
            }
            InquiryEvent::Answered { number, known } => {
                let _ = tell.send((number, known.iter().flatten().count()));
            }
            InquiryEvent::Joined { .. } => {}
        }
    }
}
