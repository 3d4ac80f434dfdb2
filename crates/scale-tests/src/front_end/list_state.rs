//! The endpoint list of a scene, and what each change of it tells.

use super::scene::{Change, Scene, SECOND};
use stagehoist::{Endpoint, EndpointUpdate, Lifecycle, Micros, WorkerId};

/// The list tells of a change so much later: assumed.
pub const LAG: Micros = 2 * SECOND;

#[derive(Clone, Copy)]
struct Place {
    replaced: u32,
    started: Micros,
    lifecycle: Lifecycle,
}

pub struct ListState {
    places: Vec<Place>,
}

/// What is reported: the form and the rows; and the workers whose process ends at the change, with the time at which it is back.
pub struct News {
    pub form: EndpointUpdate,
    pub rows: Vec<Endpoint>,
    pub ended: Vec<(WorkerId, Micros)>,
}

impl ListState {
    pub fn new(workers: u32) -> ListState {
        let place = Place { replaced: 0, started: 0, lifecycle: Lifecycle::Ready };
        ListState { places: vec![place; workers as usize] }
    }

    pub fn row(&self, scene: &Scene, at: u32) -> Endpoint {
        let place = &self.places[at as usize];
        Endpoint {
            worker: scene.worker(at, place.replaced),
            kind: 0,
            lifecycle: place.lifecycle,
            zone: (at % 7) as u8,
            started: place.started,
            cell: (at % 84) as u16,
            capacity: 20.0,
        }
    }

    pub fn whole(&self, scene: &Scene) -> News {
        let here =
            (0..self.places.len() as u32).filter(|&at| self.places[at as usize].lifecycle != Lifecycle::Gone);
        News {
            form: EndpointUpdate::Full,
            rows: here.map(|at| self.row(scene, at)).collect(),
            ended: Vec::new(),
        }
    }

    pub fn change(&mut self, scene: &Scene, change: &Change, now: Micros) -> News {
        let mut rows = Vec::new();
        let mut ended = Vec::new();
        let places = match change {
            Change::Whole => return self.whole(scene),
            Change::Restart(p) | Change::Replace(p) | Change::Gone(p) | Change::Back(p) => p,
        };
        for &at in places {
            let replaces = matches!(change, Change::Replace(_));
            let old = scene.worker(at, self.places[at as usize].replaced);
            match change {
                Change::Restart(_) => ended.push((old, now + LAG)),
                Change::Gone(_) | Change::Replace(_) => ended.push((old, Micros::MAX)),
                // It has been there for a moment already.
                _ => ended.push((old, now)),
            }
            if replaces {
                self.places[at as usize].lifecycle = Lifecycle::Gone;
                rows.push(self.row(scene, at));
            }
            let place = &mut self.places[at as usize];
            place.replaced += u32::from(replaces);
            place.lifecycle = match change {
                Change::Gone(_) => Lifecycle::Gone,
                _ => Lifecycle::Ready,
            };
            if place.lifecycle == Lifecycle::Ready {
                place.started = now + LAG;
            }
            rows.push(self.row(scene, at));
        }
        News { form: EndpointUpdate::Delta, rows, ended }
    }
}
