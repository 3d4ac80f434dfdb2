//! Discovery is slow: all that the event bus writes arrives a second late. Does the front end stop sending new work to an
//! executor within the grace after its drain is in the event bus?

#[path = "../common-2/kit.rs"]
mod kit;

use kit::*;
use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Functions that are called in turn; each executor is the first choice for some.
const FUNCTIONS: usize = 24;
/// How late everything from the bus is.
const SLOW: Duration = Duration::from_millis(1000);
/// Pages: 250 ms, and on sockets every time limit is 50 ms longer.
const GRACE: Duration = Duration::from_millis(300);
/// For the way of a request from the front end to the executor, in favour of the front end: a send counts by its first byte.
const TRANSIT: Duration = Duration::from_millis(20);
const ALLOW: Duration = Duration::from_secs(4);
const DRAINED: u32 = 2;

fn run_time(_: u8) -> Duration {
    ms(120)
}

#[derive(Default)]
struct Bus {
    /// Payloads of the events from number 2 on, and when each was in the bus.
    events: Mutex<Vec<(Instant, Vec<u8>)>>,
    slow: Mutex<Duration>,
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

/// Tells one front end the events that it lacks, and an empty frame each second; all of it in order, and late where the
/// bus is slow.
fn follow(mut stream: TcpStream, bus: &Bus) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut asked = [0; 8];
    stream.read_exact(&mut asked)?;
    let mut last = u64::from_be_bytes(asked).max(1);
    let mut empty_at = Instant::now();
    let mut waiting: VecDeque<(Instant, Vec<u8>)> = VecDeque::new();
    loop {
        let slow = *bus.slow.lock().unwrap();
        let events = bus.events.lock().unwrap().clone();
        for (_, payload) in events.iter().skip(last as usize - 1) {
            last += 1;
            waiting.push_back((Instant::now() + slow, frame(last, 2, payload)));
        }
        if Instant::now() >= empty_at {
            waiting.push_back((Instant::now() + slow, frame(last, 0, &[])));
            empty_at += Duration::from_secs(1);
        }
        while waiting.front().is_some_and(|(due, _)| Instant::now() >= *due) {
            if let Some((_, bytes)) = waiting.pop_front() {
                stream.write_all(&bytes)?;
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

/// The record of an executor that drains.
fn draining(executor: &Executor) -> Vec<u8> {
    let SocketAddr::V4(address) = executor.address else { cannot_run("not IPv4") };
    let mut bytes = executor.id.to_be_bytes().to_vec();
    bytes.extend(address.ip().octets());
    bytes.extend(address.port().to_be_bytes());
    bytes.extend([1, 0, 0, 0, 0]);
    bytes.extend(6000u32.to_be_bytes());
    bytes.extend(0u64.to_be_bytes());
    bytes
}

fn main() {
    let places = Places::from_args();
    let record = Record::create(&places.case.join("record.txt"));
    record.line(&format!("trouble: {}", trouble()));
    let seen = SeenByAll::default();
    let executors: Vec<Executor> =
        (1..=4).map(|id| Executor::start(id, run_time, seen.clone(), record.clone())).collect();
    let bus = Arc::new(Bus::default());
    let (listen, bus_address) = (free_address(), start_bus(&bus));
    let mut front_end = start_front_end(&places, listen, &configuration(listen, bus_address, &executors));
    let mut clients: Vec<Client> = (0..4).map(|n| Client::connect(&n.to_string(), listen, record.clone())).collect();
    let begin = Instant::now();
    let mut steps = vec![(begin + ms(2000), "discovery becomes slow"), (begin + ms(6000), "an executor drains")];
    let mut n = 0;
    while begin.elapsed() < Duration::from_secs(10) {
        while steps.first().is_some_and(|(when, _)| Instant::now() >= *when) {
            let (_, step) = steps.remove(0);
            record.line(&format!("step: {step}"));
            if step == "discovery becomes slow" {
                *bus.slow.lock().unwrap() = if trouble() { SLOW } else { Duration::ZERO };
            } else {
                DRAINING.lock().unwrap().push(DRAINED);
                let record = draining(&executors[DRAINED as usize - 1]);
                bus.events.lock().unwrap().push((Instant::now(), record));
            }
        }
        let number = clients.len();
        let function = format!("7f3a9c21e0b4d6{:02x}", n % FUNCTIONS);
        clients[n % number].request("lens-fit", &function, ALLOW, b"usual");
        n += 1;
        thread::sleep(ms(20));
    }
    thread::sleep(ms(1500));
    let ended = front_end.ended();
    drop(front_end);
    let told = bus.events.lock().unwrap()[0].0;
    finish(verdict(&record, &clients, &seen, told, ended));
}

fn verdict(record: &Record, clients: &[Client], seen: &SeenByAll, told: Instant, ended: Option<String>) -> i32 {
    let mut broken = 0;
    if let Some(status) = ended {
        record.say(&format!("BROKEN: the front end ended by itself: {status}"));
        broken += 1;
    }
    let seen = seen.lock().unwrap();
    let is_work = |s: &&Seen| s.executor == DRAINED && (s.what == "run" || s.what == "hold");
    let before = seen.iter().filter(is_work).filter(|s| s.at < told).count();
    if before < 10 {
        cannot_run("the executor that drains had hardly any work before");
    }
    let late: Vec<&Seen> = seen.iter().filter(is_work).filter(|s| s.at > told + GRACE + TRANSIT).collect();
    if let (Some(first), Some(last)) = (late.first(), late.last()) {
        broken += late.len();
        record.say(&format!(
            "BROKEN: executor {DRAINED:08x} got new work {} times later than {} ms after its drain was in the event bus: the first after {} ms, the last after {} ms",
            late.len(),
            GRACE.as_millis(),
            (first.at - told).as_millis(),
            (last.at - told).as_millis()
        ));
    }
    let total: usize = clients.iter().map(|c| c.sent().len()).sum();
    let served = clients.iter().flat_map(Client::sent).filter(|s| s.answers.iter().any(|(_, word, _)| word == "200")).count();
    record.say(&format!("{total} requests, {served} served, {before} pieces of work before the drain, {broken} breaks"));
    i32::from(broken > 0)
}
