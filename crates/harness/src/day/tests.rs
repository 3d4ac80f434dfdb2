use super::*;
use crate::relay::Fault;

const HEAD: &str = "front-ends 5\nkeepers 3\nlength 12s\n";

fn day(text: &str) -> Day {
    Day::parse("day", &format!("{HEAD}{text}")).unwrap()
}

fn trouble_of(text: &str) -> ScenarioFault {
    day(&format!("at 1s {text}\n")).troubles[0].trouble.clone()
}

fn faults(text: &str) -> Vec<String> {
    let faults = Day::parse("day", text).unwrap_err();
    faults.iter().map(|f| format!("{}: {}", f.at.line, f.what)).collect()
}

#[test]
fn troubles_of_links_processes_and_stores_are_read() {
    let span = Duration::from_secs(2);
    let (one, any) = (Pick::Number(1), Pick::Any);
    let link = |fault| ScenarioFault::Link { front_end: one, fault, span };
    let delay = Fault::Delay(Duration::from_millis(30));
    for (text, expected) in [
        ("link 1 cut for 2s", link(Fault::Cut)),
        ("link 1 stall for 2s", link(Fault::Stall)),
        ("link 1 half-out for 2s", link(Fault::HalfOut)),
        ("link 1 half-in for 2s", link(Fault::HalfIn)),
        ("link 1 delay 30ms for 2s", link(delay)),
        ("front-end any kill for 2s", ScenarioFault::Kill { front_end: any, span: Some(span) }),
        ("front-end 1 kill", ScenarioFault::Kill { front_end: one, span: None }),
        ("front-end 1 stop for 2s # slept", ScenarioFault::Stop { front_end: one, span }),
        ("leader kill", ScenarioFault::LeaderKill { span: None }),
        ("leader kill for 2s", ScenarioFault::LeaderKill { span: Some(span) }),
        ("leader stop for 2s", ScenarioFault::LeaderStop { span }),
        ("everything kill for 2s", ScenarioFault::Everything { span }),
        ("store any copy", ScenarioFault::Store { front_end: any, how: StoreFault::Copy }),
        ("store 1 set-back", ScenarioFault::Store { front_end: one, how: StoreFault::SetBack }),
        ("store 1 damage", ScenarioFault::Store { front_end: one, how: StoreFault::Damage }),
        ("store slow 600% for 2s", ScenarioFault::StoreSlow { percent: 600, span }),
    ] {
        assert_eq!(trouble_of(text), expected, "{text}");
    }
    let retire = |functions: &[&str], successor: Option<&str>| ScenarioFault::Retire {
        functions: functions.iter().map(|f| f.to_string()).collect(),
        successor: successor.map(str::to_string),
    };
    assert_eq!(trouble_of("retire clashes"), retire(&["clashes"], None));
    assert_eq!(trouble_of("retire any-of a,b successor c"), retire(&["a", "b"], Some("c")));
}

#[test]
fn what_the_processes_share_is_read() {
    let fleet =
        day("view-lease 500ms\nremember 5m\nretire-mode strict\nmarks yes\nrecover share 0.1 # little\ntenant clinic quota 1000/s\n\
         pool lanes functions clashes,rare-* lanes 40\nreserve clinic pool lanes lanes 16\n\
         at 2s surge other 10x for 3s\n")
        .fleet;
    assert_eq!((fleet.keepers, fleet.strict, fleet.marks), (3, true, true));
    assert_eq!(
        (fleet.recover.as_deref(), day("recover\n").fleet.recover),
        (Some("share 0.1"), Some("".into()))
    );
    assert_eq!(day("").fleet.recover, None);
    assert_eq!((fleet.view_lease, fleet.remember), (Duration::from_millis(500), Duration::from_secs(300)));
    assert_eq!(fleet.pools[0].functions, ["clashes", "rare-*"]);
    assert_eq!(fleet.reserves[0], Reserve { tenant: "clinic".into(), pool: "lanes".into(), lanes: 16 });
    let calls = |tenant: &str| Calls { tenant: tenant.into(), part: 1.0, only: None };
    assert_eq!(fleet.callers(), [calls("clinic"), calls("other")]);
    assert_eq!(day("").fleet.callers(), []);
}

