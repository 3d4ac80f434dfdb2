//! The division of a scene by the sharding package: who serves which shard, and where functions are at home.

use super::scene::{function, Scene};
use crate::letter::*;
use stagehoist::FunctionId;
use stagehoist_sharding::{
    Assignment, Division, Divisions, FrontEnd, FrontEnds, HomeShards, HotFunction, Key, Member, Serving,
    Shard,
};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

/// Called less often, in calls a second over the whole fleet, a function is rare: less than once a minute.
pub const RARE: f64 = 1.0 / 60.0;

/// A division; a front end that serves some shards has their workers and their calls only.
#[derive(Clone, Debug, PartialEq)]
pub struct Shards {
    pub count: u32,
    /// So many functions, the most called ones, are told with their calls.
    pub told: u32,
    pub played: Played,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Played {
    /// Front ends of the whole fleet, the busiest first; each with all of its shards, those that it stands in
    /// for among them.
    Busiest,
    /// The one with the middle of calls a second.
    Usual,
    /// Front ends that share the calls of the busiest shard, on its workers.
    Shard,
}

/// Most called functions whose calls are told, as in the design page.
pub const TOLD: u32 = 1_000;

impl Shards {
    pub fn of(count: u32) -> Shards {
        Shards { count, told: TOLD, played: Played::Busiest }
    }
}

/// Name of a function.
pub fn function_name(function: FunctionId) -> String {
    format!("function-{function:010x}")
}

/// Calls a second of each function over the whole fleet by Zipf's law, the most called first.
pub fn rates(functions: u64, zipf: f64) -> Vec<f64> {
    let weights: Vec<f64> = (1..=functions).map(|k| (k as f64).powf(-zipf)).collect();
    let sum: f64 = weights.iter().sum();
    weights.into_iter().map(|w| w / sum * CALLS).collect()
}

/// A function's calls in one shard.
struct Part {
    function: FunctionId,
    rate: f64,
    shard: Shard,
    rare: bool,
}

/// Functions and front ends at the letter's size, divided.
pub struct Divided {
    pub division: Division,
    front_ends: Assignment,
    parts: Vec<Part>,
    /// Calls a second of each shard.
    pub traffic: Vec<f64>,
    /// Front ends with their calls a second, the busiest first.
    busiest: Vec<(Key, f64)>,
    /// Front ends that are told to the module.
    pub serving: u32,
}

thread_local! {
    static KNOWN: RefCell<HashMap<String, Rc<Divided>>> = RefCell::default();
}

fn front_end(number: u32) -> Member {
    Member::new(&format!("front-end-{number}"), (number % ZONES as u32) as u16, 1.0)
}

/// Where the most called functions are told.
pub fn homes(division: &Division, rates: &[f64], told: u32) -> HomeShards {
    let hot = |(rank, calls): (usize, &f64)| HotFunction {
        name: function_name(function(rank as u64 + 1)),
        calls: *calls,
        spread: None,
    };
    let hot: Vec<HotFunction> = rates.iter().enumerate().take(told as usize).map(hot).collect();
    HomeShards::new(division, CALLS, &hot).unwrap_or_else(|e| unreachable!("{e}"))
}

impl Divided {
    /// The same for all scenes with these settings; computed once.
    pub fn of(shards: &Shards, functions: u64, zipf: f64) -> Rc<Divided> {
        let key = format!("{} {} {functions} {zipf}", shards.count, shards.told);
        if let Some(known) = KNOWN.with_borrow(|known| known.get(&key).cloned()) {
            return known;
        }
        let new = Rc::new(Divided::new(shards, functions, zipf));
        KNOWN.with_borrow_mut(|known| known.insert(key, new.clone()));
        new
    }

