//! The parameters of a scenario, drawn at random from a seed.

use crate::{MS, S};
use stagehoist::*;

pub struct Draw(pub u64);

impl Draw {
    pub fn fraction(&mut self) -> f64 {
        // SplitMix64.
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let x = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        let x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        ((x ^ (x >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
    pub fn below(&mut self, n: i64) -> i64 {
        (self.fraction() * n as f64) as i64
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Traffic {
    Steady,
    /// Period and length: within each period, all calls arrive during this length.
    Bursts(Micros, Micros),
    /// Period and length: within each period, no call arrives during this length, and all arrive during the rest.
    Pauses(Micros, Micros),
    /// In turns of this length, one fifth of the front ends gets all the traffic.
    Turns(Micros),
}

/// Delay of the attempts sent to cold workers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Delay {
    Immediate,
    /// Maximum delay until a front end's connection is established; the attempts waiting for it then arrive together.
    Connections(Micros),
    /// Period and length: within each period, nothing arrives during this length.
    Stalls(Micros, Micros),
}

#[derive(Clone, Debug)]
pub struct Scenario {
    pub seed: u64,
    pub front_ends: usize,
    /// Configured number of front ends relative to the actual number.
    pub count_ratio: f64,
    pub established: WorkerId,
    pub cold: WorkerId,
    /// Whether the cold workers were established before and restart; otherwise they are new.
    pub returning: bool,
    pub capacity: f64,
    /// Usual run time of each class; one call in five is of the second class.
    pub run: [Micros; 2],
    pub window: Micros,
    pub multiple: f64,
    pub start_share: f64,
    pub warm_up: Micros,
    pub retention: Micros,
    /// Traffic relative to the rate that the workers before the start can serve.
    pub load: f64,
    pub traffic: Traffic,
    pub unequal: bool,
    pub delay: Delay,
    /// Whether seven front ends in ten restart together with the workers.
    pub restarted: bool,
    /// Maximum delay until front ends are notified of the start.
    pub lag: Micros,
    /// A worker rejects attempts that would wait longer than this.
    pub max_wait: Micros,
    pub until: Micros,
    /// Front ends are configured with this factor times the multiple; above 1 the checker must find a violation.
    pub multiple_factor: f64,
    /// Whether the endpoint list reports that a worker has started.
    pub lists_start: bool,
}

impl Scenario {
    /// Returns a scenario with 150 front ends, an established fleet of three workers at twice its capacity, and one new
    /// worker.
    pub fn plain() -> Scenario {
        Scenario {
            seed: 1,
            front_ends: 150,
            count_ratio: 1.0,
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
            delay: Delay::Immediate,
            restarted: false,
            lag: 300 * MS,
            max_wait: 100 * MS,
            until: 20 * S,
            multiple_factor: 1.0,
            lists_start: true,
        }
    }

    pub fn random(seed: u64) -> Scenario {
        let mut draw = Draw(seed << 32);
        let mut pick = |list: &[f64]| list[draw.below(list.len() as i64) as usize];
        let run = pick(&[60.0, 120.0]) as Micros * MS;
        let established = pick(&[0.0, 1.0, 2.0, 3.0, 5.0]) as WorkerId;
        Scenario {
            seed,
            front_ends: pick(&[8.0, 12.0, 24.0, 60.0, 150.0, 300.0, 350.0]) as usize,
            count_ratio: pick(&[0.5, 1.0, 2.0]),
            established,
            cold: pick(&[1.0, 1.0, 3.0, 5.0]) as WorkerId,
            returning: pick(&[0.0, 1.0]) > 0.0 || established == 0,
            capacity: pick(&[2.0, 4.0, 8.0]),
            run: [run, run * pick(&[1.0, 3.0]) as Micros],
            window: pick(&[1.0, 2.0]) as Micros * S,
            multiple: pick(&[2.0, 2.5, 3.0]),
            start_share: pick(&[0.1, 0.25, 0.3]),
            warm_up: pick(&[10.0, 17.0]) as Micros * S,
            retention: pick(&[2.0, 9.0]) as Micros * S,
            load: pick(&[0.9, 1.3, 2.0, 3.0]),
            traffic: match pick(&[0.0, 1.0, 2.0, 3.0]) as i64 {
                0 => Traffic::Steady,
                1 => Traffic::Bursts(3 * S, 600 * MS),
                2 => Traffic::Bursts(5 * S, 2 * S),
                _ => Traffic::Turns(pick(&[500.0, 3000.0]) as Micros * MS),
            },
            unequal: pick(&[0.0, 1.0]) > 0.0,
            delay: match pick(&[0.0, 1.0, 2.0]) as i64 {
                0 => Delay::Immediate,
                1 => Delay::Connections(S),
                _ => Delay::Stalls(2500 * MS, S),
            },
            restarted: pick(&[0.0, 1.0]) > 0.0,
            lag: pick(&[0.0, 300.0, 1000.0]) as Micros * MS,
            max_wait: pick(&[100.0, 400.0]) as Micros * MS,
            ..Scenario::plain()
        }
    }

    /// Returns the mean run time of the calls.
    pub fn mean_run(&self) -> f64 {
        0.8 * self.run[0] as f64 + 0.2 * self.run[1] as f64
    }

    /// Returns the number of calls that an established worker serves per second.
    pub fn rate(&self) -> f64 {
        self.capacity * S as f64 / self.mean_run()
    }

    pub fn share(&self, age: Micros) -> f64 {
        let progress = (age as f64 / self.warm_up as f64).clamp(0.0, 1.0);
        self.start_share + (1.0 - self.start_share) * progress
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

    /// Returns the settings of the front ends.
    pub fn settings(&self) -> Settings {
        let ms = |span: Micros| span / MS;
        let text = format!(
            "balancers={}\nclasses.count=2\nclasses.0.aim=800\nclasses.0.effect=idempotent\n\
             classes.1.aim=800\nclasses.1.effect=idempotent\ngranularity=2\n\
             invariants.drain_grace=1000\ninvariants.fall={}\ninvariants.overload_factor={}\n\
             invariants.start_capacity={}\ninvariants.warm_up={}\nlimits.most_tries=3\n\
             limits.connect_timeout=1500\nspecifics.idle_life={}\nspecifics.if_cold=load\n\
             specifics.ram_mb_by_kind=16000\n",
            ((self.front_ends as f64 * self.count_ratio) as usize).max(1),
            ms(self.window),
            self.multiple * self.multiple_factor,
            self.start_share,
            ms(self.warm_up),
            ms(self.retention),
        );
        wire::parse_settings(&text).unwrap()
    }
}
