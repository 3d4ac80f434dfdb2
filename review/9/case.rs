//! A worker's answer comes a second time, some milliseconds late: does each caller still get the answer to its own call?

#[path = "../common-2/kit.rs"]
mod kit;

use kit::*;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// One answer in so many comes a second time, so much later.
const EVERY: u64 = 50;
const LATE: Duration = Duration::from_millis(3);
const RUN: Duration = Duration::from_millis(10);

/// By correlation id: the outcome and the body of each answer that the caller's connection received.
type Calls = Arc<Mutex<BTreeMap<String, Vec<(String, String)>>>>;

fn main() {
    let places = Places::from_args();
    let record = Record::create(&places.case.join("record.txt"));
    record.line(&format!("trouble: {}", trouble()));
    let answers = Arc::new(AtomicU64::new(0));
    let twice = Arc::new(Mutex::new(Vec::new()));
    let workers: Vec<SocketAddr> = (1..=3).map(|n| start_worker(n, &answers, &twice, &record)).collect();
    let broker = free_address();
    let program = "exec target/release/stagehoist";
    let start = |name: &str, arguments: String| Process::shell(&places, name, &format!("{program} {arguments}"), &[]);
    let broker_process = start("broker", format!("standin broker --stamp --listen {broker}"));
    await_listening(broker);
    let calls = Calls::default();
    let for_caller = start_tap(broker, &calls, &record);
    let list = places.temp.join("workers.list");
    let lines: Vec<String> = workers.iter().enumerate().map(|(n, a)| format!("w{} {a} capacity 8", n + 1)).collect();
    let conf = places.temp.join("gateway.conf");
    let text = format!(
        "front-ends 1\nclass lookup aim 800ms give-up 2500ms effect safe worth 1 late-worth 0.1\n\
         function * class lookup memory 64MB lanes 8\nbroker amqp://guest:guest@{broker}/\nconsume calls declare durable\nreplies transaction\n\
         worker-list file {} poll 1s\nworker-kind usual memory 12GB\non-miss load\nretry-after-most 500ms\n",
        list.display()
    );
    let written = std::fs::write(&list, lines.join("\n") + "\n").and_then(|()| std::fs::write(&conf, text));
    written.unwrap_or_else(|e| cannot_run(&e.to_string()));
    let mut gateway = start("gateway", format!("--log info serve {}", conf.display()));
    thread::sleep(ms(1500));
    let load = format!("load run --broker amqp://guest:guest@{for_caller}/ --rate 150 --seconds 8 --json");
    let mut caller = start("caller", load);
    let by = Instant::now() + Duration::from_secs(30);
    while caller.ended().is_none() {
        if Instant::now() > by {
            cannot_run("the caller does not end");
        }
        thread::sleep(ms(50));
    }
    let told = std::fs::read_to_string(places.temp.join("caller.log")).unwrap_or_default();
    record.line(&format!("the caller's ledger: {}", told.trim()));
    let ended = gateway.ended();
    drop((gateway, caller, broker_process));
    let twice = twice.lock().unwrap().len();
    std::process::exit(verdict(&record, &calls, twice, ended));
}

fn verdict(record: &Record, calls: &Calls, twice: usize, ended: Option<String>) -> i32 {
    let calls = calls.lock().unwrap();
    if calls.len() < 100 || (trouble() && twice == 0) {
        cannot_run("hardly any call was sent, or no answer came twice");
    }
    let (mut broken, mut served) = (0, 0);
    if let Some(status) = ended {
        record.say(&format!("BROKEN: the gateway ended by itself: {status}"));
        broken += 1;
    }
    let mut shown = 0;
    for (id, answers) in calls.iter() {
        served += answers.iter().filter(|(outcome, _)| outcome == "served").count();
        for (_, body) in answers.iter().filter(|(outcome, body)| outcome == "served" && *body != made_body(id)) {
            broken += 1;
            shown += 1;
            let text = format!("BROKEN: the call {id} was answered served with what was made for another: {body}");
            if shown <= 5 { record.say(&text) } else { record.line(&text) }
        }
    }
    record.say(&format!("{} calls, {served} served, {twice} answers of workers came twice, {broken} breaks", calls.len()));
    i32::from(broken > 0)
}

fn made_body(id: &str) -> String {
    format!("{{\"id\":\"{id}\",\"outputs\":[]}}")
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

/// A worker that holds every function. Its answer names the call that it was made for.
fn start_worker(number: u32, answers: &Arc<AtomicU64>, twice: &Arc<Mutex<Vec<String>>>, record: &Arc<Record>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
    let address = listener.local_addr().unwrap_or_else(|e| cannot_run(&e.to_string()));
    let (answers, twice, record) = (answers.clone(), twice.clone(), record.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (answers, twice, record) = (answers.clone(), twice.clone(), record.clone());
            thread::spawn(move || drop(serve(number, stream, &answers, &twice, &record)));
        }
    });
    address
}

