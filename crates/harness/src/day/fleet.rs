//! What the processes of a day share: replicas, pools, intents. The wording is the configuration's own where it has one.

use super::words::{Step, Words};
use std::time::Duration;

/// What the processes of a day share.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// The first so many front ends' processes keep the cluster state; none: nothing is shared.
    pub keepers: u32,
    pub view_lease: Duration,
    pub remember: Duration,
    /// Functions are refused by a front end that can't know whether they are retired.
    pub strict: bool,
    pub pools: Vec<Pool>,
    pub reserves: Vec<Reserve>,
    /// Tenants with a quota, as written.
    pub tenants: Vec<(String, String)>,
    /// Attempts that may not be repeated are recorded on disk before they go out.
    pub marks: bool,
    /// The way back by stages, as the configuration's directive has it; empty: all its defaults.
    pub recover: Option<String>,
    /// Callers are as the pools have them, but front ends are notified of no pool.
    pub without_pools: bool,
}

/// A part of the calls.
#[derive(Clone, Debug, PartialEq)]
pub struct Calls {
    pub tenant: String,
    /// One: as many as of each other tenant at ease.
    pub part: f64,
    /// The front end that alone gets them; None: whichever.
    pub only: Option<u32>,
}

/// Permits that some functions share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pool {
    pub name: String,
    pub functions: Vec<String>,
    pub permits: u32,
}

/// Permits of a pool kept for a tenant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reserve {
    pub tenant: String,
    pub pool: String,
    pub lanes: u32,
}

impl Default for Fleet {
    fn default() -> Fleet {
        Fleet {
            keepers: 0,
            view_lease: Duration::from_secs(1),
            remember: Duration::from_secs(600),
            strict: false,
            pools: Vec::new(),
            reserves: Vec::new(),
            tenants: Vec::new(),
            marks: false,
            recover: None,
            without_pools: false,
        }
    }
}

impl Fleet {
    /// Reads a line whose first word was read; false where it is none of these.
    pub(super) fn line(&mut self, w: &mut Words<'_>) -> Step<bool> {
        match w.last() {
            "keepers" => self.keepers = w.number("", "a number of keepers")?,
            "view-lease" => self.view_lease = w.duration()?,
            "remember" => self.remember = w.duration()?,
            "retire-mode" => {
                self.strict = match w.word("strict or available")? {
                    "strict" => true,
                    "available" => false,
                    _ => return w.wrong("strict or available"),
                };
            }
            "pool" => {
                let name = w.word("a pool's name")?.to_string();
                w.is("functions", "functions and patterns")?;
                let functions = w.names("patterns separated by commas")?;
                w.is("lanes", "lanes and a number")?;
                self.pools.push(Pool { name, functions, permits: w.number("", "a number of lanes")? });
            }
            "reserve" => {
                let tenant = w.word("a tenant's name")?.to_string();
                w.is("pool", "pool and its name")?;
                let pool = w.word("a pool's name")?.to_string();
                w.is("lanes", "lanes and a number")?;
                self.reserves.push(Reserve { tenant, pool, lanes: w.number("", "a number of lanes")? });
            }
            "tenant" => {
                let name = w.word("a tenant's name")?.to_string();
                w.is("quota", "quota and a rate such as 1000/s")?;
                let _: f64 = w.number("/s", "a rate such as 1000/s")?;
                self.tenants.push((name, w.last().to_string()));
            }
            "marks" => {
                self.marks = match w.word("yes or no")? {
                    "yes" => true,
                    "no" => false,
                    _ => return w.wrong("yes or no"),
                };
            }
            "recover" => self.recover = Some(w.all()),
            _ => return Ok(false),
        }
        Ok(true)
    }

    /// Tenants that callers name, each with its part of the calls: those with reservations, and all others as `other`.
    pub fn callers(&self) -> Vec<Calls> {
        if self.pools.is_empty() {
            return Vec::new();
        }
        let mut names: Vec<&str> = self.reserves.iter().map(|r| r.tenant.as_str()).collect();
        names.push(OTHER);
        names.sort_unstable();
        names.dedup();
        names.into_iter().map(|name| Calls { tenant: name.to_string(), part: 1.0, only: None }).collect()
    }
}

/// The tenant of all calls that come from nobody with a reservation.
pub const OTHER: &str = "other";
