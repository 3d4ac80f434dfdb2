//! What a socket knows now, asked past the runtime: that has heard only of what came before it last waited.

use rustix::io::Errno;
use socket2::SockRef;
use std::future::Future;
use std::io::{self, Read, Write};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::pin;
use std::task::{Context, Poll, Waker};
use tokio::io::Interest;
use tokio::net::{TcpListener, TcpStream};

/// Connections that failed before they were accepted, or that the system had no room for, in a row at most.
const MAX_ACCEPT_FAILURES: usize = 64;

/// Repeats a system call for as long as signals interrupt it.
pub fn uninterrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            done => return done,
        }
    }
}

/// Whether a system call failed for reasons of this machine: what may pass in a moment, and says nothing about the other side.
pub fn is_local_failure(error: &io::Error) -> bool {
    let Some(errno) = Errno::from_io_error(error) else { return false };
    const OF_THIS_MACHINE: [Errno; 9] = [
        Errno::MFILE,
        Errno::NFILE,
        Errno::NOBUFS,
        Errno::NOMEM,
        Errno::ADDRNOTAVAIL,
        Errno::ADDRINUSE,
        Errno::NETUNREACH,
        Errno::AGAIN,
        Errno::INTR,
    ];
    OF_THIS_MACHINE.contains(&errno)
}

fn peek(stream: &TcpStream) -> io::Result<usize> {
    uninterrupted(|| SockRef::from(stream).peek(&mut [MaybeUninit::uninit(); 1]))
}

/// Whether bytes lie unread in it.
pub fn has_unread(stream: &TcpStream) -> bool {
    matches!(peek(stream), Ok(n) if n > 0)
}

/// Whether the other side closed it, with nothing more to be read.
pub fn is_closed(stream: &TcpStream) -> bool {
    match peek(stream) {
        Ok(n) => n == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}

/// Whether the other side writes no more, as far as the runtime has heard: known also while what it wrote lies unread.
pub fn has_left(stream: &TcpStream) -> bool {
    let ready = pin!(stream.ready(Interest::READABLE));
    let mut context = Context::from_waker(Waker::noop());
    matches!(ready.poll(&mut context), Poll::Ready(Ok(ready)) if ready.is_read_closed())
}

/// Reads what lies there.
pub fn read(stream: &TcpStream, bytes: &mut [u8]) -> io::Result<usize> {
    uninterrupted(|| (&*SockRef::from(stream)).read(bytes))
}

/// Writes what it takes.
pub fn write(stream: &TcpStream, bytes: &[u8]) -> io::Result<usize> {
    uninterrupted(|| (&*SockRef::from(stream)).write(bytes))
}

/// Says that nothing more is written.
pub fn end_writing(stream: &TcpStream) {
    // Where the other side is gone there is no one to tell.
    let _ = SockRef::from(stream).shutdown(Shutdown::Write);
}

/// The next connection that waits to be accepted; None where none does. One that was aborted before, or a moment without
/// room in the system, does not hide those behind it.
pub fn accept(listener: &TcpListener) -> Option<TcpStream> {
    for _ in 0..MAX_ACCEPT_FAILURES {
        match SockRef::from(listener).accept() {
            Ok((socket, _)) => {
                socket.set_nonblocking(true).ok()?;
                return TcpStream::from_std(socket.into()).ok();
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return None,
            Err(_) => {}
        }
    }
    None
}
