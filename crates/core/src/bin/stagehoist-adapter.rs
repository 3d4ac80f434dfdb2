//! Runs the decision modules of many front ends on the simulator's wire: reads batches from standard input and writes one
//! reply per batch to standard output. The adapter itself makes no decisions.
#![forbid(unsafe_code)]

use stagehoist::wire::{
    self, BatchHeader, EndpointLists, InstanceAction, InstanceFault, Record, WireError, BATCH_HEADER_SIZE,
};
use stagehoist::{Event, FrontEnd, Micros};
use std::any::Any;
use std::collections::BTreeMap;
use std::io::{self, BufReader, Read, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Bytes read from standard input at a time.
const INPUT_BUFFER: usize = 1 << 16;
/// Exit code after bad input.
const EXIT_BAD_INPUT: i32 = 2;

#[derive(Debug, thiserror::Error)]
enum AdapterError {
    #[error("the input ends inside a batch header, after {0} bytes of the header")]
    HeaderTruncated(usize),
    #[error("the input ends inside a frame, at byte {position} of {length}")]
    FrameTruncated { position: usize, length: usize },
    #[error(transparent)]
    Wire(#[from] WireError),
    #[error(transparent)]
    Io(#[from] io::Error),
}

fn main() {
    if let Err(error) = run() {
        eprintln!("stagehoist-adapter: {error}");
        std::process::exit(EXIT_BAD_INPUT);
    }
}

fn run() -> Result<(), AdapterError> {
    let mut input = BufReader::with_capacity(INPUT_BUFFER, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut lists = EndpointLists::default();
    let mut front_ends: BTreeMap<u16, FrontEnd> = BTreeMap::new();
    while let Some(header) = read_header(&mut input)? {
        let body = read_body(&mut input, &header)?;
        let records = wire::decode(&body, header.count, &mut lists)?;
        output.write_all(&reply(header.now, records, &mut front_ends))?;
        output.flush()?;
    }
    Ok(())
}

/// Returns `None` if the input ends between two frames.
fn read_header(input: &mut impl Read) -> Result<Option<BatchHeader>, AdapterError> {
    let mut header = [0u8; BATCH_HEADER_SIZE];
    let mut read = 0;
    while read < header.len() {
        match input.read(&mut header[read..]) {
            Ok(0) if read == 0 => return Ok(None),
            Ok(0) => return Err(AdapterError::HeaderTruncated(read)),
            Ok(count) => read += count,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error.into()),
        }
    }
    Ok(Some(wire::batch_header(&header)?))
}

fn read_body(input: &mut impl Read, header: &BatchHeader) -> Result<Vec<u8>, AdapterError> {
    let expected = header.length - BATCH_HEADER_SIZE;
    let mut body = Vec::new();
    let read = input.take(expected as u64).read_to_end(&mut body)?;
    if read < expected {
        return Err(AdapterError::FrameTruncated {
            position: BATCH_HEADER_SIZE + read,
            length: header.length,
        });
    }
    Ok(body)
}

/// Starts and stops front ends, passes them their events, and encodes their actions.
fn reply(now: Micros, records: Vec<Record>, front_ends: &mut BTreeMap<u16, FrontEnd>) -> Vec<u8> {
    let mut events: BTreeMap<u16, Vec<Event>> = BTreeMap::new();
    for record in records {
        match record {
            Record::Start { instance, seed, settings } => {
                front_ends.insert(instance, FrontEnd::new(*settings, seed, now));
                events.insert(instance, Vec::new());
            }
            Record::Stop { instance } => {
                front_ends.remove(&instance);
                events.remove(&instance);
            }
            Record::Event { instance, event } => events.entry(instance).or_default().push(event),
        }
    }
    let mut actions = Vec::new();
    let mut faults = Vec::new();
    for (instance, events) in events {
        let Some(front_end) = front_ends.get_mut(&instance) else { continue };
        let mut new = Vec::new();
        match catch_unwind(AssertUnwindSafe(|| front_end.handle(now, &events, &mut new))) {
            Ok(()) => actions.extend(new.into_iter().map(|action| InstanceAction { instance, action })),
            Err(panic) => faults.push(InstanceFault { instance, text: panic_text(&*panic) }),
        }
    }
    wire::encode(&actions, &faults)
}

fn panic_text(panic: &(dyn Any + Send)) -> String {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    text.or(panic.downcast_ref::<&str>().copied()).unwrap_or("panic").to_string()
}
