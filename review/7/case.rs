//! The connection between the gateway and its broker drops in the middle of a reply: does each message still get one
//! final answer? The gateway runs with `examples/gateway.conf`, the stand-ins are the project's own.

#[path = "../common-2/kit.rs"]
mod kit;

use kit::*;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Drops, and the time between two of them.
const DROPS: u32 = 6;
const PAUSE: Duration = Duration::from_millis(1500);
const SECONDS: u32 = 12;
/// The next reply passes in half before the connections end.
const IN_REPLY: u32 = 1;
/// The next reply passes whole, and the connections end before the broker's confirm comes back.
const AFTER_REPLY: u32 = 2;

/// What crossed the sockets, by correlation id.
#[derive(Default)]
struct Ledger {
    /// When the caller sent it, and the outcome of each answer that the caller's connection received.
    calls: BTreeMap<String, (Instant, Vec<String>)>,
    /// Replies that the gateway wrote on a connection that dropped in their middle.
    cut_replies: Vec<String>,
    /// Replies that passed whole right before a drop.
    passed_replies: Vec<String>,
}

#[derive(Clone, Copy, PartialEq)]
enum Link {
    Caller,
    Gateway,
}

struct Tap {
    ledger: Mutex<Ledger>,
    record: Arc<Record>,
    /// The drop that is due and not played yet; 0: none.
    due: AtomicU32,
    /// The gateway's connections, which share one way through the network.
    connections: Mutex<Vec<TcpStream>>,
}

fn main() {
    let places = Places::from_args();
    let record = Record::create(&places.case.join("record.txt"));
    record.line(&format!("trouble: {}", trouble()));
    let [broker, store, list, metrics] = [0; 4].map(|_| free_address());
    let program = "exec target/release/stagehoist";
    let start = |name: &str, arguments: String| Process::shell(&places, name, &format!("{program} {arguments}"), &[]);
    let mut processes = vec![
        start("broker", format!("standin broker --stamp --listen {broker}")),
        start("store", format!("standin store --listen {store}")),
    ];
    await_listening(broker);
    await_listening(store);
    processes.push(start("workers", format!("standin workers --count 4 --store {store} --list {list}")));
    await_listening(list);
    let tap = Arc::new(Tap { ledger: Mutex::default(), record: record.clone(), due: AtomicU32::new(0), connections: Mutex::default() });
    let (for_gateway, for_caller) = (start_tap(Link::Gateway, broker, &tap), start_tap(Link::Caller, broker, &tap));
    let example = std::fs::read_to_string(places.root.join("examples/gateway.conf")).unwrap_or_else(|e| cannot_run(&e.to_string()));
    let conf = example
        .replace("@127.0.0.1:5672/", &format!("@{for_gateway}/"))
        .replace("http://127.0.0.1:8500", &format!("http://{list}"))
        .replace("listen metrics 127.0.0.1:9464", &format!("listen metrics {metrics}"));
    let file = places.temp.join("gateway.conf");
    std::fs::write(&file, conf).unwrap_or_else(|e| cannot_run(&e.to_string()));
    processes.push(start("gateway", format!("--log info serve {}", file.display())));
    await_logged(&places, "gateway", "consuming from all queues", 2);
    let load = format!(
        "load run --broker amqp://guest:guest@{for_caller}/ --rate 100 --seconds {SECONDS} --function free-times --function recurring --json"
    );
    let mut caller = start("caller", load);
    thread::sleep(PAUSE);
    for number in 0..DROPS {
        if trouble() {
            tap.due.store([IN_REPLY, AFTER_REPLY][number as usize % 2], Ordering::SeqCst);
        }
        thread::sleep(PAUSE);
    }
    let by = Instant::now() + Duration::from_secs(30);
    let status = loop {
        if let Some(status) = caller.ended() {
            break status;
        }
        if Instant::now() > by {
            cannot_run("the caller does not end");
        }
        thread::sleep(ms(50));
    };
    let gateway = processes.last_mut().and_then(Process::ended);
    let told = std::fs::read_to_string(places.temp.join("caller.log")).unwrap_or_default();
    record.line(&format!("the caller ended: {status}; its ledger: {}", told.trim()));
    drop(caller);
    drop(processes);
    std::process::exit(verdict(&tap, gateway));
}

