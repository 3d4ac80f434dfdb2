//! Connections that violate the protocol are closed, and other connections are not affected.

mod common;

use common::{retirement, Fleet};
use stagehoist_cluster_state::{Retirement, RetirementMode, SessionRequest, TombstoneState, PROTOCOL};
use stagehoist_consensus::Session;
use std::io::{Read, Write};
use std::net::TcpStream;

fn frame(body: &[u8]) -> Vec<u8> {
    let mut bytes = u32::try_from(body.len()).unwrap().to_be_bytes().to_vec();
    bytes.extend(body);
    bytes
}

/// Has the same encoding as `frames::FirstFrame::Member`.
fn first(message: &SessionRequest) -> Vec<u8> {
    let mut body = b"stk1\x01".to_vec();
    body.extend(postcard::to_stdvec(message).unwrap());
    frame(&body)
}

fn hello(protocol: u16, name: &str) -> SessionRequest {
    let name = name.into();
    SessionRequest::Hello { protocol, name, member: None, at_least: 0, edition: 0, pools: Vec::new() }
}

/// Whether the retirement is in force and the fleet's own members (`mN`) have all confirmed it.
fn is_held(session: &Session, function: &str) -> bool {
    let state = common::shown(session, function).map(|t| t.state);
    matches!(state, Some(TombstoneState::InForce { but_for }) if but_for.iter().all(|m| !m.name.starts_with('m')))
}

/// Reads all bytes until the other side closes.
fn closed(stream: &mut TcpStream) -> Vec<u8> {
    stream.set_read_timeout(Some(common::LIMIT)).unwrap();
    let mut bytes = Vec::new();
    let mut part = [0; 4096];
    loop {
        match stream.read(&mut part) {
            Ok(0) => return bytes,
            Ok(n) => bytes.extend(&part[..n]),
            Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => return bytes,
            Err(e) => panic!("not closed: {e}"),
        }
    }
}

#[test]
fn malformed_oversized_and_foreign_frames_close_only_their_connection() {
    let fleet = Fleet::started(3);
    fleet.until("a leader", |f| f.leader().is_some());
    let leader = fleet.leader().unwrap();
    let connect = || TcpStream::connect(fleet.listens(leader)).unwrap();
    let send = |bytes: &[u8]| {
        let mut stream = connect();
        stream.write_all(bytes).unwrap();
        closed(&mut stream)
    };
    assert!(send(&frame(b"GET / HTTP/1.1\r\n\r\n")).is_empty());
    assert!(send(&u32::MAX.to_be_bytes()).is_empty());
    assert!(send(&frame(b"stk1\x07nothing")).is_empty());
    assert!(send(b"").is_empty(), "an idle connection was not closed in time");
    let refused = send(&first(&hello(PROTOCOL + 1, "x")));
    assert!(refused.windows(8).any(|w| w == b"protocol"), "{refused:?}");
    // A peer with another protocol version (9), then one that claims this replica's own number.
    assert!(send(&frame(b"stk1\x00\x09\x01\x02")).is_empty());
    assert!(send(&frame(&[b"stk1\x00\x01".as_slice(), &[leader as u8, leader as u8]].concat())).is_empty());
    // Within a session: a malformed report.
    let mut stream = connect();
    stream.write_all(&first(&hello(PROTOCOL, "y"))).unwrap();
    stream.write_all(&frame(&[9; 40])).unwrap();
    closed(&mut stream);
    fleet.session(1).retire.try_send(retirement("f", RetirementMode::Available)).unwrap();
    fleet.until("the other members continue", |f| f.sessions().iter().all(|s| is_held(s, "f")));
}

#[test]
fn a_connection_that_does_not_read_is_closed_and_the_others_continue() {
    let fleet = Fleet::started(3);
    fleet.until("a leader", |f| f.leader().is_some());
    let leader = fleet.leader().unwrap();
    let mut stream = TcpStream::connect(fleet.listens(leader)).unwrap();
    stream.write_all(&first(&hello(PROTOCOL, "deaf"))).unwrap();
    // Creates a large cluster state, then changes whose full views fill all buffers between the two sides.
    let one = |n: usize| Retirement {
        reason: "r".repeat(1000),
        ..retirement(&format!("f{n}"), RetirementMode::Available)
    };
    let shown = |f: &Fleet, n: usize| common::shown(f.session(1), &format!("f{n}")).is_some();
    for n in 0..300 {
        fleet.until("taken", |f| f.session(1).retire.try_send(one(n)).is_ok());
    }
    fleet.until("shown", |f| (0..300).all(|n| shown(f, n)));
    for n in 300..340 {
        fleet.session(1).retire.try_send(one(n)).unwrap();
        fleet.until("shown", |f| shown(f, n));
    }
    // Reads only after the disconnect, as a front end that starts to read earlier would not be disconnected.
    fleet.until("the connection that does not read is closed", |f| {
        f.running[&leader].statistics().borrow().sessions == 3
    });
    let buffered = closed(&mut stream).len();
    // 40 views of more than 300,000 bytes each were sent.
    assert!(buffered < 40 * 300_000, "{buffered} bytes were buffered for a connection that does not read");
    fleet.until("the other members continue", |f| f.sessions().iter().all(|s| is_held(s, "f339")));
}
