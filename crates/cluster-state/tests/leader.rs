//! What a leader decides, and what the cluster state takes.

use stagehoist_cluster_state::bounds::{MAX_MEMBERS, MAX_NAME_LENGTH, MAX_REPLACED, MAX_TOMBSTONES};
use stagehoist_cluster_state::{
    ClusterState, Command, CommandOutcome, Leader, LeaseTerms, Member, Micros, Report, Retirement,
    RetirementMode, TombstoneState,
};

const TERMS: LeaseTerms =
    LeaseTerms { lease: 1000, drift_ppm: 10_000, quorum: 500, tombstone_retention: 5000 };

struct Fleet {
    record: ClusterState,
    version: u64,
    lead: Leader,
}

impl Fleet {
    /// A leader of long standing.
    fn new() -> Fleet {
        Fleet {
            record: ClusterState::default(),
            version: 0,
            lead: Leader::new(TERMS, -TERMS.takeover_wait()),
        }
    }

    fn apply(&mut self, command: Command) -> CommandOutcome {
        self.version += 1;
        self.record.apply(self.version, &command)
    }

    fn join(&mut self, name: &str) -> Member {
        match self.apply(Command::Join { name: name.into(), at_least: 0 }) {
            CommandOutcome::Joined(member) => member,
            done => panic!("{done:?}"),
        }
    }

    fn retire(&mut self, generation: u32, mode: RetirementMode) -> CommandOutcome {
        self.apply(retire("f", generation, mode))
    }

    fn report(&mut self, member: &Member, confirmed: u64, now: Micros) -> bool {
        let report = Report { number: 1, confirmed, ..Report::default() };
        self.lead.report(&self.record, member, &report, now, now).is_some()
    }

    /// Applies what is due; what it was.
    fn due(&mut self, now: Micros) -> Vec<Command> {
        let due = self.lead.due_commands(&self.record, now);
        due.iter().for_each(|command| drop(self.apply(command.clone())));
        due
    }