fn verdict(tap: &Tap, gateway: Option<String>) -> i32 {
    let ledger = tap.ledger.lock().unwrap();
    let record = &tap.record;
    if ledger.calls.len() < 100 {
        cannot_run("hardly any call was sent");
    }
    if trouble() && ledger.cut_replies.is_empty() && ledger.passed_replies.is_empty() {
        cannot_run("no connection dropped in the middle of a reply");
    }
    let mut broken = 0;
    if let Some(status) = gateway {
        record.say(&format!("BROKEN: the gateway ended by itself: {status}"));
        broken += 1;
    }
    for (id, (_, answers)) in &ledger.calls {
        if answers.len() != 1 {
            broken += 1;
            let cut = ledger.cut_replies.iter().filter(|cut| *cut == id).count();
            let passed = ledger.passed_replies.iter().filter(|passed| *passed == id).count();
            record.say(&format!(
                "BROKEN: message {id} got {} answers {answers:?}; its replies cut: {cut}, passed before a drop: {passed}",
                answers.len()
            ));
        }
    }
    let (cut, passed) = (ledger.cut_replies.len(), ledger.passed_replies.len());
    record.say(&format!("{} messages, {cut} replies cut, {passed} passed before a drop, {broken} breaks", ledger.calls.len()));
    i32::from(broken > 0)
}

fn await_listening(address: SocketAddr) {
    let by = Instant::now() + Duration::from_secs(10);
    while TcpStream::connect_timeout(&address, ms(500)).is_err() {
        if Instant::now() > by {
            cannot_run(&format!("nobody listens at {address}"));
        }
        thread::sleep(ms(50));
    }
}

fn await_logged(places: &Places, name: &str, words: &str, times: usize) {
    let by = Instant::now() + Duration::from_secs(20);
    loop {
        let log = std::fs::read_to_string(places.temp.join(format!("{name}.log"))).unwrap_or_default();
        if log.matches(words).count() >= times {
            return;
        }
        if Instant::now() > by {
            cannot_run(&format!("{name}: {log}"));
        }
        thread::sleep(ms(50));
    }
}

/// Passes bytes on between connections and the broker, and notes the messages in them.
fn start_tap(link: Link, broker: SocketAddr, tap: &Arc<Tap>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
    let address = listener.local_addr().unwrap_or_else(|e| cannot_run(&e.to_string()));
    let tap = tap.clone();
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(broker) else { continue };
            let _ = (near.set_nodelay(true), far.set_nodelay(true));
            let (Ok(n), Ok(f)) = (near.try_clone(), far.try_clone()) else { continue };
            if let (Link::Gateway, Ok(connection)) = (link, near.try_clone()) {
                tap.connections.lock().unwrap().push(connection);
            }
            let (up, down) = (tap.clone(), tap.clone());
            thread::spawn(move || pass(link, true, near, far, &up));
            thread::spawn(move || pass(link, false, f, n, &down));
        }
    });
    address
}

/// Passes whole frames on in one direction. Where a drop is due, the next reply passes in half, or whole, and all
/// connections of the gateway end.
fn pass(link: Link, is_up: bool, mut from: TcpStream, mut to: TcpStream, tap: &Tap) {
    let (mut held, mut buffer) = (Vec::new(), vec![0; 64 << 10]);
    let mut method = (0, 0);
    let mut is_started = !is_up;
    let mut drops_after_body = None;
    'connection: loop {
        let read = from.read(&mut buffer).unwrap_or(0);
        if read == 0 {
            break;
        }
        held.extend_from_slice(&buffer[..read]);
        if !is_started && held.len() >= 8 {
            // The protocol header.
            is_started = true;
            let header: Vec<u8> = held.drain(..8).collect();
            if to.write_all(&header).is_err() {
                break;
            }
        }
        while let Some(length) = frame_length(&held).filter(|length| is_started && held.len() >= *length) {
            let frame: Vec<u8> = held.drain(..length).collect();
            let payload = &frame[7..length - 1];
            if frame[0] == 1 && payload.len() >= 4 {
                method = (u16_at(payload, 0), u16_at(payload, 2));
                let is_reply = link == Link::Gateway && is_up && method == (60, 40);
                match if is_reply { tap.due.swap(0, Ordering::SeqCst) } else { 0 } {
                    IN_REPLY => {
                        note_cut(&held, tap);
                        let _ = to.write_all(&frame[..length / 2]);
                        drop_all(tap);
                        break 'connection;
                    }
                    AFTER_REPLY => drops_after_body = Some(usize::MAX),
                    _ => {}
                }
            }
            if frame[0] == 2 {
                note(link, is_up, method, payload, tap);
                if drops_after_body.is_some() {
                    let (id, outcome) = message(payload);
                    tap.record.line(&format!("the connection drops after the reply to {id}: {outcome}"));
                    tap.ledger.lock().unwrap().passed_replies.push(id);
                    drops_after_body = Some(u32_at(payload, 8));
                }
            }
            if let Some(left) = drops_after_body.as_mut().filter(|_| frame[0] == 3) {
                *left -= payload.len();
            }
            if to.write_all(&frame).is_err() {
                break 'connection;
            }
            if drops_after_body == Some(0) {
                note_cut(&held, tap);
                drop_all(tap);
                break 'connection;
            }
        }
    }
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}

