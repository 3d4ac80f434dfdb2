use super::*;

const S: Micros = 1_000_000;
const LATE: Micros = MAX_LATENESS + 1;

/// Records a late frame each second, and returns the seconds at which a measurement began.
fn measured_at(monitor: &mut LatenessMonitor, seconds: std::ops::Range<i64>) -> Vec<i64> {
    let mut measured_at = Vec::new();
    for second in seconds {
        monitor.record(LATE);
        if monitor.begin_measurement(second * S) {
            measured_at.push(second);
            monitor.on_connected();
        }
    }
    measured_at
}

/// Guards against a new connection for each frame of a bus that remains late.
#[test]
fn measurements_of_a_bus_that_remains_late_are_paused_for_longer_each_time() {
    let mut monitor = LatenessMonitor::new(0);
    assert_eq!(measured_at(&mut monitor, 1..200), [2, 6, 14, 30, 62, 126, 190]);
}

#[test]
fn a_frame_in_time_resets_the_pause() {
    let mut monitor = LatenessMonitor::new(0);
    measured_at(&mut monitor, 1..100);
    monitor.record(0);
    assert!(!monitor.is_late());
    assert_eq!(measured_at(&mut monitor, 200..220), [201, 205, 213]);
}

#[test]
fn a_single_late_frame_is_not_measured() {
    let mut monitor = LatenessMonitor::new(0);
    for second in 1..10 {
        monitor.record(if second % 2 == 0 { LATE } else { MAX_LATENESS });
        assert_eq!((monitor.is_late(), monitor.begin_measurement(second * S)), (second % 2 == 0, false));
    }
}
