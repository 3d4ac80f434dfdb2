//! Whether a call may be held: bounds on calls and bytes, shared by dynamic thresholds.
//!
//! Each party (a queue and tenant) may hold a multiple of what is still free (Choudhury and Hahne, "Dynamic Queue Length
//! Thresholds for Shared-Memory Packet Switches", IEEE/ACM Transactions on Networking 6(2), 1998). A party alone fills most
//! of the room; the more parties press, the less each may hold, and some room stays free for one that comes anew. So one
//! flood does not shut out another's steady calls, and no share has to be told.

use std::collections::HashMap;

/// A party may hold this many times what is free: one alone four fifths of all, two four ninths each.
const MULTIPLE: u64 = 4;

/// Bounds on what is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Calls held at most.
    pub calls: u64,
    /// Bytes of all their messages at most.
    pub bytes: u64,
}

/// Whose call it is: the number of its queue, or listener, and its tenant.
pub type TenantClass = (u32, u32);

/// Why a call is not held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// As many calls are held as may be.
    #[error("more calls are held than may be")]
    Calls,
    /// As many bytes are held as may be.
    #[error("more bytes are held than may be")]
    Bytes,
}

impl Refusal {
    /// The word for the reply.
    pub fn reason(self) -> &'static str {
        match self {
            Refusal::Calls => "too-many-held",
            Refusal::Bytes => "too-many-bytes-held",
        }
    }
}

/// A call's room; to be given back by [`Intake::release`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub struct Held {
    tenant_class: TenantClass,
    bytes: u64,
}

/// What is held, by party.
#[derive(Clone, Debug)]
pub struct Intake {
    bounds: Bounds,
    calls: u64,
    bytes: u64,
    tenant_classes: HashMap<TenantClass, (u64, u64)>,
}

impl Intake {
    /// An intake that holds nothing yet.
    pub fn new(bounds: Bounds) -> Intake {
        Intake { bounds, calls: 0, bytes: 0, tenant_classes: HashMap::new() }
    }

    /// Calls held.
    pub fn calls(&self) -> u64 {
        self.calls
    }

    /// Bytes held.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Parties that hold something.
    pub fn tenant_classes(&self) -> usize {
        self.tenant_classes.len()
    }

    /// Room for a call of so many bytes, or why there is none.
    pub fn admit(&mut self, party: TenantClass, bytes: u64) -> Result<Held, Refusal> {
        let (calls, held) = self.tenant_classes.get(&party).copied().unwrap_or_default();
        let free = self.bounds.calls.saturating_sub(self.calls);
        if free == 0 || calls >= MULTIPLE.saturating_mul(free) {
            return Err(Refusal::Calls);
        }
        let free = self.bounds.bytes.saturating_sub(self.bytes);
        // One call alone may fill all, or a body just under the bound could never be served.
        if bytes > free || (held > 0 && held + bytes > MULTIPLE.saturating_mul(free)) {
            return Err(Refusal::Bytes);
        }
        self.calls += 1;
        self.bytes += bytes;
        self.tenant_classes.insert(party, (calls + 1, held + bytes));
        Ok(Held { tenant_class: party, bytes })
    }

    /// The call was answered or left.
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
