//! What a socket knows now, asked past the runtime: that has heard only of what came before it last waited.

use socket2::SockRef;
use std::future::Future;
use std::io::{self, Read, Write};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::pin;
use std::task::{Context, Poll, Waker};
use tokio::io::Interest;
use tokio::net::{TcpListener, TcpStream};

/// Whether bytes lie unread in it.
pub fn has_unread(stream: &TcpStream) -> bool {
    matches!(SockRef::from(stream).peek(&mut [MaybeUninit::uninit(); 1]), Ok(n) if n > 0)
}

/// Whether the other side writes no more, as far as the runtime has heard: known also while what it wrote lies unread.
pub fn has_left(stream: &TcpStream) -> bool {
    let ready = pin!(stream.ready(Interest::READABLE));
    let mut context = Context::from_waker(Waker::noop());
    matches!(ready.poll(&mut context), Poll::Ready(Ok(ready)) if ready.is_read_closed())
}

/// Reads what lies there.
pub fn read(stream: &TcpStream, bytes: &mut [u8]) -> io::Result<usize> {
    (&*SockRef::from(stream)).read(bytes)
}

/// Writes what it takes.
pub fn write(stream: &TcpStream, bytes: &[u8]) -> io::Result<usize> {
    (&*SockRef::from(stream)).write(bytes)
}

/// Says that nothing more is written.
pub fn end_writing(stream: &TcpStream) {
    // Where the other side is gone there is no one to tell.
    let _ = SockRef::from(stream).shutdown(Shutdown::Write);
}

/// The next connection that waits to be accepted; None where none does.
pub fn accept(listener: &TcpListener) -> Option<TcpStream> {
    let (socket, _) = SockRef::from(listener).accept().ok()?;
    socket.set_nonblocking(true).ok()?;
    TcpStream::from_std(socket.into()).ok()
}
