//! The endpoint list, watched through Consul's health API or polled from a file. Late, failing and flapping lists are
//! passed to the decision module as they are received.

pub mod consul;
pub mod file;
pub mod front_ends;

use crate::clock::Clock;
use crate::state::Input;
use stagehoist_config::{Config, ListSource};
use std::rc::Rc;
use tokio::sync::mpsc;

/// A command to the task that watches a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryCommand {
    Subscribe(bool),
    Fetch,
}

/// Maximum size of a list, in bytes.
const MAX_LIST_BYTES: usize = 64 << 20;

/// A kind of list: its name in the log, the parsers of a response body and of a file, and the input that reports a failure.
#[derive(Clone, Copy)]
struct ListKind {
    what: &'static str,
    parse_body: fn(&[u8]) -> Result<Input, serde_json::Error>,
    parse_text: fn(&str) -> Result<Input, (usize, String)>,
    failure: fn() -> Input,
}

const WORKERS: ListKind = ListKind {
    what: "workers",
    parse_body: |body| consul::parse(body).map(Input::EndpointList),
    parse_text: |text| file::parse(text).map(Input::EndpointList),
    failure: || Input::EndpointListFailed,
};

/// Watches the endpoint list until the driver ends. With `list-subscribe no` in the configuration, the watch begins at once;
/// otherwise it begins with [`DiscoveryCommand::Subscribe`].
pub async fn watch(
    config: Rc<Config>,
    seed: u64,
    clock: Clock,
    inputs: mpsc::Sender<Input>,
    commands: mpsc::UnboundedReceiver<DiscoveryCommand>,
) {
    match &config.list {
        ListSource::Consul { address, service, wait } => {
            let watching = !config.list_subscribe;
            let watcher = consul::ListWatcher::new(address, service, *wait, seed, watching);
            watcher.run(clock, inputs, commands).await;
        }
        ListSource::File { path, poll } => file::watch(path, *poll, WORKERS, inputs, commands).await,
    }
}
