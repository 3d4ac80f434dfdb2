//! What may be taken, sent and answered by what is known of retired functions. Pure: the standing and the time go in.

use super::names::{inner_name, outer_name};
use stagehoist::Micros;
use stagehoist_config::Config;
use stagehoist_registry::{Standing, Tombstone, View};
use std::rc::Rc;

/// What a caller is told of a retired function.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Retired {
    /// The highest generation that is retired.
    pub generation: u32,
    /// When it was asked for, in milliseconds since 1970.
    pub at_ms: i64,
    /// For information: nothing is passed on to it.
    pub successor: Option<String>,
    pub reason: String,
}

impl From<&Tombstone> for Retired {
    fn from(tombstone: &Tombstone) -> Retired {
        let told = &tombstone.retirement;
        Retired {
            generation: told.generation,
            at_ms: told.asked_ms,
            successor: told.successor.clone(),
            reason: told.reason.clone(),
        }
    }
}

/// Why something may not go on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Closed {
    Retired(Box<Retired>),
    /// The function is strict, and it can't be known here whether it is retired by now.
    NotCurrent,
    /// A generation that is neither retired nor the configured one.
    UnknownGeneration,
}

/// One front end's knowledge of what is retired.
#[derive(Clone, Debug)]
pub struct Gate {
    config: Rc<Config>,
    standing: Standing,
}

impl Gate {
    /// Before any word of the keepers.
    pub fn new(config: Rc<Config>) -> Gate {
        let standing = Standing { fresh_until: Micros::MIN, lanes_until: Micros::MIN, ..Standing::default() };
        Gate { config, standing }
    }

    /// The keepers' newest word; whether its view is another. A view older than the one that is known counts for nothing.
    pub fn told(&mut self, standing: Standing) -> bool {
        let (old, new) = (self.standing.view.version, standing.view.version);
        if new < old {
            return false;
        }
        self.standing = standing;
        new > old
    }

    pub fn view(&self) -> &View {
        &self.standing.view
    }

    pub fn is_fresh(&self, now: Micros) -> bool {
        !self.standing.is_stale(now)
    }

    /// The inner name under which a call is taken; `asked` is the generation that it names.
    pub fn admit(&self, name: &Rc<str>, asked: Option<u32>, now: Micros) -> Result<Rc<str>, Closed> {
        let function = self.config.function(name);
        let configured = function.map_or(1, |f| f.generation);
        let generation = asked.unwrap_or(configured);
        if let Some(tombstone) = self.view().retired(name, generation) {
            return Err(Closed::Retired(Box::new(tombstone.into())));
        }
        if generation != configured {
            return Err(Closed::UnknownGeneration);
        }
        if function.is_some_and(|f| f.strict) && !self.is_fresh(now) {
            return Err(Closed::NotCurrent);
        }
        Ok(inner_name(name, generation))
    }

    /// Under which tombstone an inner name falls.
    pub fn retired(&self, inner: &str) -> Option<Closed> {
        if self.view().tombstones.is_empty() {
            return None;
        }
        let (name, generation) = outer_name(inner);
        let tombstone = self.view().retired(name, generation)?;
        Some(Closed::Retired(Box::new(tombstone.into())))
    }

    /// Whether it can't be known at this moment if a function is retired, though it must be.
    pub fn in_doubt(&self, inner: &str, now: Micros) -> bool {
        !self.is_fresh(now) && self.config.is_strict(outer_name(inner).0)
    }

    /// Why nothing may go to a worker for an inner name at this moment.
    pub fn closed(&self, inner: &str, now: Micros) -> Option<Closed> {
        self.retired(inner).or_else(|| self.in_doubt(inner, now).then_some(Closed::NotCurrent))
    }
}