    /// Whom the retirement excepts; None: it is not in force.
    fn excepted(&self) -> Option<Vec<&str>> {
        match &self.record.view.tombstones["f"].state {
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
fn strict_waits_for_a_confirmation_or_the_end_of_the_promise() {
    let mut fleet = Fleet::new();
    let (a, b) = (fleet.join("a"), fleet.join("b"));
    assert!(fleet.report(&a, 0, 0) && fleet.report(&b, 0, 100));
    fleet.retire(1, RetirementMode::Strict);
    assert!(fleet.report(&a, fleet.version, 200));
    assert_eq!((fleet.due(200).len(), fleet.excepted()), (0, None));
    // Nothing is due before the promise to b has run out, then at once.
    let next = fleet.lead.next_due(&fleet.record, 200).unwrap();
    assert_eq!(next, 100 + TERMS.grantor_span());
    fleet.due(next - 1);
    assert_eq!(fleet.excepted(), None);
    fleet.due(next);
    assert_eq!(fleet.excepted(), Some(vec![]));
}

#[test]
fn available_names_who_did_not_confirm_within_a_lease_and_only_fewer_from_then_on() {
    let mut fleet = Fleet::new();
    let runs = ["a", "b", "c"].map(|name| fleet.join(name));
    runs.iter().for_each(|run| assert!(fleet.report(run, 0, 0)));
    fleet.retire(1, RetirementMode::Available);
    let proposed = fleet.version;
    fleet.due(0);
    // One that goes on reporting without confirming holds it up for a lease and no longer.
    (1..10).for_each(|k| assert!(fleet.report(&runs[0], 0, k * 100)));
    fleet.report(&runs[1], proposed, 900);
    fleet.due(TERMS.grantor_span() - 1);
    assert_eq!(fleet.excepted(), None);
    fleet.due(TERMS.grantor_span());
    assert_eq!(fleet.excepted(), Some(vec!["a", "c"]));
    // A later leader knows of no confirmation; nobody is named anew, nor is one that joins.
    fleet.lead = Leader::new(TERMS, 2000);
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
fn a_tombstone_is_forgotten_only_once_all_confirmed_for_long_enough() {
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
    assert_eq!(fleet.lead.next_due(&fleet.record, began), Some(began + TERMS.tombstone_retention));
    let forget = Command::Forget { function: "f".into(), generation: 1 };
    assert_eq!(fleet.due(began + TERMS.tombstone_retention), [forget]);
    assert!(fleet.record.view.tombstones.is_empty());
}

#[test]
fn a_higher_generation_begins_anew_and_a_lower_one_changes_nothing() {
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
fn a_run_that_was_replaced_leaves_when_its_promise_has_run_out_under_any_leader() {
    let mut fleet = Fleet::new();
    let old = fleet.join("a");
    fleet.report(&old, 0, 0);
    let new = fleet.join("a");
    assert!(!fleet.report(&old, 0, 10) && fleet.report(&new, 0, 10));
    fleet.lead = Leader::new(TERMS, 20);
    assert_eq!(fleet.due(19 + TERMS.takeover_wait()), []);
    assert_eq!(fleet.due(20 + TERMS.takeover_wait()), [Command::Leave(old)]);
    assert!(fleet.record.replaced.is_empty() && fleet.record.is_present(&new));
}

#[test]
fn no_promise_without_a_majority_and_no_trust_in_what_nobody_can_have_seen() {
    let mut fleet = Fleet::new();
    let a = fleet.join("a");
    let report = Report { number: 1, confirmed: u64::MAX, ..Report::default() };
    let late = TERMS.quorum + 1;
    assert!(fleet.lead.report(&fleet.record, &a, &report, late, 0).is_none());
    assert!(fleet.lead.report(&fleet.record, &a, &report, late, 1).is_some());
    fleet.retire(1, RetirementMode::Strict);
    fleet.due(late);
    assert_eq!(fleet.excepted(), None);
}

#[test]
fn a_command_handed_out_is_not_handed_out_again_at_once() {
    let mut fleet = Fleet::new();
    fleet.retire(1, RetirementMode::Strict);
    assert_eq!(fleet.lead.due_commands(&fleet.record, 0).len(), 1);
    fleet.join("a");
    assert_eq!(fleet.lead.due_commands(&fleet.record, 1).len(), 0);
    let again = fleet.lead.next_due(&fleet.record, 1).unwrap();
    assert_eq!((again, fleet.lead.due_commands(&fleet.record, again).len()), (TERMS.lease / 4, 1));
}

#[test]
fn what_is_out_of_bounds_is_refused_with_the_reason() {
    let mut fleet = Fleet::new();
    let refused =
        |done: CommandOutcome| matches!(done, CommandOutcome::Rejected { reason: why } if !why.is_empty());
    let join = |name: String| Command::Join { name, at_least: 0 };
    assert!(
        refused(fleet.apply(join("x".repeat(MAX_NAME_LENGTH + 1))))
            && refused(fleet.apply(join(String::new())))
    );
    assert!(refused(fleet.apply(Command::Join { name: "a".into(), at_least: u64::MAX })));
    assert!(refused(fleet.retire(0, RetirementMode::Strict)));
    (0..=MAX_REPLACED).for_each(|_| drop(fleet.join("a")));
    assert!(refused(fleet.apply(join("a".into()))));
    for k in 0..MAX_TOMBSTONES {
        assert_eq!(fleet.apply(retire(&format!("f{k}"), 1, RetirementMode::Strict)), CommandOutcome::Changed);
    }
    assert!(refused(fleet.apply(retire("g", 1, RetirementMode::Strict))));
    assert_eq!(fleet.apply(retire("f0", 2, RetirementMode::Strict)), CommandOutcome::Changed);
}

#[test]
fn names_that_come_and_go_do_not_grow_the_record_and_none_is_taken_for_another() {
    let mut fleet = Fleet::new();
    let kept = fleet.join("kept");
    fleet.retire(1, RetirementMode::Available);
    let but_for = [kept.clone()].into();
    fleet.apply(Command::InForce { function: "f".into(), generation: 1, but_for });
    fleet.apply(Command::Leave(kept));
    for k in 0..MAX_MEMBERS + 10 {
        let run = fleet.join(&format!("m{k}"));
        fleet.apply(Command::Leave(run));
    }
    assert_eq!(fleet.record.members.len(), MAX_MEMBERS);
    assert!(fleet.record.members.contains_key("kept") && !fleet.record.members.contains_key("m0"));
    assert_eq!(fleet.join("m0").incarnation, 2);
}
