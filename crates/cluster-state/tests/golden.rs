//! Golden test of the postcard encoding of every message between a front end and the leader, every command and the full
//! replicated state, as the build before the renaming of the packages wrote them. postcard identifies fields and variants
//! by position, so reordering them fails this test. `golden/messages.txt` must not change with the code.

use serde::{de::DeserializeOwned, Serialize};
use stagehoist_cluster_state::*;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{Debug, Write};

#[derive(Default)]
struct Golden {
    text: String,
}

impl Golden {
    /// Appends a line with the encoded value, and checks that the bytes decode to the same value.
    fn add<T: Serialize + DeserializeOwned + PartialEq + Debug>(&mut self, name: &str, value: &T) {
        let bytes = postcard::to_stdvec(value).unwrap();
        assert_eq!(&postcard::from_bytes::<T>(&bytes).unwrap(), value);
        let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        writeln!(self.text, "{name} {hex}").unwrap();
    }
}

fn member(incarnation: u64) -> Member {
    Member { name: format!("a/{incarnation}"), incarnation }
}

fn retirement(mode: RetirementMode) -> Retirement {
    Retirement {
        function: "free-times".into(),
        generation: 3,
        successor: Some("later".into()),
        reason: "replaced".into(),
        mode,
        requested_ms: 1_700_000_000_123,
    }
}

fn pools() -> Vec<Pool> {
    let reservations = vec![Reservation { tenant: "clinics".into(), permits: 40 }];
    let fixed = Pool {
        name: "calls".into(),
        functions: vec!["f*".into()],
        size: PoolSize::Permits(100),
        reservations,
    };
    let by_workers = Pool {
        name: "rest".into(),
        functions: vec!["g".into()],
        size: PoolSize::ByWorkers,
        reservations: vec![],
    };
    vec![fixed, by_workers]
}

fn view() -> ClusterView {
    let proposed = Tombstone {
        retirement: retirement(RetirementMode::Strict),
        state: TombstoneState::Proposed,
        proposed: 7,
        in_force: None,
    };
    let in_force = Tombstone {
        retirement: retirement(RetirementMode::Available),
        state: TombstoneState::InForce { but_for: BTreeSet::from([member(4)]) },
        proposed: 8,
        in_force: Some(9),
    };
    let tombstones = BTreeMap::from([("free-times".into(), proposed), ("later".into(), in_force)]);
    ClusterView { version: 12, tombstones, edition: 2, pools: pools() }
}

fn keys() -> Vec<MessageKey> {
    vec![MessageKey { reply_to: "replies".into(), correlation: "c0-17".into(), message: "m-1".into() }]
}

fn known() -> Vec<MessageKnowledge> {
    vec![MessageKnowledge::None, MessageKnowledge::MayHaveRun, MessageKnowledge::NotKnown]
}

fn requests(golden: &mut Golden) {
    let (name, member) = ("a/1".to_string(), Some(member(1)));
    let hello =
        SessionRequest::Hello { protocol: PROTOCOL, name, member, at_least: 5, edition: 2, pools: pools() };
    golden.add("request-hello", &hello);
    let demand =
        Demand { pool: "calls".into(), tenant: "clinics".into(), in_use: 3, waiting: 2, applied: 700 };
    let report = Report { number: 300, confirmed: 12, ready_capacity: 64, demand: vec![demand] };
    golden.add("request-report", &SessionRequest::Report(report));
    golden.add("request-retire", &SessionRequest::Retire(retirement(RetirementMode::Strict)));
    golden.add("request-leave", &SessionRequest::Leave);
    golden.add(
        "request-ask",
        &SessionRequest::Inquire { number: 1, round: 2, to: vec!["b/0".into()], keys: keys() },
    );
    golden.add("request-answer", &SessionRequest::Answer { to: self::member(2), number: 1, known: known() });
}

fn responses(golden: &mut Golden) {
    let terms = LeaseTerms {
        lease: 2_000_000,
        drift_ppm: 10_000,
        quorum: 250_000,
        tombstone_retention: 3_600_000_000,
    };
    golden.add("response-elsewhere", &SessionResponse::Elsewhere { leader: Some(3) });
    golden.add("response-welcome", &SessionResponse::Welcome { member: member(1), terms, before: Some(6) });
    golden.add("response-view", &SessionResponse::View(view()));
    let permits = vec![PermitGrant { pool: "calls".into(), tenant: "clinics".into(), permits: 9 }];
    golden.add(
        "response-grant",
        &SessionResponse::Grant(Grant { number: 300, version: 12, lease: 2_000_000, permits }),
    );
    golden.add("response-refused", &SessionResponse::Rejected { reason: "full".into() });
    let not_retired =
        SessionResponse::RetirementRejected { function: "f".into(), generation: 2, reason: "older".into() };
    golden.add("response-not-retired", &not_retired);
    golden.add(
        "response-asked",
        &SessionResponse::InquiryMembers { number: 1, round: 2, members: vec!["b/0".into()] },
    );
    golden.add("response-ask", &SessionResponse::Inquire { from: member(2), number: 1, keys: keys() });
    golden.add("response-answer", &SessionResponse::Answer { from: "b/0".into(), number: 1, known: known() });
}

fn commands(golden: &mut Golden) {
    golden.add("command-join", &Command::Join { name: "a/1".into(), at_least: 5 });
    golden.add("command-leave", &Command::Leave(member(1)));
    golden.add("command-retire", &Command::Retire(retirement(RetirementMode::Available)));
    let but_for = BTreeSet::from([member(4)]);
    golden.add("command-in-force", &Command::InForce { function: "f".into(), generation: 3, but_for });
    golden.add("command-forget", &Command::Forget { function: "f".into(), generation: 3 });
    golden.add("command-pools", &Command::Pools { edition: 2, pools: pools() });
    golden.add("outcome-joined", &CommandOutcome::Joined(member(1)));
    golden.add("outcome-changed", &CommandOutcome::Changed);
    golden.add("outcome-unchanged", &CommandOutcome::Unchanged);
    golden.add("outcome-refused", &CommandOutcome::Rejected { reason: "full".into() });
}

#[test]
fn messages_commands_and_state_encode_to_the_golden_bytes() {
    let mut golden = Golden::default();
    requests(&mut golden);
    responses(&mut golden);
    commands(&mut golden);
    let mut state = ClusterState::default();
    for (version, name) in [(1, "a/0"), (2, "b/0"), (3, "a/0"), (4, "c/0")] {
        state.apply(version, &Command::Join { name: name.into(), at_least: 0 });
    }
    state.apply(5, &Command::Leave(Member { name: "c/0".into(), incarnation: 1 }));
    state.apply(6, &Command::Retire(retirement(RetirementMode::Strict)));
    state.apply(7, &Command::Pools { edition: 2, pools: pools() });
    golden.add("state", &state);
    golden.add("state-empty", &ClusterState::default());
    assert!(
        golden.text == include_str!("golden/messages.txt"),
        "the encoded bytes changed; they are now\n{}",
        golden.text
    );
}
