//! One real front end of a scene: the decision module, the list as it is kept, the names of functions.

use super::division::{function_name, Divided};
use super::due::Due;
use super::list_state::News;
use super::play::Play;
use super::scene::{hash, Fault, Scene, IDLE_CLOSE, KEEP, MS};
use super::subset::{worker_name, Subset};
use crate::meter::spent;
use stagehoist::*;
use stagehoist_endpoints::{EndpointSet, NumberedEndpoint};
use stagehoist_gateway::state::{NameLimits, Names};
use stagehoist_sharding::MAX_MEMBERS;
use std::collections::HashMap;
use std::rc::Rc;

/// In place of what was found of the copy: no process was there.
const AWAY: u8 = u8::MAX;

struct Open {
    function: FunctionId,
    rare: bool,
    came: Micros,
    attempts: u16,
}

pub struct Player {
    number: u32,
    front_end: FrontEnd,
    members: EndpointSet,
    /// Where the fleet is divided.
    subset: Option<Subset>,
    names: Names,
    calls: HashMap<RequestId, Open>,
    next: RequestId,
    actions: Vec<Action>,
    /// Processor time of lists that came just before a call, where that is put in.
    late: f64,
    /// When a worker's connection was last used.
    used: HashMap<WorkerId, Micros>,
    /// When a function was last called here.
    called: HashMap<FunctionId, Micros>,
}

impl Player {
    /// Where `divided` is set it takes its own workers from the whole list.
    pub fn new(scene: &Scene, divided: Option<&Divided>, number: u32, now: Micros) -> Player {
        let members = EndpointSet::new(vec!["large".into()], Vec::new(), 0);
        let mut settings = scene.settings();
        if let Some(divided) = divided {
            settings.front_ends = divided.serving;
        }
        Player {
            number,
            front_end: FrontEnd::new(settings, scene.seed ^ u64::from(number) << 32, now),
            // A divided front end still follows the whole list.
            members: if divided.is_some() { members.with_max_workers(MAX_MEMBERS) } else { members },
            subset: divided.map(|d| Subset::new(d, scene, number)),
            names: Names::new(NameLimits::new(50_000, 10 * KEEP)),
            calls: HashMap::new(),
            next: 0,
            actions: Vec::new(),
            late: 0.0,
            used: HashMap::new(),
            called: HashMap::new(),
        }
    }

    pub fn kept(&self) -> (usize, usize) {
        let sizes = self.front_end.table_sizes();
        (sizes.workers, sizes.functions)
    }

    pub fn names(&self) -> usize {
        self.names.len()
    }

    /// Connections that are open at a time.
    pub fn connections(&self, now: Micros) -> usize {
        self.used.values().filter(|&&t| now - t < IDLE_CLOSE).count()
    }

    /// What a worker is called here.
    fn alias(&self, scene: &Scene, worker: WorkerId) -> WorkerId {
        match scene.fault {
            Some(Fault::OwnNumbers) => worker ^ hash(u64::from(self.number)) as u32,
            _ => worker,
        }
    }

    /// The list, as far as this front end is notified of it.
    pub fn told(&mut self, play: &mut Play, news: &News, now: Micros) {
        let scene = play.scene;
        let name = |row: &Endpoint| NumberedEndpoint {
            name: worker_name(row.worker),
            address: format!(
                "10.{}.{}.{}:7000",
                row.worker >> 16 & 255,
                row.worker >> 8 & 255,
                row.worker & 255
            ),
            endpoint: row.clone(),
        };
        self.members.apply(news.form, news.rows.iter().map(name).collect(), now);
        let rows = match &mut self.subset {
            Some(subset) => subset.told(news.form, &news.rows, now),
            None => news.rows.clone(),
        };
        let own = |row: Endpoint| Endpoint { worker: self.alias(scene, row.worker), ..row };
        let rows: Vec<Endpoint> = rows.into_iter().map(own).collect();
        if scene.fault == Some(Fault::ConnectionEach) {
            self.used.extend(rows.iter().map(|row| (row.worker, Micros::MAX / 2)));
        }
        // What a divided front end isn't told needs no batch.
        if self.subset.is_none() || !rows.is_empty() {
            self.turn(play, &[Event::Endpoints { update: news.form, endpoints: Rc::from(rows) }], now);
        }
    }

