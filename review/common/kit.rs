//! Small stand-ins for the parties of a front end: executors, a link that can be cut, the event bus, clients, and the
//! platform that starts the front end. Loopback only, real clock, no dependencies. They follow PROTOCOL and DEPLOY.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::fs::File;
use std::io::{BufRead, BufReader, BufWriter, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn listen(fd: i32, backlog: i32) -> i32;
    fn waitpid(pid: i32, status: *mut i32, options: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const u8, length: u32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

// ---------------------------------------------------------------------------------------------------------- record

struct Record {
    started: Instant,
    file: Mutex<BufWriter<File>>,
}

static RECORD: OnceLock<Record> = OnceLock::new();

pub fn open_record(path: &Path) {
    let file = File::create(path).unwrap_or_else(|error| cannot_run(&format!("{}: {error}", path.display())));
    let _ = RECORD.set(Record { started: Instant::now(), file: Mutex::new(BufWriter::new(file)) });
    // No case takes this long; whatever happens, its processes are ended.
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(100));
        cannot_run("it took longer than 100 s");
    });
}

/// Milliseconds since the record was opened.
pub fn now_ms() -> f64 {
    RECORD.get().map_or(0.0, |record| record.started.elapsed().as_secs_f64() * 1000.0)
}

pub fn note(text: &str) {
    if let Some(record) = RECORD.get() {
        let mut file = record.file.lock().unwrap();
        let _ = writeln!(file, "{:>9.1} {text}", record.started.elapsed().as_secs_f64() * 1000.0);
        let _ = file.flush();
    }
}

/// Ends the case as one that could not run.
pub fn cannot_run(why: &str) -> ! {
    note(&format!("the case could not run: {why}"));
    eprintln!("the case could not run: {why}");
    end_all();
    std::process::exit(2);
}

pub fn is_troubled() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn sleep_until(at_ms: f64) {
    let left = at_ms - now_ms();
    if left > 0.0 {
        thread::sleep(Duration::from_secs_f64(left / 1000.0));
    }
}

// --------------------------------------------------------------------------------------------------------- executor

#[derive(Clone, Debug, PartialEq)]
pub enum Word {
    Ok,
    Miss,
    Busy,
    Err,
}

