//! Functions by name: what the configuration tells of them and the numbers that the module knows them by.

use super::Micros;
use fnv::FnvHasher;
use stagehoist::FunctionId;
use stagehoist_config::Config;
use std::collections::HashMap;
use std::hash::Hasher;
use std::rc::Rc;

/// Names kept; a call of one more is refused until older ones were not called for [`UNUSED`].
pub const NAMES_MOST: usize = 100_000;
/// A name not called for so long may be forgotten, in microseconds.
pub const UNUSED: Micros = 600_000_000;

/// What the configuration tells of a function.
#[derive(Clone, Debug)]
pub struct Resolved {
    pub id: FunctionId,
    pub name: Rc<str>,
    pub class: u16,
    pub memory_mb: f64,
    pub lanes: f64,
    pub load: Micros,
    pub work: Option<Micros>,
    /// The class's time until callers give up.
    pub give_up: Micros,
}

/// The functions met so far.
#[derive(Debug)]
pub struct Functions {
    config: Rc<Config>,
    by_name: HashMap<Rc<str>, (Resolved, Micros)>,
    by_id: HashMap<FunctionId, Rc<str>>,
}

/// The number of a function: from its name alone, so that it is the same at every front end.
fn number(name: &str) -> FunctionId {
    let mut hasher = FnvHasher::default();
    hasher.write(name.as_bytes());
    // The module keeps numbers below 2^40.
    let hash = hasher.finish();
    (hash ^ (hash >> 40)) & ((1 << 40) - 1)
}

impl Functions {
    pub fn new(config: Rc<Config>) -> Functions {
        Functions { config, by_name: HashMap::new(), by_id: HashMap::new() }
    }

    /// What is known of a function; None where the configuration does not take its name, or no more names fit.
    pub fn resolve(&mut self, name: &str, now: Micros) -> Option<&Resolved> {
        if !self.by_name.contains_key(name) {
            self.add(name, now)?;
        }
        let (resolved, used) = self.by_name.get_mut(name)?;
        *used = now;
        Some(resolved)
    }

    fn add(&mut self, name: &str, now: Micros) -> Option<()> {
        let config = self.config.clone();
        let function = config.function(name)?;
        let class = config.class_index(&function.class)?;
        if self.by_name.len() >= NAMES_MOST {
            self.by_name.retain(|_, (_, used)| now - *used < UNUSED);
            let by_name = &self.by_name;
            self.by_id.retain(|_, name| by_name.contains_key(name));
            if self.by_name.len() >= NAMES_MOST {
                return None;
            }
        }
        let id = number(name);
        // Two names of one number would be one function to the module; 2^40 numbers make that a matter of luck alone.
        if self.by_id.contains_key(&id) {
            return None;
        }
        let name: Rc<str> = name.into();
        let resolved = Resolved {
            id,
            name: name.clone(),
            class: class as u16,
            memory_mb: function.memory as f64 / 1e6,
            lanes: function.lanes as f64,
            load: function.load,
            work: (function.work > 0).then_some(function.work),
            give_up: config.classes[class].give_up,
        };
        self.by_id.insert(id, name.clone());
        self.by_name.insert(name, (resolved, now));
        Some(())
    }

    /// The name behind a number.
    pub fn name(&self, id: FunctionId) -> Option<Rc<str>> {
        self.by_id.get(&id).cloned()
    }
}
