//! What can be wrong with a frame or with the settings, and where.

/// What is wrong with a field of an event.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FieldError {
    /// The code of an outcome is not known.
    #[error("unknown outcome")]
    Outcome,
    /// The code of the kind of an endpoint update is not known.
    #[error("unknown kind {0}")]
    UpdateKind(u8),
    /// An event names an endpoint list that did not come.
    #[error("list {0} unknown")]
    List(u8),
    /// The code of a worker's state is not known.
    #[error("unknown state {0} in an entry")]
    Lifecycle(u8),
    /// The settings are no UTF-8.
    #[error("settings are no text")]
    SettingsText,
}

/// What is wrong with the value of a setting.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingError {
    /// Not a finite number of 0 or more.
    #[error("is not a number of nought or more")]
    Number,
    /// Neither true nor false.
    #[error("is neither true nor false")]
    Flag,
    /// A count beyond any deployment.
    #[error("is absurd")]
    Count,
    /// It is required.
    #[error("is missing or nought")]
    Missing,
    /// Not one of the known words.
    #[error("is unknown")]
    Word,
    /// It has to be above 0.
    #[error("must be above nought")]
    NotPositive,
    /// Not a list of finite numbers of 0 or more.
    #[error("is not a list of numbers")]
    NumberList,
}

/// What is wrong with a frame or with the settings, and where. Positions are bytes from the start of the frame.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WireError {
    /// The header tells an impossible length of the frame.
    #[error("batch header: length {length} at byte 8 is out of range")]
    FrameLength {
        /// The length.
        length: usize,
    },
    /// The header tells more records than the frame can hold.
    #[error("batch header: {count} records at byte 12 do not fit in {length} bytes")]
    RecordCount {
        /// Records by the header.
        count: usize,
        /// Length of the frame.
        length: usize,
    },
    /// The frame ends before its records do.
    #[error("frame cut off: {count} records announced, {available} bytes here")]
    Truncated {
        /// Records by the header.
        count: usize,
        /// Bytes behind the header.
        available: usize,
    },
    /// A record points beyond the frame's tail.
    #[error("event code {code} at byte {position}: tail offset {offset}+{length} past {available} bytes")]
    TailRange {
        /// Code of the event.
        code: u8,
        /// Position of the field.
        position: usize,
        /// Where the part of the tail would begin.
        offset: usize,
        /// Its length in units of the field.
        length: usize,
        /// Bytes of the tail.
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
    /// The code of an event is not known.
    #[error("unknown event code {code} at byte {position}")]
    UnknownEvent {
        /// The code.
        code: u8,
        /// Position of the cluster state.
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
