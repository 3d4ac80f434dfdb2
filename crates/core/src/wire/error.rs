//! Errors in frames and in the settings, with their positions.

/// What is wrong with a field of an event.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FieldError {
    /// Unknown code of an attempt's outcome.
    #[error("unknown code of an attempt's outcome")]
    Outcome,
    /// Unknown code of the kind of an endpoint update.
    #[error("unknown kind {0} of endpoint update")]
    UpdateKind(u8),
    /// An event refers to an endpoint list that was never received.
    #[error("endpoint list {0} was never received")]
    List(u8),
    /// Unknown code of a worker's state.
    #[error("unknown worker state {0} in an endpoint list")]
    Lifecycle(u8),
    /// The settings are not valid UTF-8.
    #[error("the settings are not valid UTF-8")]
    SettingsText,
}

/// What is wrong with the value of a setting.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingError {
    /// Not a finite number of 0 or more.
    #[error("is not a finite number of at least 0")]
    Number,
    /// Neither true nor false.
    #[error("is neither true nor false")]
    Flag,
    /// A count larger than any deployment could have.
    #[error("is greater than the maximum value")]
    Count,
    /// The setting is required.
    #[error("is missing or 0")]
    Missing,
    /// Not one of the known words.
    #[error("has an unknown value")]
    Word,
    /// The value must be above 0.
    #[error("must be greater than 0")]
    NotPositive,
    /// Not a list of finite numbers of 0 or more.
    #[error("is not a list of finite numbers of at least 0")]
    NumberList,
}

/// An error in a frame or in the settings. Positions are byte offsets from the start of the frame.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WireError {
    /// The header declares a frame length that is out of range.
    #[error("batch header: the frame length {length} at byte 8 is out of range")]
    FrameLength {
        /// The length.
        length: usize,
    },
    /// The header declares more records than the frame can hold.
    #[error("batch header: {count} records at byte 12 do not fit in {length} bytes")]
    RecordCount {
        /// Number of records declared in the header.
        count: usize,
        /// Length of the frame.
        length: usize,
    },
    /// The frame ends before the last of its records.
    #[error("the frame is truncated: the batch header declares {count} records, but only {available} bytes follow the header")]
    Truncated {
        /// Number of records declared in the header.
        count: usize,
        /// Bytes available after the header.
        available: usize,
    },
    /// A record refers to bytes beyond the frame's tail.
    #[error(
        "event code {code} at byte {position}: a field refers to {length} units from byte {offset} of the frame's \
         tail, which is past its end at {available} bytes"
    )]
    TailRange {
        /// Code of the event.
        code: u8,
        /// Position of the field.
        position: usize,
        /// Offset in the tail where the part would begin.
        offset: usize,
        /// Its length in units of the field.
        length: usize,
        /// Length of the tail in bytes.
        available: usize,
    },
    /// A field of an event can't be read.
    #[error("event code {code} at byte {position}: {source}")]
    Field {
        /// Code of the event.
        code: u8,
        /// Position of the field.
        position: usize,
        /// What is wrong with it.
        source: FieldError,
    },
    /// Unknown event code.
    #[error("unknown event code {code} at byte {position}")]
    UnknownEvent {
        /// The code.
        code: u8,
        /// Position of the record.
        position: usize,
    },
    /// A setting can't be read.
    #[error("settings: {key} {source}")]
    Setting {
        /// Its key.
        key: String,
        /// What is wrong with its value.
        source: SettingError,
    },
}
