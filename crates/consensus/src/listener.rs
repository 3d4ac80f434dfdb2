//! The listener that front ends and other replicas connect to.

use socket2::SockRef;
use std::io;
use std::net::TcpListener;

#[cfg(test)]
mod tests;

/// Maximum number of connections in the listener's queue: the system's own maximum by default. All front ends connect
/// again at once when a replica starts, and the system sends again only after a second what does not fit.
const MAX_BACKLOG: i32 = 4096;

/// Listens at an address of the form `host:port`. The listener does not block.
pub fn listen(address: &str) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address)?;
    // Listening again changes only the length of the queue.
    SockRef::from(&listener).listen(MAX_BACKLOG)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}
