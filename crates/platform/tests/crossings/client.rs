//! A client whose data is in the front end's socket when a call here returns, and unread until the front end runs
//! again.

use crate::queues::{block_until, queues};
use crate::stage::Stage;
use bytes::BytesMut;
use socket2::SockRef;
use stagehoist_platform::resp::encode;
use std::io::Write;
use std::net::{Shutdown, TcpStream};

const CLOSE_WAIT: u32 = 8;

/// How a client cancels its request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Departure {
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

    /// Connects with a window so small that a few answers fill the path to the client.
    pub fn with_small_window(stage: &Stage) -> Client {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(4096).unwrap();
        socket.connect(&stage.listen.into()).unwrap();
        Client { stream: socket.into() }
    }

    /// Encodes a request with this number.
    pub fn request(n: u32, body: &[u8]) -> Vec<u8> {
        Client::request_of("look", n, body)
    }

    /// Encodes a request of a class.
    pub fn request_of(class: &str, n: u32, body: &[u8]) -> Vec<u8> {
        let fields = format!("ref={n:016x},allow=1900,project=acme,lookup=7f3a9c21e0b4d655,effort=8");
        let mut bytes = BytesMut::new();
        encode(&mut bytes, &[b"REQ", n.to_string().as_bytes(), class.as_bytes(), fields.as_bytes(), body]);
        bytes.to_vec()
    }

    pub fn abort(n: u32) -> Vec<u8> {
        let mut bytes = BytesMut::new();
        encode(&mut bytes, &[b"ABORT", n.to_string().as_bytes()]);
        bytes.to_vec()
    }

    /// Writes bytes and waits until all of them are in the front end's socket.
    pub fn write(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
        let (local, remote) = (self.stream.local_addr().unwrap(), self.stream.peer_addr().unwrap());
        block_until("the data does not arrive", || queues(local, remote).is_some_and(|q| q.1 == 0));
    }

    /// Returns the number of bytes that the front end has not read.
    pub fn unread(&self) -> usize {
        let (local, remote) = (self.stream.local_addr().unwrap(), self.stream.peer_addr().unwrap());
        queues(remote, local).unwrap().2
    }

    pub fn ask(&mut self, n: u32) {
        self.write(&Client::request(n, b"x"));
    }

    /// Cancels or disconnects, and waits until the front end's socket has received it.
    pub fn leave(&mut self, n: u32, how: Departure) {
        let (local, remote) = (self.stream.local_addr().unwrap(), self.stream.peer_addr().unwrap());
        match how {
            Departure::Abort => self.write(&Client::abort(n)),
            Departure::Close => {
                self.stream.shutdown(Shutdown::Write).unwrap();
                block_until("the close does not arrive", || {
                    queues(remote, local).is_some_and(|q| q.0 == CLOSE_WAIT)
                });
            }
            Departure::Reset => {
                SockRef::from(&self.stream).set_linger(Some(std::time::Duration::ZERO)).unwrap();
                let other = TcpStream::connect(remote).unwrap();
                drop(std::mem::replace(&mut self.stream, other));
                block_until("the reset does not arrive", || queues(remote, local).is_none());
            }
        }
    }

    /// Reads the available data; returns its length.
    pub fn read_available(&mut self) -> usize {
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
