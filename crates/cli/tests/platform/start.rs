//! Starts with invalid or large configurations.

use crate::stage::{ms, served, Stage, LOOK};
use rustix::process::Signal;
use serde_json::json;
use stagehoist_emulator::platform::bus::record;
use stagehoist_emulator::platform::{Executor, ExecutorRequest};
use std::process::Command;

#[test]
fn an_invalid_configuration_prevents_the_start_and_names_the_field() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    let mut command = Command::new(env!("CARGO_BIN_EXE_stagehoist"));
    let out = command.arg("platform").env_remove("GW_CONFIG").output().unwrap();
    let told = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(out.status.code() == Some(2) && told.contains("GW_CONFIG is not set"), "{told}");
    for (text, named) in [("{}", "name"), ("nothing", "line 1"), (r#"{"name":"n","listen":5}"#, "listen")] {
        std::fs::write(&path, text).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_stagehoist"));
        let out = command.arg("platform").env("GW_CONFIG", &path).output().unwrap();
        let told = String::from_utf8_lossy(&out.stderr).into_owned();
        assert!(out.status.code() == Some(2) && told.contains(named), "{told}");
    }
}

/// There are more executors than descriptors: connections are opened on demand and the longest idle one is evicted.
/// The front end is a single process, starts no other, and listens at its address only.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn four_hundred_executors_are_used_within_256_descriptors() {
    let mut stage = Stage::start(400, 256).await;
    let pid = stage.child.id();
    let here = format!("/proc/{pid}");
    let descriptors = || std::fs::read_dir(format!("{here}/fd")).map_or(0, Iterator::count);
    assert!(descriptors() < 40, "connections to executors before any call: {}", descriptors());
    let mut client = stage.client().await;
    let mut max_descriptors = 0;
    for n in 1..=400u64 {
        // Each call is for a function that no executor holds, so that it is tried at one executor after another.
        let fields = format!(
            "ref={n:016x},allow={LOOK},project=acme,lookup={:016x},effort=20,extras=memory_mb:1;lanes:4",
            1000 + n
        );
        client.request(n, "look", &fields, b"x").await.unwrap();
        if n == 200 {
            stage.signal(Signal::HUP);
        }
        tokio::time::sleep(ms(8)).await;
        max_descriptors = max_descriptors.max(descriptors());
    }
    let answers = client.wait(400, ms(4000)).await;
    let touched = |e: &&Executor| e.seen().iter().any(|s| matches!(s.what, ExecutorRequest::Run { .. }));
    let touched = stage.executors.iter().filter(touched).count();
    assert_eq!(answers.len(), 400);
    assert!(touched > 150, "only {touched} executors received a call");
    assert!((100..=256).contains(&max_descriptors), "{max_descriptors} descriptors");
    // Ordinary calls are still served.
    stage.calls(&mut client, 1001..=1020, ms(10)).await;
    assert_eq!(served(&client.wait(420, ms(4000)).await[400..]), 20);
    let children = std::fs::read_to_string(format!("{here}/task/{pid}/children"));
    assert!(children.is_ok_and(|c| c.trim().is_empty()), "the front end started another process");
    let sockets: Vec<String> = std::fs::read_dir(format!("{here}/fd"))
        .unwrap()
        .flatten()
        .filter_map(|f| {
            std::fs::read_link(f.path())
                .ok()?
                .to_str()?
                .strip_prefix("socket:[")?
                .strip_suffix(']')
                .map(str::to_string)
        })
        .collect();
    let unix = std::fs::read_to_string(format!("{here}/net/unix")).unwrap();
    // Matches the flag of a listening Unix socket.
    let listens =
        |l: &&str| l.contains(" 00010000 ") && sockets.iter().any(|s| l.split_whitespace().any(|w| w == s));
    assert_eq!(unix.lines().filter(listens).count(), 0);
    stage.signal(Signal::TERM);
    assert_eq!(stage.ends(ms(3500)).await, Some(0));
}

/// The largest supported numbers: 1,500 executors and 1,200 front ends. The process must need no more memory than
/// with few of either.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn fifteen_hundred_executors_and_twelve_hundred_front_ends_are_supported() {
    let many = |told: &mut serde_json::Value| {
        told["settings"]["balancers"] = json!(1200);
        let hosts = told["known"]["batch"][0]["topology"]["hosts"].as_array_mut().unwrap();
        // Their addresses are those of the three running executors.
        let three = hosts.clone();
        hosts.extend((4..=1500).map(|id| {
            let mut host = three[id % 3].clone();
            host["host"] = json!(format!("s-{id:08x}"));
            host
        }));
    };
    let mut stage = Stage::start_with(3, 256, many).await;
    let mut client = stage.client().await;
    stage.calls(&mut client, 1..=60, ms(10)).await;
    assert_eq!(served(&client.wait(60, ms(4000)).await), 60);
    let status = std::fs::read_to_string(format!("/proc/{}/status", stage.child.id())).unwrap();
    let own = status.lines().find_map(|l| l.strip_prefix("RssAnon:")).unwrap();
    let kb: u64 = own.trim().trim_end_matches(" kB").parse().unwrap();
    assert!(kb < 12_000, "{kb} kB");
    // All of them change at once, in one frame.
    let gone: Vec<_> = (4..=1500).map(|id| record(id, stage.executors[0].address, 2, 0)).collect();
    stage.bus.change(&gone);
    tokio::time::sleep(ms(300)).await;
    stage.calls(&mut client, 61..=90, ms(10)).await;
    assert_eq!(served(&client.wait(90, ms(4000)).await[60..]), 30);
    stage.signal(Signal::TERM);
    assert_eq!(stage.ends(ms(3500)).await, Some(0));
}

/// There are more initial events than the driver's queue holds: all of them must be applied before the first call,
/// and the start must complete.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn twenty_thousand_initial_events_are_applied_before_the_first_call() {
    let many = |told: &mut serde_json::Value| {
        let host = told["known"]["batch"][0]["topology"]["hosts"][0].clone();
        let batch = told["known"]["batch"].as_array_mut().unwrap();
        for number in 2..=20_001 {
            let mut host = host.clone();
            // The first executor alternates between ready and draining, and drains in the end.
            host["health"] = json!(["draining", "ready"][number % 2].to_string());
            if number == 20_001 {
                host["health"] = json!("draining");
            }
            batch.push(
                json!({"offset": number, "topology": {"seq": number, "whole": false, "hosts": [host]}}),
            );
        }
        told["known"]["offset"] = json!(20_001);
    };
    let mut stage = Stage::start_with(3, 256, many).await;
    let mut client = stage.client().await;
    stage.calls(&mut client, 1..=40, ms(5)).await;
    assert_eq!(served(&client.wait(40, ms(4000)).await), 40);
    assert_eq!(stage.runs(0), 0, "sent to an executor that drained before the start");
}
