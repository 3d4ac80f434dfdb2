//! Guards the command's subcommands, flags and exit codes, and the names and labels of the metrics: interfaces that must not
//! change when code is renamed. The files in `golden/` never change with the code.

use std::collections::BTreeSet;
use std::fmt::Write;
use std::io::{Read, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

fn stagehoist() -> Command {
    Command::new(env!("CARGO_BIN_EXE_stagehoist"))
}

/// Writes the subcommands and flags of a command and of all its subcommands, one line each, as `--help` prints them.
fn usage(words: &[String], out: &mut String) {
    let help = stagehoist().args(words).arg("--help").output().unwrap();
    assert_eq!(help.status.code(), Some(0), "{words:?}");
    let text = String::from_utf8(help.stdout).unwrap();
    let mut flags = BTreeSet::new();
    let mut commands = Vec::new();
    let mut section = "";
    for line in text.lines() {
        if !line.starts_with(' ') && line.ends_with(':') {
            section = line;
        }
        let entry = line.trim_start();
        let indent = line.len() - entry.len();
        match section {
            "Commands:" if indent == 2 => commands.extend(entry.split_whitespace().next()),
            "Options:" if indent <= 6 && entry.starts_with('-') => {
                let flag = entry.split("  ").next().unwrap_or(entry);
                flags.insert(flag.trim().to_string());
            }
            "Arguments:" if indent == 2 => {
                flags.insert(entry.split_whitespace().next().unwrap_or(entry).to_string());
            }
            _ => {}
        }
    }
    let flags: Vec<String> = flags.into_iter().collect();
    writeln!(out, "stagehoist {}: {}", words.join(" "), flags.join("; ")).unwrap();
    for command in commands.into_iter().filter(|c| *c != "help") {
        let words: Vec<String> = words.iter().cloned().chain([command.to_string()]).collect();
        usage(&words, out);
    }
}

#[test]
fn words_and_flags_of_the_command_are_as_they_were() {
    let mut text = String::new();
    usage(&[], &mut text);
    assert!(text == include_str!("golden/usage.txt"), "usage changed to\n{text}");
}

#[test]
fn exit_codes_are_as_they_were() {
    let code = |args: &[&str]| {
        let mut command = stagehoist();
        command.args(args).stdout(Stdio::null()).stderr(Stdio::null()).env_remove("GW_CONFIG");
        command.status().unwrap().code()
    };
    assert_eq!(code(&["--version"]), Some(0));
    assert_eq!(code(&[]), Some(2));
    assert_eq!(code(&["no-such-word"]), Some(2));
    assert_eq!(code(&["--log", "=,=", "check", "nowhere.conf"]), Some(2));
    assert_eq!(code(&["check", "nowhere.conf"]), Some(2));
    assert_eq!(code(&["serve", "nowhere.conf"]), Some(2));
    assert_eq!(code(&["play", "nowhere.day"]), Some(1));
    assert_eq!(code(&["platform"]), Some(2));
}

struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Polls the metrics endpoint until it is complete, and returns its response.
fn page(address: SocketAddr) -> String {
    let deadline = Instant::now() + Duration::from_secs(20);
    loop {
        let mut text = String::new();
        if let Ok(mut stream) = TcpStream::connect(address) {
            let request = "GET /metrics HTTP/1.1\r\nhost: metrics\r\nconnection: close\r\n\r\n";
            stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
            let _ = stream.write_all(request.as_bytes());
            let _ = stream.read_to_string(&mut text);
        }
        // The recovery stage is published after all other metrics.
        if text.contains("stagehoist_view_version") {
            return text;
        }
        assert!(Instant::now() < deadline, "metrics incomplete at the deadline:\n{text}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Collects the names and labels of the metrics in a response, without values.
fn series(page: &str, out: &mut BTreeSet<String>) {
    for line in page.lines().filter(|line| line.starts_with("stagehoist_")) {
        let (series, _value) = line.rsplit_once(' ').unwrap();
        out.insert(series.to_string());
    }
}

/// Starts a process with these additional configuration lines and returns its metrics.
fn metrics_with(lines: &str) -> String {
    let folder = tempfile::tempdir().unwrap();
    let free = || TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let (broker, metrics) = (free(), free());
    std::fs::write(folder.path().join("workers.list"), "w1 127.0.0.1:9 capacity 4\n").unwrap();
    std::fs::write(folder.path().join("front-ends.list"), "front-end-0\nfront-end-1\n").unwrap();
    let text = format!(
        "class lookup aim 800ms give-up 2500ms\nfunction f class lookup memory 64MB\nconsume calls\n\
         broker amqp://guest:guest@{broker}/\nworker-list file workers.list poll 20ms\n\
         listen metrics {metrics}\ndrain-most 1s\nmember a\nkeeper 1 {keeper}\n{lines}",
        keeper = free(),
    );
    std::fs::write(folder.path().join("a.conf"), text).unwrap();
    let mut command = stagehoist();
    command.args(["serve", "a.conf"]).current_dir(folder.path());
    command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
    let _process = Process(command.spawn().unwrap());
    page(metrics)
}

#[test]
fn names_and_labels_of_the_metrics_are_as_they_were() {
    let mut names = BTreeSet::new();
    series(&metrics_with("fleet-folder folder\nrecover waking 100ms asking 100ms\n"), &mut names);
    let divided = "front-ends 1\nfleet-front-ends 2\nshards 2 generation 1\n\
        shard-front-ends-list file front-ends.list poll 20ms\n";
    series(&metrics_with(divided), &mut names);
    let text: String = names.iter().map(|name| format!("{name}\n")).collect();
    assert!(text == include_str!("golden/metrics.txt"), "metrics changed to\n{text}");
}
