//! Tests of `judge`.

use super::*;

fn seen(at: Instant, what: ExecutorRequest) -> ObservedRequest {
    ObservedRequest { front_end: 0, at, what }
}

/// The checker finds each break, so that its silence means something.
#[test]
fn each_rule_is_found_broken() {
    let t = Instant::now();
    let ms = Duration::from_millis;
    let ask = |id: &str, is_unsafe| SentRequest {
        at: t,
        id: id.into(),
        tag: id.into(),
        allow: ms(100),
        is_unsafe,
        body: b"b".to_vec(),
        left: None,
    };
    let answered = |tag: &str, word: &str, after: u64, body: &[u8]| Answered {
        at: t + ms(after),
        tag: tag.into(),
        word: word.into(),
        body: body.to_vec(),
    };
    let run = |id: &str| ExecutorRequest::Run {
        id: id.into(),
        class: "".into(),
        key: "".into(),
        body: vec![],
        wait: Duration::ZERO,
    };
    let end = |id: &str, word: &str| ExecutorRequest::Answered { id: id.into(), word: word.into() };
    let asked = ["never", "late", "twice", "made", "again", "missed"].map(|id| ask(id, true));
    let answers = [
        answered("late", "500", 200, b""),
        answered("twice", "200", 10, b"b"),
        answered("twice", "200", 11, b"b"),
        answered("made", "200", 10, b"x"),
        answered("again", "503", 10, b""),
        answered("missed", "200", 10, b"b"),
    ];
    let one = vec![
        seen(t, run("again")),
        seen(t, end("again", "ERR")),
        seen(t, run("missed")),
        seen(t, end("missed", "MISS")),
        seen(t + ms(500), ExecutorRequest::Hold { key: "k".into(), copies: 1 }),
    ];
    let two = vec![seen(t + ms(1), run("again")), seen(t + ms(2), run("missed"))];
    let told = RuleSettings {
        drained: [(1, t + ms(100))].into(),
        grace: ms(250),
        ration: (0.0, 0.0, ms(1000)),
        ..RuleSettings::default()
    };
    let broken = judge(&asked, &answers, &[(1, one), (2, two)], &told);
    let has = |text: &str| broken.iter().any(|b| b.starts_with(text));
    for text in ["1: never was never", "1: late was answered late", "1: twice was answered 2", "1: made got"]
    {
        assert!(has(text), "{text}: {broken:?}");
    }
    assert!(has("2: again may have run 2") && has("2: again was refused") && has("3: Hold"), "{broken:?}");
    assert!(!broken.iter().any(|b| b.contains("missed")), "{broken:?}");
    let flood: Vec<ObservedRequest> =
        (0..9).map(|n| seen(t + ms(n), ExecutorRequest::Hold { key: "k".into(), copies: 1 })).collect();
    let told = RuleSettings { ration: (2.0, 0.1, ms(1000)), ..RuleSettings::default() };
    assert!(judge(&[], &[], &[(1, flood)], &told).iter().any(|b| b.starts_with("5:")));
}
