//! What stands on the harness: functions, classes, workers, and the configuration and charter that follow from them.

use crate::day::Day;
use crate::division::Division;
use stagehoist_checker::rules::{ClassRule, Effect, RuleSet};
use stagehoist_emulator::worker::{Catalogue, Program, Spec};
use std::sync::Arc;

const MS: i64 = 1000;
const S: i64 = 1_000_000;

/// Give-up time of every class, in microseconds.
pub const GIVE_UP: i64 = 2500 * MS;
/// Queue that calls are published to.
pub const QUEUE: &str = "calls";

/// Queue of calls that only one front end takes.
pub fn own_queue(front_end: u32) -> String {
    format!("{QUEUE}-{front_end}")
}

/// What the front ends' processes log; the leader of replicas is found in it.
const LOG: &str = "info";

/// Workers and functions of a stage.
#[derive(Clone, Debug)]
pub struct Layout {
    pub workers: Vec<WorkerPlan>,
    pub catalogue: Arc<Catalogue>,
    pub spec: Spec,
    /// Log filter of the front ends' processes, and whether they keep metrics.
    pub log: String,
    pub metrics: bool,
}

/// One worker.
#[derive(Clone, Debug)]
pub struct WorkerPlan {
    pub name: String,
    pub hall: String,
    pub cell: u16,
}

impl Layout {
    /// The layout of a day: workers `w0`, `w1`, ... spread over halls `hall-a`, `hall-b`, ...
    pub fn of(day: &Day) -> Layout {
        let halls = day.halls.clamp(1, 26);
        let hall = |i: u32| format!("hall-{}", char::from(b'a' + (i % halls) as u8));
        let plan = |i: u32| WorkerPlan { name: format!("w{i}"), hall: hall(i), cell: (i / 2) as u16 };
        let program = |memory_mb: u64, lanes, start_ms, run_ms| Program {
            memory: memory_mb * 1_000_000,
            lanes,
            start: start_ms * MS,
            run: run_ms * MS,
        };
        let catalogue = Catalogue(vec![
            ("free-times".into(), program(64, 4, 60, 25)),
            ("clashes".into(), program(96, 4, 80, 30)),
            ("recurring".into(), program(128, 2, 100, 40)),
            ("rare-*".into(), program(48, 1, 50, 30)),
        ]);
        let spec = Spec {
            cores: 4.0,
            memory: 800_000_000,
            queue_most: 48,
            loads_most: 3,
            idle_keep: 10 * S,
            warm_up: 6 * S,
            start_share: 0.25,
            load_on_miss: day.load_on_miss,
            grow: true,
            fall_multiple: 2.5,
            fall_window: S,
        };
        Layout {
            workers: (0..day.workers).map(plan).collect(),
            catalogue: Arc::new(catalogue),
            spec,
            log: LOG.into(),
            metrics: true,
        }
    }

    /// Workers that cost next to nothing, to measure what stands in front of them.
    pub fn light(day: &Day) -> Layout {
        let mut layout = Layout::of(day);
        let program = |run| Program { memory: 1_000_000, lanes: 1000, start: 0, run };
        layout.catalogue = Arc::new(Catalogue(vec![("*".into(), program(500))]));
        layout.spec = Spec { cores: 1000.0, queue_most: 10_000, fall_multiple: 0.0, ..layout.spec };
        layout
    }

    fn halls(&self) -> Vec<String> {
        let set: std::collections::BTreeSet<_> = self.workers.iter().map(|w| w.hall.clone()).collect();
        set.into_iter().collect()
    }

    /// The hall of a front end.
    pub fn hall(&self, front_end: u32) -> String {
        let halls = self.halls();
        halls[front_end as usize % halls.len()].clone()
    }

