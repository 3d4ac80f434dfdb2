//! The watched file of retired functions, and the file of states beside it.

use stagehoist_cluster_state::{
    ClusterState, ClusterStatus, ClusterView, Command, Member, Retirement, RetirementMode,
};
use stagehoist_config::{parse as configured, Config};
use stagehoist_gateway::fleet::retirement_states;
use stagehoist_gateway::fleet::retirements::{follow, parse, Proposer};
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

fn config() -> Config {
    let text =
        "class lookup aim 800ms give-up 2500ms\nfunction free class lookup memory 64MB retire strict\n\
         function other class lookup memory 64MB\nbroker amqp://127.0.0.1:1/\nconsume calls\n\
         worker-list file none\nmember a\nkeeper 1 127.0.0.1:1\n";
    configured("r.conf", text).unwrap()
}

fn retirement(function: &str, generation: u32) -> Retirement {
    Retirement {
        function: function.into(),
        generation,
        successor: None,
        reason: "old".into(),
        mode: RetirementMode::Available,
        requested_ms: 7,
    }
}

/// The view after these commands.
fn view(commands: &[Command]) -> ClusterView {
    let mut record = ClusterState::default();
    commands.iter().enumerate().for_each(|(i, c)| drop(record.apply(i as u64 + 1, c)));
    record.view
}

#[test]
fn whole_lines_are_read_and_faults_told_by_line() {
    let text = "# retired\nfree 1 successor=free-two reason=too slow = too dear # why\n\nother\nother 0\n\
         other 2 later\nother 2 successor= reason=x\n\u{fffd}\u{1} 1\nother 3\nhalf 1 reason=not yet";
    let (lines, faults) = parse(text);
    let read: Vec<_> = lines.iter().map(|l| (l.function.as_str(), l.generation, l.reason.as_str())).collect();
    assert_eq!(read, [("free", 1, "too slow = too dear"), ("other", 3, "")]);
    assert_eq!(lines[0].successor.as_deref(), Some("free-two"));
    assert_eq!(faults.iter().map(|f| f.0).collect::<Vec<_>>(), [4, 5, 6, 7, 8]);
    // The same last line once it has its end.
    assert_eq!(parse(&format!("{text}\n")).0.last().unwrap().function, "half");
}

#[test]
fn each_line_is_proposed_once_and_each_fault_told_once() {
    let mut proposer = Proposer::default();
    let mut text: String = (0..5000).map(|n| format!("f{n} 1\n")).collect();
    text.push_str("broken\n");
    assert_eq!(proposer.read(text.clone()).len(), 1);
    let open: Vec<_> = proposer.pending().cloned().collect();
    assert_eq!(open.len(), 5000);
    open.iter().for_each(|line| proposer.on_proposed(line));
    text.push_str("f7 1\nf7 2\n");
    assert!(proposer.read(text).is_empty(), "a fault that was told");
    let open: Vec<_> = proposer.pending().map(|l| (l.function.clone(), l.generation)).collect();
    assert_eq!(open, [("f7".to_string(), 2)]);
    // Another file in its place takes nothing back, and a lower generation asks for nothing.
    proposer.read("f1 1\nnew 1\n".into());
    assert_eq!(proposer.pending().map(|l| l.function.as_str()).collect::<Vec<_>>(), ["new"]);
}

#[test]
fn a_state_keeps_its_time_and_damage_shows() {
    let member = |name: &str| Member { name: name.into(), incarnation: 1 };
    let none = BTreeMap::new();
    let proposed = view(&[Command::Retire(retirement("free", 1)), Command::Retire(retirement("other", 2))]);
    let first = retirement_states::render(&proposed, &none, &retirement_states::States::default(), 100);
    assert_eq!(first, "free 1 proposed 100\nother 2 proposed 100\n# version 2\n");
    let but_for = [member("b/0"), member("b/1")].into();
    let in_force = Command::InForce { function: "free".into(), generation: 1, but_for };
    let later = [Command::Retire(retirement("free", 1)), Command::Retire(retirement("other", 2)), in_force];
    let second =
        retirement_states::render(&view(&later), &none, &retirement_states::parse(&first).unwrap(), 200);
    assert_eq!(second, "free 1 in-force 200 but-for b/0,b/1\nother 2 proposed 100\n# version 3\n");
    let third =
        retirement_states::render(&view(&later), &none, &retirement_states::parse(&second).unwrap(), 300);
    assert_eq!(third, second);
    for cut in 1..second.len() {
        assert_eq!(retirement_states::parse(&second[..cut]), None, "{:?}", &second[..cut]);
    }
    assert_eq!(retirement_states::parse("free 1 perhaps 100\n# version 3\n"), None);
}