impl Word {
    fn text(&self) -> &'static str {
        match self {
            Word::Ok => "OK",
            Word::Miss => "MISS",
            Word::Busy => "BUSY",
            Word::Err => "ERR",
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum Seen {
    /// A request arrived whole.
    Run { id: String, class: String, key: String, wait: u64 },
    /// A request began to run.
    Began { id: String },
    /// A request ran to its end.
    Ran { id: String },
    Answered { id: String, word: Word },
    Stop { id: String },
    Hold { key: String, copies: u32 },
    Free { key: String },
    Probe,
}

#[derive(Clone, Debug)]
pub struct At {
    pub at: f64,
    pub executor: u32,
    pub seen: Seen,
}

/// What an executor does; read anew for each request.
#[derive(Clone)]
pub struct Manner {
    pub run_ms: u64,
    pub load_ms: u64,
    /// Whether it holds every function from its start.
    pub holds_all: bool,
    /// Draining: it rejects new work and says DOWN.
    pub draining: bool,
    /// Requests that it runs at a time; beyond them it answers BUSY.
    pub places: usize,
    /// Work that runs goes on after a STOP; it gets no answer.
    pub goes_on: bool,
}

impl Default for Manner {
    fn default() -> Manner {
        Manner {
            run_ms: 100,
            load_ms: 900,
            holds_all: false,
            draining: false,
            places: usize::MAX,
            goes_on: false,
        }
    }
}

pub struct Executor {
    pub id: u32,
    pub address: SocketAddr,
    pub manner: Mutex<Manner>,
    pub copies: Mutex<BTreeMap<String, u32>>,
    pub seen: Mutex<Vec<At>>,
    running: Mutex<HashMap<(u64, String), Arc<AtomicBool>>>,
    connections: AtomicU64,
    open: Mutex<HashMap<u64, TcpStream>>,
}

fn list_field(list: &str, name: &str) -> String {
    let found = list.split(',').find_map(|field| field.strip_prefix(name)?.strip_prefix('='));
    found.unwrap_or_default().to_string()
}

impl Executor {
    pub fn start(id: u32, manner: Manner) -> Arc<Executor> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
        let executor = Arc::new(Executor {
            id,
            address: listener.local_addr().unwrap(),
            manner: Mutex::new(manner),
            copies: Mutex::default(),
            seen: Mutex::default(),
            running: Mutex::default(),
            connections: AtomicU64::new(0),
            open: Mutex::default(),
        });
        let accepting = executor.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let number = accepting.connections.fetch_add(1, Ordering::SeqCst);
                let _ = stream.set_nodelay(true);
                if let Ok(kept) = stream.try_clone() {
                    accepting.open.lock().unwrap().insert(number, kept);
                }
                let executor = accepting.clone();
                thread::spawn(move || executor.serve(stream, number));
            }
        });
        executor
    }

    fn saw(&self, seen: Seen) {
        note(&format!("executor {} {seen:?}", self.id));
        self.seen.lock().unwrap().push(At { at: now_ms(), executor: self.id, seen });
    }

    pub fn all_seen(&self) -> Vec<At> {
        self.seen.lock().unwrap().clone()
    }

    /// Resets every open connection.
    pub fn reset_connections(&self) {
        for (_, stream) in self.open.lock().unwrap().drain() {
            set_linger_zero(&stream);
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn serve(self: Arc<Executor>, stream: TcpStream, connection: u64) {
        let Ok(write) = stream.try_clone() else { return };
        let write = Arc::new(Mutex::new(write));
        let mut read = BufReader::new(stream);
        loop {
            let mut line = String::new();
            if !matches!(read.read_line(&mut line), Ok(n) if n > 0) {
                break;
            }
            let words: Vec<&str> = line.trim_end_matches(['\r', '\n']).split(' ').collect();
            match words[..] {
                ["RUN", id, fields, length] => {
                    let Ok(length) = length.parse::<usize>() else { break };
                    let mut body = vec![0; length + 2];
                    if read.read_exact(&mut body).is_err() {
                        break;
                    }
                    body.truncate(length);
                    let (key, class) = (list_field(fields, "key"), list_field(fields, "class"));
                    let wait = list_field(fields, "wait").parse().unwrap_or(0);
                    self.saw(Seen::Run { id: id.into(), class, key: key.clone(), wait });
                    self.clone().run(id.to_string(), key, body, connection, write.clone());
                }
                ["STOP", id] => {
                    self.saw(Seen::Stop { id: id.into() });
                    let stopped = self.running.lock().unwrap().remove(&(connection, id.to_string()));
                    if let Some(stopped) = stopped {
                        stopped.store(true, Ordering::SeqCst);
                    }
                }
                ["NOOP" | "INFO", tag] => {
                    self.saw(Seen::Probe);
                    let manner = self.manner.lock().unwrap().clone();
                    let running = self.running.lock().unwrap().len();
                    let full = manner.draining || running >= manner.places;
                    let answer = if full {
                        format!("{tag} DOWN - 0\r\n\r\n")
                    } else {
                        format!("{tag} UP stats=inflight:{running};x0:0.1 0\r\n\r\n")
                    };
                    let _ = write.lock().unwrap().write_all(answer.as_bytes());
                }
                ["HOLD", tag, fields] => {
                    let key = list_field(fields, "key");
                    let copies: u32 = list_field(fields, "copies").parse().unwrap_or(0);
                    self.saw(Seen::Hold { key: key.clone(), copies });
                    let (executor, write, tag) = (self.clone(), write.clone(), tag.to_string());
                    thread::spawn(move || executor.load(&tag, &key, copies, &write));
                }
                ["FREE", key] => {
                    self.saw(Seen::Free { key: key.into() });
                    self.copies.lock().unwrap().remove(key);
                }
                _ => {
                    note(&format!("executor {} can't read {line:?}", self.id));
                    break;
                }
            }
        }
        // Closing the connection gives up everything open on it.
        let mut running = self.running.lock().unwrap();
        running.retain(|(number, _), stopped| {
            if *number == connection {
                stopped.store(true, Ordering::SeqCst);
            }
            *number != connection
        });
        drop(running);
        self.open.lock().unwrap().remove(&connection);
        let _ = read.into_inner().shutdown(Shutdown::Both);
    }

    fn load(&self, tag: &str, key: &str, copies: u32, write: &Mutex<TcpStream>) {
        let manner = self.manner.lock().unwrap().clone();
        let rejects = copies > 0 && manner.draining;
        let missing = self.copies.lock().unwrap().get(key).copied().unwrap_or(0) < copies;
        if missing && !rejects && !manner.holds_all {
            sleep_ms(manner.load_ms);
            self.copies.lock().unwrap().insert(key.to_string(), copies);
        }
        let stand = match self.copies.lock().unwrap().get(key) {
            Some(stand) => *stand,
            None => u32::from(manner.holds_all),
        };
        let word = if rejects { "BUSY" } else { "OK" };
        let _ = write.lock().unwrap().write_all(format!("{tag} {word} copies={stand} 0\r\n\r\n").as_bytes());
    }

    fn run(self: Arc<Executor>, id: String, key: String, body: Vec<u8>, connection: u64, write: Arc<Mutex<TcpStream>>) {
        let manner = self.manner.lock().unwrap().clone();
        let stopped = Arc::new(AtomicBool::new(false));
        let holds = manner.holds_all || self.copies.lock().unwrap().contains_key(&key);
        let word = {
            let mut running = self.running.lock().unwrap();
            if manner.draining || running.len() >= manner.places {
                Word::Busy
            } else if !holds {
                Word::Miss
            } else {
                running.insert((connection, id.clone()), stopped.clone());
                Word::Ok
            }
        };
        if word != Word::Ok {
            self.answer(&id, &word, &[], &write);
            return;
        }
        self.saw(Seen::Began { id: id.clone() });
        thread::spawn(move || {
            let by = Instant::now() + Duration::from_millis(manner.run_ms);
            while Instant::now() < by {
                if stopped.load(Ordering::SeqCst) && !manner.goes_on {
                    return;
                }
                sleep_ms(1);
            }
            self.saw(Seen::Ran { id: id.clone() });
            if self.running.lock().unwrap().remove(&(connection, id.clone())).is_some() {
                self.answer(&id, &Word::Ok, &body, &write);
            }
        });
    }

    fn answer(&self, id: &str, word: &Word, body: &[u8], write: &Mutex<TcpStream>) {
        self.saw(Seen::Answered { id: id.into(), word: word.clone() });
        write_answer(id, word, body, write);
    }
}

fn write_answer(id: &str, word: &Word, body: &[u8], write: &Mutex<TcpStream>) {
    let mut bytes = format!("{id} {} queue_fn=0 {}\r\n", word.text(), body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes.extend_from_slice(b"\r\n");
    let _ = write.lock().unwrap().write_all(&bytes);
}

fn set_linger_zero(stream: &TcpStream) {
    let value: [i32; 2] = [1, 0];
    // SOL_SOCKET, SO_LINGER
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, value.as_ptr().cast(), 8) };
}

