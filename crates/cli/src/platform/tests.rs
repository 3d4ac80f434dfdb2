//! Tests of `platform`.

use super::*;

#[test]
fn lines_beyond_the_maximum_per_second_are_dropped() {
    let log = SparseLog {
        started_at: Instant::now(),
        written: AtomicU64::new(0),
        max_per_second: MAX_LINES_PER_SECOND,
    };
    let written = (0..10_000).filter(|_| !log.exceeds_limit()).count() as u64;
    let seconds = log.started_at.elapsed().as_secs() + 1;
    assert!((MAX_LINES_PER_SECOND..=MAX_LINES_PER_SECOND * seconds).contains(&written), "{written}");
    assert!(Line(false).write(b"left out").is_ok_and(|n| n == 8));
}
