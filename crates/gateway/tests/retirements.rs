//! Tests of the watched file of retired functions, and of the state file beside it.

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

/// Returns the view after these commands.
fn view(commands: &[Command]) -> ClusterView {
    let mut state = ClusterState::default();
    commands.iter().enumerate().for_each(|(i, c)| drop(state.apply(i as u64 + 1, c)));
    state.view
}

#[test]
fn complete_lines_are_parsed_and_faults_reported_by_line() {
    let text = "# retired\nfree 1 successor=free-two reason=too slow = too dear # why\n\nother\nother 0\n\
         other 2 later\nother 2 successor= reason=x\n\u{fffd}\u{1} 1\nother 3\nhalf 1 reason=not yet";
    let (lines, faults) = parse(text);
    let read: Vec<_> = lines.iter().map(|l| (l.function.as_str(), l.generation, l.reason.as_str())).collect();
    assert_eq!(read, [("free", 1, "too slow = too dear"), ("other", 3, "")]);
    assert_eq!(lines[0].successor.as_deref(), Some("free-two"));
    assert_eq!(faults.iter().map(|f| f.0).collect::<Vec<_>>(), [4, 5, 6, 7, 8]);
    // The last line is parsed once it has a line end.
    assert_eq!(parse(&format!("{text}\n")).0.last().unwrap().function, "half");
}

#[test]
fn each_line_is_proposed_once_and_each_fault_reported_once() {
    let mut proposer = Proposer::default();
    let mut text: String = (0..5000).map(|n| format!("f{n} 1\n")).collect();
    text.push_str("broken\n");
    assert_eq!(proposer.read(text.clone()).len(), 1);
    let pending: Vec<_> = proposer.pending().cloned().collect();
    assert_eq!(pending.len(), 5000);
    pending.iter().for_each(|line| proposer.on_proposed(line));
    text.push_str("f7 1\nf7 2\n");
    assert!(proposer.read(text).is_empty(), "the fault was reported before");
    let pending: Vec<_> = proposer.pending().map(|l| (l.function.clone(), l.generation)).collect();
    assert_eq!(pending, [("f7".to_string(), 2)]);
    // Replacing the file retracts nothing, and a lower generation proposes nothing.
    proposer.read("f1 1\nnew 1\n".into());
    assert_eq!(proposer.pending().map(|l| l.function.as_str()).collect::<Vec<_>>(), ["new"]);
}