/// Waits until a file is as it should be, at most so long that only a fault is longer.
async fn until(path: &Path, is: impl Fn(&str) -> bool) {
    for _ in 0..2000 {
        if std::fs::read_to_string(path).is_ok_and(|t| is(&t)) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("found {:?}", std::fs::read_to_string(path));
}

#[tokio::test]
async fn a_file_is_followed_through_halves_garbage_and_replacement_and_its_states_are_kept() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("retired");
    let state = folder.path().join("retired.state");
    let (standing, seen) = watch::channel(ClusterStatus::default());
    let (retire, mut asked) = mpsc::channel(4);
    std::fs::write(&path, "free 1 reason=old\nother 1").unwrap();
    let task = tokio::spawn(follow(config(), path.clone(), seen, retire));
    let first = asked.recv().await.unwrap();
    assert_eq!((first.function.as_str(), first.mode), ("free", RetirementMode::Strict));
    assert!(!state.exists(), "no state before any view came");
    // The half line gets its end, beside garbage; the file is then replaced by one with more lines than the session takes.
    std::fs::write(&path, b"free 1 reason=old\n\xff\xfe nothing\nother 1\n").unwrap();
    let second = asked.recv().await.unwrap();
    assert_eq!((second.function.as_str(), second.mode), ("other", RetirementMode::Available));
    let many: String = (0..20).map(|n| format!("nobody{n} 1\n")).collect();
    std::fs::write(folder.path().join("next"), many).unwrap();
    std::fs::rename(folder.path().join("next"), &path).unwrap();
    for n in 0..20 {
        assert_eq!(asked.recv().await.unwrap().function, format!("nobody{n}"));
    }
    let told = view(&[Command::Retire(retirement("free", 1))]);
    standing.send_replace(ClusterStatus { view: Arc::new(told), ..ClusterStatus::default() });
    let is_whole = |text: &str| text.starts_with("free 1 proposed ") && text.ends_with("\n# version 1\n");
    until(&state, is_whole).await;
    // Damaged or lost, it is written anew; one of a later view is left alone.
    std::fs::write(&state, "free 1 propo").unwrap();
    until(&state, is_whole).await;
    std::fs::remove_file(&state).unwrap();
    until(&state, is_whole).await;
    let later = "free 1 in-force 5\n# version 9\n";
    std::fs::write(&state, later).unwrap();
    tokio::time::sleep(Duration::from_millis(700)).await;
    assert_eq!(std::fs::read_to_string(&state).unwrap(), later);
    drop(standing);
    tokio::time::timeout(Duration::from_secs(20), task).await.expect("ends with the session").unwrap();
    assert_eq!(std::fs::read_dir(folder.path()).unwrap().count(), 2, "nothing is left beside");
}

#[tokio::test]
async fn what_the_record_has_not_taken_is_told_as_not_in_force_until_a_view_shows_it() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("retired");
    let state = folder.path().join("retired.state");
    std::fs::write(&path, "free 1\nother 2\nthird 1\n").unwrap();
    let (standing, seen) = watch::channel(ClusterStatus::default());
    let (retire, mut asked) = mpsc::channel(2);
    let _task = tokio::spawn(follow(config(), path.clone(), seen, retire));
    let show = |commands: &[Command]| {
        let view = Arc::new(view(commands));
        standing.send_replace(ClusterStatus { view, ..ClusterStatus::default() });
    };
    // One is taken by the cluster state, one is refused for now, and one is not handed over yet.
    let mut taken = vec![Command::Retire(retirement("free", 1))];
    show(&taken);
    let tells = |text: &str, waiting: &[&str]| {
        let states = retirement_states::parse(text).unwrap_or_default();
        let said = |w: &&String| states.lines[*w].0.ends_with(" not-in-force");
        states.lines.keys().filter(said).collect::<Vec<_>>() == waiting
    };
    until(&state, |t| t.starts_with("free 1 proposed ") && tells(t, &["other", "third"])).await;
    assert!(std::fs::read_to_string(&state).unwrap().contains("\nother 2 not-in-force "));
    // Another process that has not read the lines yet takes nothing from it.
    let before = std::fs::read_to_string(&state).unwrap();
    retirement_states::update(&path, &view(&taken), &BTreeMap::new(), 9).await.unwrap();
    assert_eq!(std::fs::read_to_string(&state).unwrap(), before);
    for function in ["free", "other", "third"] {
        assert_eq!(asked.recv().await.unwrap().function, function);
    }
    taken.push(Command::Retire(retirement("other", 2)));
    show(&taken);
    until(&state, |t| t.contains("other 2 proposed ") && tells(t, &["third"])).await;
    taken.push(Command::Retire(retirement("third", 1)));
    show(&taken);
    until(&state, |t| t.contains("third 1 proposed ") && tells(t, &[])).await;
    // Once shown and forgotten, nothing waits for it.
    taken.push(Command::Forget { function: "other".into(), generation: 2 });
    show(&taken);
    until(&state, |t| t.ends_with("# version 4\n") && !t.contains("other") && tells(t, &[])).await;
}

#[tokio::test]
async fn a_change_that_shows_in_neither_size_nor_time_is_found_too() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("retired");
    std::fs::write(&path, "free 1\n").unwrap();
    let (_standing, seen) = watch::channel(ClusterStatus::default());
    let (retire, mut asked) = mpsc::channel(4);
    let _task = tokio::spawn(follow(config(), path.clone(), seen, retire));
    assert_eq!(asked.recv().await.unwrap().function, "free");
    let at = std::fs::metadata(&path).unwrap().modified().unwrap();
    std::fs::write(&path, "gone 1\n").unwrap();
    std::fs::File::options().write(true).open(&path).unwrap().set_modified(at).unwrap();
    let next = tokio::time::timeout(Duration::from_secs(20), asked.recv()).await.expect("found");
    assert_eq!(next.unwrap().function, "gone");
}