// ------------------------------------------------------------------------------------------------------------- link

/// A link to one executor that can be cut as a network is: open connections stay open and silent, new ones never come
/// up. What a sender's system still holds is sent again once the link is up; after a reset it holds nothing more.
pub struct Link {
    pub address: SocketAddr,
    is_cut: AtomicBool,
    listener: TcpListener,
    crowd: Mutex<Vec<TcpStream>>,
}

impl Link {
    pub fn to(target: SocketAddr) -> Arc<Link> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
        let link = Arc::new(Link {
            address: listener.local_addr().unwrap(),
            is_cut: AtomicBool::new(false),
            listener,
            crowd: Mutex::default(),
        });
        link.listener.set_nonblocking(true).unwrap();
        let accepting = link.clone();
        thread::spawn(move || loop {
            if accepting.is_cut.load(Ordering::SeqCst) {
                sleep_ms(1);
                continue;
            }
            match accepting.listener.accept() {
                Ok((near, _)) => {
                    let _ = near.set_nonblocking(false);
                    let link = accepting.clone();
                    let Ok(far) = TcpStream::connect(target) else { continue };
                    let _ = (near.set_nodelay(true), far.set_nodelay(true));
                    let (Ok(near2), Ok(far2)) = (near.try_clone(), far.try_clone()) else { continue };
                    let back = link.clone();
                    thread::spawn(move || link.pump(near, far));
                    thread::spawn(move || back.pump(far2, near2));
                }
                Err(_) => sleep_ms(1),
            }
        });
        link
    }

    fn pump(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut held: VecDeque<u8> = VecDeque::new();
        let mut ended = false;
        let mut buffer = [0; 16384];
        let _ = from.set_read_timeout(Some(Duration::from_millis(1)));
        loop {
            if !ended {
                match from.read(&mut buffer) {
                    Ok(0) => {
                        ended = true;
                        if self.is_cut.load(Ordering::SeqCst) && !held.is_empty() {
                            let bytes = held.len();
                            note(&format!("link {}: closed in order while cut, {bytes} bytes not sent yet", self.address));
                        }
                    }
                    Ok(n) => held.extend(&buffer[..n]),
                    Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                    Err(_) => {
                        // A reset: the sender's system keeps nothing to send.
                        if self.is_cut.load(Ordering::SeqCst) && !held.is_empty() {
                            note(&format!("link {}: {} bytes dropped by a reset", self.address, held.len()));
                        }
                        held.clear();
                        while self.is_cut.load(Ordering::SeqCst) {
                            sleep_ms(1);
                        }
                        set_linger_zero(&to);
                        let _ = to.shutdown(Shutdown::Both);
                        return;
                    }
                }
            } else {
                sleep_ms(1);
            }
            if self.is_cut.load(Ordering::SeqCst) {
                continue;
            }
            if !held.is_empty() {
                let bytes: Vec<u8> = held.drain(..).collect();
                if to.write_all(&bytes).is_err() {
                    set_linger_zero(&from);
                    let _ = from.shutdown(Shutdown::Both);
                    return;
                }
            }
            if ended {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
        }
    }

    pub fn cut(&self) {
        // A full backlog: the system answers no new connection.
        unsafe { listen(self.listener.as_raw_fd(), 0) };
        self.is_cut.store(true, Ordering::SeqCst);
        sleep_ms(5);
        let mut crowd = self.crowd.lock().unwrap();
        while let Ok(stream) = TcpStream::connect_timeout(&self.address, Duration::from_millis(30)) {
            crowd.push(stream);
        }
        note(&format!("link {} is cut", self.address));
    }

    pub fn heal(&self) {
        let mut crowd = self.crowd.lock().unwrap();
        // What came up in the backlog meanwhile did not come up on a network that is cut.
        while let Ok((stream, _)) = self.listener.accept() {
            set_linger_zero(&stream);
        }
        crowd.clear();
        unsafe { listen(self.listener.as_raw_fd(), 128) };
        note(&format!("link {} is up again", self.address));
        self.is_cut.store(false, Ordering::SeqCst);
    }
}

