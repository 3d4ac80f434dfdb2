//! What replicas and members of a measurement are told alike: the product's defaults, but for what a row varies.

use serde::{Deserialize, Serialize};
use stagehoist_cluster_state::LeaseTerms;
use stagehoist_consensus::{Now, Options, Timing};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Instant;

/// The least time that a leader trusts its majority, as `serve` has it, in microseconds.
const QUORUM_LEAST: i64 = 250_000;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// `view-lease` and `remember`, in microseconds.
    pub lease: i64,
    pub remember: i64,
    /// `drift`, in parts of a million.
    pub drift_ppm: u32,
    /// `fleet-folder`.
    pub folder: Option<PathBuf>,
}

impl Default for Settings {
    /// The defaults of the configuration.
    fn default() -> Settings {
        Settings { lease: 2_000_000, remember: 3_600_000_000, drift_ppm: 10_000, folder: None }
    }
}

impl Settings {
    pub fn terms(&self) -> LeaseTerms {
        LeaseTerms {
            lease: self.lease,
            drift_ppm: self.drift_ppm,
            quorum: (self.lease / 4).max(QUORUM_LEAST),
            tombstone_retention: self.remember,
        }
    }

    pub fn options(&self, keepers: BTreeMap<u64, String>, members: Vec<String>) -> Options {
        Options {
            replicas: keepers,
            replica: None,
            terms: self.terms(),
            edition: 0,
            pools: Vec::new(),
            allocation: None,
            members,
            session_folder: self.folder.clone(),
            seed: 1,
            timing: Timing::default(),
        }
    }
}

/// A process's monotonic clock, from its start.
pub fn clock() -> Now {
    let began = Instant::now();
    Arc::new(move || i64::try_from(began.elapsed().as_micros()).unwrap_or(i64::MAX))
}
