//! The configuration read again at SIGHUP: where the bus is counts at once, all else stands until the next start. A file that
//! can't be read, because it is just being replaced, is looked at again until it can or a newer signal comes.

use crate::config::{ConfigError, Told};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::sync::watch;

/// Pauses between looks at a file that can't be read: the first, then doubling up to the longest.
const PAUSE: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));
/// Most fields named in one line of the log.
const NAMED_MOST: usize = 20;

/// What a look at the file led to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Look {
    /// The bus is here; `not_taken` names what else changed.
    Read { bus: SocketAddr, not_taken: Vec<String> },
    /// Look again after this pause.
    Again(Duration),
}

/// The reading of a changed configuration, without I/O.
#[derive(Debug)]
pub struct Reload {
    told: Told,
    looks: u32,
    error: String,
}

impl Reload {
    /// `told` is what the process goes by.
    pub fn new(told: Told) -> Reload {
        Reload { told, looks: 0, error: String::new() }
    }

    /// A signal came: what was seen before it does not count.
    pub fn signalled(&mut self) {
        (self.looks, self.error) = (0, String::new());
    }

    /// The file was looked at.
    pub fn looked(&mut self, read: Result<Told, ConfigError>) -> Look {
        match read {
            Ok(told) => Look::Read { bus: told.bus, not_taken: self.told.differs(&told) },
            Err(error) => {
                let pause = PAUSE.0.saturating_mul(1 << self.looks.min(10)).min(PAUSE.1);
                self.looks += 1;
                let error = error.to_string();
                // Looks go on for as long as the file is wrong; the log tells what is new.
                if error != self.error {
                    tracing::error!(error, "configuration not read again; the old one stands");
                    self.error = error;
                }
                Look::Again(pause)
            }
        }
    }
}

/// Reads at each signal until dropped, and tells `bus` where the bus is: also the same address, as that asks for a new
/// connection.
pub async fn at_signals(told: Told, mut hup: Signal, bus: watch::Sender<SocketAddr>) {
    let mut reload = Reload::new(told);
    while hup.recv().await.is_some() {
        reload.signalled();
        loop {
            match reload.looked(Told::read_again()) {
                Look::Read { bus: at, not_taken } => {
                    tracing::info!(bus = %at, "configuration read again");
                    if !not_taken.is_empty() {
                        let (count, named) =
                            (not_taken.len(), not_taken[..not_taken.len().min(NAMED_MOST)].join(" "));
                        tracing::warn!(
                            count,
                            fields = named,
                            "changed and not taken over before the next start"
                        );
                    }
                    bus.send_replace(at);
                    break;
                }
                Look::Again(pause) => tokio::select! {
                    _ = tokio::time::sleep(pause) => {}
                    more = hup.recv() => match more {
                        Some(()) => reload.signalled(),
                        None => return,
                    },
                },
            }
        }
    }
}

#[cfg(test)]
mod tests;
