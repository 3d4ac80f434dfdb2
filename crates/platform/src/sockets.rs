//! System calls on sockets that bypass the runtime, which knows only of data that arrived before it last polled the
//! sockets.

use rustix::io::Errno;
use socket2::{SockRef, Socket};
use std::future::Future;
use std::io::{self, Read, Write};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::pin;
use std::task::{Context, Poll, Waker};
use tokio::io::Interest;
use tokio::net::TcpStream;

/// Repeats a system call that is interrupted by signals.
pub fn uninterrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            done => return done,
        }
    }
}

/// Whether a system call failed for a reason local to this machine, which may be transient and says nothing about the
/// peer.
pub fn is_local_failure(error: &io::Error) -> bool {
    let Some(errno) = Errno::from_io_error(error) else { return false };
    const LOCAL_ERRORS: [Errno; 9] = [
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
    LOCAL_ERRORS.contains(&errno)
}

fn peek(stream: &TcpStream) -> io::Result<usize> {
    uninterrupted(|| SockRef::from(stream).peek(&mut [MaybeUninit::uninit(); 1]))
}

/// Whether the socket has unread input.
pub fn has_unread(stream: &TcpStream) -> bool {
    matches!(peek(stream), Ok(n) if n > 0)
}

/// Whether the peer closed the connection and no input is left.
pub fn is_closed(stream: &TcpStream) -> bool {
    match peek(stream) {
        Ok(n) => n == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}

/// Whether the peer has shut down writing, as far as the runtime knows. It is detected even while input is unread.
pub fn is_read_closed(stream: &TcpStream) -> bool {
    let ready = pin!(stream.ready(Interest::READABLE));
    let mut context = Context::from_waker(Waker::noop());
    matches!(ready.poll(&mut context), Poll::Ready(Ok(ready)) if ready.is_read_closed())
}

/// Reads pending input.
pub fn read(stream: &TcpStream, bytes: &mut [u8]) -> io::Result<usize> {
    uninterrupted(|| (&*SockRef::from(stream)).read(bytes))
}

/// Writes as many bytes as the socket accepts.
pub fn write(stream: &TcpStream, bytes: &[u8]) -> io::Result<usize> {
    uninterrupted(|| (&*SockRef::from(stream)).write(bytes))
}

/// Shuts down the writing side.
pub fn shutdown_write(stream: &TcpStream) {
    // An error means that the peer is gone.
    let _ = SockRef::from(stream).shutdown(Shutdown::Write);
}

/// Lets the system send what it still holds after the socket is closed, as is its default.
pub fn close_in_order(stream: &TcpStream) {
    // An error means that the peer is gone.
    let _ = SockRef::from(stream).set_linger(None);
}

/// Registers a socket with the runtime.
pub fn into_stream(socket: Socket) -> io::Result<TcpStream> {
    socket.set_nonblocking(true)?;
    TcpStream::from_std(socket.into())
}
