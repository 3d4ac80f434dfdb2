//! While discovery is down, an executor is replaced by one of another cell at its address: is a keyed request that may
//! have run still sent again only within the cell that drops its repeats?

#[path = "../common-2/kit.rs"]
mod kit;

use kit::*;
use std::collections::{BTreeMap, HashSet};
use std::fs::OpenOptions;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const FUNCTIONS: [&str; 3] = ["7f3a9c21e0b4d655", "7f3a9c21e0b4d656", "7f3a9c21e0b4d657"];
const RUN: Duration = Duration::from_millis(400);
const LOAD: Duration = Duration::from_millis(410);
/// Pages: 8 s. The case does not run where it lasted for longer.
const OUTAGE: Duration = Duration::from_millis(7800);
const LONGEST_OUTAGE: Duration = Duration::from_secs(8);
const ALLOW: Duration = Duration::from_millis(2500);
/// The time within which a cell remembers keys, and the slack of every time limit, in ms.
const KEY_TTL: u64 = 5000;
const SLACK: u64 = 50;
/// How long requests are sent, and the pause between two of them.
const TRAFFIC: Duration = Duration::from_millis(10_300);
const PAUSE: Duration = Duration::from_millis(8);

// ------------------------------------------------------------------------------------ executors, processes of their own

/// `case-7 executor ADDRESS LOG KNOWN-FUNCTIONS`: writes a line `UNIX-MS WHAT ID` for each request.
fn run_executor(arguments: &[String]) -> ! {
    let [address, log, known] = arguments else { std::process::exit(2) };
    let known: HashSet<String> = known.split(',').filter(|f| !f.is_empty()).map(str::to_string).collect();
    let log = OpenOptions::new().create(true).append(true).open(log).unwrap_or_else(|_| std::process::exit(2));
    let (known, log) = (Arc::new(Mutex::new(known)), Arc::new(Mutex::new(log)));
    let listener = TcpListener::bind(address).unwrap_or_else(|_| std::process::exit(2));
    for stream in listener.incoming().flatten() {
        let (known, log) = (known.clone(), log.clone());
        thread::spawn(move || drop(serve(stream, &known, &log)));
    }
    std::process::exit(0)
}

fn serve(stream: TcpStream, known: &Arc<Mutex<HashSet<String>>>, log: &Arc<Mutex<std::fs::File>>) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let write = Arc::new(Mutex::new(stream.try_clone()?));
    let mut read = BufReader::new(stream);
    let stopped: Arc<Mutex<HashSet<String>>> = Arc::default();
    loop {
        let mut line = String::new();
        if read.read_line(&mut line)? == 0 {
            return Ok(());
        }
        let words: Vec<&str> = line.trim_end().split(' ').collect();
        match words[..] {
            ["RUN", id, fields, length] => {
                let mut body = vec![0; length.parse::<usize>().unwrap_or(0) + 2];
                read.read_exact(&mut body)?;
                note(log, "run", id);
                let function = fields.split(',').find_map(|f| f.strip_prefix("key=")).unwrap_or_default().to_string();
                let (id, write, known, log, stopped) = (id.to_string(), write.clone(), known.clone(), log.clone(), stopped.clone());
                thread::spawn(move || {
                    // An executor that lacks the function loads it while the request waits there.
                    if !known.lock().unwrap().contains(&function) {
                        thread::sleep(LOAD);
                        known.lock().unwrap().insert(function);
                    }
                    thread::sleep(RUN);
                    if stopped.lock().unwrap().contains(&id) {
                        return;
                    }
                    note(&log, "ok", &id);
                    let body = made_for(&id);
                    let mut bytes = format!("{id} OK queue_fn=0 {}\r\n", body.len()).into_bytes();
                    bytes.extend_from_slice(&body);
                    bytes.extend_from_slice(b"\r\n");
                    let _ = write.lock().unwrap().write_all(&bytes);
                });
            }
            ["STOP", id] => {
                note(log, "stop", id);
                stopped.lock().unwrap().insert(id.to_string());
            }
            ["NOOP" | "INFO", tag] => write.lock().unwrap().write_all(format!("{tag} UP - 0\r\n\r\n").as_bytes())?,
            ["HOLD", tag, fields] => {
                let function = fields.split(',').find_map(|f| f.strip_prefix("key=")).unwrap_or_default().to_string();
                let (write, known, tag) = (write.clone(), known.clone(), tag.to_string());
                thread::spawn(move || {
                    thread::sleep(LOAD);
                    known.lock().unwrap().insert(function);
                    let _ = write.lock().unwrap().write_all(format!("{tag} OK copies=1 0\r\n\r\n").as_bytes());
                });
            }
            ["FREE", _] => {}
            _ => return Ok(()),
        }
    }
}

