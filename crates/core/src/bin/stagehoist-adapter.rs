//! Runs many instances of the decision module on the simulator's wire: batches on standard input, one reply
//! for each on standard output. It decides nothing.
#![forbid(unsafe_code)]

use stagehoist::wire::{self, Input, Lists, BATCH_HEADER};
use stagehoist::{Action, Event, FrontEnd, Micros};
use std::collections::BTreeMap;
use std::io::{self, BufReader, Read, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};

fn main() {
    if let Err(text) = run() {
        eprintln!("stagehoist-adapter: {text}");
        std::process::exit(2);
    }
}

fn run() -> Result<(), String> {
    let mut input = BufReader::with_capacity(1 << 16, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut lists = Lists::default();
    let mut instances: BTreeMap<u16, FrontEnd> = BTreeMap::new();
    loop {
        let mut header = [0u8; BATCH_HEADER];
        if !read_header(&mut input, &mut header)? {
            return Ok(());
        }
        let (now, length, count) = wire::batch_header(&header).map_err(|e| e.to_string())?;
        let mut body = Vec::new();
        let want = (length - BATCH_HEADER) as u64;
        let got = (&mut input).take(want).read_to_end(&mut body).map_err(|e| e.to_string())? as u64;
        if got < want {
            return Err(format!("frame cut off at byte {} of {length}", BATCH_HEADER as u64 + got));
        }
        let records = wire::decode(&body, count, &mut lists).map_err(|e| e.to_string())?;
        output.write_all(&reply(now, records, &mut instances)).map_err(|e| e.to_string())?;
        output.flush().map_err(|e| e.to_string())?;
    }
}

/// False at the end of input between two frames.
fn read_header(input: &mut impl Read, header: &mut [u8; BATCH_HEADER]) -> Result<bool, String> {
    let mut have = 0;
    while have < header.len() {
        match input.read(&mut header[have..]) {
            Ok(0) if have == 0 => return Ok(false),
            Ok(0) => return Err(format!("batch header cut off at byte {have}")),
            Ok(n) => have += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e.to_string()),
        }
    }
    Ok(true)
}

fn reply(now: Micros, records: Vec<Input>, instances: &mut BTreeMap<u16, FrontEnd>) -> Vec<u8> {
    let mut pending: BTreeMap<u16, Vec<Event>> = BTreeMap::new();
    for record in records {
        match record {
            Input::Start { instance, seed, settings } => {
                instances.insert(instance, FrontEnd::new(*settings, seed, now));
                pending.insert(instance, Vec::new());
            }
            Input::Stop { instance } => {
                instances.remove(&instance);
                pending.remove(&instance);
            }
            Input::Event { instance, event } => pending.entry(instance).or_default().push(event),
        }
    }
    let mut actions: Vec<(u16, Action)> = Vec::new();
    let mut faults: Vec<(u16, String)> = Vec::new();
    let mut out = Vec::new();
    for (instance, events) in pending {
        let Some(front_end) = instances.get_mut(&instance) else { continue };
        match catch_unwind(AssertUnwindSafe(|| front_end.handle(now, &events, &mut out))) {
            Ok(()) => actions.extend(out.drain(..).map(|action| (instance, action))),
            Err(panic) => {
                out.clear();
                let text = panic.downcast_ref::<String>().map(String::as_str);
                let text = text.or(panic.downcast_ref::<&str>().copied()).unwrap_or("panic");
                faults.push((instance, text.to_string()));
            }
        }
    }
    wire::encode(&actions, &faults)
}
