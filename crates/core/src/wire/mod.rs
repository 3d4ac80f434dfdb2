//! The codec of the simulator's wire: frames of fixed-size big-endian records with a tail, the settings text and the
//! endpoint lists. It translates and checks; it decides nothing.

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

/// Bytes of the header of a frame of events.
pub const BATCH_HEADER_SIZE: usize = 16;
/// Bytes of an event's record.
pub const EVENT_SIZE: usize = 56;
/// No frame of the wire comes near this size; a length above it is taken for a malformed header.
pub const MAX_FRAME_SIZE: usize = 1 << 30;
/// Bytes of an action's record.
const ACTION_SIZE: usize = 24;
/// Bytes of an entry of an endpoint list.
const ENDPOINT_SIZE: usize = 22;
