//! A front end as part of a fleet: what it knows of retired functions, and what it tells the keepers. Off where the
//! configuration has no fleet: nothing here exists then.
//!
//! - [`gate`]: what may be taken, sent and answered, without I/O; [`names`]: generations by inner names.
//! - [`entrance`]: calls of pools wait for lanes.
//! - [`desk`]: the gate at the sockets, and answers on their way out.
//! - [`part`]: which view is confirmed, and which workers may have copies.
//! - [`starting`]: the stages after a loss of everything; [`witness`]: whether the last run left in order.
//! - [`retirements`], [`states`]: the watched file of retired functions, and the file beside it.

pub mod desk;
pub mod entrance;
mod first;
pub mod gate;
pub mod names;
pub mod part;
pub mod retirements;
pub mod starting;
pub mod states;
pub mod witness;

pub use desk::{Desk, Gated, Pass};
pub use entrance::Entrance;
pub use gate::{Closed, Gate, Retired};
pub use part::Part;
pub use starting::Starting;
pub use witness::Witness;

use crate::clock::Clock;
use stagehoist::Micros;
use stagehoist_cluster_state::{Demand, Heard, Said, Standing, Version};
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// What a front end tells its session with the keepers; the newest counts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Told {
    /// The newest view that holds here: nothing under its tombstones is at work or on its way out.
    pub confirmed: Version,
    pub ready_lanes: u32,
    pub demand: Vec<Demand>,
}

/// A driver's ends of its session with the keepers; it never waits for it.
pub struct Link {
    pub standing: watch::Receiver<Standing>,
    pub told: watch::Sender<Told>,
    /// Where attempts are marked.
    pub others: Option<Others>,
}

/// A front end's way to ask others about messages, and to be asked.
pub struct Others {
    pub said: mpsc::Sender<Said>,
    pub heard: mpsc::Receiver<Heard>,
}

impl Link {
    /// The next word of the keepers; None once the session ended.
    pub async fn next(&mut self) -> Option<Standing> {
        self.standing.changed().await.ok()?;
        Some(self.standing.borrow_and_update().clone())
    }
}

/// Waits until the keepers' word is here, at most so long: nothing is consumed before. After that functions that are not
/// strict are served by what is known.
pub async fn first_word(standing: Option<watch::Receiver<Standing>>, clock: Clock, most: Micros) {
    let limit = Duration::from_micros(most.max(0) as u64);
    let word = async {
        match standing {
            Some(mut standing) => standing.wait_for(|s| !s.is_stale(clock.now())).await.is_ok(),
            None => false,
        }
    };
    match tokio::time::timeout(limit, word).await {
        Ok(true) => tracing::info!("the keepers' word is here"),
        _ => tracing::warn!(
            ms = most / 1000,
            "no word of the keepers; functions that are not strict are served"
        ),
    }
}

/// Tells a session, where there is something new.
pub fn tell(session: &watch::Sender<Told>, told: Told) {
    session.send_if_modified(|last| {
        if last.confirmed != told.confirmed {
            tracing::info!(version = told.confirmed, "confirmed");
        }
        let news = *last != told;
        *last = told;
        news
    });
}
