use super::super::{judge, RuleSettings};
use super::*;

fn asked(at: Instant, id: &str, left: Option<u64>) -> SentRequest {
    SentRequest {
        at,
        id: id.into(),
        tag: id.into(),
        allow: Duration::from_millis(1000),
        is_unsafe: false,
        body: Vec::new(),
        left: left.map(|ms| at + Duration::from_millis(ms)),
    }
}

fn run(at: Instant, ms: u64, id: &str) -> ObservedRequest {
    let what = ExecutorRequest::Run {
        id: id.into(),
        class: "".into(),
        key: "".into(),
        body: Vec::new(),
        wait: Duration::ZERO,
    };
    ObservedRequest { front_end: 0, at: at + Duration::from_millis(ms), what }
}

/// Ten requests that were left after 50 ms each; their attempts begin at these times, by turns at two
/// executors.
fn capture(t: Instant, begins: [u64; 10]) -> (Vec<SentRequest>, Vec<(u32, Vec<ObservedRequest>)>) {
    let ids: Vec<String> = (0..10).map(|n| n.to_string()).collect();
    let all = ids.iter().map(|id| asked(t, id, Some(50))).collect();
    let at = |odd: usize| (0..10).filter(|n| n % 2 == odd).map(|n| run(t, begins[n], &ids[n])).collect();
    (all, vec![(1, at(0)), (2, at(1))])
}

fn breaks(asked: &[SentRequest], executors: &[(u32, Vec<ObservedRequest>)]) -> Vec<String> {
    judge(asked, &[], executors, &RuleSettings::default())
}

#[test]
fn attempts_before_a_leaving_or_on_their_way_are_no_break() {
    let t = Instant::now();
    let (asked, executors) = capture(t, [0, 10, 20, 50, 51, 60, 100, 120, 150, 150]);
    let seen = after_leaving(&asked, &executors);
    let worst = Duration::from_millis(100);
    assert_eq!(seen, AfterLeaving { attempts: 10, after: 6, late: 0, worst });
    assert_eq!(breaks(&asked, &executors), Vec::<String>::new());
}

/// The negative control: a capture that breaks nothing is altered, one attempt after the other.
#[test]
fn a_doctored_capture_is_a_break_from_the_first_case_on() {
    let t = Instant::now();
    let mut begins = [0; 10];
    for cases in 1..=10 {
        begins[cases - 1] = 151;
        let (asked, executors) = capture(t, begins);
        let seen = after_leaving(&asked, &executors);
        assert_eq!((seen.late, seen.after, seen.worst), (cases, cases, Duration::from_millis(101)));
        assert!((seen.share() - cases as f64 / 10.0).abs() < 1e-9);
        let broken = breaks(&asked, &executors);
        assert_eq!(broken.len(), 1, "{cases}: {broken:?}");
        assert!(broken[0].contains(&format!("{cases} of 10 attempts")), "{broken:?}");
    }
}

#[test]
fn further_attempts_count_each_and_who_stays_or_asks_again_has_not_left() {
    let t = Instant::now();
    let asked = [
        asked(t, "left", Some(50)),
        asked(t, "stays", None),
        asked(t, "again", Some(50)),
        asked(t, "again", None),
        asked(t, "twice", Some(50)),
        asked(t, "twice", Some(300)),
    ];
    let runs = ["left", "left", "stays", "again", "twice", "unknown"].map(|id| run(t, 350, id));
    let seen = after_leaving(&asked, &[(1, runs.to_vec())]);
    assert_eq!((seen.attempts, seen.after, seen.late), (6, 3, 2));
    assert_eq!(seen.worst, Duration::from_millis(300));
}