// -------------------------------------------------------------------------------------------------------- event bus

#[derive(Clone, Debug)]
pub struct Host {
    pub id: u32,
    pub address: SocketAddr,
    /// 0 ready, 1 draining, 2 gone
    pub state: u8,
    pub cell: u16,
    pub weight: f64,
    /// 0, or the Unix millisecond of a late start.
    pub started: u64,
}

impl Host {
    pub fn ready(id: u32, address: SocketAddr) -> Host {
        Host { id, address, state: 0, cell: 0, weight: 3.0, started: 0 }
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// The event bus: event 1 is the whole list, those after it are changes.
pub struct Bus {
    pub address: SocketAddr,
    events: Mutex<Vec<(bool, Vec<Host>)>>,
    /// Nothing is written to anyone.
    silent: AtomicBool,
    closing: AtomicU64,
    pub asked: Mutex<Vec<(f64, u64)>>,
}

fn frame(number: u64, kind: u8, hosts: &[Host]) -> Vec<u8> {
    let mut payload = Vec::new();
    for host in hosts {
        let SocketAddr::V4(address) = host.address else { cannot_run("IPv4 only") };
        payload.extend(host.id.to_be_bytes());
        payload.extend(address.ip().octets());
        payload.extend(address.port().to_be_bytes());
        payload.extend([host.state, 0, 0]);
        payload.extend(host.cell.to_be_bytes());
        payload.extend(((host.weight * 1000.0) as u32).to_be_bytes());
        payload.extend(host.started.to_be_bytes());
    }
    let mut bytes = ((9 + payload.len()) as u32).to_be_bytes().to_vec();
    bytes.extend(number.to_be_bytes());
    bytes.push(kind);
    bytes.extend(payload);
    bytes
}

impl Bus {
    pub fn start(hosts: Vec<Host>) -> Arc<Bus> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
        let bus = Arc::new(Bus {
            address: listener.local_addr().unwrap(),
            events: Mutex::new(vec![(true, hosts)]),
            silent: AtomicBool::new(false),
            closing: AtomicU64::new(0),
            asked: Mutex::default(),
        });
        let accepting = bus.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let bus = accepting.clone();
                thread::spawn(move || bus.serve(stream));
            }
        });
        bus
    }

    pub fn publish(&self, hosts: Vec<Host>) {
        note(&format!("bus tells {hosts:?}"));
        self.events.lock().unwrap().push((false, hosts));
    }

    pub fn set_silent(&self, silent: bool) {
        note(&format!("bus silent: {silent}"));
        self.silent.store(silent, Ordering::SeqCst);
    }

    pub fn close_connections(&self) {
        self.closing.fetch_add(1, Ordering::SeqCst);
    }

    fn serve(&self, mut stream: TcpStream) {
        let closing = self.closing.load(Ordering::SeqCst);
        let mut number = [0; 8];
        if stream.read_exact(&mut number).is_err() {
            return;
        }
        let mut last = u64::from_be_bytes(number);
        self.asked.lock().unwrap().push((now_ms(), last));
        let mut empty_at = Instant::now();
        loop {
            sleep_ms(1);
            if self.closing.load(Ordering::SeqCst) != closing {
                return;
            }
            if self.silent.load(Ordering::SeqCst) {
                continue;
            }
            let due: Vec<(bool, Vec<Host>)> =
                self.events.lock().unwrap().iter().skip(last as usize).cloned().collect();
            for (whole, hosts) in due {
                last += 1;
                if stream.write_all(&frame(last, if whole { 1 } else { 2 }, &hosts)).is_err() {
                    return;
                }
            }
            if Instant::now() >= empty_at {
                empty_at += Duration::from_secs(1);
                if stream.write_all(&frame(last, 0, &[])).is_err() {
                    return;
                }
            }
        }
    }

    /// The events so far as the configuration holds them.
    fn known(&self) -> String {
        let events = self.events.lock().unwrap();
        let host = |host: &Host| {
            format!(
                "{{\"host\":\"s-{:08x}\",\"dial\":\"{}\",\"site\":\"here\",\"class\":\"std\",\"block\":{},\"health\":\"{}\",\"share\":{},\"born_ms\":{}}}",
                host.id,
                host.address,
                host.cell,
                ["ready", "draining", "gone"][host.state as usize],
                host.weight,
                host.started
            )
        };
        let batch: Vec<String> = events
            .iter()
            .enumerate()
            .map(|(n, (whole, hosts))| {
                let hosts: Vec<String> = hosts.iter().map(host).collect();
                format!(
                    "{{\"offset\":{},\"topology\":{{\"seq\":{},\"whole\":{whole},\"hosts\":[{}]}}}}",
                    n + 1,
                    n + 1,
                    hosts.join(",")
                )
            })
            .collect();
        format!("{{\"offset\":{},\"batch\":[{}]}}", events.len(), batch.join(","))
    }
}

