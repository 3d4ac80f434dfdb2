//! Plans and ledgers by time alone.

use stagehoist_load_generator::*;

const S: i64 = 1_000_000;
const MS: i64 = 1000;

fn mix(words: &[&str]) -> Mix {
    Mix::parse(&words.iter().map(|w| w.to_string()).collect::<Vec<_>>()).unwrap()
}

fn plan(shape: Shape, rate: f64, span: i64, seed: u64) -> Vec<Shot> {
    let plan = Plan::new(shape, rate, span, mix(&["a:3", "b"]), mix(&[]), (10, 20), seed);
    plan.unwrap().collect()
}

#[test]
fn arrivals_keep_their_pace_whatever_their_shape() {
    assert_eq!(plan(Shape::Constant, 400.0, 2 * S, 1).len(), 800);
    let poisson = plan(Shape::Poisson, 400.0, 20 * S, 1);
    assert!((7_700..8_300).contains(&poisson.len()), "{}", poisson.len());
    assert!(poisson.windows(2).all(|w| w[0].at <= w[1].at) && poisson.iter().all(|s| s.at < 20 * S));
    let of_a = poisson.iter().filter(|s| s.function == "a").count() as f64 / poisson.len() as f64;
    assert!((0.72..0.78).contains(&of_a), "{of_a}");
    assert!(poisson.iter().all(|s| (10..=20).contains(&s.size)));
    let burst = plan("burst:4@5+2".parse().unwrap(), 400.0, 10 * S, 3);
    let within = |from: i64, to: i64| burst.iter().filter(|s| (from * S..to * S).contains(&s.at)).count();
    assert!((3_000..3_400).contains(&within(5, 7)) && (1_800..2_200).contains(&within(0, 5)));
    let ramp = plan("ramp:0-2".parse().unwrap(), 400.0, 10 * S, 3);
    let early = ramp.iter().filter(|s| s.at < 5 * S).count();
    assert!((850..1_150).contains(&early) && (3_700..4_300).contains(&ramp.len()), "{early} {}", ramp.len());
}

#[test]
fn equal_seeds_send_the_same_and_others_do_not() {
    assert_eq!(plan(Shape::Poisson, 100.0, S, 7), plan(Shape::Poisson, 100.0, S, 7));
    assert_ne!(plan(Shape::Poisson, 100.0, S, 7), plan(Shape::Poisson, 100.0, S, 8));
}

#[test]
fn what_is_told_wrongly_is_named() {
    for text in ["square", "ramp:1", "burst:2@x+1", "burst:-1@1+1", "poisson:3"] {
        assert_eq!(text.parse::<Shape>(), Err(PlanError::Shape(text.into())));
    }
    for text in ["a:0", ":1", "a:x", "a:inf"] {
        assert_eq!(Mix::parse(&[text.into()]), Err(PlanError::Weight(text.into())));
    }
    assert!(Plan::sizes("20-10").is_err() && Plan::sizes("x").is_err() && Plan::sizes("7") == Ok((7, 7)));
    assert_eq!(Shape::replay("0 a 5\n# none\n10 b\n9 c\n"), Err(PlanError::Replay { line: 4 }));
    let shots = plan(Shape::replay("0 z 5\n\n12.5 # later\n").unwrap(), 1.0, S, 1);
    assert_eq!((shots.len(), shots[0].function.as_str(), shots[0].size, shots[1].at), (2, "z", 5, 12_500));
    assert!(Plan::new(Shape::Poisson, 0.0, S, mix(&[]), mix(&[]), (0, 0), 1).is_err());
}

#[test]
fn times_count_from_the_intended_send_and_every_message_is_accounted_for() {
    let mut l = Ledger::new(800 * MS, 2500 * MS);
    let refused = Outcome::Refused { reason: "too-many-held".into(), retry_after: 0 };
    // Meant at 0, sent half a second late: 900 ms by the caller's watch, though 400 ms after the send.
    let late = l.sent(0, 0, 500 * MS);
    assert!(l.answered(late, &Outcome::Served, 900 * MS));
    let fine = l.sent(0, S, S);
    assert!(l.answered(fine, &Outcome::Served, S + 100 * MS));
    assert!(!l.answered(fine, &Outcome::Served, S + 200 * MS), "a second answer is no answer");
    let turned = l.sent(0, S, S);
    assert!(l.answered(turned, &refused, S + 5 * MS));
    let again = l.repeated(turned, S + 5 * MS).unwrap();
    assert_eq!(l.repeats(again), Some(1));
    assert!(l.answered(again, &Outcome::Served, S + 300 * MS));
    let _silent = l.sent(0, S, S);
    let past = l.sent(0, S, S);
    assert!(l.answered(past, &Outcome::Failed { reason: "x".into() }, 4 * S));
    l.answered(99, &Outcome::Served, 4 * S);
    let r = l.report(2.0);
    assert_eq!((r.calls, r.messages, r.served_in_aim, r.served_late), (5, 6, 2, 1));
    assert_eq!((r.no_answer, r.answered_twice, r.unasked, r.after_give_up), (1, 1, 1, 1));
    assert_eq!((r.refused["too-many-held"], r.failed["x"], r.calls_in_aim, r.goodput), (1, 1, 2, 1.0));
    assert!(r.sent_behind_ms.most > 490.0 && r.served_ms.most > 890.0);
    assert_eq!(r.in_aim_by_second, [0, 2]);
}
