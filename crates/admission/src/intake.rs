//! Decides whether a call may be held: limits on calls and bytes, shared by dynamic thresholds.
//!
//! Each tenant class (a queue and a tenant) may hold a multiple of the capacity that is still free (Choudhury and Hahne,
//! "Dynamic Queue Length Thresholds for Shared-Memory Packet Switches", IEEE/ACM Transactions on Networking 6(2), 1998).
//! A single class can use most of the capacity; the more classes compete, the less each may hold, and some capacity stays
//! free for a new one. So a flood of one class does not shut out the steady calls of another, and no shares have to be
//! configured.

use std::collections::HashMap;

/// A tenant class may hold this many times the free capacity: a single class four fifths of the total, two four ninths each.
const THRESHOLD_FACTOR: u64 = 4;

/// Limits on the held calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum number of held calls.
    pub calls: u64,
    /// Maximum size of all their messages in bytes.
    pub bytes: u64,
}

/// Identifies who a call belongs to: the number of its queue or listener, and its tenant.
pub type TenantClass = (u32, u32);

/// Why a call is rejected at intake.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The limit on held calls is reached.
    #[error("the limit on held calls is reached")]
    Calls,
    /// The limit on held bytes is reached.
    #[error("the limit on held bytes is reached")]
    Bytes,
}

impl Refusal {
    /// Returns the reason code for the reply.
    pub fn reason(self) -> &'static str {
        match self {
            Refusal::Calls => "too-many-held",
            Refusal::Bytes => "too-many-bytes-held",
        }
    }
}

/// The capacity that a held call uses; must be returned by [`Intake::release`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub struct Held {
    tenant_class: TenantClass,
    bytes: u64,
}

/// Accounts for the held calls and bytes by tenant class.
#[derive(Clone, Debug)]
pub struct Intake {
    bounds: Bounds,
    calls: u64,
    bytes: u64,
    tenant_classes: HashMap<TenantClass, (u64, u64)>,
}

impl Intake {
    /// Creates an intake that holds no calls.
    pub fn new(bounds: Bounds) -> Intake {
        Intake { bounds, calls: 0, bytes: 0, tenant_classes: HashMap::new() }
    }

    /// Returns the number of held calls.
    pub fn calls(&self) -> u64 {
        self.calls
    }

    /// Returns the number of held bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Returns the number of tenant classes with held calls.
    pub fn tenant_classes(&self) -> usize {
        self.tenant_classes.len()
    }

    /// Reserves capacity for a call of `bytes` bytes, or returns why the call is rejected.
    pub fn admit(&mut self, owner: TenantClass, bytes: u64) -> Result<Held, Refusal> {
        let (calls, held) = self.tenant_classes.get(&owner).copied().unwrap_or_default();
        let free = self.bounds.calls.saturating_sub(self.calls);
        if free == 0 || calls >= THRESHOLD_FACTOR.saturating_mul(free) {
            return Err(Refusal::Calls);
        }
        let free = self.bounds.bytes.saturating_sub(self.bytes);
        // A single call may use all bytes; otherwise a body just under the limit could never be served.
        if bytes > free || (held > 0 && held + bytes > THRESHOLD_FACTOR.saturating_mul(free)) {
            return Err(Refusal::Bytes);
        }
        self.calls += 1;
        self.bytes += bytes;
        self.tenant_classes.insert(owner, (calls + 1, held + bytes));
        Ok(Held { tenant_class: owner, bytes })
    }

    /// Releases the capacity of a call that was answered or abandoned.
    pub fn release(&mut self, held: Held) {
        let Some((calls, bytes)) = self.tenant_classes.get_mut(&held.tenant_class) else { return };
        (*calls, *bytes) = (calls.saturating_sub(1), bytes.saturating_sub(held.bytes));
        if *calls == 0 {
            self.tenant_classes.remove(&held.tenant_class);
        }
        self.calls = self.calls.saturating_sub(1);
        self.bytes = self.bytes.saturating_sub(held.bytes);
    }
}