// -------------------------------------------------------------------------------------------------------- front end

static CHILDREN: Mutex<Vec<i32>> = Mutex::new(Vec::new());

/// Notes a process that is to be ended with the case.
pub fn keep(process: u32) {
    CHILDREN.lock().unwrap().push(process as i32);
}

/// Ends all processes that the case started.
pub fn end_all() {
    for pid in CHILDREN.lock().unwrap().drain(..) {
        unsafe {
            kill(pid, SIGKILL);
            waitpid(pid, std::ptr::null_mut(), 0);
        }
    }
}

/// The process is killed where the case's own ends first, however it ends.
pub fn end_with_case(command: &mut Command) {
    const PR_SET_PDEATHSIG: i32 = 1;
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
            Ok(())
        });
    }
}

pub struct FrontEnd {
    pub child: Child,
    pub listen: SocketAddr,
    pub config: PathBuf,
    pub log: PathBuf,
}

/// The repository's root: the case's program is started there.
pub fn root() -> PathBuf {
    std::env::current_dir().unwrap()
}

/// The deploy file's `run` line.
pub fn run_line() -> String {
    let text = std::fs::read_to_string(root().join("deploy/balancer.toml"))
        .unwrap_or_else(|error| cannot_run(&format!("deploy/balancer.toml: {error}")));
    let line = text.lines().find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'));
    line.unwrap_or_else(|| cannot_run("no run line")).to_string()
}

