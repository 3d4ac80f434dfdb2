//! Which sizes are run, by which seed, and with what put in.

use crate::error::ScaleError;
use crate::row::Row;

/// How much is run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Size {
    /// For CI, within ten seconds; only counts judge.
    Small,
    /// Within three minutes.
    Quick,
    /// All sizes.
    Full,
}

#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub size: Size,
    pub seed: u64,
    /// The negative control: the row's mechanism off, or a fault put in. It must make the row short.
    pub control: bool,
    /// The front end is divided: it serves one of so many shards, and is notified of nothing else.
    pub shards: Option<u32>,
}

impl Plan {
    /// One of three, by how much is run.
    pub fn pick<T>(&self, small: T, quick: T, full: T) -> T {
        match self.size {
            Size::Small => small,
            Size::Quick => quick,
            Size::Full => full,
        }
    }
}

/// A row that can be measured.
#[derive(Clone, Copy)]
pub struct Measure {
    pub name: &'static str,
    pub run: fn(&Plan) -> Result<Row, ScaleError>,
}

/// All rows in the order of the page.
pub fn measures() -> Vec<Measure> {
    let parts = [
        crate::front_end::MEASURES,
        crate::front_end::rare::MEASURES,
        crate::proof::MEASURES,
        crate::fleet::MEASURES,
        crate::list::MEASURES,
        crate::traces::MEASURES,
        crate::events::MEASURES,
        crate::record::MEASURES,
    ];
    parts.concat()
}

/// Rows that are measured side by side, those that share what they play in one permit: three, as the cluster state's
/// has processes of its own, so that a run takes half of eight cores.
pub fn lanes() -> Vec<Vec<Measure>> {
    let one = [crate::front_end::MEASURES, crate::front_end::rare::MEASURES, crate::proof::MEASURES];
    let two =
        [crate::fleet::MEASURES, crate::list::MEASURES, crate::traces::MEASURES, crate::events::MEASURES];
    vec![one.concat(), two.concat(), crate::record::MEASURES.to_vec()]
}
