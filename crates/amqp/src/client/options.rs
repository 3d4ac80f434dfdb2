//! Options of a client connection.

/// Options of a client connection.
#[derive(Clone, Debug)]
pub struct ClientOptions {
    pub user: String,
    pub password: String,
    pub vhost: String,
    /// Requested heartbeat interval in seconds; 0: none. The lower of both sides' values is used. If one side sends
    /// 0, the value of the other side is used.
    pub heartbeat: u16,
    /// Requested maximum frame size in bytes; 0: no limit.
    pub frame_max: u32,
    /// Maximum body size in bytes; a larger body is read and discarded.
    pub body_limit: usize,
    /// Product name, shown to the operators of the broker.
    pub product: String,
}

impl Default for ClientOptions {
    fn default() -> ClientOptions {
        ClientOptions {
            user: "guest".into(),
            password: "guest".into(),
            vhost: "/".into(),
            heartbeat: 10,
            frame_max: 131_072,
            body_limit: 4 << 20,
            product: "stagehoist".into(),
        }
    }
}
