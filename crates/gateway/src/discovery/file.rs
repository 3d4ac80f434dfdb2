//! A worker list in a file, one worker a line, looked at in a told interval:
//!
//! ```text
//! # NAME ADDRESS [kind K] [zone Z] [cell N] [capacity C] [started UNIX-MS] [state ready|draining]
//! w1 127.0.0.1:9001 kind large zone hall-a capacity 4
//! ```

use super::{DiscoveryCommand, Kind, LIST_MOST};
use crate::state::Input;
use stagehoist::Micros;
use stagehoist_endpoints::ListedWorker;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::sync::mpsc;

/// Reads a list; a malformed one gives its first line at fault and why.
pub fn parse(text: &str) -> Result<Vec<ListedWorker>, (usize, String)> {
    let mut entries = Vec::new();
    for (number, line) in text.lines().enumerate() {
        let line = line.split('#').next().unwrap_or("");
        let words: Vec<&str> = line.split_whitespace().collect();
        let wrong = |what: String| (number + 1, what);
        let [name, address, rest @ ..] = &words[..] else {
            if words.is_empty() {
                continue;
            }
            return Err(wrong("a name and an address expected".into()));
        };
        let mut entry = ListedWorker::new(*name, *address);
        if rest.len() % 2 != 0 {
            return Err(wrong(format!("{} lacks its value", rest[rest.len() - 1])));
        }
        for pair in rest.chunks(2) {
            let (key, value) = (pair[0], pair[1]);
            let number = || value.parse::<f64>().map_err(|_| wrong(format!("{key} is {value}, no number")));
            match key {
                "kind" => entry.kind = value.into(),
                "zone" => entry.zone = value.into(),
                "cell" => entry.cell = number()? as u16,
                "capacity" => entry.capacity = number()?,
                "started" => entry.started = (number()? * 1000.0) as Micros,
                "state" if matches!(value, "ready" | "draining") => entry.draining = value == "draining",
                "state" => return Err(wrong(format!("state is {value}, expected ready or draining"))),
                _ => return Err(wrong(format!("unknown word {key}"))),
            }
        }
        entries.push(entry);
    }
    Ok(entries)
}

async fn read(path: &str) -> std::io::Result<String> {
    let mut text = String::new();
    let file = tokio::fs::File::open(path).await?;
    file.take(LIST_MOST as u64 + 1).read_to_string(&mut text).await?;
    match text.len() > LIST_MOST {
        true => Err(std::io::ErrorKind::FileTooLarge.into()),
        false => Ok(text),
    }
}

pub(super) async fn follow(
    path: &str,
    poll: Micros,
    kind: Kind,
    inputs: mpsc::Sender<Input>,
    mut asks: mpsc::UnboundedReceiver<DiscoveryCommand>,
) {
    let mut last: Option<String> = None;
    let mut failing = false;
    loop {
        let told = match read(path).await {
            Ok(text) if !failing && last.as_ref() == Some(&text) => None,
            Ok(text) => match (kind.text)(&text) {
                Ok(told) => {
                    last = Some(text);
                    failing = false;
                    Some(told)
                }
                Err((line, what)) => {
                    if !failing {
                        tracing::warn!(path, line, what, list = kind.what, "malformed; the old one stands");
                    }
                    (!std::mem::replace(&mut failing, true)).then(kind.failed)
                }
            },
            Err(e) => {
                if !failing {
                    tracing::warn!(path, error = %e, list = kind.what, "can't be read; the old one stands");
                }
                (!std::mem::replace(&mut failing, true)).then(kind.failed)
            }
        };
        if let Some(told) = told {
            if inputs.send(told).await.is_err() {
                return;
            }
        }
        tokio::select! {
            _ = tokio::time::sleep(Duration::from_micros(poll as u64)) => {}
            asked = asks.recv() => match asked {
                None => return,
                // A file costs nothing to read: asking for it means reading it now, and telling it again.
                Some(_) => last = None,
            },
        }
    }
}
