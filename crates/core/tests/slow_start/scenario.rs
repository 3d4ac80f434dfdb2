//! What a day is made of, drawn by seed.

use crate::{MS, S};
use stagehoist::*;

pub struct Draw(pub u64);

impl Draw {
    pub fn part(&mut self) -> f64 {
        // SplitMix64.
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let x = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        let x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        ((x ^ (x >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
    pub fn below(&mut self, n: i64) -> i64 {
        (self.part() * n as f64) as i64
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Traffic {
    Steady,
    /// So often, and so long, all that would have come until the next.
    Bursts(Micros, Micros),
    /// So often, and so long, none, and what would have come comes over the rest.
    Pauses(Micros, Micros),
    /// Front ends have the traffic in turns of this length, one fifth of them at a time.
    Turns(Micros),
}

/// When what was sent to a cold worker arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Late {
    Never,
    /// Each front end's connection comes up so late at most, and what waited for it comes at once.
    Connections(Micros),
    /// So often, for so long, nothing arrives.
    Stalls(Micros, Micros),
}

#[derive(Clone, Debug)]
pub struct Scenario {
    pub seed: u64,
    pub fronts: usize,
    /// Of those that exist so many are listed.
    pub notified_at: f64,
    pub established: WorkerId,
    pub cold: WorkerId,
    /// The cold ones were established before they started anew; else they are new.
    pub returning: bool,
    pub capacity: f64,
    /// Usual run of each class; the second is one call in five.
    pub run: [Micros; 2],
    pub window: Micros,
    pub multiple: f64,
    pub start_share: f64,
    pub warm_up: Micros,
    pub retention: Micros,
    /// Traffic, of what the workers that stand before the start can serve.
    pub load: f64,
    pub traffic: Traffic,
    pub unequal: bool,
    pub late: Late,
    /// Seven front ends in ten start anew with the workers.
    pub restarted: bool,
    /// Front ends are notified of the start so late at most.
    pub lag: Micros,
    /// A worker rejects what would wait longer.
    pub waits: Micros,
    pub until: Micros,
    /// Times the multiple is what front ends are notified of it; other than 1 the checker must find it.
    pub doctored: f64,
    /// False: the list does not tell that a worker has started.
    pub tells_start: bool,
}

impl Scenario {
    /// 150 front ends, an established fleet of three at twice its capacity, one new worker.
    pub fn plain() -> Scenario {
        Scenario {
            seed: 1,
            fronts: 150,
            notified_at: 1.0,
            established: 3,
            cold: 1,
            returning: false,
            capacity: 4.0,
            run: [60 * MS, 60 * MS],
            window: S,
            multiple: 2.5,
            start_share: 0.25,
            warm_up: 17 * S,
            retention: 9 * S,
            load: 2.0,
            traffic: Traffic::Steady,
            unequal: false,
            late: Late::Never,
            restarted: false,
            lag: 300 * MS,
            waits: 100 * MS,
            until: 20 * S,
            doctored: 1.0,
            tells_start: true,
        }
    }

    pub fn drawn(seed: u64) -> Scenario {
        let mut r = Draw(seed << 32);
        let mut of = |list: &[f64]| list[r.below(list.len() as i64) as usize];
        let run = of(&[60.0, 120.0]) as Micros * MS;
        let established = of(&[0.0, 1.0, 2.0, 3.0, 5.0]) as WorkerId;
        Scenario {
            seed,
            fronts: of(&[8.0, 12.0, 24.0, 60.0, 150.0, 300.0, 350.0]) as usize,
            notified_at: of(&[0.5, 1.0, 2.0]),
            established,
            cold: of(&[1.0, 1.0, 3.0, 5.0]) as WorkerId,
            returning: of(&[0.0, 1.0]) > 0.0 || established == 0,
            capacity: of(&[2.0, 4.0, 8.0]),
            run: [run, run * of(&[1.0, 3.0]) as Micros],
            window: of(&[1.0, 2.0]) as Micros * S,
            multiple: of(&[2.0, 2.5, 3.0]),
            start_share: of(&[0.1, 0.25, 0.3]),
            warm_up: of(&[10.0, 17.0]) as Micros * S,
            retention: of(&[2.0, 9.0]) as Micros * S,
            load: of(&[0.9, 1.3, 2.0, 3.0]),
            traffic: match of(&[0.0, 1.0, 2.0, 3.0]) as i64 {
                0 => Traffic::Steady,
                1 => Traffic::Bursts(3 * S, 600 * MS),
                2 => Traffic::Bursts(5 * S, 2 * S),
                _ => Traffic::Turns(of(&[500.0, 3000.0]) as Micros * MS),
            },
            unequal: of(&[0.0, 1.0]) > 0.0,
            late: match of(&[0.0, 1.0, 2.0]) as i64 {
                0 => Late::Never,
                1 => Late::Connections(S),
                _ => Late::Stalls(2500 * MS, S),
            },
            restarted: of(&[0.0, 1.0]) > 0.0,
            lag: of(&[0.0, 300.0, 1000.0]) as Micros * MS,
            waits: of(&[100.0, 400.0]) as Micros * MS,
            ..Scenario::plain()
        }
    }

    /// Mean run over the calls.
    pub fn mean_run(&self) -> f64 {
        0.8 * self.run[0] as f64 + 0.2 * self.run[1] as f64
    }

    /// Calls that an established worker serves in a second.
    pub fn rate(&self) -> f64 {
        self.capacity * S as f64 / self.mean_run()
    }

    pub fn share(&self, age: Micros) -> f64 {
        let grown = (age as f64 / self.warm_up as f64).clamp(0.0, 1.0);
        self.start_share + (1.0 - self.start_share) * grown
    }

    pub fn load_at(&self, now: Micros) -> f64 {
        match self.traffic {
            Traffic::Bursts(every, span) if now % every >= span => 0.0,
            Traffic::Bursts(every, span) => self.load * every as f64 / span as f64,
            Traffic::Pauses(every, span) if now % every >= every - span => 0.0,
            Traffic::Pauses(every, span) => self.load * every as f64 / (every - span) as f64,
            _ => self.load,
        }
    }

    /// What front ends are given.
    pub fn settings(&self) -> Settings {
        let ms = |span: Micros| span / MS;
        let text = format!(
            "balancers={}\nclasses.count=2\nclasses.0.aim=800\nclasses.0.effect=idempotent\n\
             classes.1.aim=800\nclasses.1.effect=idempotent\ngranularity=2\n\
             invariants.drain_grace=1000\ninvariants.fall={}\ninvariants.overload_factor={}\n\
             invariants.start_capacity={}\ninvariants.warm_up={}\nlimits.most_tries=3\n\
             limits.connect_timeout=1500\nspecifics.idle_life={}\nspecifics.if_cold=load\n\
             specifics.ram_mb_by_kind=16000\n",
            ((self.fronts as f64 * self.notified_at) as usize).max(1),
            ms(self.window),
            self.multiple * self.doctored,
            self.start_share,
            ms(self.warm_up),
            ms(self.retention),
        );
        wire::parse_settings(&text).unwrap()
    }
}
