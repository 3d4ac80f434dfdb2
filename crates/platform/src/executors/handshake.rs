//! A connection to an executor on its way up, for want of descriptors too.

use super::connection::{Connection, State};
use super::Executors;
use crate::descriptors::{is_want, Refusal};
use std::cell::Cell;
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;

impl Executors {
    /// What came up in time, and whether it was the want of a descriptor that kept it down.
    pub(super) async fn handshake(
        &self,
        connection: &Connection,
        address: &str,
    ) -> (Option<TcpStream>, bool) {
        let limit = Duration::from_micros(self.limits.connect_timeout as u64);
        let wants = Cell::new(false);
        let connecting = tokio::time::timeout(limit, self.connect(connection, address, &wants));
        tokio::pin!(connecting);
        loop {
            tokio::select! {
                done = &mut connecting => return (done.ok().and_then(Result::ok), wants.get()),
                () = connection.wake.notified() => {
                    if matches!(connection.state.get(), State::Over(_)) {
                        return (None, wants.get());
                    }
                }
            }
        }
    }

    /// Waits for a descriptor where the system has none and another connection is evicted; `wants` tells that it had none.
    async fn connect(
        &self,
        connection: &Connection,
        address: &str,
        wants: &Cell<bool>,
    ) -> io::Result<TcpStream> {
        loop {
            wants.set(false);
            match TcpStream::connect(address).await {
                Err(error) if is_want(&error) => {
                    wants.set(true);
                    self.shared.descriptors.refused(Refusal::Executor);
                    // One beside others that nothing waits for is worth no one's.
                    if connection.line.borrow().is_idle() || !self.shared.descriptors.release_one() {
                        return Err(error);
                    }
                    self.shared.descriptors.wait_first().await;
                }
                done => return done,
            }
        }
    }
}
