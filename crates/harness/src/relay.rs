//! A relay on a link between two processes: bytes cross it as they come, until a command says otherwise.
//!
//! Nothing that the ends sent is lost while bytes are held back, as with a network that drops packets for a while: it crosses
//! once the connection is healed, or the ends have given it up by then. What is held back is bounded; the sender's socket fills up.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{tcp, TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Connections that one relay carries at a time; more are reset.
const CONNECTIONS_MOST: usize = 64;
/// Pieces of bytes held back each way of a connection, and the size of the largest.
const PIECES_MOST: usize = 32;
const PIECE: usize = 16 << 10;

/// What is wrong with a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    #[default]
    None,
    /// Connections are reset, new ones are refused.
    Cut,
    /// Nothing crosses; connections stay, new ones reach nobody.
    Stall,
    /// Only what the near side (the one that connects) sends crosses. A new connection needs both ways and waits.
    HalfOut,
    /// Only what the far side sends crosses. A new connection needs both ways and waits.
    HalfIn,
    /// All that crosses comes so much later.
    Delay(Duration),
}

impl Fault {
    fn lets(self, way: Direction) -> bool {
        match self {
            Fault::None | Fault::Delay(_) => true,
            Fault::Cut | Fault::Stall => false,
            Fault::HalfOut => way == Direction::Out,
            Fault::HalfIn => way == Direction::In,
        }
    }
    fn lets_both(self) -> bool {
        self.lets(Direction::Out) && self.lets(Direction::In)
    }
    fn delay(self) -> Duration {
        match self {
            Fault::Delay(by) => by,
            _ => Duration::ZERO,
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    Out,
    In,
}

/// A port on loopback that nobody else is given while this stands. Whoever listens there must allow the address to be
/// reused, as listeners of the standard library and tokio do.
pub struct Port {
    _hold: TcpSocket,
    pub address: SocketAddr,
}

impl Port {
    /// Reserves a free port.
    pub fn reserve() -> io::Result<Port> {
        let hold = TcpSocket::new_v4()?;
        hold.set_reuseaddr(true)?;
        hold.bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let address = hold.local_addr()?;
        Ok(Port { _hold: hold, address })
    }
}

/// Serves a relay at `port` in front of `far` until its commands' sender is gone or the port can't be listened at.
pub async fn serve(port: Port, far: String, mut fault: watch::Receiver<Fault>) -> io::Result<()> {
    let mut connections = JoinSet::new();
    loop {
        // Closed by its sender: nobody commands it, the harness is over.
        if fault.wait_for(|f| *f != Fault::Cut).await.is_err() {
            return Ok(());
        }
        let listener = TcpListener::bind(port.address).await?;
        loop {
            let near = tokio::select! {
                accepted = listener.accept() => accepted?.0,
                cut = fault.wait_for(|f| *f == Fault::Cut) => match cut {
                    Ok(_) => break,
                    Err(_) => return Ok(()),
                },
                Some(_) = connections.join_next() => continue,
            };
            if connections.len() < CONNECTIONS_MOST {
                connections.spawn(connection(near, far.clone(), fault.clone()));
            } else {
                let _ = near.set_zero_linger();
            }
        }
    }
}

/// Carries one connection until both ways have ended in order; else it is reset.
async fn connection(mut near: TcpStream, far: String, mut fault: watch::Receiver<Fault>) {
    let mut cut = fault.clone();
    let far = tokio::select! {
        far = open(&far, &mut fault) => far,
        _ = cut.wait_for(|f| *f == Fault::Cut) => Err(io::ErrorKind::ConnectionReset.into()),
    };
    let Ok(mut far) = far else {
        let _ = near.set_zero_linger();
        return;
    };
    let both = async {
        near.set_nodelay(true)?;
        let (mut near_read, mut near_write) = near.split();
        let (mut far_read, mut far_write) = far.split();
        tokio::try_join!(
            carry(&mut near_read, &mut far_write, Direction::Out, fault.clone()),
            carry(&mut far_read, &mut near_write, Direction::In, fault.clone()),
        )
    };
    let ended = tokio::select! {
        ended = both => ended.is_ok(),
        _ = cut.wait_for(|f| *f == Fault::Cut) => false,
    };
    if !ended {
        let _ = (near.set_zero_linger(), far.set_zero_linger());
    }
}

async fn open(far: &str, fault: &mut watch::Receiver<Fault>) -> io::Result<TcpStream> {
    let healed = fault.wait_for(|f| f.lets_both()).await.is_ok();
    if !healed {
        return Err(io::ErrorKind::ConnectionReset.into());
    }
    let far = TcpStream::connect(far).await?;
    far.set_nodelay(true)?;
    Ok(far)
}

/// One way of a connection: read ahead into a bounded line, written when due and when the connection lets it.
async fn carry(
    from: &mut tcp::ReadHalf<'_>,
    to: &mut tcp::WriteHalf<'_>,
    way: Direction,
    mut fault: watch::Receiver<Fault>,
) -> io::Result<()> {
    let (line, mut pieces) = mpsc::channel::<(Instant, Vec<u8>)>(PIECES_MOST);
    let told = fault.clone();
    let read = async move {
        let mut buffer = vec![0; PIECE];
        loop {
            // An end by reset crosses as an end in order, after what was read before it.
            let n = from.read(&mut buffer).await.unwrap_or(0);
            let due = Instant::now() + told.borrow().delay();
            if n == 0 || line.send((due, buffer[..n].to_vec())).await.is_err() {
                return io::Result::Ok(());
            }
        }
    };
    let write = async move {
        while let Some((due, piece)) = pieces.recv().await {
            tokio::time::sleep_until(due).await;
            let _ = fault.wait_for(|f| f.lets(way)).await;
            to.write_all(&piece).await?;
        }
        let _ = fault.wait_for(|f| f.lets(way)).await;
        // A side that is gone already can't be told that no more comes.
        let _ = to.shutdown().await;
        Ok(())
    };
    tokio::try_join!(read, write).map(|_| ())
}

#[cfg(test)]
mod tests;
