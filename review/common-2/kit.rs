//! Stand-ins and helpers that the cases of the second review share: executors, the event bus, clients, a proxy on the
//! way of the clients, and the start and end of the front end. Standard library only.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_millis() as u64)
}

/// Whether the disruption is played: not with `TROUBLE=0`.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

/// The lines of `record.txt`, each with the time since the start.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Arc<Record> {
        let file = File::create(path).unwrap_or_else(|e| cannot_run(&format!("{}: {e}", path.display())));
        Arc::new(Record { file: Mutex::new(file), start: Instant::now() })
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed();
        let _ = writeln!(self.file.lock().unwrap(), "{:9.4} {text}", at.as_secs_f64());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// The processes that the case started and that have not been ended.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Notes a process, so that it is ended with the case in any event.
pub fn note_started(id: u32) {
    STARTED.lock().unwrap().push(id);
}

/// Forgets a process that has ended.
pub fn note_ended(id: u32) {
    STARTED.lock().unwrap().retain(|other| *other != id);
}

fn send_signal(signal: &str, id: u32) {
    let _ = Command::new("/bin/sh").args(["-c", &format!("kill -{signal} {id}")]).status();
}

/// Ends the program and all that it started: the case could not run.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    finish(2)
}

/// Ends the program with this exit code, and all that it started.
pub fn finish(code: i32) -> ! {
    if let Ok(started) = STARTED.try_lock() {
        started.iter().for_each(|id| send_signal("KILL", *id));
    }
    std::process::exit(code)
}

/// The folder of the case and the root of the repository, from the arguments.
pub struct Places {
    pub root: PathBuf,
    pub case: PathBuf,
    pub temp: PathBuf,
}

impl Places {
    /// Arguments: root, folder of the case, temporary folder.
    pub fn from_args() -> Places {
        let args: Vec<PathBuf> = std::env::args_os().skip(1).map(PathBuf::from).collect();
        match &args[..] {
            [root, case, temp] => Places { root: root.clone(), case: case.clone(), temp: temp.clone() },
            _ => cannot_run("arguments: ROOT CASE-FOLDER TEMPORARY-FOLDER"),
        }
    }

    /// The value of a line `name = "..."` of the deploy file.
    pub fn deploy_line(&self, name: &str) -> String {
        let path = self.root.join("deploy/balancer.toml");
        let text = std::fs::read_to_string(&path).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let found = text.lines().find_map(|l| l.strip_prefix(name)?.trim_start().strip_prefix('='));
        let value = found.map(|v| v.trim().trim_matches('"').to_string());
        value.unwrap_or_else(|| cannot_run(&format!("no line {name} in the deploy file")))
    }
}

/// A loopback address that is free now.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).unwrap_or_else(|e| cannot_run(&e.to_string()))
}

fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
    let address = listener.local_addr().unwrap_or_else(|e| cannot_run(&e.to_string()));
    (listener, address)
}

// ---------------------------------------------------------------------------------------------------------- processes

/// A process that the case started; killed when dropped.
pub struct Process {
    pub child: Child,
    pub name: String,
}

impl Process {
    /// Starts a command line by `/bin/sh -c` from the root, as the platform does. The log goes to a file.
    pub fn shell(places: &Places, name: &str, line: &str, environment: &[(&str, String)]) -> Process {
        let log = File::create(places.temp.join(format!("{name}.log"))).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let err = log.try_clone().unwrap_or_else(|e| cannot_run(&e.to_string()));
        let child = Command::new("/bin/sh")
            .args(["-c", line])
            .current_dir(&places.root)
            .envs(environment.iter().map(|(k, v)| (*k, v.clone())))
            .env("TMPDIR", &places.temp)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(err)
            .spawn()
            .unwrap_or_else(|e| cannot_run(&format!("{name}: {e}")));
        note_started(child.id());
        Process { child, name: name.into() }
    }

    /// Whether it has ended, and how.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        note_ended(self.child.id());
    }
}

// ---------------------------------------------------------------------------------------------------------- executors

/// What an executor saw.
#[derive(Clone, Debug)]
pub struct Seen {
    pub at: Instant,
    pub executor: u32,
    pub what: String,
    /// The id of the request, or the tag.
    pub id: String,
}

