//! The gate where things leave. Between a choice and the moment at which its bytes go to a socket lie queues, and this
//! process may have been stopped for long: what may not be late is looked at once more there, by the clock of that moment.

use super::retirement_gate::{ClosedReason, RetirementGate};
use bytes::Bytes;
use stagehoist::Micros;
use std::cell::{Ref, RefCell, RefMut};
use std::collections::{BTreeSet, HashMap};
use std::fmt;
use std::rc::Rc;

/// One front end's gate, shared by its tasks; all of them run on one thread.
#[derive(Clone)]
pub struct EgressCheck(Rc<Inner>);

struct Inner {
    gate: RefCell<RetirementGate>,
    now: Box<dyn Fn() -> Micros>,
    /// Answers on their way to callers, by inner name.
    answering: RefCell<HashMap<Rc<str>, usize>>,
}

impl EgressCheck {
    /// `now` is the clock that the standing's times are on.
    pub fn new(gate: RetirementGate, now: impl Fn() -> Micros + 'static) -> EgressCheck {
        EgressCheck(Rc::new(Inner {
            gate: RefCell::new(gate),
            now: Box::new(now),
            answering: RefCell::default(),
        }))
    }

    /// The gate behind the check.
    pub fn gate(&self) -> Ref<'_, RetirementGate> {
        self.0.gate.borrow()
    }

    /// The gate behind the check, to be changed.
    pub fn gate_mut(&self) -> RefMut<'_, RetirementGate> {
        self.0.gate.borrow_mut()
    }

    /// Whether nothing may go to a worker for an inner name at this very moment.
    pub fn is_closed(&self, inner: &str) -> bool {
        self.gate().closed(inner, (self.0.now)()).is_some()
    }

    /// The view's version, and whether it is known to be the newest.
    pub fn view_state(&self) -> (u64, bool) {
        let gate = self.gate();
        (gate.view().version, gate.is_fresh((self.0.now)()))
    }

    /// Whether an answer for an inner name was given and is not settled with the broker.
    pub fn is_answering(&self, inner: &str) -> bool {
        self.0.answering.borrow().contains_key(inner)
    }

    /// The same of any of these.
    pub fn is_answering_any(&self, inner: &BTreeSet<Rc<str>>) -> bool {
        inner.iter().any(|name| self.is_answering(name))
    }

    /// Inner names of which answers are on their way.
    pub fn answering(&self) -> Vec<Rc<str>> {
        self.0.answering.borrow().keys().cloned().collect()
    }

    /// Lets an answer go.
    pub fn permit(&self, inner: &Rc<str>) -> EgressPermit {
        *self.0.answering.borrow_mut().entry(inner.clone()).or_default() += 1;
        EgressPermit { egress: self.clone(), inner: inner.clone(), is_original: true }
    }
}

/// Goes with an answer until the broker has it, or it is known that it will not. As long as it is held, no view under whose
/// tombstones its function falls is confirmed. A copy, such as the one kept for a message that comes again, holds nothing
/// up, and so it may not leave once the function is retired.
pub struct EgressPermit {
    egress: EgressCheck,
    inner: Rc<str>,
    is_original: bool,
}

impl EgressPermit {
    /// Why the answer may not leave at this very moment.
    pub fn closed(&self) -> Option<ClosedReason> {
        let gate = self.egress.gate();
        let now = (self.egress.0.now)();
        if !self.is_original {
            return gate.closed(&self.inner, now);
        }
        gate.in_doubt(&self.inner, now).then_some(ClosedReason::ViewNotCurrent)
    }
}

impl Clone for EgressPermit {
    fn clone(&self) -> EgressPermit {
        EgressPermit { egress: self.egress.clone(), inner: self.inner.clone(), is_original: false }
    }
}

impl Drop for EgressPermit {
    fn drop(&mut self) {
        if !self.is_original {
            return;
        }
        let mut leaving = self.egress.0.answering.borrow_mut();
        if let Some(count) = leaving.get_mut(&self.inner) {
            *count -= 1;
            if *count == 0 {
                leaving.remove(&self.inner);
            }
        }
    }
}

/// A worker's answer that is looked at once more when it becomes a frame.
#[derive(Clone)]
pub struct CheckedAnswer {
    pub body: Bytes,
    pub content_type: Option<String>,
    pub permit: EgressPermit,
}

impl fmt::Debug for CheckedAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Gated")
            .field("function", &self.permit.inner)
            .field("bytes", &self.body.len())
            .finish()
    }
}

impl PartialEq for CheckedAnswer {
    fn eq(&self, other: &CheckedAnswer) -> bool {
        (&self.body, &self.content_type) == (&other.body, &other.content_type)
    }
}