    fn new(shards: &Shards, functions: u64, zipf: f64) -> Divided {
        let division = Division::new(shards.count, 1).unwrap_or_else(|e| unreachable!("{e}"));
        let rates = rates(functions, zipf);
        let homes = homes(&division, &rates, shards.told);
        let mut traffic = vec![0.0; shards.count as usize];
        let mut parts = Vec::with_capacity(rates.len());
        for (rank, all) in rates.iter().enumerate() {
            let function = function(rank as u64 + 1);
            let at = homes.of(Key::of(&function_name(function)));
            let rate = all / at.len() as f64;
            at.iter().for_each(|s| traffic[*s as usize] += rate);
            let rare = *all < RARE;
            parts.extend(at.into_iter().map(|shard| Part { function, rate, shard, rare }));
        }
        let divisions = Divisions::only(division.clone());
        let known = |n| FrontEnd { member: front_end(n), serves: (1, 1) };
        let known = FrontEnds::of(&divisions, front_end(0), (1..FRONT_ENDS as u32).map(known));
        let front_ends = known.served().next().map(|(_, a)| a.clone());
        let front_ends = front_ends.unwrap_or_else(|| Assignment::new(&division));
        // Consumers of one queue share it evenly, so one that stands in has a part of each of its queues.
        let each = |s: Shard| traffic[s as usize] / front_ends.of_shard(s).len().max(1) as f64;
        let each: Vec<f64> = (0..shards.count).map(each).collect();
        let calls = |key| front_ends.shards(key).iter().map(|s| each[*s as usize]).sum();
        let mut busiest: Vec<(Key, f64)> =
            (0..FRONT_ENDS as u32).map(|n| front_end(n).key).map(|key| (key, calls(key))).collect();
        busiest.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        let each_zone = (FRONT_ENDS / ZONES).ceil() as u32;
        let zones: Vec<(u16, u32)> = (0..ZONES as u16).map(|z| (z, each_zone)).collect();
        let serving = Serving::new(&divisions, &zones).max_front_ends_of_any();
        Divided { division, front_ends, parts, traffic, busiest, serving }
    }

    pub fn hottest(&self) -> Shard {
        let most = (0..self.traffic.len()).max_by(|a, b| self.traffic[*a].total_cmp(&self.traffic[*b]));
        most.unwrap_or(0) as Shard
    }

    /// Front ends that serve a shard.
    pub fn serve(&self, shard: Shard) -> u32 {
        self.front_ends.of_shard(shard).len() as u32
    }

    /// Shards of a scene's front end, in ascending order.
    pub fn own(&self, scene: &Scene, number: u32) -> Vec<Shard> {
        let front_end = match scene.shards.as_ref().map(|s| s.played) {
            Some(Played::Busiest) => self.busiest.get(number as usize),
            Some(Played::Usual) => self.busiest.get(self.busiest.len() / 2),
            _ => None,
        };
        let mut own = front_end.map_or_else(|| vec![self.hottest()], |f| self.front_ends.shards(f.0));
        own.sort_unstable();
        own
    }

    /// What a scene's front end is called for.
    pub fn calls(&self, scene: &Scene, number: u32) -> Calls {
        let own = self.own(scene, number);
        let played = scene.shards.as_ref().map(|s| s.played);
        let among = |shard| match played {
            Some(Played::Shard) => scene.front_ends,
            _ => self.serve(shard).max(1),
        };
        let among: HashMap<Shard, u32> = own.iter().map(|s| (*s, among(*s))).collect();
        let mut calls = Calls { each: Vec::new(), rate: 0.0 };
        for part in &self.parts {
            let Some(among) = among.get(&part.shard) else { continue };
            calls.rate += part.rate / f64::from(*among);
            calls.each.push((calls.rate, part.function, part.rare));
        }
        calls
    }
}

/// Functions of one front end, each with the sum of calls a second up to and with it.
pub struct Calls {
    each: Vec<(f64, FunctionId, bool)>,
    pub rate: f64,
}

impl Calls {
    /// By a number drawn evenly from 0 to 1: a function, and whether it is rare.
    pub fn draw(&self, drawn: f64) -> Option<(FunctionId, bool)> {
        let at = self.each.partition_point(|e| e.0 <= drawn * self.rate);
        self.each.get(at.min(self.each.len().saturating_sub(1))).map(|e| (e.1, e.2))
    }
}
