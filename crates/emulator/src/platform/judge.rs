//! The rules, judged by what clients and executors saw on their sockets.

mod leaving;

use super::client::Answered;
use super::executor::{Seen, What};
pub use leaving::{after_leaving, AfterLeaving};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Every time limit is so much longer on sockets.
pub const SLACK: Duration = Duration::from_millis(50);

/// A request as a client wrote it.
#[derive(Clone, Debug)]
pub struct Asked {
    pub at: Instant,
    pub id: String,
    pub tag: String,
    pub allow: Duration,
    /// Whether it must not run twice.
    pub is_unsafe: bool,
    pub body: Vec<u8>,
    /// When it was aborted, or its connection closed by the client: no answer is owed, and no attempt for it
    /// begins any more.
    pub left: Option<Instant>,
}

/// What the rules go by.
#[derive(Clone, Debug, Default)]
pub struct Told {
    /// When each executor was told to drain or be gone.
    pub drained: BTreeMap<u32, Instant>,
    pub grace: Duration,
    /// Orders to load: free ones, the share of requests, the window.
    pub ration: (f64, f64, Duration),
}

/// Everything that broke a rule, in words; empty where all were kept.
pub fn judge(
    asked: &[Asked],
    answers: &[Answered],
    executors: &[(u32, Vec<Seen>)],
    told: &Told,
) -> Vec<String> {
    let mut broken = Vec::new();
    for a in asked {
        let got: Vec<_> = answers.iter().filter(|x| x.tag == a.tag).collect();
        match got[..] {
            [] if a.left.is_some() => {}
            [] => broken.push(format!("1: {} was never answered", a.id)),
            [one] if one.at > a.at + a.allow + SLACK => broken.push(format!("1: {} was answered late", a.id)),
            [one] if one.word == "200" && one.body != a.body => {
                broken.push(format!("1: {} got what none made", a.id))
            }
            [_] => {}
            _ => broken.push(format!("1: {} was answered {} times", a.id, got.len())),
        }
        if !a.is_unsafe {
            continue;
        }
        // Each attempt in the order it arrived, with the word it ended with there.
        let mut attempts: Vec<(Instant, bool)> = Vec::new();
        for (_, seen) in executors {
            for (n, s) in seen.iter().enumerate() {
                if matches!(&s.what, What::Run { id, .. } if *id == a.id) {
                    let end = seen[n..].iter().find_map(|e| match &e.what {
                        What::Answered { id, word } if *id == a.id => Some(word.as_str()),
                        _ => None,
                    });
                    attempts.push((s.at, matches!(end, Some("MISS" | "BUSY" | "VOID"))));
                }
            }
        }
        attempts.sort_by_key(|x| x.0);
        let may_have_run = attempts.iter().filter(|x| !x.1).count();
        if may_have_run > 1 {
            broken.push(format!("2: {} may have run {may_have_run} times", a.id));
        }
        if may_have_run > 0 && got.iter().any(|x| x.word == "503") {
            broken.push(format!("2: {} was refused though it may have run", a.id));
        }
    }
    let after = after_leaving(asked, executors);
    if after.is_break() {
        broken.push(format!("1: {after}"));
    }
    let mut orders: Vec<Instant> = Vec::new();
    for (id, seen) in executors {
        for s in seen {
            let new = matches!(s.what, What::Run { .. })
                || matches!(s.what, What::Hold { copies, .. } if copies > 0);
            let late = told.drained.get(id).is_some_and(|at| s.at > *at + told.grace + SLACK);
            if new && late {
                broken.push(format!("3: {:?} to executor {id:08x} after it drained", s.what));
            }
            orders.extend(matches!(s.what, What::Hold { copies, .. } if copies > 0).then_some(s.at));
        }
    }
    let (free, share, window) = told.ration;
    orders.sort_unstable();
    for (n, at) in orders.iter().enumerate() {
        let since = |t: &Instant| *t + window > *at && t <= at;
        let within = orders[..=n].iter().filter(|t| since(t)).count() as f64;
        let taken = asked.iter().filter(|a| since(&a.at)).count() as f64;
        let most = (free + share * taken) * 1.15 + 1.0;
        if window > Duration::ZERO && within > most {
            broken.push(format!("5: {within} orders within the window where {most:.1} are allowed"));
        }
    }
    broken
}

#[cfg(test)]
mod tests {
    use super::*;

    fn seen(at: Instant, what: What) -> Seen {
        Seen { at, what }
    }

    /// The judge finds each break, so that its silence means something.
    #[test]
    fn each_rule_is_found_broken() {
        let t = Instant::now();
        let ms = Duration::from_millis;
        let ask = |id: &str, is_unsafe| Asked {
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
        let run = |id: &str| What::Run { id: id.into(), class: "".into(), key: "".into(), body: vec![] };
        let end = |id: &str, word: &str| What::Answered { id: id.into(), word: word.into() };
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
            seen(t + ms(500), What::Hold { key: "k".into(), copies: 1 }),
        ];
        let two = vec![seen(t + ms(1), run("again")), seen(t + ms(2), run("missed"))];
        let told = Told { drained: [(1, t + ms(100))].into(), grace: ms(250), ration: (0.0, 0.0, ms(1000)) };
        let broken = judge(&asked, &answers, &[(1, one), (2, two)], &told);
        let has = |text: &str| broken.iter().any(|b| b.starts_with(text));
        for text in
            ["1: never was never", "1: late was answered late", "1: twice was answered 2", "1: made got"]
        {
            assert!(has(text), "{text}: {broken:?}");
        }
        assert!(
            has("2: again may have run 2") && has("2: again was refused") && has("3: Hold"),
            "{broken:?}"
        );
        assert!(!broken.iter().any(|b| b.contains("missed")), "{broken:?}");
        let flood: Vec<Seen> =
            (0..9).map(|n| seen(t + ms(n), What::Hold { key: "k".into(), copies: 1 })).collect();
        let told = Told { ration: (2.0, 0.1, ms(1000)), ..Told::default() };
        assert!(judge(&[], &[], &[(1, flood)], &told).iter().any(|b| b.starts_with("5:")));
    }
}