#[test]
fn faults_of_the_whole_day_are_told_with_their_lines() {
    assert_eq!(faults("keepers 4\n"), ["1: 4 keepers of 3 front ends"]);
    assert_eq!(faults("front-ends 10\nkeepers 3\n"), ["1: 3 keepers of 10 front ends"]);
    assert_eq!(faults("marks yes\n"), ["1: pools, reservations, marks or recover without keepers"]);
    for text in ["link 0 cut for 1s", "leader kill", "retire clashes", "store 0 copy"] {
        let found = faults(&format!("rate 1/s\nat 1s {text}\n"));
        assert!(found.len() == 1 && found[0].starts_with("2: ") && found[0].ends_with("without keepers"));
    }
    let fault = |text: &str| faults(&format!("{HEAD}{text}\n")).join("; ");
    assert!(fault("at 1s link 5 cut for 1s").ends_with("names a front end that does not stand"));
    assert!(fault("at 1s store 3 damage").ends_with("names no keeper"));
    assert!(fault("at 11s..13s front-end any kill").ends_with("comes after the end of the day"));
    assert!(fault("at 1s surge nobody 2x for 1s").starts_with("4: no calls come from tenant"));
    assert!(fault("reserve clinic pool lanes lanes 16").starts_with("1: lanes reserved in no pool"));
    assert!(fault("at 3s..2s leader kill").starts_with("4: found \"3s..2s\""));
    assert!(fault("at 3s retire a successor").starts_with("4: the line ends"));
    assert!(fault("at 3s leader kill now").starts_with("4: found \"now\""));
}

const OPEN: &str = "at 3s..6s front-end any kill for 1s\nat 1s..9s retire any-of clashes,recurring successor rare-001\n\
                    at 1s..9s retire any-of clashes,recurring\nat 2s link any cut for 1s\nat 5s..6s store any copy\n";

#[test]
fn the_same_seed_draws_the_same_and_other_seeds_draw_others() {
    let open = day(OPEN);
    assert_eq!(open.drawn(5), open.drawn(5));
    let texts: std::collections::BTreeSet<String> =
        (0..20).map(|seed| open.drawn(seed).drawn_text()).collect();
    assert_eq!(texts.len(), 20);
}

#[test]
fn what_is_drawn_is_within_its_ranges_and_settles_everything() {
    let open = day(OPEN);
    let (mut victims, mut kept) = (std::collections::BTreeSet::new(), std::collections::BTreeSet::new());
    for seed in 0..100 {
        let drawn = open.drawn(seed);
        assert_eq!(drawn.seed, seed);
        assert!(drawn.troubles.iter().all(|t| t.from == t.to) && drawn.troubles.is_sorted_by_key(|t| t.from));
        let mut retired = Vec::new();
        for planned in &drawn.troubles {
            let at = planned.from.as_secs_f64();
            match &planned.trouble {
                ScenarioFault::Kill { front_end: Pick::Number(n), .. } => {
                    assert!(*n < 5 && (3.0..=6.0).contains(&at));
                    victims.insert(*n);
                }
                ScenarioFault::Store { front_end: Pick::Number(n), .. } => {
                    assert!(*n < 3 && (5.0..=6.0).contains(&at), "a store is a keeper's");
                    kept.insert(*n);
                }
                ScenarioFault::Link { front_end: Pick::Number(_), .. } => assert_eq!(at, 2.0),
                ScenarioFault::Retire { functions, .. } => retired.extend(functions.clone()),
                other => panic!("not settled: {other:?}"),
            }
        }
        retired.sort();
        assert_eq!(retired, ["clashes", "recurring"], "each once");
    }
    assert_eq!((victims.len(), kept.len()), (5, 3));
}

#[test]
fn what_was_drawn_can_be_played_again_from_its_text() {
    for seed in 0..20 {
        let drawn = day(OPEN).drawn(seed);
        let again = day(&drawn.drawn_text());
        assert_eq!(again.seed, seed);
        // Also when it is drawn once more, as by the player.
        let again = again.drawn(seed);
        let parts = |d: &Day| d.troubles.iter().map(|t| (t.from, t.trouble.clone())).collect::<Vec<_>>();
        assert_eq!(parts(&again), parts(&drawn));
        assert_eq!(again.drawn_text(), drawn.drawn_text());
    }
}

#[test]
fn a_shortened_day_shrinks_ranges_and_spans_alike() {
    let short = day("at 4s..8s front-end any kill for 2s\n").shortened(Duration::from_secs(6));
    let planned = &short.troubles[0];
    assert_eq!((planned.from, planned.to), (Duration::from_secs(2), Duration::from_secs(4)));
    let expected = ScenarioFault::Kill { front_end: Pick::Any, span: Some(Duration::from_secs(1)) };
    assert_eq!(planned.trouble, expected);
}

#[test]
fn the_days_of_the_repository_are_read() {
    for name in ["demo", "trouble", "retire", "fleet-trouble", "power-loss"] {
        let file = format!("{}/../../days/{name}.day", env!("CARGO_MANIFEST_DIR"));
        let text = std::fs::read_to_string(&file).unwrap();
        Day::parse(&file, &text).unwrap_or_else(|faults| panic!("{faults:#?}"));
    }
}
