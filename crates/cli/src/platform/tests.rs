//! Tests of `platform`.

use super::*;

#[test]
fn lines_beyond_those_of_a_second_are_left_out() {
    let log = SparseLog { born: Instant::now(), written: AtomicU64::new(0), most: LINES };
    let written = (0..10_000).filter(|_| !log.is_over()).count() as u64;
    let seconds = log.born.elapsed().as_secs() + 1;
    assert!((LINES..=LINES * seconds).contains(&written), "{written}");
    assert!(Line(false).write(b"left out").is_ok_and(|n| n == 8));
}
