//! Checks the retirement gate again where data is sent. Between a decision and the write to a socket there are
//! queues, and this process may have been stopped for long. What must not be sent late is checked at the time of the
//! write.

use super::retirement_gate::{ClosedReason, RetirementGate};
use bytes::Bytes;
use stagehoist::Micros;
use std::cell::{Ref, RefCell, RefMut};
use std::collections::{BTreeSet, HashMap};
use std::fmt;
use std::rc::Rc;

/// A front end's gate, shared by its tasks, all of which run on one thread.
#[derive(Clone)]
pub struct EgressCheck(Rc<Inner>);

struct Inner {
    gate: RefCell<RetirementGate>,
    now: Box<dyn Fn() -> Micros>,
    /// Number of answers on their way to callers, by internal name.
    answering: RefCell<HashMap<Rc<str>, usize>>,
}

impl EgressCheck {
    /// Creates a check of a gate. `now` is the clock to which the times in the cluster status refer.
    pub fn new(gate: RetirementGate, now: impl Fn() -> Micros + 'static) -> EgressCheck {
        EgressCheck(Rc::new(Inner {
            gate: RefCell::new(gate),
            now: Box::new(now),
            answering: RefCell::default(),
        }))
    }

    /// Returns the gate.
    pub fn gate(&self) -> Ref<'_, RetirementGate> {
        self.0.gate.borrow()
    }

    /// Returns the gate for changes.
    pub fn gate_mut(&self) -> RefMut<'_, RetirementGate> {
        self.0.gate.borrow_mut()
    }

    /// Returns whether currently nothing may be sent to a worker for an internal name.
    pub fn is_closed(&self, inner: &str) -> bool {
        self.gate().closed(inner, (self.0.now)()).is_some()
    }

    /// Returns the view's version, and whether it is known to be the newest.
    pub fn view_state(&self) -> (u64, bool) {
        let gate = self.gate();
        (gate.view().version, gate.is_fresh((self.0.now)()))
    }

    /// Returns whether an answer for an internal name is on its way and not yet settled with the broker.
    pub fn is_answering(&self, inner: &str) -> bool {
        self.0.answering.borrow().contains_key(inner)
    }

    /// Returns whether an answer for any of these internal names is on its way.
    pub fn is_answering_any(&self, inner: &BTreeSet<Rc<str>>) -> bool {
        inner.iter().any(|name| self.is_answering(name))
    }

    /// Returns the internal names with answers on their way.
    pub fn answering(&self) -> Vec<Rc<str>> {
        self.0.answering.borrow().keys().cloned().collect()
    }

    /// Creates the permit for an answer.
    pub fn permit(&self, inner: &Rc<str>) -> EgressPermit {
        *self.0.answering.borrow_mut().entry(inner.clone()).or_default() += 1;
        EgressPermit { egress: self.clone(), inner: inner.clone(), is_original: true }
    }
}

/// Accompanies an answer until the broker has the answer, or it is known that the broker will not get it. While the
/// original permit exists, no view whose tombstones include its function is confirmed. A clone does not delay the
/// confirmation, so an answer with a cloned permit, such as the cached copy for a redelivered message, must not be
/// sent once the function is retired.
pub struct EgressPermit {
    egress: EgressCheck,
    inner: Rc<str>,
    is_original: bool,
}

impl EgressPermit {
    /// Returns why the answer must not be sent now, if so.
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
        let mut answering = self.egress.0.answering.borrow_mut();
        if let Some(count) = answering.get_mut(&self.inner) {
            *count -= 1;
            if *count == 0 {
                answering.remove(&self.inner);
            }
        }
    }
}

/// A worker's answer that is checked again when it is encoded into a frame.
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