fn drop_all(tap: &Tap) {
    for connection in tap.connections.lock().unwrap().drain(..) {
        let _ = connection.shutdown(Shutdown::Both);
    }
}

/// Notes the replies in the rest of what the gateway wrote on a connection that drops.
fn note_cut(rest: &[u8], tap: &Tap) {
    let mut at = 0;
    while let Some(length) = frame_length(&rest[at..]).filter(|length| rest.len() >= at + length) {
        if rest[at] == 2 {
            let (id, outcome) = message(&rest[at + 7..at + length - 1]);
            tap.record.line(&format!("the connection drops in or before the reply to {id}: {outcome}"));
            tap.ledger.lock().unwrap().cut_replies.push(id);
        }
        at += length;
    }
}

fn note(link: Link, is_up: bool, method: (u16, u16), payload: &[u8], tap: &Tap) {
    let (id, outcome) = message(payload);
    match (link, is_up, method) {
        (Link::Caller, true, (60, 40)) => {
            tap.record.line(&format!("caller sent {id}"));
            tap.ledger.lock().unwrap().calls.entry(id).or_insert((Instant::now(), Vec::new()));
        }
        (Link::Caller, false, (60, 60)) => {
            tap.record.line(&format!("caller received the answer to {id}: {outcome}"));
            if let Some(call) = tap.ledger.lock().unwrap().calls.get_mut(&id) {
                call.1.push(outcome);
            }
        }
        (Link::Gateway, true, (60, 40)) => tap.record.line(&format!("gateway replied to {id}: {outcome}")),
        (Link::Gateway, false, (60, 60)) => tap.record.line(&format!("gateway received {id}")),
        _ => {}
    }
}

fn u16_at(bytes: &[u8], at: usize) -> u16 {
    bytes.get(at..at + 2).map_or(0, |b| u16::from_be_bytes([b[0], b[1]]))
}

fn u32_at(bytes: &[u8], at: usize) -> usize {
    bytes.get(at..at + 4).map_or(0, |b| u32::from_be_bytes([b[0], b[1], b[2], b[3]]) as usize)
}

fn frame_length(bytes: &[u8]) -> Option<usize> {
    (bytes.len() >= 7).then(|| 8 + u32_at(bytes, 3))
}

/// The correlation id in a content header, and the header `outcome`, if there is one.
fn message(payload: &[u8]) -> (String, String) {
    let (flags, mut at) = (u16_at(payload, 12), 14);
    let mut outcome = String::new();
    let text = |at: usize, length: usize| String::from_utf8_lossy(payload.get(at..at + length).unwrap_or_default()).into_owned();
    for bit in (11..=15).rev() {
        if flags & (1 << bit) == 0 {
            continue;
        }
        match bit {
            15 | 14 => at += 1 + usize::from(payload.get(at).copied().unwrap_or(0)),
            13 => {
                let table = text(at + 4, u32_at(payload, at));
                let told = ["served", "refused", "failed"].into_iter().find(|word| table.contains(word));
                outcome = told.unwrap_or_default().to_string();
                at += 4 + u32_at(payload, at);
            }
            _ => at += 1,
        }
    }
    let has_correlation = flags & (1 << 10) != 0;
    let length = if has_correlation { usize::from(payload.get(at).copied().unwrap_or(0)) } else { 0 };
    (text(at + 1, length), outcome)
}