    /// The configuration of one front end's process.
    pub fn config(&self, day: &Day, front_end: u32, broker: &str, list: &str) -> String {
        let halls = self.halls();
        let calls = |name| day.division.map_or(String::new(), |_| Division::of_function(name, day));
        let shards = day.division.map_or(String::new(), |d| d.line(day, front_end));
        format!(
            "front-ends 1\nfleet-front-ends {fleet}\nseed {seed}\n\
             {metrics}\
             class lookup aim 800ms give-up 2500ms effect safe worth 1 late-worth 0.1\n\
             class check aim 800ms give-up 2500ms effect keyed group all window 5s worth 1 late-worth 0.1\n\
             class record aim 1500ms give-up 2500ms effect unsafe worth 3 late-worth 0.1\n\
             function free-times class lookup memory 64MB lanes 4 load 200ms{retire}{free_times}\n\
             function clashes class check memory 96MB lanes 4 load 200ms{retire}{clashes}\n\
             function recurring class record memory 128MB lanes 2 load 250ms{retire}{recurring}\n\
             function rare-* class lookup memory 48MB lanes 1 load 180ms{retire}\n\
             broker amqp://guest:guest@{broker}/\n\
             consume {QUEUE} declare durable\n\
             {own}\
             reconnect first 50ms most 1s\n\
             heartbeat 5s\nreplies {replies}\n\
             worker-list consul http://{list} service workers wait 5s\n\
             worker-kind usual memory 800MB\n\
             zone-names {halls}\nzone {zone}\n\
             drain-grace 1s\n\
             cold-start window 1s multiple 2.5 share 0.25 warm-up 6s\n\
             attempts 4\nsecond-copies yes\ncancel yes\nprobe yes\norder-loads yes\n\
             idle-keep 10s\non-miss {miss}\nload-timeout 10s\n\
             load-ration window 10s free 12 share 0.2\n\
             reports answers fields busy,inflight\n{shards}",
            free_times = calls("free-times"),
            clashes = calls("clashes"),
            recurring = calls("recurring"),
            retire = match (day.fleet.keepers, day.fleet.strict) {
                (0, _) => "",
                (_, true) => " retire strict",
                (_, false) => " retire available",
            },
            own = if day.has_own_queue(front_end) {
                format!("consume {} declare durable\n", own_queue(front_end))
            } else {
                String::new()
            },
            miss = if day.load_on_miss { "load" } else { "miss" },
            metrics = if self.metrics { "listen metrics 127.0.0.1:0\n" } else { "" },
            replies = if day.transactions { "transaction" } else { "confirm" },
            fleet = day.front_ends,
            seed = day.seed + u64::from(front_end) * 101,
            halls = halls.join(","),
            zone = self.hall(front_end),
        )
    }

    /// The rules' figures, as [`Layout::config`] tells them to the gateway.
    pub fn charter(&self) -> RuleSet {
        let class = |effect| ClassRule { effect, give_up: GIVE_UP };
        RuleSet {
            functions: vec![
                ("free-times".into(), class(Effect::Idempotent)),
                ("clashes".into(), class(Effect::IdempotentWithKey { grouped: false, window: 5 * S })),
                ("recurring".into(), class(Effect::NonIdempotent)),
                ("rare-*".into(), class(Effect::Idempotent)),
            ],
            answer_grace: 50 * MS,
            drain_grace: S,
            second_copies: true,
            ration: Some((10 * S, 12.0, 0.2)),
            cold: Some((S, 2.5, 0.25, 6 * S)),
            ..RuleSet::default()
        }
    }

    /// Calls a second that a warm worker serves of the usual mix.
    pub fn capacity(&self) -> f64 {
        self.spec.cores / 0.030
    }

    /// The function of a call, from two draws between 0 and 1: three that are asked for often, and a long tail.
    pub fn function(&self, which: f64, tail: f64) -> String {
        match which {
            w if w < 0.45 => "free-times".into(),
            w if w < 0.75 => "clashes".into(),
            w if w < 0.92 => "recurring".into(),
            _ => format!("rare-{:03}", (200.0 * tail * tail) as u32),
        }
    }
}
