//! Connection errors, with the reply codes of the specification.

/// Reply codes (specification 1.5.2.4 and the constants table).
pub mod reply {
    pub const CONTENT_TOO_LARGE: u16 = 311;
    pub const NO_ROUTE: u16 = 312;
    pub const NO_CONSUMERS: u16 = 313;
    pub const CONNECTION_FORCED: u16 = 320;
    pub const INVALID_PATH: u16 = 402;
    pub const ACCESS_REFUSED: u16 = 403;
    pub const NOT_FOUND: u16 = 404;
    pub const RESOURCE_LOCKED: u16 = 405;
    pub const PRECONDITION_FAILED: u16 = 406;
    pub const FRAME_ERROR: u16 = 501;
    pub const SYNTAX_ERROR: u16 = 502;
    pub const COMMAND_INVALID: u16 = 503;
    pub const CHANNEL_ERROR: u16 = 504;
    pub const UNEXPECTED_FRAME: u16 = 505;
    pub const RESOURCE_ERROR: u16 = 506;
    pub const NOT_ALLOWED: u16 = 530;
    pub const NOT_IMPLEMENTED: u16 = 540;
    pub const INTERNAL_ERROR: u16 = 541;
}

/// A protocol violation, or a rejection with a reply code.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// The stream does not begin with `AMQP 0 0 9 1` (specification 4.2.2).
    #[error("wrong protocol header {0:02x?}, expected AMQP 0-9-1")]
    ProtocolHeader(Vec<u8>),
    /// Closes the connection.
    #[error("{code} {text} (class {class}, method {method})")]
    Connection { code: u16, text: String, class: u16, method: u16 },
    /// Closes one channel.
    #[error("{code} {text} on channel {channel} (class {class}, method {method})")]
    Channel { channel: u16, code: u16, text: String, class: u16, method: u16 },
    /// Nothing received for two heartbeat intervals (specification 4.2.7).
    #[error("nothing received from the peer for {0} ms")]
    Silent(u64),
}

impl Fault {
    /// Creates a fault that closes the connection.
    pub fn connection(code: u16, text: impl Into<String>, (class, method): (u16, u16)) -> Fault {
        Fault::Connection { code, text: text.into(), class, method }
    }

    /// Creates a fault that closes a channel.
    pub fn channel(channel: u16, code: u16, text: impl Into<String>, (class, method): (u16, u16)) -> Fault {
        Fault::Channel { channel, code, text: text.into(), class, method }
    }

    /// Returns the reply code.
    pub fn code(&self) -> u16 {
        match self {
            Fault::ProtocolHeader(_) | Fault::Silent(_) => reply::CONNECTION_FORCED,
            Fault::Connection { code, .. } | Fault::Channel { code, .. } => *code,
        }
    }
}
