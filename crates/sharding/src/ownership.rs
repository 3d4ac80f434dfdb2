//! The shards of one front end. Several owners of a shard do no harm: they compete for its queue. None would.

use crate::assignment::{Assignment, Member};
use crate::change::Divisions;
use crate::division::{Division, DivisionError};
use crate::homes::HomeShards;
use crate::limits::MIN_FRONT_END_LOAD;
use crate::{Key, Shard};

/// A front end as the list of members tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrontEnd {
    pub member: Member,
    /// Generations that it says it serves: the first and the last.
    pub serves: (u32, u32),
}

/// The front ends that are known, in the shards of each division that one of them serves.
#[derive(Clone, Debug)]
pub struct FrontEnds {
    own_key: Key,
    /// By [`Divisions::served`].
    served: Vec<(u32, Assignment)>,
    /// Own shards of the divisions above, in ascending order.
    shards: Vec<Vec<Shard>>,
}

/// What a front end has to do with a function.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FunctionPlacement {
    /// A home of it is among the front end's shards.
    Owned,
    /// It is, but only in the division that is being replaced.
    Leaving,
    /// It is not; a call of it belongs to this shard.
    Elsewhere(Shard),
}

impl FrontEnds {
    /// `own` is counted whether the list names it or not, so that a front end always owns a shard. In a
    /// division are those that say they serve its generation, so that each queue has consumers among those
    /// that know of it.
    pub fn of(divisions: &Divisions, own: Member, list: impl IntoIterator<Item = FrontEnd>) -> FrontEnds {
        let list: Vec<FrontEnd> = list.into_iter().filter(|f| f.member.key != own.key).collect();
        let assign = |d: &Division| {
            let serves = |f: &&FrontEnd| (f.serves.0..=f.serves.1).contains(&d.generation());
            let others = list.iter().filter(serves).map(|f| f.member.alike());
            let mut all = Assignment::with_min_load(d, MIN_FRONT_END_LOAD);
            // Over the bounds they aren't counted.
            all.fill([own.alike()].into_iter().chain(others));
            (d.generation(), all)
        };
        let served: Vec<_> = divisions.served().map(assign).collect();
        let mut all = FrontEnds { own_key: own.key, served, shards: Vec::new() };
        all.renew();
        all
    }

    fn renew(&mut self) {
        let own = |(_, a): &(u32, Assignment)| {
            let mut shards = a.shards(self.own_key);
            shards.sort_unstable();
            shards
        };
        self.shards = self.served.iter().map(own).collect();
    }

    /// One front end came, changed or went. Gives whether own shards changed. Over the bounds it isn't
    /// counted.
    pub fn changed(&mut self, key: Key, now: Option<FrontEnd>) -> bool {
        self.apply(&[(key, now)])
    }

    /// The same of many at once.
    pub fn apply(&mut self, changes: &[(Key, Option<FrontEnd>)]) -> bool {
        for (generation, assignment) in &mut self.served {
            let serves = |f: &FrontEnd| (f.serves.0..=f.serves.1).contains(generation);
            let others = changes.iter().filter(|c| c.0 != self.own_key);
            let changes = others.map(|(key, now)| (*key, now.filter(serves).map(|f| f.member.alike())));
            // A full table goes on with those it has; the list's reader counts what it leaves out.
            assignment.apply(&changes.collect());
        }
        let before = self.shards.clone();
        self.renew();
        before != self.shards
    }

    /// Front ends by division served: generation and shards.
    pub fn served(&self) -> impl Iterator<Item = (u32, &Assignment)> {
        self.served.iter().map(|s| (s.0, &s.1))
    }

    /// Own shards in a division served, in ascending order; none in another.
    pub fn own_key(&self, generation: u32) -> &[Shard] {
        let at = self.served.iter().position(|s| s.0 == generation);
        at.map_or(&[], |at| &self.shards[at])
    }

    /// Shards whose queues are consumed, of all divisions served.
    pub fn queues(&self) -> Vec<Shard> {
        let mut all = self.shards.concat();
        all.sort_unstable();
        all.dedup();
        all
    }

    /// What this front end has to do with a function; `homes` are those of the divisions served, in their order.
    pub fn place(&self, homes: &[&HomeShards], function: Key, call: u64) -> FunctionPlacement {
        let served = homes.iter().zip(&self.shards).map(|(homes, own)| (*homes, &own[..]));
        place(served, function, call)
    }
}

/// What a front end has to do with a function, by the homes and its own shards, in ascending order, of each division that it
/// serves, the newest last.
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

/// The shards of a front end that has no list of front ends, from its number among the told many; in
/// ascending order. Each shard is served by two of these numbers at least; nobody makes up for one that died,
/// and zones are not looked at.
pub fn ranked(division: &Division, rank: u32, of: u32) -> Result<Vec<Shard>, DivisionError> {
    if rank >= of {
        return Err(DivisionError::NoneOwned { rank, of });
    }
    let shards = u64::from(division.shards());
    let each = (2 * shards).div_ceil(u64::from(of)).min(shards);
    let mut own: Vec<Shard> = (0..each).map(|n| ((u64::from(rank) * each + n) % shards) as Shard).collect();
    own.sort_unstable();
    Ok(own)
}

/// Front ends of each shard at most, where all own by their numbers.
pub fn max_ranked(division: &Division, of: u32) -> u32 {
    let (shards, of) = (u64::from(division.shards()), u64::from(of.max(1)));
    let each = (2 * shards).div_ceil(of).min(shards);
    (of * each).div_ceil(shards).min(of) as u32
}
