//! The workers of a stack: killed, brought back, commanded.

use super::host::StartWorker;
use super::{unix_ms, Stack};
use stagehoist_emulator::list::Listed;
use stagehoist_emulator::worker;
use std::sync::Arc;

impl Stack {
    /// The commands of a worker.
    pub fn worker(&self, name: &str) -> Option<Arc<worker::Controls>> {
        self.workers.get(name).map(|w| w.controls.clone())
    }

    /// Workers that fell over for being sent too much while cold.
    pub fn fallen(&self) -> Vec<String> {
        self.workers.iter().filter(|(_, w)| w.controls.has_fallen()).map(|(n, _)| n.clone()).collect()
    }

    /// A worker's process dies: its socket refuses from now on, and the list drops it.
    pub fn kill_worker(&mut self, name: &str) {
        if let Some(stand) = self.workers.get_mut(name) {
            stand.down = true;
            stand.controls.kill();
        }
        for ((_, worker), controls) in &self.worker_taps {
            if worker == name {
                controls.down(true);
            }
        }
        self.registry.remove(name);
    }

    /// A worker comes back, empty and cold.
    pub fn return_worker(&mut self, name: &str) {
        let Some(index) = self.layout.workers.iter().position(|w| w.name == name) else { return };
        let plan = self.layout.workers[index].clone();
        let Some(stand) = self.workers.get_mut(name).filter(|s| s.down) else { return };
        stand.down = false;
        stand.controls = Arc::new(worker::Controls::default());
        let options = worker::WorkerOptions {
            name: name.to_string(),
            spec: self.layout.spec.clone(),
            catalogue: self.layout.catalogue.clone(),
            store: self.store_address.clone(),
            seed: self.day.seed.wrapping_add(index as u64),
        };
        let start = StartWorker {
            address: stand.address.clone(),
            listener: None,
            options,
            controls: stand.controls.clone(),
            warm: false,
        };
        let _ = self.start_worker.send(start);
        for ((_, worker), controls) in &self.worker_taps {
            if worker == name {
                controls.down(false);
            }
        }
        self.registry.put(Listed {
            name: plan.name,
            zone: plan.hall,
            kind: "usual".into(),
            cell: plan.cell,
            capacity: self.layout.spec.cores,
            started_ms: unix_ms(),
            draining: false,
        });
    }
}
