//! The live front end on its whole path: the command as the platform starts it, between stand-in clients, executors and an event
//! bus, judged by what crossed their sockets.

use rustix::process::{kill_process, Pid, Signal};
use serde_json::json;
use stagehoist_standin::platform::bus::{record, Mood};
use stagehoist_standin::platform::client::array;
use stagehoist_standin::platform::{judge, Answered, Asked, Client, EventBus, Executor, Fault, Told, What};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const LOOK: u64 = 1500;
const KEYS: [&str; 4] = ["7f3a9c21e0b4d655", "0000000000000002", "0000000000000003", "0000000000000004"];

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

struct Stage {
    _folder: tempfile::TempDir,
    config: PathBuf,
    executors: Vec<Executor>,
    bus: EventBus,
    child: Child,
    listen: SocketAddr,
    asked: Vec<Asked>,
    told: Told,
}

fn config(executors: &[Executor], bus: SocketAddr, sockets: u64) -> serde_json::Value {
    let host = |e: &Executor| {
        json!({"host": format!("s-{:08x}", e.id), "dial": e.address.to_string(), "site": "here",
        "class": "std", "block": 0, "health": "ready", "share": 8.0, "born_ms": 0})
    };
    let class = |name: &str, effect: &str| {
        json!({"name": name, "aim": 800.0, "hard_limit": 2000.0, "effect": effect,
        "gain": 1.0, "late_worth": 0.1})
    };
    json!({"name": "n0", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964", "bus": bus.to_string(),
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": sockets},
        "known": {"offset": 1, "batch": [{"offset": 1, "topology": {"seq": 0, "whole": true,
            "hosts": executors.iter().map(host).collect::<Vec<_>>()}}]},
        "settings": {"areas": ["here"], "machine_types": ["std"], "balancers": 1, "granularity": 1.0, "zone": 0,
            "classes": [class("look", "idempotent"), class("book", "at_most_once")],
            "parties": [{"name": "acme", "allowance_per_s": 1000.0}],
            "limits": {"cancel": true, "probes": true, "connect_timeout": 250.0, "idle_close": 30000.0, "most_tries": 3,
                "multiplex": 32, "most_held": 2000, "second_copies": true, "retry_after": false},
            "load_info": {"fields": ["rif", "x0"], "via": "on_probe"},
            "invariants": {"drain_grace": 250.0, "fall": 1000.0, "overload_factor": 2.0, "start_capacity": 0.3,
                "warm_up": 5000.0},
            "specifics": {"if_cold": "miss", "idle_life": 4000.0, "load_wait": 3000.0, "placement_calls": true,
                "counts_alike": true, "ram_mb_by_kind": [100000.0], "load_free": 6.0, "load_part": 0.1,
                "loads_within": 10000.0}}})
}

impl Stage {
    async fn start(executors: u32, sockets: u64) -> Stage {
        Stage::start_with(executors, sockets, |_| ()).await
    }

    /// With another configuration than the usual.
    async fn start_with(executors: u32, sockets: u64, edit: impl Fn(&mut serde_json::Value)) -> Stage {
        let mut all = Vec::new();
        for id in 1..=executors {
            let executor = Executor::start(id, ms(20), ms(100)).await.unwrap();
            executor.holds(&KEYS);
            all.push(executor);
        }
        let bus = EventBus::start(1).await.unwrap();
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("config.json");
        let mut told = config(&all, bus.address, sockets);
        edit(&mut told);
        std::fs::write(&path, told.to_string()).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_stagehoist"))
            .args(["--log", "info", "platform"])
            .env("GW_CONFIG", &path)
            .env_remove("GW_LISTEN")
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let listen = loop {
            let mut line = String::new();
            assert!(log.read_line(&mut line).unwrap() > 0, "ended before it started");
            if let Some(at) = line.find("listen=") {
                break line[at + 7..].split(' ').next().unwrap().parse().unwrap();
            }
        };
        std::thread::spawn(move || log.lines().for_each(drop));
        let told = Told { grace: ms(250), ration: (6.0, 0.1, ms(10_000)), ..Told::default() };
        let asked = Vec::new();
        let stage = Stage { _folder: folder, config: path, executors: all, bus, child, listen, asked, told };
        let mut client = stage.client().await;
        client.raw(&array(&[b"HEALTH", b"8", b""])).await.unwrap();
        assert_eq!(client.wait(1, ms(5000)).await[0].word, "serving");
        stage
    }