fn note(log: &Mutex<std::fs::File>, what: &str, id: &str) {
    let _ = log.lock().unwrap().write_all(format!("{} {what} {id}\n", unix_ms()).as_bytes());
}

/// An executor as the platform knows it.
struct Member {
    name: &'static str,
    id: u32,
    cell: u16,
    address: SocketAddr,
    log: PathBuf,
    child: Child,
    born_ms: u64,
}

impl Member {
    fn start(name: &'static str, id: u32, cell: u16, address: SocketAddr, known: &str, born_ms: u64, temp: &Path) -> Member {
        let log = temp.join(format!("executor-{name}.log"));
        let program = std::env::current_exe().unwrap_or_else(|e| cannot_run(&e.to_string()));
        let child = Command::new(program)
            .args(["executor", &address.to_string(), &log.display().to_string(), known])
            .stdin(Stdio::null())
            .spawn()
            .unwrap_or_else(|e| cannot_run(&e.to_string()));
        note_started(child.id());
        let member = Member { name, id, cell, address, log, child, born_ms };
        let by = Instant::now() + Duration::from_secs(5);
        while TcpStream::connect_timeout(&address, ms(200)).is_err() {
            if Instant::now() > by {
                cannot_run(&format!("executor {name} does not listen"));
            }
            thread::sleep(ms(5));
        }
        member
    }

    fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        note_ended(self.child.id());
    }

    fn record(&self, state: u8) -> Vec<u8> {
        let SocketAddr::V4(address) = self.address else { cannot_run("not IPv4") };
        let mut bytes = self.id.to_be_bytes().to_vec();
        bytes.extend(address.ip().octets());
        bytes.extend(address.port().to_be_bytes());
        bytes.extend([state, 0, 0]);
        bytes.extend(self.cell.to_be_bytes());
        bytes.extend(6000u32.to_be_bytes());
        bytes.extend(self.born_ms.to_be_bytes());
        bytes
    }

    /// What it saw: when, what, the id of the request.
    fn seen(&self) -> Vec<(u64, String, String)> {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        let parse = |line: &str| {
            let mut words = line.split(' ');
            Some((words.next()?.parse().ok()?, words.next()?.to_string(), words.next()?.to_string()))
        };
        text.lines().filter_map(parse).collect()
    }
}

impl Drop for Member {
    fn drop(&mut self) {
        self.kill();
    }
}

// ------------------------------------------------------------------------------------------------------------ event bus

#[derive(Default)]
struct Bus {
    /// Payloads of the events from number 2 on.
    events: Mutex<Vec<Vec<u8>>>,
    is_silent: Mutex<bool>,
}

fn start_bus(bus: &Arc<Bus>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
    let address = listener.local_addr().unwrap_or_else(|e| cannot_run(&e.to_string()));
    let bus = bus.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let bus = bus.clone();
            thread::spawn(move || drop(follow(stream, &bus)));
        }
    });
    address
}

/// Tells one front end what it lacks, and an empty frame each second, unless the bus is silent.
fn follow(mut stream: TcpStream, bus: &Bus) -> std::io::Result<()> {
    let mut asked = [0; 8];
    stream.read_exact(&mut asked)?;
    let mut last = u64::from_be_bytes(asked).max(1);
    let mut empty_at = Instant::now();
    loop {
        if !*bus.is_silent.lock().unwrap() {
            let events = bus.events.lock().unwrap().clone();
            for payload in events.iter().skip(last as usize - 1) {
                last += 1;
                stream.write_all(&frame(last, 2, payload))?;
            }
            if Instant::now() >= empty_at {
                stream.write_all(&frame(last, 0, &[]))?;
                empty_at = Instant::now() + Duration::from_secs(1);
            }
        }
        thread::sleep(ms(5));
    }
}

