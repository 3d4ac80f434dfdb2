//! A client whose word is in the front end's socket when the test goes on, and not before the front end runs
//! again read.

use crate::queues::{at_once, queues};
use crate::stage::Stage;
use bytes::BytesMut;
use socket2::SockRef;
use stagehoist_platform::resp::encode;
use std::io::Write;
use std::net::{Shutdown, TcpStream};

const CLOSE_WAIT: u32 = 8;

/// How a client says that it no longer waits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Leaves {
    Abort,
    Close,
    Reset,
}

pub struct Client {
    stream: TcpStream,
}

impl Client {
    pub fn connect(stage: &Stage) -> Client {
        Client { stream: TcpStream::connect(stage.listen).unwrap() }
    }

    /// With so small a window that few answers fill the way to it.
    pub fn narrow(stage: &Stage) -> Client {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(4096).unwrap();
        socket.connect(&stage.listen.into()).unwrap();
        Client { stream: socket.into() }
    }

    /// A request under its number.
    pub fn request(n: u32, body: &[u8]) -> Vec<u8> {
        let fields = format!("ref={n:016x},allow=1900,project=acme,lookup=7f3a9c21e0b4d655,effort=8");
        let mut bytes = BytesMut::new();
        encode(&mut bytes, &[b"REQ", n.to_string().as_bytes(), b"look", fields.as_bytes(), body]);
        bytes.to_vec()
    }

    pub fn abort(n: u32) -> Vec<u8> {
        let mut bytes = BytesMut::new();
        encode(&mut bytes, &[b"ABORT", n.to_string().as_bytes()]);
        bytes.to_vec()
    }

    /// Writes; all of it lies in the front end's socket then.
    pub fn say(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
        let (local, remote) = (self.stream.local_addr().unwrap(), self.stream.peer_addr().unwrap());
        at_once("it arrives", || queues(local, remote).is_some_and(|q| q.1 == 0));
    }

    /// Bytes that the front end has not read.
    pub fn unread(&self) -> usize {
        let (local, remote) = (self.stream.local_addr().unwrap(), self.stream.peer_addr().unwrap());
        queues(remote, local).unwrap().2
    }

    pub fn ask(&mut self, n: u32) {
        self.say(&Client::request(n, b"x"));
    }

    /// Leaves; that is known to the front end's socket then.
    pub fn leave(&mut self, n: u32, how: Leaves) {
        let (local, remote) = (self.stream.local_addr().unwrap(), self.stream.peer_addr().unwrap());
        match how {
            Leaves::Abort => self.say(&Client::abort(n)),
            Leaves::Close => {
                self.stream.shutdown(Shutdown::Write).unwrap();
                at_once("its close arrives", || queues(remote, local).is_some_and(|q| q.0 == CLOSE_WAIT));
            }
            Leaves::Reset => {
                SockRef::from(&self.stream).set_linger(Some(std::time::Duration::ZERO)).unwrap();
                let other = TcpStream::connect(remote).unwrap();
                drop(std::mem::replace(&mut self.stream, other));
                at_once("its reset arrives", || queues(remote, local).is_none());
            }
        }
    }

    /// Takes what lies in its socket.
    pub fn take(&mut self) -> usize {
        use std::io::Read;
        self.stream.set_nonblocking(true).unwrap();
        let (mut bytes, mut all) = (vec![0; 1 << 20], 0);
        while let Ok(n) = self.stream.read(&mut bytes) {
            if n == 0 {
                break;
            }
            all += n;
        }
        self.stream.set_nonblocking(false).unwrap();
        all
    }
}