    async fn client(&self) -> Client {
        Client::connect(self.listen).await.unwrap()
    }

    /// Writes call number `n`, unsafe for odd ones.
    async fn call(&mut self, client: &mut Client, n: u64) {
        let (class, is_unsafe) = if n % 2 == 1 { ("book", true) } else { ("look", false) };
        let id = format!("{n:016x}");
        let key = KEYS[(n / 2 % 4) as usize];
        let fields =
            format!("ref={id},allow={LOOK},project=acme,lookup={key},effort=20,extras=memory_mb:64;lanes:4");
        let body = vec![n as u8; (n % 300) as usize];
        let at = Instant::now();
        client.request(n, class, &fields, &body).await.unwrap();
        let (tag, allow, left) = (n.to_string(), ms(LOOK), false);
        self.asked.push(Asked { at, id, tag, allow, is_unsafe, body, left });
    }

    /// Writes calls of these numbers, one after each pause.
    async fn calls(&mut self, client: &mut Client, numbers: std::ops::RangeInclusive<u64>, pause: Duration) {
        for n in numbers {
            self.call(client, n).await;
            tokio::time::sleep(pause).await;
        }
    }

    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_raw(self.child.id() as i32).unwrap(), signal).unwrap();
    }

    fn verdict(&self, answers: &[Answered]) {
        let seen: Vec<_> = self.executors.iter().map(|e| (e.id, e.seen())).collect();
        let broken = judge(&self.asked, answers, &seen, &self.told);
        assert!(broken.is_empty(), "{broken:#?}");
    }

    fn drain(&mut self, n: usize) {
        let e = &self.executors[n];
        self.bus.change(&[record(e.id, e.address, 1, 0)]);
        self.told.drained.insert(e.id, Instant::now());
    }

    fn runs(&self, n: usize) -> usize {
        self.executors[n].seen().iter().filter(|s| matches!(s.what, What::Run { .. })).count()
    }

    async fn ends(&mut self, limit: Duration) -> Option<i32> {
        let by = Instant::now() + limit;
        while Instant::now() < by {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            tokio::time::sleep(ms(10)).await;
        }
        None
    }
}

