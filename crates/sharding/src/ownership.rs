//! The shards that one front end owns. A shard may have several owners, which then compete for its queue. It
//! always has at least one owner: otherwise its queue would have no consumer.

use crate::assignment::{Assignment, Member};
use crate::change::Divisions;
use crate::division::{Division, DivisionError};
use crate::homes::HomeShards;
use crate::limits::MIN_FRONT_END_LOAD;
use crate::{Key, Shard};

/// A front end of the member list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrontEnd {
    pub member: Member,
    /// The first and the last generation that it reports to serve.
    pub serves: (u32, u32),
}

/// The known front ends and their shards, for each division that the local front end serves.
#[derive(Clone, Debug)]
pub struct FrontEnds {
    own_key: Key,
    /// Generation and assignment, in the order of [`Divisions::served`].
    served: Vec<(u32, Assignment)>,
    /// The local front end's shards in each division of `served`, in ascending order.
    shards: Vec<Vec<Shard>>,
}

/// How a function relates to a front end's shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FunctionPlacement {
    /// A home of the function is among the front end's shards.
    Owned,
    /// A home is among the front end's shards only in the division that is being replaced.
    Leaving,
    /// No home is among the front end's shards; the call belongs to this shard.
    Elsewhere(Shard),
}

impl FrontEnds {
    /// Computes the shards of all front ends. `own` is counted even if it is not in the list, so that a front
    /// end always owns a shard. A division includes only front ends that report to serve its generation, so that
    /// each queue has a consumer that knows the division.
    pub fn of(divisions: &Divisions, own: Member, list: impl IntoIterator<Item = FrontEnd>) -> FrontEnds {
        let list: Vec<FrontEnd> = list.into_iter().filter(|f| f.member.key != own.key).collect();
        let assign = |d: &Division| {
            let serves = |f: &&FrontEnd| (f.serves.0..=f.serves.1).contains(&d.generation());
            let others = list.iter().filter(serves).map(|f| f.member.with_unit_weight());
            let mut all = Assignment::with_min_load(d, MIN_FRONT_END_LOAD);
            // Front ends beyond the maxima aren't counted.
            all.fill([own.with_unit_weight()].into_iter().chain(others));
            (d.generation(), all)
        };
        let served: Vec<_> = divisions.served().map(assign).collect();
        let mut all = FrontEnds { own_key: own.key, served, shards: Vec::new() };
        all.update_owned_shards();
        all
    }

    fn update_owned_shards(&mut self) {
        let own = |(_, a): &(u32, Assignment)| {
            let mut shards = a.shards(self.own_key);
            shards.sort_unstable();
            shards
        };
        self.shards = self.served.iter().map(own).collect();
    }

    /// Adds, changes or removes one front end. Returns whether the local front end's shards changed. A front end
    /// beyond the maxima isn't counted.
    pub fn changed(&mut self, key: Key, now: Option<FrontEnd>) -> bool {
        self.apply(&[(key, now)])
    }

    /// Applies many changes at once, as [`FrontEnds::changed`] does for one.
    pub fn apply(&mut self, changes: &[(Key, Option<FrontEnd>)]) -> bool {
        for (generation, assignment) in &mut self.served {
            let serves = |f: &FrontEnd| (f.serves.0..=f.serves.1).contains(generation);
            let others = changes.iter().filter(|c| c.0 != self.own_key);
            let changes =
                others.map(|(key, now)| (*key, now.filter(serves).map(|f| f.member.with_unit_weight())));
            // Once a maximum is reached, further members are left out; the reader of the list counts them.
            assignment.apply(&changes.collect());
        }
        let before = self.shards.clone();
        self.update_owned_shards();
        before != self.shards
    }

    /// Iterates over the served divisions: generation and assignment of the front ends.
    pub fn served(&self) -> impl Iterator<Item = (u32, &Assignment)> {
        self.served.iter().map(|s| (s.0, &s.1))
    }

    /// Returns the local front end's shards in a served division, in ascending order; empty for other divisions.
    pub fn owned_shards(&self, generation: u32) -> &[Shard] {
        let at = self.served.iter().position(|s| s.0 == generation);
        at.map_or(&[], |at| &self.shards[at])
    }

    /// Returns the shards, of all served divisions, whose queues the local front end consumes.
    pub fn queues(&self) -> Vec<Shard> {
        let mut all = self.shards.concat();
        all.sort_unstable();
        all.dedup();
        all
    }

    /// Returns how a function relates to this front end's shards; `homes` has one entry per served division, in
    /// the same order.
    pub fn place(&self, homes: &[&HomeShards], function: Key, call: u64) -> FunctionPlacement {
        let served = homes.iter().zip(&self.shards).map(|(homes, own)| (*homes, &own[..]));
        place(served, function, call)
    }
}

/// Returns how a function relates to a front end's shards. `served` yields, for each division that the front end
/// serves, the home shards and its own shards in ascending order; the newest division is last.
pub fn place<'a>(
    served: impl Iterator<Item = (&'a HomeShards, &'a [Shard])>,
    function: Key,
    call: u64,
) -> FunctionPlacement {
    let mut place = FunctionPlacement::Elsewhere(0);
    for (homes, own) in served {
        place = match place {
            _ if homes.any_in(function, own) => FunctionPlacement::Owned,
            FunctionPlacement::Owned | FunctionPlacement::Leaving => FunctionPlacement::Leaving,
            FunctionPlacement::Elsewhere(_) => FunctionPlacement::Elsewhere(homes.for_call(function, call)),
        };
    }
    place
}

/// Returns the shards of a front end that has no list of front ends, in ascending order. They follow from its
/// rank among the configured number of front ends. Each shard is served by at least two ranks. The shards of
/// a failed front end aren't reassigned, and zones are ignored.
pub fn ranked(division: &Division, rank: u32, of: u32) -> Result<Vec<Shard>, DivisionError> {
    if rank >= of {
        return Err(DivisionError::NoOwnedShards { rank, of });
    }
    let shards = u64::from(division.shards());
    let each = (2 * shards).div_ceil(u64::from(of)).min(shards);
    let mut own: Vec<Shard> = (0..each).map(|n| ((u64::from(rank) * each + n) % shards) as Shard).collect();
    own.sort_unstable();
    Ok(own)
}

/// Returns the maximum number of front ends per shard if shards are owned by rank ([`ranked`]).
pub fn max_ranked(division: &Division, of: u32) -> u32 {
    let (shards, of) = (u64::from(division.shards()), u64::from(of.max(1)));
    let each = (2 * shards).div_ceil(of).min(shards);
    (of * each).div_ceil(shards).min(of) as u32
}