fn frame(number: u64, kind: u8, payload: &[u8]) -> Vec<u8> {
    let mut bytes = (9 + payload.len() as u32).to_be_bytes().to_vec();
    bytes.extend(number.to_be_bytes());
    bytes.push(kind);
    bytes.extend_from_slice(payload);
    bytes
}

// --------------------------------------------------------------------------------------------------------------- the case

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if arguments.first().is_some_and(|a| a == "executor") {
        run_executor(&arguments[1..]);
    }
    let places = Places::from_args();
    let record = Record::create(&places.case.join("record.txt"));
    record.line(&format!("trouble: {}", trouble()));
    let started = unix_ms();
    let known = FUNCTIONS.join(",");
    let start = |name, id, cell| Member::start(name, id, cell, free_address(), &known, 0, &places.temp);
    // Two executors in each of four cells. Two of the eight die (pages: three in ten).
    let (mut a, mut c) = (start("a", 1, 1), start("c", 2, 1));
    let others = [start("e", 3, 2), start("f", 4, 2), start("g", 5, 3), start("h", 6, 3), start("i", 7, 4), start("j", 8, 4)];
    let bus = Arc::new(Bus::default());
    let (listen, bus_address) = (free_address(), start_bus(&bus));
    let all: Vec<&Member> = [&a, &c].into_iter().chain(&others).collect();
    let mut front_end = start_front_end(&places, listen, &keyed_configuration(listen, bus_address, &all));
    let mut clients: Vec<Client> = (0..6).map(|n| Client::connect(&n.to_string(), listen, record.clone())).collect();
    let begin = Instant::now();
    let outage = ms(2000);
    let mut steps = vec![
        (outage, "discovery is down"),
        (ms(6500), "c dies"),
        (ms(6800), "d starts at the address of c"),
        (ms(8300), "a dies"),
        (ms(8600), "b starts at the address of a"),
        (outage + OUTAGE, "discovery is back"),
    ];
    let tell = |record: Vec<u8>| bus.events.lock().unwrap().push(record);
    let (mut new, mut down_at, mut was_down) = (Vec::new(), None, Duration::ZERO);
    let mut n = 0;
    while begin.elapsed() < TRAFFIC {
        while steps.first().is_some_and(|(when, _)| begin.elapsed() >= *when) {
            let (_, step) = steps.remove(0);
            record.line(&format!("step: {step}"));
            match step {
                "discovery is down" => {
                    down_at = Some(Instant::now());
                    *bus.is_silent.lock().unwrap() = trouble();
                }
                "c dies" => {
                    c.kill();
                    tell(c.record(2));
                }
                "a dies" => {
                    a.kill();
                    tell(a.record(2));
                }
                "discovery is back" => {
                    *bus.is_silent.lock().unwrap() = false;
                    was_down = down_at.map_or(Duration::ZERO, |at| at.elapsed());
                }
                _ => {
                    let (name, id, cell, address) = if step.starts_with('d') { ("d", 9, 5, c.address) } else { ("b", 10, 6, a.address) };
                    let member = Member::start(name, id, cell, address, "", unix_ms(), &places.temp);
                    tell(member.record(0));
                    new.push(member);
                }
            }
        }
        let number = clients.len();
        clients[n % number].request("lookup", FUNCTIONS[n % FUNCTIONS.len()], ALLOW, b"key");
        n += 1;
        thread::sleep(PAUSE);
    }
    record.line(&format!("discovery was down for {} ms", was_down.as_millis()));
    if new.len() != 2 || was_down.is_zero() || was_down > LONGEST_OUTAGE {
        cannot_run("a step was not played, or the outage was longer than the pages allow");
    }
    thread::sleep(ALLOW + ms(500));
    let ended = front_end.ended();
    drop(front_end);
    let members: Vec<&Member> = [&a, &c].into_iter().chain(&others).chain(&new).collect();
    finish(verdict(&record, &clients, &members, started, ended));
}

