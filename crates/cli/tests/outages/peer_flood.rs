//! Peers of a front end that send at full speed, on threads of their own: an executor that sends answers nobody asked for,
//! and an event bus that sends empty frames.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Size of a write of a flood.
const WRITE_SIZE: usize = 64 << 10;
/// Interval at which a peer checks what it is to do, and timeout of its reads and writes.
const POLL: Duration = Duration::from_millis(20);
/// Interval of the empty frames of an event bus.
const FRAME_INTERVAL: Duration = Duration::from_secs(1);
/// Number of the only event of the bus, which the front end has from its start.
const LAST_EVENT: u64 = 1;

/// Which peer sends at full speed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FloodingPeer {
    /// An executor that sends answers under ids that no request has, and answers nothing.
    Executor,
    /// An event bus that sends empty frames.
    Bus,
}

#[derive(Default)]
struct Control {
    is_flooding: AtomicBool,
    has_ended: AtomicBool,
}

/// A peer, until dropped.
pub struct PeerFlood {
    pub kind: FloodingPeer,
    pub address: SocketAddr,
    control: Arc<Control>,
}

impl PeerFlood {
    /// Starts the peer; it does not flood yet.
    pub fn start(kind: FloodingPeer, address: SocketAddr) -> PeerFlood {
        let listener = TcpListener::bind(address).unwrap();
        listener.set_nonblocking(true).unwrap();
        let control = Arc::new(Control::default());
        let accepting = control.clone();
        std::thread::spawn(move || {
            while !accepting.has_ended.load(Ordering::Relaxed) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let control = accepting.clone();
                        std::thread::spawn(move || serve(kind, stream, &control));
                    }
                    Err(_) => std::thread::sleep(POLL),
                }
            }
        });
        PeerFlood { kind, address, control }
    }

    /// Begins or ends the flood.
    pub fn set_flooding(&self, is_flooding: bool) {
        self.control.is_flooding.store(is_flooding, Ordering::Relaxed);
    }
}

impl Drop for PeerFlood {
    fn drop(&mut self) {
        self.control.has_ended.store(true, Ordering::Relaxed);
    }
}

/// Serves a connection until the peer ends or the connection breaks.
fn serve(kind: FloodingPeer, mut stream: TcpStream, control: &Control) {
    stream.set_nonblocking(false).unwrap();
    stream.set_write_timeout(Some(POLL)).unwrap();
    stream.set_read_timeout(Some(POLL)).unwrap();
    let message = match kind {
        FloodingPeer::Executor => b"0123456789abcdef OK - 2\r\nhi\r\n".to_vec(),
        FloodingPeer::Bus => empty_frame(),
    };
    let flood = message.repeat(WRITE_SIZE / message.len());
    let mut written = 0;
    let mut next_frame = Instant::now();
    while !control.has_ended.load(Ordering::Relaxed) {
        let is_flooding = control.is_flooding.load(Ordering::Relaxed);
        let is_frame_due = kind == FloodingPeer::Bus && Instant::now() >= next_frame;
        // A message that was written in part is completed in any case.
        let is_partial = written % message.len() > 0;
        if !is_flooding && !is_partial && !is_frame_due {
            match stream.read(&mut [0; 4096]) {
                Ok(0) => return,
                _ => continue,
            }
        }
        let end = if is_flooding {
            flood.len()
        } else {
            written.next_multiple_of(message.len()).max(message.len())
        };
        match stream.write(&flood[written..end]) {
            Ok(length) => {
                written = (written + length) % flood.len();
                if !is_flooding && written % message.len() == 0 {
                    written = 0;
                }
                next_frame = Instant::now() + FRAME_INTERVAL;
            }
            Err(error)
                if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
            Err(_) => return,
        }
    }
}

fn empty_frame() -> Vec<u8> {
    let length: u32 = 8 + 1;
    [&length.to_be_bytes()[..], &LAST_EVENT.to_be_bytes()[..], &[0]].concat()
}