/// How long a request runs, by its body's first byte.
pub type RunTime = fn(u8) -> Duration;

/// An executor that behaves well: it holds every function, runs what it is sent, and answers with a body of its own.
pub struct Executor {
    pub id: u32,
    pub address: SocketAddr,
}

/// What all executors of a case saw.
pub type SeenByAll = Arc<Mutex<Vec<Seen>>>;

/// The executors that drain: they finish what runs, and reject what is new.
pub static DRAINING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// The body with which an executor answers a request.
pub fn made_for(id: &str) -> Vec<u8> {
    format!("made for {id}").into_bytes()
}

impl Executor {
    pub fn start(id: u32, run: RunTime, seen: SeenByAll, record: Arc<Record>) -> Executor {
        let (listener, address) = listen();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (seen, record) = (seen.clone(), record.clone());
                thread::spawn(move || serve_executor(id, run, stream, seen, record));
            }
        });
        Executor { id, address }
    }
}

fn serve_executor(executor: u32, run: RunTime, stream: TcpStream, seen: SeenByAll, record: Arc<Record>) {
    let _ = stream.set_nodelay(true);
    let Ok(reading) = stream.try_clone() else { return };
    let write = Arc::new(Mutex::new(stream));
    let mut read = BufReader::new(reading);
    let running: Arc<Mutex<HashMap<String, Arc<AtomicBool>>>> = Arc::default();
    let note = |what: &str, id: &str| {
        record.line(&format!("executor {executor:08x} {what} {id}"));
        seen.lock().unwrap().push(Seen { at: Instant::now(), executor, what: what.into(), id: id.into() });
    };
    let put = |write: &Mutex<TcpStream>, bytes: &[u8]| drop(write.lock().unwrap().write_all(bytes));
    loop {
        let mut line = String::new();
        match read.read_line(&mut line) {
            Ok(n) if n > 0 => {}
            _ => break,
        }
        let words: Vec<&str> = line.trim_end().split(' ').collect();
        match words[..] {
            ["RUN", id, _, length] => {
                let mut body = vec![0; length.parse::<usize>().unwrap_or(0) + 2];
                if read.read_exact(&mut body).is_err() {
                    break;
                }
                note("run", id);
                if DRAINING.lock().unwrap().contains(&executor) {
                    note("answered BUSY", id);
                    put(&write, format!("{id} BUSY - 0\r\n\r\n").as_bytes());
                    continue;
                }
                let given_up = Arc::new(AtomicBool::new(false));
                running.lock().unwrap().insert(id.to_string(), given_up.clone());
                let (id, write, seen, record) = (id.to_string(), write.clone(), seen.clone(), record.clone());
                let time = run(body[0]);
                thread::spawn(move || {
                    thread::sleep(time);
                    let word = if given_up.load(Ordering::SeqCst) { "ran, given up before its end" } else { "answered OK" };
                    record.line(&format!("executor {executor:08x} {word} {id}"));
                    seen.lock().unwrap().push(Seen { at: Instant::now(), executor, what: word.into(), id: id.clone() });
                    if word == "answered OK" {
                        let body = made_for(&id);
                        let mut bytes = format!("{id} OK queue_fn=0 {}\r\n", body.len()).into_bytes();
                        bytes.extend_from_slice(&body);
                        bytes.extend_from_slice(b"\r\n");
                        drop(write.lock().unwrap().write_all(&bytes));
                    }
                });
            }
            ["STOP", id] => {
                note("stop", id);
                if let Some(given_up) = running.lock().unwrap().remove(id) {
                    given_up.store(true, Ordering::SeqCst);
                }
            }
            ["NOOP" | "INFO", tag] => {
                let word = if DRAINING.lock().unwrap().contains(&executor) { "DOWN" } else { "UP" };
                put(&write, format!("{tag} {word} stats=inflight:0;x0:0.1 0\r\n\r\n").as_bytes());
            }
            ["HOLD", tag, _] => {
                note("hold", tag);
                let word = if DRAINING.lock().unwrap().contains(&executor) { "BUSY" } else { "OK" };
                put(&write, format!("{tag} {word} copies=1 0\r\n\r\n").as_bytes());
            }
            ["FREE", key] => note("free", key),
            _ => break,
        }
    }
    note("connection ended", "");
    running.lock().unwrap().values().for_each(|given_up| given_up.store(true, Ordering::SeqCst));
}

