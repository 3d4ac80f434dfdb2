//! A proxy on loopback that records what crosses a link, and breaks it on command.

use crate::capture::{CaptureEvent, Direction, Recorder};
use bytes::Bytes;
use std::io;
use std::sync::atomic::{AtomicU32, AtomicU64, AtomicU8, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// What a tap does to exchanges on its link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Fault {
    None = 0,
    /// The connection ends once a request was read whole by the far side, before its answer.
    ResetAfterRequest = 1,
    /// The answer never arrives; the connection stays.
    LoseAnswer = 2,
    /// The answer is replaced by bytes that are no HTTP.
    Garbage = 3,
    /// The answer ends in the middle of its body.
    Truncate = 4,
    /// Nothing crosses in either direction.
    Stall = 5,
}

/// Commands to a tap, from any thread.
#[derive(Debug)]
pub struct Controls {
    fault: AtomicU8,
    /// Percent of the answers that the trouble befalls.
    percent: AtomicU32,
    draws: AtomicU64,
    /// Delay of answers, in microseconds.
    delay: AtomicU64,
    disconnect: watch::Sender<u64>,
    down: watch::Sender<bool>,
}

impl Default for Controls {
    fn default() -> Controls {
        Controls {
            fault: AtomicU8::new(0),
            percent: AtomicU32::new(0),
            draws: AtomicU64::new(0),
            delay: AtomicU64::new(0),
            disconnect: watch::channel(0).0,
            down: watch::channel(false).0,
        }
    }
}

impl Controls {
    /// Lets a trouble befall so many percent of the answers.
    pub fn fault(&self, trouble: Fault, percent: u32) {
        self.percent.store(percent, Ordering::Relaxed);
        self.fault.store(trouble as u8, Ordering::Relaxed);
    }

    /// Delays every answer.
    pub fn delay(&self, by: Duration) {
        self.delay.store(by.as_micros() as u64, Ordering::Relaxed);
    }

    /// Ends every connection on the connection, now.
    pub fn disconnect(&self) {
        self.disconnect.send_modify(|n| *n += 1);
    }

    /// While down nothing listens, so that a connection is refused as by a machine whose process is gone.
    pub fn down(&self, down: bool) {
        self.down.send_replace(down);
        if down {
            self.disconnect();
        }
    }

    fn drawn(&self) -> Fault {
        let trouble = match self.fault.load(Ordering::Relaxed) {
            1 => Fault::ResetAfterRequest,
            2 => Fault::LoseAnswer,
            3 => Fault::Garbage,
            4 => Fault::Truncate,
            5 => Fault::Stall,
            _ => return Fault::None,
        };
        // A fixed sequence spread evenly, so that a third of the answers is a third in any stretch.
        let n = self.draws.fetch_add(1, Ordering::Relaxed);
        let draw = ((n.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32) * 100) >> 32;
        if draw < u64::from(self.percent.load(Ordering::Relaxed)) {
            trouble
        } else {
            Fault::None
        }
    }
}

/// Serves a tap in front of `far` until the listener fails or the future is dropped.
pub async fn serve(
    listener: TcpListener,
    far: String,
    link: usize,
    recorder: Recorder,
    controls: Arc<Controls>,
) -> io::Result<()> {
    let mut tasks = JoinSet::new();
    let mut connection = 0u64;
    let mut down = controls.down.subscribe();
    let address = listener.local_addr()?;
    let mut listener = Some(listener);
    loop {
        if *down.borrow_and_update() {
            listener = None;
            // The sender lives as long as the controls, which this task holds.
            let _ = down.wait_for(|down| !*down).await;
        }
        if listener.is_none() {
            listener = Some(TcpListener::bind(address).await?);
        }
        let Some(open) = &listener else { continue };
        let (near, _) = tokio::select! {
            accepted = open.accept() => accepted?,
            _ = down.changed() => continue,
            Some(_) = tasks.join_next() => continue,
        };
        connection += 1;
        let (far, recorder, controls) = (far.clone(), recorder.clone(), controls.clone());
        tasks.spawn(async move {
            recorder.write(link, connection, CaptureEvent::Opened);
            let what = match TcpStream::connect(&far).await {
                Err(_) => {
                    refuse(near);
                    CaptureEvent::Unreachable
                }
                Ok(far) => {
                    let mut cut = controls.disconnect.subscribe();
                    cut.mark_unchanged();
                    tokio::select! {
                        _ = carry(near, far, link, connection, &recorder, &controls) => {}
                        _ = cut.changed() => {}
                    }
                    CaptureEvent::Closed
                }
            };
            recorder.write(link, connection, what);
        });
    }
}

/// The far side refused: the near side's connection is reset rather than closed in order, as far as a proxy can.
fn refuse(near: TcpStream) {
    let _ = near.set_zero_linger();
}

async fn carry(
    mut near: TcpStream,
    mut far: TcpStream,
    link: usize,
    connection: u64,
    recorder: &Recorder,
    controls: &Controls,
) -> io::Result<()> {
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    let (mut out, mut back) = (vec![0u8; 64 << 10], vec![0u8; 64 << 10]);
    // The trouble of the exchange under way, drawn when its request goes out.
    let mut trouble = Fault::None;
    let mut fresh = true;
    loop {
        tokio::select! {
            read = near.read(&mut out) => {
                let n = read?;
                if n == 0 {
                    return Ok(());
                }
                let bytes = Bytes::copy_from_slice(&out[..n]);
                recorder.write(link, connection, CaptureEvent::Bytes(Direction::Out, bytes));
                if fresh {
                    trouble = controls.drawn();
                    fresh = false;
                }
                if trouble == Fault::Stall {
                    continue;
                }
                far.write_all(&out[..n]).await?;
            }
            read = far.read(&mut back) => {
                let n = read?;
                if n == 0 {
                    return Ok(());
                }
                fresh = true;
                let delay = controls.delay.load(Ordering::Relaxed);
                if delay > 0 {
                    tokio::time::sleep(Duration::from_micros(delay)).await;
                }
                let send = |bytes: &[u8]| {
                    recorder.write(link, connection, CaptureEvent::Bytes(Direction::In, Bytes::copy_from_slice(bytes)));
                };
                match trouble {
                    Fault::None => {
                        send(&back[..n]);
                        near.write_all(&back[..n]).await?;
                    }
                    Fault::ResetAfterRequest => {
                        let _ = near.set_zero_linger();
                        return Ok(());
                    }
                    Fault::LoseAnswer | Fault::Stall => {}
                    Fault::Garbage => {
                        let junk = b"\x00\x01this is no answer\r\n\r\n";
                        send(junk);
                        near.write_all(junk).await?;
                        return Ok(());
                    }
                    Fault::Truncate => {
                        let part = &back[..n - (n / 8).max(1)];
                        send(part);
                        near.write_all(part).await?;
                        return Ok(());
                    }
                }
            }
        }
    }
}
