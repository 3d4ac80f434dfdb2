//! Decisions of the leader, and bounds of the cluster state.

use stagehoist_cluster_state::bounds::{MAX_MEMBERS, MAX_NAME_LENGTH, MAX_REPLACED, MAX_TOMBSTONES};
use stagehoist_cluster_state::{
    ClusterState, Command, CommandOutcome, Leader, LeaseTerms, Member, Micros, Report, Retirement,
    RetirementMode, TombstoneState,
};

const TERMS: LeaseTerms =
    LeaseTerms { lease: 1000, drift_ppm: 10_000, quorum: 500, tombstone_retention: 5000 };

struct Fleet {
    state: ClusterState,
    version: u64,
    leader: Leader,
}

impl Fleet {
    /// Creates a fleet whose leader no longer waits for leases of earlier leaders.
    fn new() -> Fleet {
        Fleet {
            state: ClusterState::default(),
            version: 0,
            leader: Leader::new(TERMS, -TERMS.takeover_wait()),
        }
    }

    fn apply(&mut self, command: Command) -> CommandOutcome {
        self.version += 1;
        self.state.apply(self.version, &command)
    }

    fn join(&mut self, name: &str) -> Member {
        match self.apply(Command::Join { name: name.into(), at_least: 0 }) {
            CommandOutcome::Joined(member) => member,
            outcome => panic!("{outcome:?}"),
        }
    }

    fn retire(&mut self, generation: u32, mode: RetirementMode) -> CommandOutcome {
        self.apply(retire("f", generation, mode))
    }

    fn report(&mut self, member: &Member, confirmed: u64, now: Micros) -> bool {
        let report = Report { number: 1, confirmed, ..Report::default() };
        self.leader.report(&self.state, member, &report, now, now).is_some()
    }

    /// Applies the due commands and returns them.
    fn due(&mut self, now: Micros) -> Vec<Command> {
        let due = self.leader.due_commands(&self.state, now);
        due.iter().for_each(|command| drop(self.apply(command.clone())));
        due
    }

    /// Returns the members that the retirement excepts; `None` if it is not in force.
    fn excepted(&self) -> Option<Vec<&str>> {
        match &self.state.view.tombstones["f"].state {
            TombstoneState::Proposed => None,
            TombstoneState::InForce { but_for } => Some(but_for.iter().map(|m| m.name.as_str()).collect()),
        }
    }
}

fn retire(function: &str, generation: u32, mode: RetirementMode) -> Command {
    let (successor, reason) = (None, String::new());
    Command::Retire(Retirement {
        function: function.into(),
        generation,
        successor,
        reason,
        mode,
        requested_ms: 0,
    })
}

#[test]
fn strict_retirement_waits_for_a_confirmation_or_the_end_of_the_lease() {
    let mut fleet = Fleet::new();
    let (a, b) = (fleet.join("a"), fleet.join("b"));
    assert!(fleet.report(&a, 0, 0) && fleet.report(&b, 0, 100));
    fleet.retire(1, RetirementMode::Strict);
    assert!(fleet.report(&a, fleet.version, 200));
    assert_eq!((fleet.due(200).len(), fleet.excepted()), (0, None));
    // Nothing is due before the lease of b has expired; then the retirement is due at once.
    let next = fleet.leader.next_due(&fleet.state, 200).unwrap();
    assert_eq!(next, 100 + TERMS.grantor_span());
    fleet.due(next - 1);
    assert_eq!(fleet.excepted(), None);
    fleet.due(next);
    assert_eq!(fleet.excepted(), Some(vec![]));
}

#[test]
fn available_retirement_excepts_members_that_did_not_confirm_within_a_lease_and_then_only_fewer() {
    let mut fleet = Fleet::new();
    let runs = ["a", "b", "c"].map(|name| fleet.join(name));
    runs.iter().for_each(|run| assert!(fleet.report(run, 0, 0)));
    fleet.retire(1, RetirementMode::Available);
    let proposed = fleet.version;
    fleet.due(0);
    // A member that keeps reporting without confirming delays the retirement for one lease and no longer.
    (1..10).for_each(|k| assert!(fleet.report(&runs[0], 0, k * 100)));
    fleet.report(&runs[1], proposed, 900);
    fleet.due(TERMS.grantor_span() - 1);
    assert_eq!(fleet.excepted(), None);
    fleet.due(TERMS.grantor_span());
    assert_eq!(fleet.excepted(), Some(vec!["a", "c"]));
    // A later leader knows of no confirmations, but excepts no further members, not even one that joins.
    fleet.leader = Leader::new(TERMS, 2000);
    fleet.join("d");
    fleet.due(2000);
    assert_eq!(fleet.excepted(), Some(vec!["a", "c"]));
    fleet.report(&runs[0], proposed, 3000);
    fleet.due(3000);
    assert_eq!(fleet.excepted(), Some(vec!["c"]));
    fleet.apply(Command::Leave(runs[2].clone()));
    fleet.due(3001);
    assert_eq!(fleet.excepted(), Some(vec![]));
}