// ---------------------------------------------------------------------------------------------------------- event bus

/// An event bus that tells nothing new: an empty frame each second.
pub fn start_quiet_bus(last: u64) -> SocketAddr {
    let (listener, address) = listen();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut asked = [0; 8];
                let mut frame = 9u32.to_be_bytes().to_vec();
                frame.extend(last.to_be_bytes());
                frame.push(0);
                if stream.read_exact(&mut asked).is_err() {
                    return;
                }
                while stream.write_all(&frame).is_ok() {
                    thread::sleep(ms(1000));
                }
            });
        }
    });
    address
}

// ---------------------------------------------------------------------------------------------------------- front end

/// The configuration of a front end: settings like those of tilaus-vantaa, one zone, a handful of executors.
pub fn configuration(listen: SocketAddr, bus: SocketAddr, executors: &[Executor]) -> String {
    let host = |e: &Executor| {
        format!(
            r#"{{"host":"s-{:08x}","dial":"{}","site":"vantaa-1","class":"w3","block":0,"health":"ready","share":6.0,"born_ms":0}}"#,
            e.id, e.address
        )
    };
    let hosts: Vec<String> = executors.iter().map(host).collect();
    let class = |name: &str, aim: u32, limit: u32, effect: &str, gain: u32| {
        format!(
            r#"{{"name":"{name}","aim":{aim}.0,"hard_limit":{limit}.0,"effect":"{effect}","gain":{gain}.0,"late_worth":0.1}}"#
        )
    };
    let classes = [
        class("lens-fit", 750, 5000, "idempotent", 1),
        class("price-check", 750, 4000, "idempotent", 1),
        class("order-send", 1500, 5000, "at_most_once", 5),
    ];
    format!(
        r#"{{"name":"n1","listen":"{listen}","seed":"8c1f30d27a5be964","bus":"{bus}",
 "limits":{{"cores":1.0,"memory_mb":96,"sockets":512}},
 "known":{{"offset":1,"batch":[{{"offset":1,"topology":{{"seq":1,"whole":true,"hosts":[{}]}}}}]}},
 "settings":{{"areas":["vantaa-1"],"machine_types":["w3"],"balancers":1,"granularity":2.0,"zone":0,
  "classes":[{}],"parties":[{{"name":"ketju-a","allowance_per_s":1000.0}}],
  "limits":{{"cancel":true,"probes":true,"connect_timeout":250.0,"idle_close":30000.0,"most_tries":3,"multiplex":32,
   "most_held":2000,"second_copies":true,"retry_after":false}},
  "load_info":{{"fields":["rif","x0"],"via":"on_probe"}},
  "invariants":{{"drain_grace":250.0,"fall":1000.0,"overload_factor":2.0,"start_capacity":0.26,"warm_up":18000.0}},
  "specifics":{{"if_cold":"miss","idle_life":10000.0,"load_wait":10000.0,"placement_calls":true,"counts_alike":true,
   "ram_mb_by_kind":[64000.0],"load_free":6.0,"load_part":0.1,"loads_within":10000.0}}}}}}"#,
        hosts.join(","),
        classes.join(",")
    )
}

/// Starts the front end by the deploy file's `run` line, and waits until it says that it serves.
pub fn start_front_end(places: &Places, listen: SocketAddr, configuration: &str) -> Process {
    let file = places.temp.join("config.json");
    std::fs::write(&file, configuration).unwrap_or_else(|e| cannot_run(&e.to_string()));
    let environment = [
        ("GW_NAME", "n1".to_string()),
        ("GW_LISTEN", listen.to_string()),
        ("GW_CONFIG", file.display().to_string()),
    ];
    let process = Process::shell(places, "front-end", &places.deploy_line("run"), &environment);
    let by = Instant::now() + Duration::from_secs(30);
    while Instant::now() < by {
        if is_serving(listen) {
            return process;
        }
        thread::sleep(ms(50));
    }
    let log = std::fs::read_to_string(places.temp.join("front-end.log")).unwrap_or_default();
    drop(process);
    cannot_run(&format!("the front end is not ready: {log}"))
}

