//! The codec of the simulator's wire: frames of fixed-size big-endian records with a tail, the settings text and the
//! endpoint lists. It translates and validates, and makes no decisions.

mod decode;
mod encode;
mod error;
mod fields;
mod raw_record;
mod settings;

pub use decode::{batch_header, decode, BatchHeader, EndpointLists, Record};
pub use encode::{encode, InstanceAction, InstanceFault};
pub use error::{FieldError, SettingError, WireError};
pub use settings::parse_settings;

/// Size of the header of an event frame in bytes.
pub const BATCH_HEADER_SIZE: usize = 16;
/// Size of an event's record in bytes.
pub const EVENT_SIZE: usize = 56;
/// Maximum frame size. Real frames are far smaller, so a greater length means a malformed header.
pub const MAX_FRAME_SIZE: usize = 1 << 30;
/// Size of an action's record in bytes.
const ACTION_SIZE: usize = 24;
/// Size of an endpoint list entry in bytes.
const ENDPOINT_SIZE: usize = 22;
