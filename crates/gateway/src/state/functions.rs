//! Function IDs: the properties of a call's function, and the names of the function IDs that the decision module uses.

use super::Micros;
use fnv::FnvHasher;
use stagehoist::FunctionId;
use stagehoist_config::Config;
use std::collections::HashMap;
use std::hash::Hasher;
use std::rc::Rc;

#[cfg(test)]
mod tests;

/// The properties of a call's function, from the configuration or from the call itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FunctionProperties {
    /// Identical at every front end.
    pub id: FunctionId,
    pub class: u16,
    pub memory_mb: f64,
    pub concurrency: f64,
    /// Usual duration of a load; 0 if not specified.
    pub load_time: Micros,
    /// Work of a call on a standard core, if specified.
    pub work: Option<Micros>,
}

/// Returns the ID of a function. It depends on the name alone, so that it is identical at every front end.
fn function_id(name: &str) -> FunctionId {
    let mut hasher = FnvHasher::default();
    hasher.write(name.as_bytes());
    // The decision module uses IDs below 2^40.
    let hash = hasher.finish();
    (hash ^ (hash >> 40)) & ((1 << 40) - 1)
}

impl FunctionProperties {
    /// Returns the configured properties of a function and the caller timeout of its class; None if the configuration does
    /// not accept the name.
    pub fn configured(config: &Config, name: &str) -> Option<(FunctionProperties, Micros)> {
        let function = config.function(name)?;
        let class = config.class_index(&function.class)?;
        let properties = FunctionProperties {
            id: match function.generation {
                1 => function_id(name),
                n => function_id(&format!("{name}@{n}")),
            },
            class: class as u16,
            memory_mb: function.memory as f64 / 1e6,
            concurrency: function.lanes as f64,
            load_time: function.load,
            work: (function.work > 0).then_some(function.work),
        };
        Some((properties, config.classes[class].give_up))
    }
}

/// Limits of the cache of function names.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NameLimits {
    /// Maximum number of names.
    pub max_names: usize,
    /// Maximum number of names up to which a client may add one of which no call was served yet. The rest is for the
    /// others, so that such clients can't use up the cache.
    pub max_from_unverified: usize,
    /// How long an unused name stays cached.
    pub retention: Micros,
}

impl NameLimits {
    /// Creates limits with a quarter of the names reserved for clients of which a call was served.
    pub fn new(max_names: usize, retention: Micros) -> NameLimits {
        NameLimits { max_names, max_from_unverified: max_names - max_names / 4, retention }
    }
}

/// The names of recently called functions.
#[derive(Debug)]
pub struct Names {
    limits: NameLimits,
    names: HashMap<FunctionId, (Rc<str>, Micros)>,
    last_purge: Micros,
}

impl Names {
    /// Creates an empty cache.
    pub fn new(limits: NameLimits) -> Names {
        Names { limits, names: HashMap::new(), last_purge: Micros::MIN }
    }

    /// Records a call. Returns false if the ID belongs to another name, because the decision module would treat both names
    /// as one function, or if there is no room for another name of such a client.
    pub fn on_call(&mut self, id: FunctionId, name: &Rc<str>, is_verified: bool, now: Micros) -> bool {
        if let Some((cached, last_used)) = self.names.get_mut(&id) {
            *last_used = now;
            return cached == name;
        }
        let max_names = if is_verified { self.limits.max_names } else { self.limits.max_from_unverified };
        if self.names.len() >= max_names {
            self.purge(now);
            if self.names.len() >= max_names {
                return false;
            }
        }
        self.names.insert(id, (name.clone(), now));
        true
    }

    /// Removes names whose retention is over; scans at most once per sixteenth of the retention.
    pub fn purge(&mut self, now: Micros) {
        if self.last_purge > now - self.limits.retention / 16 {
            return;
        }
        self.last_purge = now;
        let retention = self.limits.retention;
        self.names.retain(|_, (_, last_used)| now - *last_used < retention);
        if self.names.capacity() > 4 * self.names.len() + 1024 {
            self.names.shrink_to_fit();
        }
    }

    /// Returns the name of a function ID.
    pub fn name(&self, id: FunctionId) -> Option<Rc<str>> {
        self.names.get(&id).map(|(name, _)| name.clone())
    }

    /// Returns the number of cached names.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Returns whether no name is cached.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}