fn serve(number: u32, stream: TcpStream, answers: &AtomicU64, twice: &Mutex<Vec<String>>, record: &Arc<Record>) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let write = Arc::new(Mutex::new(stream.try_clone()?));
    let mut read = BufReader::new(stream);
    loop {
        let (mut request, mut length, mut id) = (String::new(), 0, String::new());
        if read.read_line(&mut request)? == 0 {
            return Ok(());
        }
        loop {
            let mut header = String::new();
            read.read_line(&mut header)?;
            let header = header.trim_end();
            if header.is_empty() {
                break;
            }
            let Some((name, value)) = header.split_once(':') else { continue };
            match name.to_ascii_lowercase().as_str() {
                "content-length" => length = value.trim().parse().unwrap_or(0),
                "stagehoist-correlation" => id = value.trim().to_string(),
                _ => {}
            }
        }
        let mut body = vec![0; length];
        read.read_exact(&mut body)?;
        let is_call = request.contains("/infer ");
        let body = if is_call { made_body(&id) } else { "{\"copies\":1}".to_string() };
        if is_call {
            record.line(&format!("worker {number} runs {id}"));
            thread::sleep(RUN);
        }
        let copy = if is_call { "stagehoist-copy: warm\r\n" } else { "" };
        let answer = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\nstagehoist-worker: serving\r\n{copy}content-length: {}\r\n\r\n{body}",
            body.len()
        );
        write.lock().unwrap().write_all(answer.as_bytes())?;
        if is_call && trouble() && answers.fetch_add(1, Ordering::SeqCst) % EVERY == EVERY - 1 {
            let (write, record) = (write.clone(), record.clone());
            twice.lock().unwrap().push(id.clone());
            thread::spawn(move || {
                thread::sleep(LATE);
                let written = write.lock().unwrap().write_all(answer.as_bytes());
                record.line(&format!("worker {number} answered {id} a second time ({written:?})"));
            });
        }
    }
}

/// Passes bytes on between the caller and the broker, and notes the calls and the answers in them.
fn start_tap(broker: SocketAddr, calls: &Calls, record: &Arc<Record>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
    let address = listener.local_addr().unwrap_or_else(|e| cannot_run(&e.to_string()));
    let (calls, record) = (calls.clone(), record.clone());
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(broker) else { continue };
            let _ = (near.set_nodelay(true), far.set_nodelay(true));
            let (Ok(n), Ok(f)) = (near.try_clone(), far.try_clone()) else { continue };
            let (up, down) = ((calls.clone(), record.clone()), (calls.clone(), record.clone()));
            thread::spawn(move || pass(true, near, far, &up.0, &up.1));
            thread::spawn(move || pass(false, f, n, &down.0, &down.1));
        }
    });
    address
}

fn pass(is_up: bool, mut from: TcpStream, mut to: TcpStream, calls: &Calls, record: &Record) {
    let (mut held, mut buffer) = (Vec::new(), vec![0; 64 << 10]);
    let (mut is_started, mut method) = (!is_up, (0, 0));
    let (mut id, mut outcome, mut body) = (String::new(), String::new(), String::new());
    let mut missing = 0;
    loop {
        let read = from.read(&mut buffer).unwrap_or(0);
        if read == 0 || to.write_all(&buffer[..read]).is_err() {
            let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
            return;
        }
        held.extend_from_slice(&buffer[..read]);
        if !is_started && held.len() >= 8 {
            // The protocol header.
            is_started = true;
            held.drain(..8);
        }
        while let Some(length) = frame_length(&held).filter(|length| is_started && held.len() >= *length) {
            let frame: Vec<u8> = held.drain(..length).collect();
            let payload = &frame[7..length - 1];
            match frame[0] {
                1 => method = (u16_at(payload, 0), u16_at(payload, 2)),
                2 => {
                    (id, outcome) = message(payload);
                    (missing, body) = (u32_at(payload, 8), String::new());
                }
                3 => {
                    missing = missing.saturating_sub(payload.len());
                    body.push_str(&String::from_utf8_lossy(payload));
                }
                _ => continue,
            }
            if frame[0] == 1 || missing > 0 {
                continue;
            }
            if is_up && method == (60, 40) {
                record.line(&format!("caller sent {id}"));
                calls.lock().unwrap().entry(id.clone()).or_default();
            }
            if !is_up && method == (60, 60) {
                record.line(&format!("caller received the answer to {id}: {outcome} {body}"));
                if let Some(call) = calls.lock().unwrap().get_mut(&id) {
                    call.push((outcome.clone(), body.clone()));
                }
            }
        }
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
