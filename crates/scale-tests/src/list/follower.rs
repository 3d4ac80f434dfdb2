//! What a front end does with the list: the real codecs, the list as it is kept, the module told of it.

use super::bytes::{consul, frame};
use crate::front_end::Scene;
use crate::meter::spent;
use stagehoist::{EndpointUpdate, Event, FrontEnd};
use stagehoist_endpoints::{EndpointSet, Update};
use stagehoist_gateway::discovery::consul::parse;
use stagehoist_platform::subscription::EventSubscription;
use std::rc::Rc;

const START_MS: u64 = 1_796_000_000_000;

pub struct Follower {
    front_end: FrontEnd,
    members: EndpointSet,
    bus: EventSubscription,
    number: u64,
    now: i64,
}

impl Default for Follower {
    fn default() -> Follower {
        let zones = (0..7).map(|z| format!("zone-{z}")).collect();
        Follower {
            front_end: FrontEnd::new(Scene::one(1, 1, 1.0, 7).settings(), 7, 1_000_000),
            members: EndpointSet::new(vec!["large".into()], zones, 0),
            bus: EventSubscription::new(0, 0),
            number: 0,
            now: 1_000_000,
        }
    }
}

/// What reading the list came to.
pub struct Read {
    pub bytes: usize,
    /// Rows told to the module, or why the bytes were refused.
    pub rows: Result<usize, String>,
    /// Processor time from bytes to known, in seconds.
    pub time: f64,
}

impl Follower {
    /// With room for so many lines.
    pub fn at_most(most: usize) -> Follower {
        let plain = Follower::default();
        Follower { members: plain.members.with_max_workers(most), ..plain }
    }

    fn tell(&mut self, update: Update) -> usize {
        let rows = update.endpoints.len();
        let event = Event::Endpoints { update: update.kind, endpoints: Rc::from(update.endpoints) };
        self.front_end.handle(self.now, &[event], &mut Vec::new());
        rows
    }

    fn feed(&mut self, bytes: &[u8]) -> Result<usize, String> {
        let mut news = Vec::new();
        self.bus.feed(bytes, (self.now, self.now), &mut news).map_err(|e| e.to_string())?;
        let mut rows = 0;
        for event in news {
            let update = self.members.apply(event.kind, event.endpoints, self.now);
            rows += self.tell(update);
        }
        Ok(rows)
    }

    /// The list whole over the event subscription: its bytes, rows told to the module, processor time from bytes to known.
    pub fn whole(&mut self, lines: u32) -> Read {
        self.number += 1;
        self.now += 1_000_000;
        let bytes = frame(self.number, true, (0..lines).map(|p| (p, 0)), START_MS);
        let (rows, time) = spent(|| self.feed(&bytes));
        Read { bytes: bytes.len(), rows, time }
    }

    /// One worker's restart by changes, each in a frame of its own as the event subscription tells them: drains, is gone, is back.
    pub fn restart(&mut self, place: u32) -> Read {
        let mut all = Read { bytes: 0, rows: Ok(0), time: 0.0 };
        for state in [1, 2, 0] {
            self.number += 1;
            self.now += 1_000_000;
            let bytes = frame(self.number, false, [(place, state)].into_iter(), START_MS + self.number);
            let (told, took) = spent(|| self.feed(&bytes));
            all.rows = all.rows.and_then(|rows| Ok(rows + told?));
            (all.bytes, all.time) = (all.bytes + bytes.len(), all.time + took);
        }
        all
    }

    /// A change of Consul's list, which is reported whole: bytes, rows told to the module, processor time.
    pub fn consul(&mut self, lines: u32) -> Read {
        self.now += 1_000_000;
        let body = consul(lines);
        let (rows, time) = spent(|| {
            let entries = parse(&body).map_err(|e| e.to_string())?;
            let update = self.members.apply_list(entries, self.now);
            debug_assert_eq!(update.kind, EndpointUpdate::Full);
            Ok(self.tell(update))
        });
        Read { bytes: body.len(), rows, time }
    }

    /// Workers that are ready as far as is kept.
    pub fn ready(&self) -> usize {
        self.members.ready_count()
    }
}
