//! The host numbers of the rigs of this process, which keep the addresses of concurrent rigs apart.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Maximum number of concurrent rigs.
pub const MAX_RIGS: u8 = 32;
/// Interval at which a rig looks for a free number, and the longest wait for one.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const WAIT_TIMEOUT: Duration = Duration::from_secs(300);

static HOSTS: Mutex<Hosts> = Mutex::new(Hosts { next: 0, in_use: [false; MAX_RIGS as usize] });

struct Hosts {
    /// Where the search for a free number begins. Numbers are used in turn, as the sockets of a rig that has just ended
    /// may outlast it for a moment.
    next: u8,
    in_use: [bool; MAX_RIGS as usize],
}

/// The host number of a rig, free for another one once dropped.
pub struct RigHost(u8);

impl RigHost {
    /// Takes a free number; waits while as many rigs run as there are numbers.
    pub async fn wait_for_free() -> RigHost {
        let until = Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Some(host) = RigHost::take() {
                return host;
            }
            assert!(Instant::now() < until, "{MAX_RIGS} rigs have been running for {WAIT_TIMEOUT:?}");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    fn take() -> Option<RigHost> {
        let mut hosts = HOSTS.lock().unwrap_or_else(PoisonError::into_inner);
        let in_turn = (0..MAX_RIGS).map(|offset| (hosts.next + offset) % MAX_RIGS);
        let number = in_turn.into_iter().find(|number| !hosts.in_use[usize::from(*number)])?;
        hosts.in_use[usize::from(number)] = true;
        hosts.next = (number + 1) % MAX_RIGS;
        Some(RigHost(number))
    }

    pub fn number(&self) -> u8 {
        self.0
    }
}

impl Drop for RigHost {
    fn drop(&mut self) {
        let mut hosts = HOSTS.lock().unwrap_or_else(PoisonError::into_inner);
        hosts.in_use[usize::from(self.0)] = false;
    }
}
