//! Functions by number: what is known of a function with each call, and the names behind the numbers that the module knows
//! functions by.

use super::Micros;
use fnv::FnvHasher;
use stagehoist::FunctionId;
use stagehoist_config::Config;
use std::collections::HashMap;
use std::hash::Hasher;
use std::rc::Rc;

#[cfg(test)]
mod tests;

/// What is known of a call's function, by the configuration or by the call itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FunctionProperties {
    /// The same at every front end.
    pub id: FunctionId,
    pub class: u16,
    pub memory_mb: f64,
    pub concurrency: f64,
    /// Usual time of a load; 0 where not told.
    pub load_time: Micros,
    /// Work on a standard core, where told.
    pub work: Option<Micros>,
}

/// The number of a function: from its name alone, so that it is the same at every front end.
fn number(name: &str) -> FunctionId {
    let mut hasher = FnvHasher::default();
    hasher.write(name.as_bytes());
    // The module keeps numbers below 2^40.
    let hash = hasher.finish();
    (hash ^ (hash >> 40)) & ((1 << 40) - 1)
}

impl FunctionProperties {
    /// What the configuration tells of a function, with its class's time until callers time out; None where the
    /// configuration does not take the name.
    pub fn configured(config: &Config, name: &str) -> Option<(FunctionProperties, Micros)> {
        let function = config.function(name)?;
        let class = config.class_index(&function.class)?;
        let figures = FunctionProperties {
            id: match function.generation {
                1 => number(name),
                n => number(&format!("{name}@{n}")),
            },
            class: class as u16,
            memory_mb: function.memory as f64 / 1e6,
            concurrency: function.lanes as f64,
            load_time: function.load,
            work: (function.work > 0).then_some(function.work),
        };
        Some((figures, config.classes[class].give_up))
    }
}

/// The names of the functions called of late.
#[derive(Debug)]
pub struct Names {
    max_names: usize,
    retention: Micros,
    names: HashMap<FunctionId, (Rc<str>, Micros)>,
    purged: Micros,
}

impl Names {
    /// At most `most` names; one that was not called for `keep` microseconds is forgotten.
    pub fn new(most: usize, keep: Micros) -> Names {
        Names { max_names: most, retention: keep, names: HashMap::new(), purged: Micros::MIN }
    }

    /// Notes a call. False where the number belongs to another name, as two names of one number would be one function to
    /// the module, or where no more names fit.
    pub fn on_call(&mut self, id: FunctionId, name: &Rc<str>, now: Micros) -> bool {
        if let Some((known, used)) = self.names.get_mut(&id) {
            *used = now;
            return known == name;
        }
        if self.names.len() >= self.max_names {
            self.purge(now);
            if self.names.len() >= self.max_names {
                return false;
            }
        }
        self.names.insert(id, (name.clone(), now));
        true
    }

    /// Forgets what was not called for long, at most once a sixteenth of that time.
    pub fn purge(&mut self, now: Micros) {
        if self.purged > now - self.retention / 16 {
            return;
        }
        self.purged = now;
        let keep = self.retention;
        self.names.retain(|_, (_, used)| now - *used < keep);
        if self.names.capacity() > 4 * self.names.len() + 1024 {
            self.names.shrink_to_fit();
        }
    }

    /// The name behind a number.
    pub fn name(&self, id: FunctionId) -> Option<Rc<str>> {
        self.names.get(&id).map(|(name, _)| name.clone())
    }

    /// Names that are kept.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether no name is kept.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}
