//! The endpoint list, followed by Consul's health API or read from a file. Late, failing and flapping lists are told to
//! the module as they come.

pub mod consul;
pub mod file;
pub mod front_ends;

use crate::clock::Clock;
use crate::state::Input;
use stagehoist_config::{Config, ListSource};
use std::rc::Rc;
use tokio::sync::mpsc;

/// What the module asks of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryCommand {
    Subscribe(bool),
    Fetch,
}

/// Largest list read, in bytes.
const LIST_MOST: usize = 64 << 20;

/// Which list is followed: its name in the log, how a body or a file of it is read, and what is known of one that fails.
#[derive(Clone, Copy)]
struct Kind {
    what: &'static str,
    body: fn(&[u8]) -> Result<Input, serde_json::Error>,
    text: fn(&str) -> Result<Input, (usize, String)>,
    failed: fn() -> Input,
}

const WORKERS: Kind = Kind {
    what: "workers",
    body: |body| consul::parse(body).map(Input::EndpointList),
    text: |text| file::parse(text).map(Input::EndpointList),
    failed: || Input::EndpointListFailed,
};

/// Follows the list until the driver is gone. Where the configuration has `list-subscribe no`, following begins at once.
pub async fn follow(
    config: Rc<Config>,
    seed: u64,
    clock: Clock,
    inputs: mpsc::Sender<Input>,
    asks: mpsc::UnboundedReceiver<DiscoveryCommand>,
) {
    match &config.list {
        ListSource::Consul { address, service, wait } => {
            let watching = !config.list_subscribe;
            let follower = consul::Follower::new(address, service, *wait, seed, watching);
            follower.run(clock, inputs, asks).await;
        }
        ListSource::File { path, poll } => file::follow(path, *poll, WORKERS, inputs, asks).await,
    }
}
