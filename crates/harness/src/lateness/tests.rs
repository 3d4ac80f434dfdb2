//! Tests of `lateness`.

use super::*;

#[test]
fn only_naps_above_the_threshold_are_noted_and_the_nap_itself_is_no_gap() {
    let mut gaps = Vec::new();
    note(&mut gaps, 0, 1_200);
    note(&mut gaps, 5_000, 5_000 + 1_000 + NOTED);
    assert!(gaps.is_empty());
    note(&mut gaps, 50_000, 50_000 + 1_000 + NOTED + 1);
    assert_eq!(gaps, [(51_000, 51_000 + NOTED + 1)]);
    (0..GAPS_MOST as Micros).for_each(|n| note(&mut gaps, n * 100_000, n * 100_000 + 90_000));
    assert_eq!(gaps.len(), GAPS_MOST);
}

#[test]
fn a_watch_that_is_finished_or_dropped_ends() {
    let recorder = Recorder::default();
    let seen = Lateness::start(recorder.clone());
    std::thread::sleep(Duration::from_millis(5));
    assert!(seen.finish().iter().all(|gap| 0 <= gap.0 && gap.0 < gap.1 && gap.1 <= recorder.now()));
    drop(Lateness::start(recorder));
}
