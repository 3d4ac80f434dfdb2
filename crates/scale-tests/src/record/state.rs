//! The cluster state's state in bytes, and how much of it there may be: counted on the cluster state itself, without sockets.

use super::fault::Outcome;
use super::names::{function_name, member_name};
use stagehoist_cluster_state::{
    ClusterState, Command, CommandOutcome, Member, Retirement, RetirementMode, SessionResponse,
};
use std::collections::BTreeSet;

/// A record grown to some size.
#[derive(Clone, Debug, Default)]
pub struct Grown {
    pub record: ClusterState,
    version: u64,
    /// Commands that were refused.
    pub refused: usize,
}

/// Bytes of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bytes {
    /// All of it, as each applied entry writes it and a snapshot holds it.
    pub whole: usize,
    /// The message that each member is sent whenever the view changed.
    pub view: usize,
}

pub fn retirement(n: usize, mode: RetirementMode) -> Retirement {
    Retirement {
        function: function_name(n),
        generation: 1,
        successor: None,
        reason: "replaced by its next version".into(),
        mode,
        requested_ms: 1_796_200_000_000,
    }
}

impl Grown {
    /// Applies one change.
    pub fn apply(&mut self, command: &Command) -> CommandOutcome {
        self.version += 1;
        let done = self.record.apply(self.version, command);
        self.refused += usize::from(matches!(done, CommandOutcome::Rejected { .. }));
        done
    }

    /// So many members join; those from `first` on.
    pub fn join(&mut self, first: usize, count: usize) {
        for n in first..first + count {
            self.apply(&Command::Join { name: member_name(n), at_least: 0 });
        }
    }

    /// So many retirements, in force at all but the named members.
    pub fn retire(&mut self, first: usize, count: usize, but_for: &BTreeSet<Member>) {
        for n in first..first + count {
            self.apply(&Command::Retire(retirement(n, RetirementMode::Available)));
            let (function, generation) = (function_name(n), 1);
            self.apply(&Command::InForce { function, generation, but_for: but_for.clone() });
        }
    }

    /// # Errors
    /// It can't be encoded.
    pub fn bytes(&self) -> Outcome<Bytes> {
        let whole = postcard::to_stdvec(&self.record)?.len();
        let view = postcard::to_stdvec(&SessionResponse::View(self.record.view.clone()))?.len();
        Ok(Bytes { whole, view })
    }
}

/// How many members, retirements and runs replaced at once the cluster state takes of so many offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Taken {
    pub members: usize,
    pub retirements: usize,
    pub replaced: usize,
}

pub fn taken(members: usize, retirements: usize, replaced: usize) -> Taken {
    let mut joined = Grown::default();
    joined.join(0, members);
    let mut retired = Grown::default();
    for n in 0..retirements {
        retired.apply(&Command::Retire(retirement(n, RetirementMode::Available)));
    }
    let mut again = Grown::default();
    again.join(0, replaced);
    let before = again.refused;
    again.join(0, replaced);
    Taken {
        members: members - joined.refused,
        retirements: retirements - retired.refused,
        replaced: replaced - (again.refused - before),
    }
}
