//! Why a row could not be measured.

#[derive(Debug, thiserror::Error)]
pub enum ScaleError {
    #[error("{row}: {what}")]
    Measure { row: &'static str, what: String },
    #[error("no row is named {0}")]
    Unknown(String),
    #[error(transparent)]
    Record(#[from] crate::record::Fault),
    #[error(transparent)]
    Io(#[from] std::io::Error),
}