pub fn free_port() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).unwrap_or_else(|e| cannot_run(&e.to_string()))
}

/// The settings of a small deployment, with the figures of tilaus-vantaa.
#[derive(Clone)]
pub struct Settings {
    pub second_copies: bool,
    pub most_tries: u32,
    pub sockets: u32,
    pub memory_mb: u32,
    pub cold: &'static str,
    pub extra_classes: &'static str,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { second_copies: true, most_tries: 3, sockets: 256, memory_mb: 64, cold: "miss", extra_classes: "" }
    }
}

pub fn document(settings: &Settings, bus: &Bus, listen: SocketAddr, seed: u64) -> String {
    let Settings { second_copies, most_tries, sockets, memory_mb, cold, extra_classes } = settings;
    format!(
        r#"{{"name":"n0","listen":"{listen}","seed":"{seed:016x}","bus":"{}",
"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},
"known":{},
"settings":{{"areas":["here"],"machine_types":["std"],"balancers":1,"granularity":2.0,"zone":0,"rank":0,"tier":0,
"registry_mode":"automatic","counted_by":"work","weights":"nominal","over_share_worth":0.05,"domain_type":"warm",
"classes":[{{"name":"lens-fit","aim":750.0,"hard_limit":5000.0,"effect":"idempotent","gain":1.0,"late_worth":0.1,"streaming":false}},
{{"name":"price-check","aim":750.0,"hard_limit":4000.0,"effect":"idempotent","gain":1.0,"late_worth":0.1,"streaming":false}},
{{"name":"order-send","aim":1500.0,"hard_limit":5000.0,"effect":"at_most_once","gain":5.0,"late_worth":0.1,"streaming":false}}{extra_classes}],
"parties":[{{"name":"ketju-a","allowance_per_s":1000.0,"share":1.0}}],
"limits":{{"cancel":true,"probes":true,"connect_timeout":250.0,"idle_close":30000.0,"most_tries":{most_tries},
"multiplex":32,"most_held":20000,"second_copies":{second_copies},"retry_after":false,"max_retry_after":500.0,"peers":false}},
"load_info":{{"fields":["rif","x0"],"via":"on_probe"}},
"invariants":{{"grace_to_answer":4.0,"ask_within":10000.0,"drain_grace":250.0,"fall":1000.0,"overload_factor":2.0,"start_capacity":0.26,"warm_up":18000.0}},
"tariffs":{{"probe":0.01,"origin":0.05,"late_fail":0.05,"waste":0.08}},
"specifics":{{"if_cold":"{cold}","idle_life":8200.0,"load_wait":10000.0,"placement_calls":true,"tells_warm":false,
"counts_alike":true,"ram_mb_by_kind":[100000.0],"load_free":6.0,"load_part":0.1,"loads_within":10000.0,"memory_price":0.0}}}}}}"#,
        bus.address,
        bus.known()
    )
}

impl FrontEnd {
    /// Starts one as the platform does and waits until it says `serving`.
    pub fn start(folder: &Path, settings: &Settings, bus: &Bus, seed: u64) -> FrontEnd {
        let listen = free_port();
        FrontEnd::start_at(folder, settings, bus, seed, listen)
    }