fn is_serving(address: SocketAddr) -> bool {
    let asked = || -> io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&address, ms(500))?;
        stream.set_read_timeout(Some(ms(1000)))?;
        stream.write_all(&array(&[b"HEALTH", b"1", b""]))?;
        let mut buffer = [0; 256];
        let n = stream.read(&mut buffer)?;
        let text = String::from_utf8_lossy(&buffer[..n]).into_owned();
        Ok(text.contains("\r\nserving\r\n"))
    };
    asked().unwrap_or(false)
}

// ---------------------------------------------------------------------------------------------------------- clients

/// A RESP array of bulk strings.
pub fn array(words: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        out.extend(format!("${}\r\n", word.len()).bytes());
        out.extend_from_slice(word);
        out.extend_from_slice(b"\r\n");
    }
    out
}

/// A request as its client sees it.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    pub class: String,
    pub tag: u64,
    /// When its last byte was written.
    pub at: Instant,
    pub allow: Duration,
    /// Each answer: when it was read, its word, its body.
    pub answers: Vec<(Instant, String, Vec<u8>)>,
    /// When its connection ended without an answer to it.
    pub cut: Option<Instant>,
}

/// One client connection.
pub struct Client {
    name: String,
    stream: TcpStream,
    sent: Arc<Mutex<Vec<Sent>>>,
    record: Arc<Record>,
    next_tag: u64,
}

static NEXT_ID: AtomicU64 = AtomicU64::new(0x9b1f_03aa_0000_0000);

impl Client {
    pub fn connect(name: &str, address: SocketAddr, record: Arc<Record>) -> Client {
        let stream = TcpStream::connect(address).unwrap_or_else(|e| cannot_run(&format!("client: {e}")));
        let _ = stream.set_nodelay(true);
        let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
        let reading = stream.try_clone().unwrap_or_else(|e| cannot_run(&e.to_string()));
        let (answers, record_of_answers, name_of_reader) = (sent.clone(), record.clone(), name.to_string());
        thread::spawn(move || read_answers(&name_of_reader, reading, &answers, &record_of_answers));
        Client { name: name.into(), stream, sent, record, next_tag: 0 }
    }

    /// Writes a request whole.
    pub fn request(&mut self, class: &str, function: &str, allow: Duration, body: &[u8]) {
        self.next_tag += 1;
        let (tag, id) = (self.next_tag, format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::SeqCst)));
        let fields = format!(
            "ref={id},allow={},project=ketju-a,lookup={function},effort=120,extras=memory_mb:2300;lanes:4",
            allow.as_millis()
        );
        let bytes = array(&[b"REQ", tag.to_string().as_bytes(), class.as_bytes(), fields.as_bytes(), body]);
        let new = Sent { id: id.clone(), class: class.into(), tag, at: Instant::now(), allow, answers: Vec::new(), cut: None };
        self.sent.lock().unwrap().push(new);
        let written = self.stream.write_all(&bytes);
        let at = Instant::now();
        self.sent.lock().unwrap().iter_mut().filter(|s| s.tag == tag).for_each(|s| s.at = at);
        self.record.line(&format!(
            "client {} sent {class} {id} as {tag}, {} bytes, waits {} ms ({written:?})",
            self.name,
            bytes.len(),
            allow.as_millis()
        ));
    }

    pub fn sent(&self) -> Vec<Sent> {
        self.sent.lock().unwrap().clone()
    }
}

fn read_answers(name: &str, stream: TcpStream, sent: &Mutex<Vec<Sent>>, record: &Record) {
    let mut read = BufReader::new(stream);
    let end = loop {
        match read_array(&mut read) {
            Ok(words) => {
                let text = |n: usize| words.get(n).map(|w| String::from_utf8_lossy(w).into_owned()).unwrap_or_default();
                record.line(&format!("client {name} read the answer {} to {}", text(1), text(0)));
                let tag = text(0).parse().unwrap_or(0);
                let body = words.get(3).cloned().unwrap_or_default();
                let mut sent = sent.lock().unwrap();
                sent.iter_mut().filter(|s| s.tag == tag).for_each(|s| s.answers.push((Instant::now(), text(1), body.clone())));
            }
            Err(error) => break error,
        }
    };
    record.line(&format!("client {name}: connection ended: {end}"));
    let open = |s: &&mut Sent| s.answers.is_empty();
    sent.lock().unwrap().iter_mut().filter(open).for_each(|s| s.cut = Some(Instant::now()));
}

