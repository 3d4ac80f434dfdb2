//! What a client brings to a connection.

/// What a client brings to a connection.
#[derive(Clone, Debug)]
pub struct ClientOptions {
    pub user: String,
    pub password: String,
    pub vhost: String,
    /// Seconds; 0: none wanted. The lower of both sides' wishes is used, the other's where one says 0.
    pub heartbeat: u16,
    /// Largest frame in bytes; 0: no limit wanted.
    pub frame_max: u32,
    /// Largest body kept, in bytes; a larger one is read and left out.
    pub body_limit: usize,
    /// Shown to the broker's operators.
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