    pub fn start_at(folder: &Path, settings: &Settings, bus: &Bus, seed: u64, listen: SocketAddr) -> FrontEnd {
        let config = folder.join("config.json");
        std::fs::write(&config, document(settings, bus, listen, seed)).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let log = folder.join("front-end.log");
        let stderr = File::options().create(true).append(true).open(&log).unwrap();
        let mut run = run_line();
        if let Ok(level) = std::env::var("CASE_LOG") {
            run = run.replace("--log info", &format!("--log {level}"));
        }
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(&run).current_dir(root());
        command.env("GW_NAME", "n0").env("GW_LISTEN", listen.to_string()).env("GW_CONFIG", &config);
        command.env("TMPDIR", folder).stdin(Stdio::null()).stdout(Stdio::null()).stderr(stderr);
        end_with_case(&mut command);
        let child = command.spawn().unwrap_or_else(|error| cannot_run(&format!("{run}: {error}")));
        CHILDREN.lock().unwrap().push(child.id() as i32);
        note(&format!("platform starts '{run}', process {}, at {listen}", child.id()));
        let mut front_end = FrontEnd { child, listen, config, log };
        let by = Instant::now() + Duration::from_secs(30);
        loop {
            if Instant::now() > by || matches!(front_end.child.try_wait(), Ok(Some(_))) {
                cannot_run("the front end is not ready within 30 s");
            }
            if let Ok(client) = Client::try_connect(listen) {
                if client.health() {
                    break;
                }
            }
            sleep_ms(10);
        }
        note("front end says serving");
        front_end
    }

    pub fn signal(&self, signal: i32) {
        note(&format!("signal {signal} to the front end"));
        unsafe { kill(self.child.id() as i32, signal) };
    }

    pub fn has_ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

}

pub fn signal(process: u32, signal: i32) {
    unsafe { kill(process as i32, signal) };
}

/// Resident memory of a process's own in MB, without that of files.
pub fn own_memory_mb(process: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = text.lines().find(|l| l.starts_with("RssAnon:")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|kb| kb.parse::<f64>().ok()).unwrap_or(0.0) / 1024.0
}

// ----------------------------------------------------------------------------------------------------------- client

#[derive(Clone, Debug)]
pub struct Answer {
    pub at: f64,
    pub word: String,
    pub body: Vec<u8>,
}

/// One client's connection.
pub struct Client {
    number: u64,
    stream: TcpStream,
    tag: Mutex<u64>,
    answers: Arc<Mutex<HashMap<u64, Vec<Answer>>>>,
    pub closed_at: Arc<Mutex<Option<f64>>>,
}

#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub class: &'static str,
    pub function: String,
    pub allow_ms: u64,
    pub effort_ms: f64,
    pub body: Vec<u8>,
}

static NEXT_CLIENT: AtomicU64 = AtomicU64::new(1);
static NEXT_ID: AtomicU64 = AtomicU64::new(1);

pub fn new_id() -> String {
    let n = NEXT_ID.fetch_add(1, Ordering::SeqCst);
    format!("{:016x}", (n << 32 | 0x5eed_0000) ^ (u64::from(std::process::id()) << 8))
}

impl Request {
    pub fn new(class: &'static str, function: &str, allow_ms: u64) -> Request {
        let id = new_id();
        let body = format!("body of {id}").into_bytes();
        Request { id, class, function: function.into(), allow_ms, effort_ms: 100.0, body }
    }
}

fn encode(words: &[&[u8]]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        bytes.extend(format!("${}\r\n", word.len()).into_bytes());
        bytes.extend_from_slice(word);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes
}

fn read_length(read: &mut impl BufRead, prefix: char) -> Option<usize> {
    let mut line = String::new();
    read.read_line(&mut line).ok().filter(|n| *n > 0)?;
    line.trim_end().strip_prefix(prefix)?.parse().ok()
}

fn read_array(read: &mut impl BufRead) -> Option<Vec<Vec<u8>>> {
    let count = read_length(read, '*')?;
    (0..count)
        .map(|_| {
            let mut word = vec![0; read_length(read, '$')? + 2];
            read.read_exact(&mut word).ok()?;
            word.truncate(word.len() - 2);
            Some(word)
        })
        .collect()
}