#[test]
fn a_tombstone_is_forgotten_only_when_confirmed_by_all_for_the_retention_time() {
    let mut fleet = Fleet::new();
    let a = fleet.join("a");
    fleet.retire(1, RetirementMode::Strict);
    fleet.due(0);
    assert_eq!(fleet.excepted(), Some(vec![]));
    assert_eq!(fleet.due(100 * TERMS.tombstone_retention), []);
    let began = 100 * TERMS.tombstone_retention;
    fleet.report(&a, fleet.version, began);
    fleet.due(began);
    assert_eq!(fleet.due(began + TERMS.tombstone_retention - 1), []);
    assert_eq!(fleet.leader.next_due(&fleet.state, began), Some(began + TERMS.tombstone_retention));
    let forget = Command::Forget { function: "f".into(), generation: 1 };
    assert_eq!(fleet.due(began + TERMS.tombstone_retention), [forget]);
    assert!(fleet.state.view.tombstones.is_empty());
}

#[test]
fn a_higher_generation_starts_a_new_retirement_and_a_lower_one_changes_nothing() {
    let mut fleet = Fleet::new();
    let a = fleet.join("a");
    fleet.retire(1, RetirementMode::Strict);
    fleet.due(0);
    assert!(fleet.report(&a, 0, 1));
    assert_eq!(fleet.retire(2, RetirementMode::Strict), CommandOutcome::Changed);
    fleet.due(1);
    assert_eq!(fleet.excepted(), None);
    assert_eq!(fleet.retire(1, RetirementMode::Strict), CommandOutcome::Unchanged);
}

#[test]
fn a_replaced_run_leaves_when_its_lease_has_expired_under_any_leader() {
    let mut fleet = Fleet::new();
    let old = fleet.join("a");
    fleet.report(&old, 0, 0);
    let new = fleet.join("a");
    assert!(!fleet.report(&old, 0, 10) && fleet.report(&new, 0, 10));
    fleet.leader = Leader::new(TERMS, 20);
    assert_eq!(fleet.due(19 + TERMS.takeover_wait()), []);
    assert_eq!(fleet.due(20 + TERMS.takeover_wait()), [Command::Leave(old)]);
    assert!(fleet.state.replaced.is_empty() && fleet.state.is_present(&new));
}

#[test]
fn no_lease_without_a_majority_and_no_trust_in_confirmations_of_future_views() {
    let mut fleet = Fleet::new();
    let a = fleet.join("a");
    let report = Report { number: 1, confirmed: u64::MAX, ..Report::default() };
    let late = TERMS.quorum + 1;
    assert!(fleet.leader.report(&fleet.state, &a, &report, late, 0).is_none());
    assert!(fleet.leader.report(&fleet.state, &a, &report, late, 1).is_some());
    fleet.retire(1, RetirementMode::Strict);
    fleet.due(late);
    assert_eq!(fleet.excepted(), None);
}

#[test]
fn a_returned_command_is_not_returned_again_before_the_retry_interval() {
    let mut fleet = Fleet::new();
    fleet.retire(1, RetirementMode::Strict);
    assert_eq!(fleet.leader.due_commands(&fleet.state, 0).len(), 1);
    fleet.join("a");
    assert_eq!(fleet.leader.due_commands(&fleet.state, 1).len(), 0);
    let retry_at = fleet.leader.next_due(&fleet.state, 1).unwrap();
    assert_eq!((retry_at, fleet.leader.due_commands(&fleet.state, retry_at).len()), (TERMS.lease / 4, 1));
}

#[test]
fn commands_out_of_bounds_are_rejected_with_a_reason() {
    let mut fleet = Fleet::new();
    let is_rejected = |outcome: CommandOutcome| matches!(outcome, CommandOutcome::Rejected { reason: why } if !why.is_empty());
    let join = |name: String| Command::Join { name, at_least: 0 };
    assert!(
        is_rejected(fleet.apply(join("x".repeat(MAX_NAME_LENGTH + 1))))
            && is_rejected(fleet.apply(join(String::new())))
    );
    assert!(is_rejected(fleet.apply(Command::Join { name: "a".into(), at_least: u64::MAX })));
    assert!(is_rejected(fleet.retire(0, RetirementMode::Strict)));
    (0..=MAX_REPLACED).for_each(|_| drop(fleet.join("a")));
    assert!(is_rejected(fleet.apply(join("a".into()))));
    for k in 0..MAX_TOMBSTONES {
        assert_eq!(fleet.apply(retire(&format!("f{k}"), 1, RetirementMode::Strict)), CommandOutcome::Changed);
    }
    assert!(is_rejected(fleet.apply(retire("g", 1, RetirementMode::Strict))));
    assert_eq!(fleet.apply(retire("f0", 2, RetirementMode::Strict)), CommandOutcome::Changed);
}

#[test]
fn names_that_join_and_leave_do_not_grow_the_state_and_no_incarnation_is_reused() {
    let mut fleet = Fleet::new();
    let retained = fleet.join("kept");
    fleet.retire(1, RetirementMode::Available);
    let but_for = [retained.clone()].into();
    fleet.apply(Command::InForce { function: "f".into(), generation: 1, but_for });
    fleet.apply(Command::Leave(retained));
    for k in 0..MAX_MEMBERS + 10 {
        let run = fleet.join(&format!("m{k}"));
        fleet.apply(Command::Leave(run));
    }
    assert_eq!(fleet.state.members.len(), MAX_MEMBERS);
    assert!(fleet.state.members.contains_key("kept") && !fleet.state.members.contains_key("m0"));
    assert_eq!(fleet.join("m0").incarnation, 2);
}