    pub fn call(&mut self, play: &mut Play, request: Request, rare: bool, now: Micros) {
        self.next += 1;
        let (id, function) = (self.next, request.function);
        let before = self.called.insert(function, now);
        play.out.strange += u64::from(before.is_none_or(|t| now - t > KEEP));
        play.out.calls += 1;
        play.out.rare.0 += u64::from(rare);
        self.names.on_call(function, &Rc::from(function_name(function)), true, now);
        self.names.purge(now);
        self.calls.insert(id, Open { function, rare, came: now, attempts: 0 });
        self.turn(play, &[Event::Request(Request { id, ..request })], now);
    }

    pub fn due(&mut self, play: &mut Play, due: Due, now: Micros) {
        let event = match due {
            Due::End { request, attempt, worker, copy, took } => {
                // Nothing was there to connect to, it broke off, or it is done.
                let outcome = match copy {
                    AWAY => Outcome::ConnectFailed,
                    _ if play.hall.broke(worker, now - took, now) => Outcome::Reset,
                    _ => Outcome::Ok,
                };
                let ok = outcome == Outcome::Ok;
                if ok {
                    self.used.insert(worker, now);
                    play.out.served += u64::from(self.calls.remove(&request).is_some());
                } else {
                    self.used.remove(&worker);
                }
                let copy = if ok { copy } else { 0 };
                Event::AttemptEnded(AttemptEnd {
                    request,
                    attempt,
                    worker: self.alias(play.scene, worker),
                    concluded: ok,
                    outcome,
                    copy: CopyReport { state: copy, concurrency: 0 },
                    elapsed: took,
                    report: None,
                    connected_at: Micros::MAX,
                })
            }
            Due::Loaded { worker, function, took } => Event::Loaded {
                worker: self.alias(play.scene, worker),
                function,
                outcome: Outcome::Ok,
                elapsed: took,
                copies: 1,
            },
            Due::Timer { token } => Event::Timer { token },
            Due::Call | Due::Change(_) | Due::Told(_) | Due::Replace(_) => return,
        };
        self.turn(play, &[event], now);
    }

    /// One batch, timed.
    fn turn(&mut self, play: &mut Play, events: &[Event], now: Micros) {
        let ((), took) = spent(|| self.front_end.handle(now, events, &mut self.actions));
        play.out.module += took;
        play.out.longest = play.out.longest.max(took);
        self.late += took;
        if matches!(events, [Event::Request(_)]) {
            // A call waits for the lists that came with it. Of values beyond what a histogram holds there are none.
            let _ = play.out.batches.record((self.late * 1e9) as u64);
        }
        if !matches!(events, [Event::Endpoints { .. }]) || play.scene.fault != Some(Fault::WholeEachCall) {
            self.late = 0.0;
        }
        for action in std::mem::take(&mut self.actions) {
            match action {
                Action::Send { request, worker, .. } => self.send(play, request, worker, now),
                Action::SetTimer { after, token } => play.at(now + after, self.number, Due::Timer { token }),
                Action::Load { worker, function, .. } => {
                    let real = self.alias(play.scene, worker);
                    let took = play.hall.stand(real, function, now).1.max(1);
                    play.at(now + took, self.number, Due::Loaded { worker: real, function, took });
                }
                Action::Reject { request, .. } | Action::Fail { request } => {
                    play.out.given_up += u64::from(self.calls.remove(&request).is_some());
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, play: &mut Play, request: RequestId, worker: WorkerId, now: Micros) {
        let worker = self.alias(play.scene, worker);
        let Some(open) = self.calls.get_mut(&request) else { return };
        let attempt = open.attempts;
        open.attempts += 1;
        play.out.attempts += 1;
        let each = play.scene.fault == Some(Fault::ConnectionEach);
        let fresh = self.used.insert(worker, now).is_none_or(|t| now - t >= IDLE_CLOSE);
        play.out.handshakes += u64::from(fresh || each);
        if play.hall.is_away(worker, now) {
            let (took, copy) = (MS, AWAY);
            return play.at(now + took, self.number, Due::End { request, attempt, worker, copy, took });
        }
        let met = play.hall.call(worker, open.function, now);
        if met.copy != 1 {
            let wait = (now + met.wait - open.came).max(1) as u64;
            play.out.cold += 1;
            let _ = play.out.cold_wait.record(wait);
            if open.rare {
                play.out.rare.1 += 1;
                let _ = play.out.rare_wait.record(wait);
            }
        }
        let (took, copy) = (met.wait + met.run, met.copy);
        play.at(now + took, self.number, Due::End { request, attempt, worker, copy, took });
    }
}
