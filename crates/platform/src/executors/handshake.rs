//! Establishes a connection to an executor, also while descriptors are scarce.

use super::connection::{Connection, State};
use super::Executors;
use crate::descriptors::{is_descriptor_limit, DescriptorUse};
use crate::sockets::is_local_failure;
use std::cell::Cell;
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;

/// Pause after a failure of this machine, which may be transient.
const LOCAL_RETRY_PAUSE: Duration = Duration::from_millis(5);

impl Executors {
    /// Returns the connection if it was established in time, and whether the last failure was local to this machine.
    /// A local failure does not count against the executor.
    pub(super) async fn handshake(
        &self,
        connection: &Connection,
        address: &str,
    ) -> (Option<TcpStream>, bool) {
        let limit = Duration::from_micros(self.limits.connect_timeout as u64);
        let is_local = Cell::new(false);
        let connecting = tokio::time::timeout(limit, self.connect(connection, address, &is_local));
        tokio::pin!(connecting);
        loop {
            tokio::select! {
                done = &mut connecting => return (done.ok().and_then(Result::ok), is_local.get()),
                () = connection.wake.notified() => {
                    if matches!(connection.state.get(), State::Closed(_)) {
                        return (None, is_local.get());
                    }
                }
            }
        }
    }

    /// Retries transient failures of this machine. If no descriptor is available, waits until another connection
    /// releases one. `is_local` tells whether the last failure was local.
    async fn connect(
        &self,
        connection: &Connection,
        address: &str,
        is_local: &Cell<bool>,
    ) -> io::Result<TcpStream> {
        loop {
            is_local.set(false);
            match TcpStream::connect(address).await {
                Err(error) if is_descriptor_limit(&error) => {
                    is_local.set(true);
                    self.shared.descriptors.refused(DescriptorUse::Executor);
                    // A connection that no request waits for does not justify the eviction of another one.
                    if connection.protocol.borrow().is_idle() || !self.shared.descriptors.release_one() {
                        return Err(error);
                    }
                    self.shared.descriptors.wait_first().await;
                }
                Err(error) if is_local_failure(&error) => {
                    is_local.set(true);
                    tokio::time::sleep(LOCAL_RETRY_PAUSE).await;
                }
                done => return done,
            }
        }
    }
}
