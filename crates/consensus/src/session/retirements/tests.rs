use super::{RetirementQueue, RETRY_PAUSES};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use stagehoist_cluster_state::{ClusterState, ClusterView, Command, Retirement, RetirementMode};
use std::time::Duration;
use tokio::time::Instant;

fn retirement(function: &str) -> Retirement {
    let (function, reason) = (function.to_string(), "test".to_string());
    Retirement {
        function,
        generation: 1,
        successor: None,
        reason,
        mode: RetirementMode::Available,
        requested_ms: 0,
    }
}

fn view(functions: &[&str]) -> ClusterView {
    let mut state = ClusterState::default();
    for (at, function) in functions.iter().enumerate() {
        state.apply(at as u64 + 1, &Command::Retire(retirement(function)));
    }
    state.view
}

#[test]
fn pauses_grow_to_a_maximum_are_jittered_and_reset_when_there_is_capacity() {
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let mut retiring = RetirementQueue::new();
    for function in ["a", "b", "c"] {
        retiring.proposed(retirement(function));
    }
    let (mut pause, mut proposed, mut drawn) = (RETRY_PAUSES.0, Vec::new(), Vec::new());
    for _ in 0..60 {
        let before = Instant::now();
        proposed.push(retiring.next_due(&mut random).unwrap().function);
        let due = retiring.due().unwrap();
        pause = (pause * 2).min(Duration::from_secs(5));
        assert!(due >= before + pause / 2 && due <= Instant::now() + pause, "{pause:?}");
        drawn.push((due - before).as_millis() / 250);
    }
    assert_eq!(proposed[..4], ["a", "b", "c", "a"], "proposed in rotation");
    drawn.sort_unstable();
    drawn.dedup();
    assert!(drawn.len() > 5, "spread: {drawn:?}");
    // One retirement is accepted, so the remaining ones are retried soon.
    retiring.on_view(&view(&["a", "x"]), &mut random);
    assert!(retiring.due().unwrap() <= Instant::now() + RETRY_PAUSES.0);
    retiring.next_due(&mut random);
    retiring.next_due(&mut random);
    retiring.next_due(&mut random);
    retiring.next_due(&mut random);
    // A tombstone is forgotten, so there may be capacity.
    retiring.on_view(&view(&["x"]), &mut random);
    assert!(retiring.due().unwrap() <= Instant::now() + RETRY_PAUSES.0);
    // One is rejected permanently and the view contains the other, so none is left to propose.
    retiring.on_rejected("b", 1);
    retiring.on_view(&view(&["c"]), &mut random);
    assert!(retiring.due().is_none() && retiring.next_due(&mut random).is_none());
}