fn verdict(record: &Record, clients: &[Client], members: &[&Member], started: u64, ended: Option<String>) -> i32 {
    // By request: each arrival at an executor, in order of time. No executor of this case answers MISS, BUSY or VOID, so
    // each may have run.
    let mut arrivals: BTreeMap<String, Vec<(u64, &Member)>> = BTreeMap::new();
    let mut served: BTreeMap<String, Vec<&str>> = BTreeMap::new();
    for member in members {
        for (at, what, id) in member.seen() {
            record.line(&format!("executor {} (cell {}) at {} ms: {what} {id}", member.name, member.cell, at - started));
            match what.as_str() {
                "run" => arrivals.entry(id).or_default().push((at, *member)),
                "ok" => served.entry(id).or_default().push(member.name),
                _ => {}
            }
        }
    }
    let (mut broken, mut total, mut lost) = (0, 0, 0);
    if let Some(status) = ended {
        record.say(&format!("BROKEN: the front end ended by itself: {status}"));
        broken += 1;
    }
    for sent in clients.iter().flat_map(Client::sent) {
        total += 1;
        lost += usize::from(sent.answers.is_empty());
        let Some(attempts) = arrivals.get_mut(&sent.id) else { continue };
        attempts.sort_by_key(|(at, _)| *at);
        let (first_at, first) = attempts[0];
        for (at, member) in &attempts[1..] {
            if member.cell != first.cell || at - first_at > KEY_TTL + SLACK {
                broken += 1;
                record.say(&format!(
                    "BROKEN: keyed request {} arrived at executor {} (cell {}) and {} ms later at executor {} (cell {}); run to the end by {:?}",
                    sent.id, first.name, first.cell, at - first_at, member.name, member.cell, served.get(&sent.id)
                ));
            }
        }
    }
    if total < 200 {
        cannot_run("hardly any request was sent");
    }
    record.say(&format!("{total} keyed requests, {lost} without an answer, {broken} breaks"));
    i32::from(broken > 0)
}

/// Settings like those of hobart-calendar, with its class keyed by cell as WIRE defines it.
fn keyed_configuration(listen: SocketAddr, bus: SocketAddr, members: &[&Member]) -> String {
    let host = |m: &&Member| {
        format!(
            r#"{{"host":"s-{:08x}","dial":"{}","site":"hall-a","class":"large","block":{},"health":"ready","share":6.0,"born_ms":0}}"#,
            m.id, m.address, m.cell
        )
    };
    let hosts: Vec<String> = members.iter().map(host).collect();
    format!(
        r#"{{"name":"n1","listen":"{listen}","seed":"8c1f30d27a5be964","bus":"{bus}",
 "limits":{{"cores":1.0,"memory_mb":96,"sockets":512}},
 "known":{{"offset":1,"batch":[{{"offset":1,"topology":{{"seq":1,"whole":true,"hosts":[{}]}}}}]}},
 "settings":{{"areas":["hall-a"],"machine_types":["large"],"balancers":1,"granularity":2.0,"zone":0,
  "classes":[{{"name":"lookup","aim":800.0,"hard_limit":2500.0,"effect":"deduplicated","dedup_scope":"cell","key_ttl":{KEY_TTL}.0,
   "gain":1.0,"late_worth":0.1}}],
  "parties":[{{"name":"ketju-a","allowance_per_s":1000.0}}],
  "limits":{{"cancel":true,"probes":true,"connect_timeout":250.0,"idle_close":30000.0,"most_tries":4,"multiplex":32,
   "most_held":2000,"second_copies":true,"retry_after":true,"max_retry_after":500.0}},
  "load_info":{{"fields":["busy"],"via":"inline"}},
  "invariants":{{"drain_grace":1000.0,"fall":2000.0,"overload_factor":2.5,"start_capacity":0.25,"warm_up":17000.0}},
  "specifics":{{"if_cold":"load","idle_life":9300.0,"load_wait":10000.0,"placement_calls":true,"tells_warm":false,
   "counts_alike":false,"ram_mb_by_kind":[12544.0],"load_free":0.0,"load_part":0.0,"loads_within":0.0}}}}}}"#,
        hosts.join(",")
    )
}
