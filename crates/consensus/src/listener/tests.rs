use super::listen;
use std::net::TcpStream;
use std::time::Duration;

/// Front ends that connect before the replica accepts any of them.
const FRONT_ENDS: usize = 400;
/// The system tries again after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Guards against a short queue, in which connections of hundreds of front ends wait for a second or more.
#[test]
fn hundreds_of_front_ends_that_connect_at_once_wait_for_no_second_attempt() {
    let listener = listen("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let connected: Vec<_> =
        (0..FRONT_ENDS).map_while(|_| TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()).collect();
    assert_eq!(connected.len(), FRONT_ENDS);
}
