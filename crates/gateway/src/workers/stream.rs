//! The socket of a connection to a worker.

use socket2::SockRef;
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Whether a request on a connection is not answered completely.
pub(super) type InExchange = Rc<Cell<bool>>;

/// A socket that is reset by a close during an exchange, also if the process is killed. After a close in order the
/// system would go on sending the request, and the worker would start it although nobody waits for the response.
pub(super) struct WorkerStream {
    stream: TcpStream,
    in_exchange: InExchange,
}

impl WorkerStream {
    pub(super) fn new(stream: TcpStream, in_exchange: InExchange) -> io::Result<WorkerStream> {
        stream.set_nodelay(true)?;
        stream.set_zero_linger()?;
        Ok(WorkerStream { stream, in_exchange })
    }
}

impl Drop for WorkerStream {
    fn drop(&mut self) {
        if !self.in_exchange.get() {
            // An error means that the worker is gone.
            let _ = SockRef::from(&self.stream).set_linger(None);
        }
    }
}

impl AsyncRead for WorkerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for WorkerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
