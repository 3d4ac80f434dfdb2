//! Plays a scene in simulated time: real front ends, workers without sockets, one event a batch as at 122 calls a second.

use super::division::{Calls, Divided, Played};
use super::due::Due;
use super::hall::Hall;
use super::list_state::{ListState, News, LAG};
use super::outcome::Outcome;
use super::player::Player;
use super::scene::{function, Change, Fault, Scene, KEEP, MS, SECOND};
use super::subset::Subset;
use crate::letter;
use crate::meter::{allocated, spent};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Zipf};
use stagehoist::{FunctionId, Micros, Request};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

pub struct Play<'a> {
    pub scene: &'a Scene,
    pub hall: Hall,
    pub out: Outcome,
    /// What is due, in order of time and then of coming.
    due: BinaryHeap<Reverse<(Micros, u64, u32, Due)>>,
    number: u64,
}

impl Play<'_> {
    pub fn at(&mut self, time: Micros, front_end: u32, due: Due) {
        self.number += 1;
        self.due.push(Reverse((time, self.number, front_end, due)));
    }
}

/// Plays a scene to its end.
pub fn play(scene: &Scene) -> Outcome {
    let began = SECOND;
    let mut play = Play {
        scene,
        hall: Hall::new(scene.fault),
        out: Outcome::default(),
        due: BinaryHeap::new(),
        number: 0,
    };
    let divided = scene.shards.as_ref().map(|s| Divided::of(s, scene.functions, scene.zipf));
    let calls = |n| divided.as_ref().map(|d| d.calls(scene, n));
    let calls: Vec<Option<Calls>> = (0..scene.front_ends).map(calls).collect();
    let mut list = ListState::new(scene.workers);
    let mut late: Vec<News> = Vec::new();
    let mut whole = list.whole(scene);
    // The front ends of one shard are told its workers; how each takes them from the whole list is played
    // with one.
    let shard = scene.shards.as_ref().is_some_and(|s| s.played == Played::Shard);
    if let Some(divided) = divided.as_deref().filter(|_| shard) {
        whole.rows = Subset::new(divided, scene, 0).told(whole.form, &whole.rows, began);
    }
    let follows = divided.as_deref().filter(|_| !shard);
    let new = |n| Player::new(scene, follows, n, began);
    let mut players: Vec<Player> = (0..scene.front_ends).map(new).collect();
    players.iter_mut().for_each(|p| p.told(&mut play, &whole, began));
    play.out = Outcome::default();
    let ends = began + (scene.seconds * SECOND as f64) as Micros;
    let counts_from = began + (scene.counts_from * SECOND as f64) as Micros;
    let mut counting = false;
    let mut random = ChaCha8Rng::seed_from_u64(scene.seed);
    for n in 0..scene.front_ends {
        let first = began + random.random_range(0..gap(scene, calls[n as usize].as_ref()).max(1));
        play.at(first, n, Due::Call);
    }
    for (n, (at, _)) in scene.changes.iter().enumerate() {
        play.at(began + (at * SECOND as f64) as Micros, 0, Due::Change(n));
    }
    if scene.fault == Some(Fault::NamesNeverRepeat) {
        play.at(began + SECOND, 0, Due::Replace(0));
    }
    let law = Zipf::new(scene.functions.max(1) as f64, scene.zipf).unwrap_or_else(|e| unreachable!("{e}"));
    let mut called: HashMap<FunctionId, Micros> = HashMap::new();
    while let Some(Reverse((now, _, at, due))) = play.due.pop() {
        if now > ends {
            break;
        }
        if !counting && now >= counts_from {
            counting = true;
            play.out = Outcome::default();
        }
        match due {
            Due::Call => {
                let own = calls[at as usize].as_ref();
                let spread = random.random_range(0..2 * gap(scene, own).max(1));
                play.at(now + spread.max(1), at, Due::Call);
                let drawn = match own {
                    Some(own) => own.draw(random.random_range(0.0..1.0)),
                    None => Some((function(law.sample(&mut random) as u64), false)),
                };
                if let Some((function, rare)) = drawn {
                    let before = called.insert(function, now);
                    play.out.unavoidable += u64::from(before.is_none_or(|t| now - t > KEEP));
                    if scene.fault == Some(Fault::WholeEachCall) {
                        let whole = list.whole(scene);
                        (0..100).for_each(|_| players[at as usize].told(&mut play, &whole, now));
                    }
                    players[at as usize].call(&mut play, request(function), rare, now);
                }
            }
            Due::Change(n) => {
                let news = list.change(scene, &scene.changes[n].1, now);
                news.ended.iter().for_each(|&(w, back)| play.hall.ended(w, now, back));
                // One that comes whole of itself tells nothing new, and is not late.
                let lag = if news.ended.is_empty() { 0 } else { LAG };
                play.at(now + lag, 0, Due::Told(late.len()));
                late.push(news);
            }
            Due::Told(n) => tell(&mut players, &mut play, &late[n], now),
            Due::Replace(from) => {
                let many = scene.workers / 3;
                let places = (0..many).map(|i| (from + i) % scene.workers).collect();
                let news = list.change(scene, &Change::Replace(places), now);
                tell(&mut players, &mut play, &news, now);
                play.at(now + SECOND, 0, Due::Replace((from + many) % scene.workers));
            }
            other => players[at as usize].due(&mut play, other, now),
        }
    }
    let mut out = play.out;
    out.seconds = scene.seconds - scene.counts_from;
    let first = players.swap_remove(0);
    (out.kept, out.names, out.connections) = (first.kept(), first.names(), first.connections(ends));
    let before = allocated();
    drop(first);
    out.kept_bytes = before - allocated();
    out
}

fn tell(players: &mut [Player], play: &mut Play, news: &News, now: Micros) {
    for player in players {
        let ((), took) = spent(|| player.told(play, news, now));
        play.out.list.0 += took;
        play.out.list.1 += 1;
        play.out.longest_list = play.out.longest_list.max(took);
    }
}

/// Mean time between two calls of a front end; one of a divided fleet has the part that is its own.
fn gap(scene: &Scene, own: Option<&Calls>) -> Micros {
    let rate = own.map_or(scene.calls_per_second, |own| {
        // The whole fleet's traffic is as much more or less as one front end's.
        own.rate * scene.calls_per_second / letter::CALLS_EACH
    });
    (SECOND as f64 / rate) as Micros
}

fn request(function: FunctionId) -> Request {
    Request {
        id: 0,
        class: 0,
        tenant: 0,
        function,
        budget: 6 * SECOND,
        work: None,
        memory_mb: 100.0,
        concurrency: 4.0,
        load_time: super::scene::LOAD.max(MS),
        is_repeat: false,
        accepted_at: 0,
        client_verified: true,
    }
}
