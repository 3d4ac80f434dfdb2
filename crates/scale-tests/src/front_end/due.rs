//! What comes due in a scene.

use stagehoist::{FunctionId, Micros, RequestId, WorkerId};

/// What comes due in simulated time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    Call,
    /// An attempt ends.
    End {
        request: RequestId,
        attempt: u16,
        worker: WorkerId,
        copy: u8,
        took: Micros,
    },
    Loaded {
        worker: WorkerId,
        function: FunctionId,
        took: Micros,
    },
    Timer {
        token: u32,
    },
    /// By number among the scene's.
    Change(usize),
    /// By number among what the list tells late.
    Told(usize),
    /// A third of the workers from this place on are replaced.
    Replace(u32),
}
