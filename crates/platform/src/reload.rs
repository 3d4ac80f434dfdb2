//! The configuration read again at SIGHUP: where the event subscription is counts at once, all else stands until the next start. A file that
//! can't be read, because it is just being replaced, is looked at again until it can or a newer signal comes.

use crate::config::{ConfigError, PlatformSettings};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::sync::watch;

/// Pauses between looks at a file that can't be read: the first, then doubling up to the longest.
const PAUSE: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));
/// Most fields named in one line of the log.
const MAX_NAMED: usize = 20;

/// What a look at the file led to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReloadOutcome {
    /// The bus is here; `not_taken` names what else changed.
    Read { bus: SocketAddr, not_taken: Vec<String> },
    /// Look again after this pause.
    Again(Duration),
}

/// The reading of a changed configuration, without I/O.
#[derive(Debug)]
pub struct ReloadState {
    settings: PlatformSettings,
    reads: u32,
    error: String,
}

impl ReloadState {
    /// `told` is what the process goes by.
    pub fn new(settings: PlatformSettings) -> ReloadState {
        ReloadState { settings, reads: 0, error: String::new() }
    }

    /// A signal came: what was seen before it does not count.
    pub fn signalled(&mut self) {
        (self.reads, self.error) = (0, String::new());
    }

    /// The file was looked at.
    pub fn on_read(&mut self, read: Result<PlatformSettings, ConfigError>) -> ReloadOutcome {
        match read {
            Ok(settings) => {
                ReloadOutcome::Read { bus: settings.bus, not_taken: self.settings.differs(&settings) }
            }
            Err(error) => {
                let pause = PAUSE.0.saturating_mul(1 << self.reads.min(10)).min(PAUSE.1);
                self.reads += 1;
                let error = error.to_string();
                // Looks go on for as long as the file is wrong; the log tells what is new.
                if error != self.error {
                    tracing::error!(error, "configuration not read again; the old one stands");
                    self.error = error;
                }
                ReloadOutcome::Again(pause)
            }
        }
    }
}

/// Reads at each signal until dropped, and tells `bus` where the event subscription is: also the same address, as that asks for a new
/// connection.
pub async fn at_signals(settings: PlatformSettings, mut hup: Signal, bus: watch::Sender<SocketAddr>) {
    let mut reload = ReloadState::new(settings);
    while hup.recv().await.is_some() {
        reload.signalled();
        loop {
            match reload.on_read(PlatformSettings::read_again()) {
                ReloadOutcome::Read { bus: at, not_taken } => {
                    tracing::info!(bus = %at, "configuration read again");
                    if !not_taken.is_empty() {
                        let (count, named) =
                            (not_taken.len(), not_taken[..not_taken.len().min(MAX_NAMED)].join(" "));
                        tracing::warn!(
                            count,
                            fields = named,
                            "changed and not taken over before the next start"
                        );
                    }
                    bus.send_replace(at);
                    break;
                }
                ReloadOutcome::Again(pause) => tokio::select! {
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
