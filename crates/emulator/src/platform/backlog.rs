//! Addresses that connections never come up to.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// A connection that has not come up within this time never does.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// A listener that nobody accepts from, its backlog filled: further connections never come up.
pub async fn full_backlog(address: SocketAddr, crowd: &mut Vec<TcpStream>) -> Option<TcpListener> {
    let socket = TcpSocket::new_v4().ok()?;
    socket.set_reuseaddr(true).ok()?;
    socket.bind(address).ok()?;
    let listener = socket.listen(1).ok()?;
    // One more than fits never comes up.
    loop {
        let connecting = TcpStream::connect(address);
        match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
            Ok(Ok(stream)) => crowd.push(stream),
            _ => return Some(listener),
        }
    }
}