impl Client {
    pub fn try_connect(to: SocketAddr) -> std::io::Result<Client> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        let answers: Arc<Mutex<HashMap<u64, Vec<Answer>>>> = Arc::default();
        let closed_at: Arc<Mutex<Option<f64>>> = Arc::default();
        let (kept, closed, reading) = (answers.clone(), closed_at.clone(), stream.try_clone()?);
        let number = NEXT_CLIENT.fetch_add(1, Ordering::SeqCst);
        thread::spawn(move || {
            let mut read = BufReader::new(reading);
            while let Some(words) = read_array(&mut read) {
                let text = |n: usize| String::from_utf8_lossy(words.get(n).map_or(&[][..], |w| w)).to_string();
                let answer = Answer { at: now_ms(), word: text(1), body: words.get(3).cloned().unwrap_or_default() };
                note(&format!("client {number} reads answer {} {}", text(0), answer.word));
                kept.lock().unwrap().entry(text(0).parse().unwrap_or(0)).or_default().push(answer);
            }
            *closed.lock().unwrap() = Some(now_ms());
        });
        Ok(Client { number, stream, tag: Mutex::new(0), answers, closed_at })
    }

    pub fn connect(to: SocketAddr) -> Client {
        Client::try_connect(to).unwrap_or_else(|error| cannot_run(&format!("client: {error}")))
    }

    fn next_tag(&self) -> u64 {
        let mut tag = self.tag.lock().unwrap();
        *tag += 1;
        *tag
    }

    pub fn write(&self, bytes: &[u8]) -> bool {
        (&self.stream).write_all(bytes).is_ok()
    }

    pub fn health(&self) -> bool {
        let tag = self.next_tag();
        self.write(&encode(&[b"HEALTH", tag.to_string().as_bytes(), b""]));
        self.wait(tag, 500).is_some_and(|answer| answer.word == "serving")
    }

    /// Sends a request; returns its tag.
    pub fn send(&self, request: &Request) -> u64 {
        let tag = self.next_tag();
        let Request { id, class, function, allow_ms, .. } = request;
        note(&format!("client {} sends request {tag} {id} {class} {function} allow={allow_ms}", self.number));
        self.write(&self.encode(tag, request));
        tag
    }

    pub fn encode(&self, tag: u64, request: &Request) -> Vec<u8> {
        let Request { id, class, function, allow_ms, effort_ms, body } = request;
        let fields = format!(
            "ref={id},allow={allow_ms},project=ketju-a,lookup={function},effort={effort_ms},extras=memory_mb:3000;lanes:4"
        );
        encode(&[b"REQ", tag.to_string().as_bytes(), class.as_bytes(), fields.as_bytes(), body])
    }

    pub fn abort(&self, tag: u64) {
        note(&format!("client {} sends ABORT {tag}", self.number));
        self.write(&encode(&[b"ABORT", tag.to_string().as_bytes()]));
    }

    pub fn answers(&self, tag: u64) -> Vec<Answer> {
        self.answers.lock().unwrap().get(&tag).cloned().unwrap_or_default()
    }

    pub fn wait(&self, tag: u64, ms: u64) -> Option<Answer> {
        let by = Instant::now() + Duration::from_millis(ms);
        loop {
            if let Some(answer) = self.answers(tag).first() {
                return Some(answer.clone());
            }
            if Instant::now() >= by {
                return None;
            }
            sleep_ms(1);
        }
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

// ------------------------------------------------------------------------------------------------------------- case

/// A folder of this run under the system's one for temporary files.
pub fn temporary() -> PathBuf {
    let folder = std::env::temp_dir().join(format!("stagehoist-review-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap_or_else(|error| cannot_run(&error.to_string()));
    folder
}

/// Ends the case: 0 if the rule held, 1 if it was broken.
pub fn conclude(breaks: &[String], folder: &Path) -> ! {
    end_all();
    for text in breaks {
        note(&format!("BROKEN: {text}"));
        println!("broken: {text}");
    }
    let verdict = if breaks.is_empty() { "the rule held" } else { "the rule was broken" };
    note(verdict);
    println!("{verdict}");
    if std::env::var("CASE_LOG").is_err() {
        let _ = std::fs::remove_dir_all(folder);
    }
    std::process::exit(i32::from(!breaks.is_empty()));
}