impl Drop for Stage {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn served(answers: &[Answered]) -> usize {
    answers.iter().filter(|a| a.word == "200").count()
}

async fn settle(clients: &mut [Client], each: usize) -> Vec<Answered> {
    let mut all = Vec::new();
    for client in clients {
        all.extend(client.wait(each, ms(4000)).await);
    }
    all
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_are_served_whole_and_in_any_order_and_misses_are_loaded() {
    let mut stage = Stage::start(3, 256).await;
    let mut client = stage.client().await;
    stage.calls(&mut client, 1..=30, ms(10)).await;
    let answers = client.wait(30, ms(4000)).await;
    assert_eq!(served(&answers), 30);
    // A function that no one holds is loaded by order.
    let fields = format!("ref=00000000000000aa,allow={LOOK},project=acme,lookup=00000000000000bb,effort=20,extras=memory_mb:64;lanes:4;load_ms:100");
    client.request(99, "look", &fields, b"x").await.unwrap();
    assert_eq!(client.wait(31, ms(4000)).await[30].word, "200");
    let held = |e: &Executor| {
        e.seen().iter().any(|s| matches!(&s.what, What::Hold { key, .. } if key == "00000000000000bb"))
    };
    assert!(stage.executors.iter().any(held));
    // Never answered by its executor and given up by its client: stopped, and nothing more is written for it.
    stage.executors.iter().for_each(|e| e.spoil([Fault::Never]));
    client.request(100, "look", &fields.replace("aa,", "ab,"), b"x").await.unwrap();
    tokio::time::sleep(ms(100)).await;
    client.raw(&array(&[b"ABORT", b"100"])).await.unwrap();
    tokio::time::sleep(ms(300)).await;
    let stopped =
        |e: &Executor| e.seen().iter().any(|s| s.what == What::Stop { id: "00000000000000ab".into() });
    assert!(stage.executors.iter().any(stopped));
    assert_eq!(client.answers().len(), 31);
    stage.verdict(&answers);
}

/// Every way to spoil an answer, for safe and unsafe calls, with others on the same connections.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn spoilt_answers_break_no_rule_and_others_go_on() {
    use Fault::*;
    let mut stage = Stage::start(3, 256).await;
    let mut clients = Vec::new();
    for _ in 0..4 {
        clients.push(stage.client().await);
    }
    let faults = [
        Noise,
        Endless,
        WrongLength,
        Huge,
        CutOff,
        StopsShort,
        Never,
        Late,
        Twice,
        UnknownBefore,
        Reset,
        Error,
    ];
    let mut n = 0;
    for fault in faults {
        stage.executors.iter().for_each(|e| e.spoil([fault]));
        for client in &mut clients {
            for _ in 0..4 {
                n += 1;
                stage.call(client, n).await;
            }
        }
        tokio::time::sleep(ms(150)).await;
    }
    let answers = settle(&mut clients, 48).await;
    assert_eq!(answers.len(), 192);
    // Three answers of each kind were spoilt; doubled ones and those behind an unknown id count as good.
    assert!(served(&answers) >= 150, "{} served", served(&answers));
    stage.verdict(&answers);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drains_are_kept_over_breaks_silence_repeats_and_a_new_address_of_the_bus() {
    let mut stage = Stage::start(5, 256).await;
    let mut client = stage.client().await;
    let mut n = 0;
    for step in 0..4 {
        match step {
            0 => stage.bus.mood(Mood::Twice),
            1 => stage.bus.mood(Mood::Cut),
            2 => {
                // Silent with its connection open: found by time, told on the next connection.
                stage.bus.mood(Mood::Silent);
                tokio::time::sleep(ms(1200)).await;
            }
            _ => {
                let bus = EventBus::start(1).await.unwrap();
                stage.bus.copy_to(&bus);
                stage.bus = bus;
                std::fs::write(&stage.config, "{ broken").unwrap();
                stage.signal(Signal::HUP);
                tokio::time::sleep(ms(100)).await;
                let text = config(&stage.executors, stage.bus.address, 256).to_string();
                std::fs::write(&stage.config, text).unwrap();
                (0..10).for_each(|_| stage.signal(Signal::HUP));
            }
        }
        stage.drain(step);
        if step == 2 {
            stage.bus.mood(Mood::Well);
        }
        // What the bus would have told counts later where it breaks, is silent or moves.
        let allowed = [0, 2000, 4000, 4000][step];
        let id = stage.executors[step].id;
        *stage.told.drained.get_mut(&id).unwrap() += ms(allowed);
        let by = Instant::now() + ms(allowed + 350);
        while Instant::now() < by {
            n += 1;
            stage.call(&mut client, n).await;
            tokio::time::sleep(ms(20)).await;
        }
        let before = stage.runs(step);
        stage.calls(&mut client, n + 1..=n + 20, ms(10)).await;
        n += 20;
        assert_eq!(stage.runs(step), before, "step {step}: sent to a drained executor");
    }
    let answers = client.wait(n as usize, ms(4000)).await;
    assert_eq!(answers.len(), n as usize);
    assert!(served(&answers) * 10 >= answers.len() * 9, "{} of {n}", served(&answers));
    stage.verdict(&answers);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_executor_that_ends_and_one_that_takes_its_place_leave_no_call_unanswered() {
    let mut stage = Stage::start(3, 256).await;
    let mut client = stage.client().await;
    let mut n = 0;
    for round in 0..100u64 {
        n += 1;
        stage.call(&mut client, n).await;
        if round == 20 {
            stage.executors[0].end();
        }
        if round == 40 {
            let new = Executor::start(77, ms(20), ms(100)).await.unwrap();
            new.holds(&KEYS);
            let old = &stage.executors[0];
            let events = [record(old.id, old.address, 2, 0), record(77, new.address, 0, 0)];
            stage.bus.change(&events);
            stage.told.drained.insert(old.id, Instant::now());
            stage.executors.push(new);
        }
        tokio::time::sleep(ms(10)).await;
    }
    let answers = client.wait(n as usize, ms(4000)).await;
    assert_eq!(answers.len(), 100);
    assert!(served(&answers) >= 90 && stage.runs(3) > 0, "{} served", served(&answers));
    stage.verdict(&answers);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn at_sigterm_all_that_came_in_time_is_answered_and_the_exit_code_is_0() {
    let mut stage = Stage::start(3, 256).await;
    let mut clients = vec![stage.client().await];
    stage.executors.iter().for_each(|e| e.spoil([Fault::Never]));
    for n in 1..=20 {
        stage.call(&mut clients[0], n).await;
    }
    stage.signal(Signal::TERM);
    let term = Instant::now();
    let mut n = 20;
    while term.elapsed() < ms(600) {
        n += 1;
        if n == 30 {
            clients.push(stage.client().await);
        }
        let last = clients.len() - 1;
        stage.call(&mut clients[last], n).await;
        tokio::time::sleep(ms(20)).await;
    }
    let code = stage.ends(ms(2700)).await;
    let mut answers = Vec::new();
    for client in &mut clients {
        answers.extend(client.wait(usize::MAX, ms(200)).await);
    }
    assert_eq!((answers.len(), code), (n as usize, Some(0)));
    stage.verdict(&answers);
}

/// Stopped for longer than calls take: answers that came meanwhile are passed on, and nothing runs out of time for it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_process_that_did_not_run_for_a_while_holds_it_against_no_one() {
    let mut stage = Stage::start(3, 256).await;
    let mut client = stage.client().await;
    for n in 1..=40 {
        if n % 10 == 0 {
            stage.signal(Signal::STOP);
            tokio::time::sleep(ms(300)).await;
            stage.signal(Signal::CONT);
        }
        stage.call(&mut client, n).await;
        tokio::time::sleep(ms(10)).await;
    }
    let answers = client.wait(40, ms(4000)).await;
    assert_eq!((answers.len(), served(&answers)), (40, 40));
    stage.verdict(&answers);
}

/// Each kind of bad client is answered or closed within 3 s (6 s with a large body), never served, and the usual one goes on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bad_clients_are_turned_away_in_time_and_the_usual_go_on() {
    let mut stage = Stage::start(2, 256).await;
    let mut usual = stage.client().await;
    let good = |id: &str| format!("ref={id},allow={LOOK},project=acme,lookup={}", KEYS[0]);
    let request = |fields: &str| array(&[b"REQ", b"7", b"look", fields.as_bytes(), b"x"]);
    let mut big = b"*5\r\n$3\r\nREQ\r\n$1\r\n7\r\n$4\r\nlook\r\n$1\r\n-\r\n$60000000\r\n".to_vec();
    big.resize(60_000_000, b'x');
    let open = good("00000000000000f1");
    stage.executors.iter().for_each(|e| e.spoil([Fault::Never]));
    let mut holder = stage.client().await;
    holder.raw(&request(&open)).await.unwrap();
    tokio::time::sleep(ms(50)).await;
    let bad: Vec<(&str, Vec<u8>)> = vec![
        ("not RESP", b"GET / HTTP/1.1\r\n\r\n".to_vec()),
        ("noise", vec![0x16, 3, 1, 0, 0xff, 0]),
        ("endless", vec![b'*'; 2_000_000]),
        ("endless number", [b"*1\r\n$".to_vec(), vec![b'1'; 100_000]].concat()),
        ("negative length", b"*1\r\n$-7\r\n".to_vec()),
        ("60 MB", big),
        ("unknown class", array(&[b"REQ", b"7", b"nothing", good("00000000000000f2").as_bytes(), b""])),
        ("unknown tenant", request(&good("00000000000000f3").replace("acme", "nobody"))),
        ("no number", request(&good("00000000000000f4").replace("1500", "soon"))),
        ("out of range", request(&good("00000000000000f5").replace("1500", "1e12"))),
        ("no id", request(&good("x").replace("ref=x,", ""))),
        ("id of an open request", request(&open)),
        (
            "one number twice",
            [request(&good("00000000000000f6")), request(&good("00000000000000f7"))].concat(),
        ),
        ("half a request", request(&good("00000000000000f8"))[..40].to_vec()),
        ("nothing", Vec::new()),
    ];
    let mut tasks = tokio::task::JoinSet::new();
    for (name, bytes) in bad {
        let to = stage.listen;
        tasks.spawn(async move {
            let begun = Instant::now();
            let mut client = Client::connect(to).await.unwrap();
            // A close while it writes is an answer too.
            let _ = client.raw(&bytes).await;
            let answers = client.wait(1, ms(6000)).await;
            let limit = if bytes.len() > 10_000_000 { 6000 } else { 3000 };
            let told = answers.first().map(|a| a.word.clone());
            assert!(told.is_some() || client.closed().is_some(), "{name}: neither answer nor close");
            assert!(begun.elapsed() < ms(limit), "{name}: {:?}", begun.elapsed());
            assert!(answers.iter().all(|a| a.word != "200"), "{name} was served");
        });
    }
    stage.calls(&mut usual, 1..=60, ms(20)).await;
    while let Some(done) = tasks.join_next().await {
        done.unwrap();
    }
    let answers = usual.wait(60, ms(4000)).await;
    assert_eq!(answers.len(), 60);
    assert!(served(&answers) >= 57, "{}", served(&answers));
    stage.verdict(&answers);
}

/// More connections than descriptors allow: the silent make way, the usual client is served, and nothing spins or ends.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hundreds_of_silent_connections_keep_no_one_out() {
    let mut stage = Stage::start(2, 64).await;
    let mut silent = Vec::new();
    for n in 0..300 {
        silent.push(Client::connect(stage.listen).await.unwrap());
        if n % 30 == 29 {
            let mut client = stage.client().await;
            stage.call(&mut client, n).await;
            let answers = client.wait(1, ms(3000)).await;
            assert_eq!(served(&answers), 1, "at {n} connections");
        }
    }
    tokio::time::sleep(ms(2800)).await;
    let closed = silent.iter().filter(|c| c.closed().is_some()).count();
    assert_eq!(closed, 300, "silent connections are closed in time");
    assert_eq!(stage.child.try_wait().unwrap(), None);
}

#[test]
fn a_wrong_configuration_ends_the_start_and_names_the_field() {
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

/// More executors than descriptors: connections come by need and the longest idle makes way. One process all along, which
/// starts nothing and listens nowhere but at its address.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn four_hundred_executors_are_used_within_256_descriptors() {
    let mut stage = Stage::start(400, 256).await;
    let pid = stage.child.id();
    let here = format!("/proc/{pid}");
    let descriptors = || std::fs::read_dir(format!("{here}/fd")).map_or(0, Iterator::count);
    assert!(descriptors() < 40, "connections to executors before any call: {}", descriptors());
    let mut client = stage.client().await;
    let mut most = 0;
    for n in 1..=400u64 {
        // Each of a function that no one holds, so that it is tried at one executor after the other.
        let fields = format!(
            "ref={n:016x},allow={LOOK},project=acme,lookup={:016x},effort=20,extras=memory_mb:1;lanes:4",
            1000 + n
        );
        client.request(n, "look", &fields, b"x").await.unwrap();
        if n == 200 {
            stage.signal(Signal::HUP);
        }
        tokio::time::sleep(ms(8)).await;
        most = most.max(descriptors());
    }
    let answers = client.wait(400, ms(4000)).await;
    let touched = |e: &&Executor| e.seen().iter().any(|s| matches!(s.what, What::Run { .. }));
    let touched = stage.executors.iter().filter(touched).count();
    assert_eq!(answers.len(), 400);
    assert!(touched > 150, "{touched} executors saw a call");
    assert!((100..=256).contains(&most), "{most} descriptors");
    // The usual calls are served as ever.
    stage.calls(&mut client, 1001..=1020, ms(10)).await;
    assert_eq!(served(&client.wait(420, ms(4000)).await[400..]), 20);
    let children = std::fs::read_to_string(format!("{here}/task/{pid}/children"));
    assert!(children.is_ok_and(|c| c.trim().is_empty()), "it started another process");
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
    // The flag of a Unix socket that listens.
    let listens =
        |l: &&str| l.contains(" 00010000 ") && sockets.iter().any(|s| l.split_whitespace().any(|w| w == s));
    assert_eq!(unix.lines().filter(listens).count(), 0);
    stage.signal(Signal::TERM);
    assert_eq!(stage.ends(ms(3500)).await, Some(0));
}

/// As many as are ever told: 1,500 executors, one of 1,200 front ends, and the memory of a process with few of either.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn fifteen_hundred_executors_and_twelve_hundred_front_ends_may_be_told() {
    let many = |told: &mut serde_json::Value| {
        told["settings"]["balancers"] = json!(1200);
        let hosts = told["known"]["batch"][0]["topology"]["hosts"].as_array_mut().unwrap();
        // Their addresses are those of the three that stand.
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
    // A change of all of them at once, in one frame.
    let gone: Vec<_> = (4..=1500).map(|id| record(id, stage.executors[0].address, 2, 0)).collect();
    stage.bus.change(&gone);
    tokio::time::sleep(ms(300)).await;
    stage.calls(&mut client, 61..=90, ms(10)).await;
    assert_eq!(served(&client.wait(90, ms(4000)).await[60..]), 30);
    stage.signal(Signal::TERM);
    assert_eq!(stage.ends(ms(3500)).await, Some(0));
}
