//! Rereads the configuration at SIGHUP. A new address of the event bus takes effect at once; all other changes take
//! effect at the next start. A file that can't be read, because it is being replaced, is read again until that
//! succeeds or a newer signal arrives.

use crate::config::{ConfigError, PlatformSettings};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::sync::watch;

/// Pauses between reads of an unreadable file: the first one, then doubling up to the longest.
const RETRY_PAUSE: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));
/// Maximum number of fields named in one log line.
const MAX_NAMED: usize = 20;

/// The result of reading the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReloadOutcome {
    /// The file was read: `bus` is the address of the event bus, and `not_applied` names the other fields that
    /// changed.
    Read { bus: SocketAddr, not_applied: Vec<String> },
    /// The file could not be read; read it again after this pause.
    Retry(Duration),
}

/// The state of rereading the configuration, without I/O.
#[derive(Debug)]
pub struct ReloadState {
    settings: PlatformSettings,
    reads: u32,
    error: String,
}

impl ReloadState {
    /// Creates the state; `settings` are those in effect.
    pub fn new(settings: PlatformSettings) -> ReloadState {
        ReloadState { settings, reads: 0, error: String::new() }
    }

    /// Handles a signal: failures before it no longer count.
    pub fn signalled(&mut self) {
        (self.reads, self.error) = (0, String::new());
    }

    /// Handles the result of reading the file.
    pub fn on_read(&mut self, read: Result<PlatformSettings, ConfigError>) -> ReloadOutcome {
        match read {
            Ok(settings) => {
                ReloadOutcome::Read { bus: settings.bus, not_applied: self.settings.differs(&settings) }
            }
            Err(error) => {
                let pause = RETRY_PAUSE.0.saturating_mul(1 << self.reads.min(10)).min(RETRY_PAUSE.1);
                self.reads += 1;
                let error = error.to_string();
                // Reads continue as long as the file is unreadable; only new errors are logged.
                if error != self.error {
                    tracing::error!(error, "configuration could not be reloaded; keeping the old one");
                    self.error = error;
                }
                ReloadOutcome::Retry(pause)
            }
        }
    }
}

/// Rereads the file at each signal until dropped, and sends the address of the event bus to `bus`. An unchanged
/// address is sent too, because it requests a new connection.
pub async fn reload_at_signals(settings: PlatformSettings, mut hup: Signal, bus: watch::Sender<SocketAddr>) {
    let mut reload = ReloadState::new(settings);
    while hup.recv().await.is_some() {
        reload.signalled();
        loop {
            match reload.on_read(PlatformSettings::read_again()) {
                ReloadOutcome::Read { bus: address, not_applied } => {
                    tracing::info!(bus = %address, "configuration reloaded");
                    if !not_applied.is_empty() {
                        let (count, named) =
                            (not_applied.len(), not_applied[..not_applied.len().min(MAX_NAMED)].join(" "));
                        tracing::warn!(
                            count,
                            fields = named,
                            "changed settings take effect at the next start only"
                        );
                    }
                    bus.send_replace(address);
                    break;
                }
                ReloadOutcome::Retry(pause) => tokio::select! {
                    _ = tokio::time::sleep(pause) => {}
                    signal = hup.recv() => match signal {
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
