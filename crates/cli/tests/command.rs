//! Tests the exit codes and the output of the command.

use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

fn stagehoist() -> Command {
    Command::new(env!("CARGO_BIN_EXE_stagehoist"))
}

#[test]
fn check_tells_all_faults_with_their_places_and_exits_with_2() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("bad.conf");
    std::fs::write(&path, "front-ends none\nclass a aim 2s give-up 1s\nwhat\n").unwrap();
    for command in ["check", "serve"] {
        let out = stagehoist().arg(command).arg(&path).output().unwrap();
        let stderr = String::from_utf8(out.stderr).unwrap();
        assert_eq!(out.status.code(), Some(2), "{stderr}");
        for place in ["bad.conf:1:12", "bad.conf:2:13", "bad.conf:3:1", "no broker directive"] {
            assert!(stderr.contains(place), "{place} not in\n{stderr}");
        }
    }
    let missing = stagehoist().args(["check", "nowhere.conf"]).output().unwrap();
    assert_eq!(missing.status.code(), Some(2));
}

#[test]
fn a_written_out_configuration_has_no_faults() {
    let folder = tempfile::tempdir().unwrap();
    let (path, again) = (folder.path().join("a.conf"), folder.path().join("b.conf"));
    let text = "class a aim 1s give-up 2s\nfunction f class a memory 1MB\nbroker amqp://127.0.0.1/\n\
                consume q\nworker-list file w.list\n";
    std::fs::write(&path, text).unwrap();
    let out = stagehoist().args(["check", "--print"]).arg(&path).output().unwrap();
    assert!(out.status.success());
    std::fs::write(&again, &out.stdout).unwrap();
    let twice = stagehoist().args(["check", "--print"]).arg(&again).output().unwrap();
    assert_eq!(twice.stdout, out.stdout);
}

#[test]
fn a_malformed_day_is_told_with_its_places() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("bad.day");
    std::fs::write(&path, "rate 5\nat 2s worker w1 dance\nat 3s front-end 9 kill\nlength 5s more\n").unwrap();
    let out = stagehoist().arg("play").arg(&path).output().unwrap();
    let stderr = String::from_utf8(out.stderr).unwrap();
    assert_eq!(out.status.code(), Some(2), "{stderr}");
    for place in ["bad.day:1:6", "bad.day:2:17", "names a front end", "bad.day:4:11"] {
        assert!(stderr.contains(place), "{place} not in\n{stderr}");
    }
}

#[test]
fn demo_stays_up_with_its_addresses_until_it_is_interrupted() {
    let mut demo = stagehoist().args(["demo", "--stay"]).stdout(Stdio::piped()).spawn().unwrap();
    let mut lines = BufReader::new(demo.stdout.take().unwrap()).lines();
    let first = lines.next().unwrap().unwrap();
    let address = first.strip_prefix("broker ").expect("expected the broker's address on the first line");
    std::net::TcpStream::connect(address).unwrap();
    let killed = Command::new("kill").args(["-INT", &demo.id().to_string()]).status().unwrap();
    assert!(killed.success());
    let deadline = Instant::now() + Duration::from_secs(20);
    let status = loop {
        if let Some(status) = demo.try_wait().unwrap() {
            break status;
        }
        assert!(Instant::now() < deadline, "the process did not exit after SIGINT");
        std::thread::sleep(Duration::from_millis(20));
    };
    assert_eq!(status.code(), Some(0));
}

#[test]
fn demo_prints_one_json_object_with_the_five_rules() {
    let out = stagehoist().args(["demo", "--json", "--seconds", "6"]).output().unwrap();
    let text = String::from_utf8(out.stdout).unwrap();
    let json: serde_json::Value = serde_json::from_str(&text).unwrap();
    for key in ["sent", "served", "refused", "failed", "unanswered", "answered_twice", "late"] {
        assert!(json[key].is_u64(), "{key} in {text}");
    }
    let rules = json["rules"].as_array().unwrap();
    assert_eq!(rules.len(), 5);
    let all = rules.iter().all(|r| r["kept"] == true);
    assert_eq!(out.status.code(), Some(i32::from(!all)), "{text}");
    assert!(all, "{text}");
    assert!(json["latency_ms"]["p99"].as_f64().unwrap() > 0.0);
}
