//! A tap between the callers and the broker of a case: notes each message that is sent and each answer that is received.

use super::kit::{cannot_run, Record};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;

/// Passes bytes on between the caller and the broker, and notes the calls and the answers in them.
pub fn start_tap(broker: SocketAddr, record: &Arc<Record>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
    let address = listener.local_addr().unwrap_or_else(|e| cannot_run(&e.to_string()));
    let record = record.clone();
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(broker) else { continue };
            let _ = (near.set_nodelay(true), far.set_nodelay(true));
            let (Ok(n), Ok(f)) = (near.try_clone(), far.try_clone()) else { continue };
            let (up, down) = (record.clone(), record.clone());
            thread::spawn(move || pass(true, near, far, &up));
            thread::spawn(move || pass(false, f, n, &down));
        }
    });
    address
}

fn pass(is_up: bool, mut from: TcpStream, mut to: TcpStream, record: &Record) {
    let (mut held, mut buffer) = (Vec::new(), vec![0; 64 << 10]);
    let (mut is_started, mut method) = (!is_up, (0, 0));
    let (mut id, mut outcome) = (String::new(), String::new());
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
                    missing = u32_at(payload, 8);
                }
                3 => missing = missing.saturating_sub(payload.len()),
                _ => continue,
            }
            if frame[0] == 1 || missing > 0 {
                continue;
            }
            if is_up && method == (60, 40) {
                record.line(&format!("caller sent {id}"));
            }
            if !is_up && method == (60, 60) {
                record.line(&format!("caller received the answer to {id}: {outcome}"));
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
