//! A connection to an executor on its way up, for want of descriptors too.

use super::connection::{Connection, State};
use super::Executors;
use crate::descriptors::{is_want, Refusal};
use crate::sockets::is_local_failure;
use std::cell::Cell;
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;

/// Pause after a failure of this machine's own, which may pass in a moment.
const LOCAL_RETRY_PAUSE: Duration = Duration::from_millis(5);

impl Executors {
    /// What came up in time, and whether this machine itself kept it down: that says nothing about the executor.
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
                    if matches!(connection.state.get(), State::Over(_)) {
                        return (None, is_local.get());
                    }
                }
            }
        }
    }

    /// Tries again where this machine fails for a moment; where it has no descriptor, waits for one that another connection
    /// gives up. `is_local` tells that the last try failed so.
    async fn connect(
        &self,
        connection: &Connection,
        address: &str,
        is_local: &Cell<bool>,
    ) -> io::Result<TcpStream> {
        loop {
            is_local.set(false);
            match TcpStream::connect(address).await {
                Err(error) if is_want(&error) => {
                    is_local.set(true);
                    self.shared.descriptors.refused(Refusal::Executor);
                    // One beside others that nothing waits for is worth no one's.
                    if connection.line.borrow().is_idle() || !self.shared.descriptors.release_one() {
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