#[test]
fn an_unchanged_state_keeps_its_time_and_damage_is_detected() {
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

/// Waits until a file satisfies a condition; the limit is so long that only a fault exceeds it.
async fn wait_until(path: &Path, condition: impl Fn(&str) -> bool) {
    for _ in 0..2000 {
        if std::fs::read_to_string(path).is_ok_and(|t| condition(&t)) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("found {:?}", std::fs::read_to_string(path));
}

#[tokio::test]
async fn a_file_is_followed_through_partial_writes_garbage_and_replacement_and_its_states_are_written() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("retired");
    let state = folder.path().join("retired.state");
    let (status, received) = watch::channel(ClusterStatus::default());
    let (retire, mut proposals) = mpsc::channel(4);
    std::fs::write(&path, "free 1 reason=old\nother 1").unwrap();
    let task = tokio::spawn(follow(config(), path.clone(), received, retire));
    let first = proposals.recv().await.unwrap();
    assert_eq!((first.function.as_str(), first.mode), ("free", RetirementMode::Strict));
    assert!(!state.exists(), "state file written before any view was received");
    // The incomplete line is completed, beside invalid bytes. Then the file is replaced by one with more lines than
    // the session's channel holds.
    std::fs::write(&path, b"free 1 reason=old\n\xff\xfe nothing\nother 1\n").unwrap();
    let second = proposals.recv().await.unwrap();
    assert_eq!((second.function.as_str(), second.mode), ("other", RetirementMode::Available));
    let many_lines: String = (0..20).map(|n| format!("nobody{n} 1\n")).collect();
    std::fs::write(folder.path().join("next"), many_lines).unwrap();
    std::fs::rename(folder.path().join("next"), &path).unwrap();
    for n in 0..20 {
        assert_eq!(proposals.recv().await.unwrap().function, format!("nobody{n}"));
    }
    let view_with_free = view(&[Command::Retire(retirement("free", 1))]);
    status.send_replace(ClusterStatus { view: Arc::new(view_with_free), ..ClusterStatus::default() });
    let is_complete = |text: &str| text.starts_with("free 1 proposed ") && text.ends_with("\n# version 1\n");
    wait_until(&state, is_complete).await;
    // If the file is damaged or lost, it is written again; a file of a later view is not replaced.
    std::fs::write(&state, "free 1 propo").unwrap();
    wait_until(&state, is_complete).await;
    std::fs::remove_file(&state).unwrap();
    wait_until(&state, is_complete).await;
    let later = "free 1 in-force 5\n# version 9\n";
    std::fs::write(&state, later).unwrap();
    tokio::time::sleep(Duration::from_millis(700)).await;
    assert_eq!(std::fs::read_to_string(&state).unwrap(), later);
    drop(status);
    tokio::time::timeout(Duration::from_secs(20), task)
        .await
        .expect("the task ends with the session")
        .unwrap();
    assert_eq!(std::fs::read_dir(folder.path()).unwrap().count(), 2, "a temporary file is left");
}

#[tokio::test]
async fn a_retirement_that_no_view_shows_is_reported_as_not_in_force() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("retired");
    let state = folder.path().join("retired.state");
    std::fs::write(&path, "free 1\nother 2\nthird 1\n").unwrap();
    let (status, received) = watch::channel(ClusterStatus::default());
    let (retire, mut proposals) = mpsc::channel(2);
    let _task = tokio::spawn(follow(config(), path.clone(), received, retire));
    let show = |commands: &[Command]| {
        let view = Arc::new(view(commands));
        status.send_replace(ClusterStatus { view, ..ClusterStatus::default() });
    };
    // One is accepted by the cluster state, one is rejected for now, and one is not passed to the session yet.
    let mut commands = vec![Command::Retire(retirement("free", 1))];
    show(&commands);
    let has_outstanding = |text: &str, waiting: &[&str]| {
        let states = retirement_states::parse(text).unwrap_or_default();
        let is_outstanding = |w: &&String| states.lines[*w].0.ends_with(" not-in-force");
        states.lines.keys().filter(is_outstanding).collect::<Vec<_>>() == waiting
    };
    wait_until(&state, |t| t.starts_with("free 1 proposed ") && has_outstanding(t, &["other", "third"]))
        .await;
    assert!(std::fs::read_to_string(&state).unwrap().contains("\nother 2 not-in-force "));
    // A process that has not read the lines yet does not remove them from the state file.
    let before = std::fs::read_to_string(&state).unwrap();
    retirement_states::update(&path, &view(&commands), &BTreeMap::new(), 9).await.unwrap();
    assert_eq!(std::fs::read_to_string(&state).unwrap(), before);
    for function in ["free", "other", "third"] {
        assert_eq!(proposals.recv().await.unwrap().function, function);
    }
    commands.push(Command::Retire(retirement("other", 2)));
    show(&commands);
    wait_until(&state, |t| t.contains("other 2 proposed ") && has_outstanding(t, &["third"])).await;
    commands.push(Command::Retire(retirement("third", 1)));
    show(&commands);
    wait_until(&state, |t| t.contains("third 1 proposed ") && has_outstanding(t, &[])).await;
    // A retirement that was shown and then forgotten is not outstanding.
    commands.push(Command::Forget { function: "other".into(), generation: 2 });
    show(&commands);
    wait_until(&state, |t| t.ends_with("# version 4\n") && !t.contains("other") && has_outstanding(t, &[]))
        .await;
}

#[tokio::test]
async fn a_change_of_neither_size_nor_modification_time_is_detected() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("retired");
    std::fs::write(&path, "free 1\n").unwrap();
    let (_status, received) = watch::channel(ClusterStatus::default());
    let (retire, mut proposals) = mpsc::channel(4);
    let _task = tokio::spawn(follow(config(), path.clone(), received, retire));
    assert_eq!(proposals.recv().await.unwrap().function, "free");
    let at = std::fs::metadata(&path).unwrap().modified().unwrap();
    std::fs::write(&path, "gone 1\n").unwrap();
    std::fs::File::options().write(true).open(&path).unwrap().set_modified(at).unwrap();
    let next = tokio::time::timeout(Duration::from_secs(20), proposals.recv()).await.expect("found");
    assert_eq!(next.unwrap().function, "gone");
}