fn read_array(read: &mut impl BufRead) -> io::Result<Vec<Vec<u8>>> {
    let count = read_length(read, '*')?;
    (0..count).map(|_| {
        let length = read_length(read, '$')?;
        let mut word = vec![0; length + 2];
        read.read_exact(&mut word)?;
        word.truncate(length);
        Ok(word)
    }).collect()
}

fn read_length(read: &mut impl BufRead, prefix: char) -> io::Result<usize> {
    let mut line = String::new();
    if read.read_line(&mut line)? == 0 {
        return Err(io::Error::new(io::ErrorKind::UnexpectedEof, "closed by the front end"));
    }
    let digits = line.trim_end().strip_prefix(prefix).and_then(|d| d.parse().ok());
    digits.ok_or_else(|| io::Error::new(io::ErrorKind::InvalidData, format!("not RESP: {line:?}")))
}

// ---------------------------------------------------------------------------------------------------------- network

/// The network between clients and a front end: passes bytes on, or holds them back in both directions while the two
/// are cut off from each other. Nothing is lost or reordered; what is held back is delivered when the cut ends.
pub struct Network {
    pub address: SocketAddr,
    gate: Arc<Gate>,
}

#[derive(Default)]
struct Gate {
    state: Mutex<GateState>,
    changed: Condvar,
}

#[derive(Default)]
struct GateState {
    is_cut: bool,
    /// So many more bytes of each connection pass towards the front end although the cut has begun: packets that were
    /// ahead of it.
    still_passing: HashMap<u64, usize>,
}

impl Network {
    pub fn start(to: SocketAddr) -> Network {
        let (listener, address) = listen();
        let gate: Arc<Gate> = Arc::default();
        let gates = gate.clone();
        thread::spawn(move || {
            for (number, client) in listener.incoming().flatten().enumerate() {
                let Ok(front_end) = TcpStream::connect(to) else { continue };
                let _ = (client.set_nodelay(true), front_end.set_nodelay(true));
                let (Ok(c), Ok(f)) = (client.try_clone(), front_end.try_clone()) else { continue };
                let (up, down) = (gates.clone(), gates.clone());
                thread::spawn(move || pass(number as u64, true, client, front_end, &up));
                thread::spawn(move || pass(number as u64, false, f, c, &down));
            }
        });
        Network { address, gate }
    }

    /// Cuts the clients off from the front end. Of what each connection sends from now on, the first bytes still arrive.
    pub fn cut(&self, connections: u64, still_passing: usize) {
        let mut state = self.gate.state.lock().unwrap();
        state.is_cut = true;
        state.still_passing = (0..connections).map(|n| (n, still_passing)).collect();
    }

    pub fn heal(&self) {
        *self.gate.state.lock().unwrap() = GateState::default();
        self.gate.changed.notify_all();
    }
}

fn pass(number: u64, is_up: bool, mut from: TcpStream, mut to: TcpStream, gate: &Gate) {
    let mut buffer = vec![0; 64 << 10];
    loop {
        let read = from.read(&mut buffer).unwrap_or(0);
        let mut done = 0;
        // The end of a connection does not cross the cut either.
        loop {
            let mut state = gate.state.lock().unwrap();
            let left = read - done;
            let may_pass = match (state.is_cut, is_up) {
                (false, _) => left,
                (true, true) => state.still_passing.get(&number).copied().unwrap_or(0).min(left),
                (true, false) => 0,
            };
            if may_pass == 0 && (left > 0 || (read == 0 && state.is_cut)) {
                drop(gate.changed.wait(state).unwrap());
                continue;
            }
            if let Some(passing) = state.still_passing.get_mut(&number).filter(|_| is_up) {
                *passing -= may_pass;
            }
            drop(state);
            if to.write_all(&buffer[done..done + may_pass]).is_err() {
                let _ = from.shutdown(Shutdown::Both);
                return;
            }
            done += may_pass;
            if done == read {
                break;
            }
        }
        if read == 0 {
            let _ = to.shutdown(Shutdown::Write);
            return;
        }
    }
}
