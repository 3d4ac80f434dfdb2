//! What may be taken, sent and answered by what is known of retired functions. Pure: the standing and the time go in.

use super::names::{inner_name, outer_name};
use stagehoist::Micros;
use stagehoist_cluster_state::{Standing, Tombstone, View};
use stagehoist_config::Config;
use std::rc::Rc;

/// A front end looks at the clock four times a second, and a turn is short: after a longer gap it did not run.
const SLEPT: Micros = 350_000;

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
    /// It can't be known here whether the function is retired by now, and it is strict or this front end did not run.
    NotCurrent,
    /// A generation that is neither retired nor the configured one.
    UnknownGeneration,
}

/// One front end's knowledge of what is retired.
#[derive(Clone, Debug)]
pub struct Gate {
    config: Rc<Config>,
    standing: Standing,
    /// When the front end last looked at the clock; none before it first did.
    awake: Option<Micros>,
    /// It did not run while its view ran out: until then it goes on only with fresh word.
    asks_until: Micros,
}

impl Gate {
    /// Before any word of the keepers.
    pub fn new(config: Rc<Config>) -> Gate {
        let standing = Standing { fresh_until: Micros::MIN, lanes_until: Micros::MIN, ..Standing::default() };
        Gate { config, standing, awake: None, asks_until: Micros::MIN }
    }

    /// The front end runs at this moment. One that did not for long, and whose view ran out meanwhile, was stopped: it asks
    /// before it goes on, as at its start. One that is cut off has run all the time.
    pub fn runs(&mut self, now: Micros) {
        if self.slept(now) {
            let most = self.config.fleet.as_ref().map_or(0, |f| f.asking_most);
            self.asks_until = now.saturating_add(most);
            tracing::warn!(
                most_ms = most / 1000,
                "did not run while its view ran out; asks before it goes on"
            );
        }
        self.awake = Some(now);
    }

    fn slept(&self, now: Micros) -> bool {
        !self.is_fresh(now) && self.awake.is_some_and(|awake| now - awake > SLEPT)
    }

    /// Whether this front end was stopped and has no word since, whatever a function's mode is.
    pub fn asks(&self, now: Micros) -> bool {
        !self.is_fresh(now) && (now < self.asks_until || self.slept(now))
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
        if function.is_some_and(|f| f.strict) && !self.is_fresh(now) || self.asks(now) {
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
        let unknown = || (self.in_doubt(inner, now) || self.asks(now)).then_some(Closed::NotCurrent);
        self.retired(inner).or_else(unknown)
    }
}
