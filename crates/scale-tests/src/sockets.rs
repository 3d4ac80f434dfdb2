//! What sockets cost on this machine, over loopback.

use crate::meter::spent;
use std::io;
use std::net::{TcpListener, TcpStream};

/// Connections opened to find what one costs.
const TRIED: u32 = 400;

/// Processor time, in seconds, of the connecting side of one TCP handshake, its socket opened and closed.
pub fn handshake_cost() -> io::Result<f64> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let to = listener.local_addr()?;
    let accepts = std::thread::spawn(move || {
        let accept = |_| listener.accept().map(drop);
        (0..TRIED).try_for_each(accept)
    });
    let (connected, took) = spent(|| (0..TRIED).try_for_each(|_| TcpStream::connect(to).map(drop)));
    connected?;
    accepts.join().map_err(|_| io::Error::other("the accepting side ended"))??;
    Ok(took / f64::from(TRIED))
}
