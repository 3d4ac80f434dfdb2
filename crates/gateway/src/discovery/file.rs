//! A worker list in a file, one worker a line, polled at the configured interval:
//!
//! ```text
//! # NAME ADDRESS [kind K] [zone Z] [cell N] [capacity C] [started UNIX-MS] [state ready|draining]
//! w1 127.0.0.1:9001 kind large zone hall-a capacity 4
//! ```

use super::{DiscoveryCommand, ListKind, MAX_LIST_BYTES};
use crate::state::Input;
use stagehoist::Micros;
use stagehoist_endpoints::ListedWorker;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::sync::mpsc;

/// Parses a list. The error contains the number of the first malformed line and what is wrong with it.
pub fn parse(text: &str) -> Result<Vec<ListedWorker>, (usize, String)> {
    let mut entries = Vec::new();
    for (number, line) in text.lines().enumerate() {
        let line = line.split('#').next().unwrap_or("");
        let words: Vec<&str> = line.split_whitespace().collect();
        let error = |what: String| (number + 1, what);
        let [name, address, rest @ ..] = &words[..] else {
            if words.is_empty() {
                continue;
            }
            return Err(error("expected a name and an address".into()));
        };
        let mut entry = ListedWorker::new(*name, *address);
        if rest.len() % 2 != 0 {
            return Err(error(format!("{} has no value", rest[rest.len() - 1])));
        }
        for pair in rest.chunks(2) {
            let (key, value) = (pair[0], pair[1]);
            let number =
                || value.parse::<f64>().map_err(|_| error(format!("{key} is {value}, expected a number")));
            match key {
                "kind" => entry.kind = value.into(),
                "zone" => entry.zone = value.into(),
                "cell" => entry.cell = number()? as u16,
                "capacity" => entry.capacity = number()?,
                "started" => entry.started = (number()? * 1000.0) as Micros,
                "state" if matches!(value, "ready" | "draining") => entry.draining = value == "draining",
                "state" => return Err(error(format!("state is {value}, expected ready or draining"))),
                _ => return Err(error(format!("unknown key {key}"))),
            }
        }
        entries.push(entry);
    }
    Ok(entries)
}

async fn read(path: &str) -> std::io::Result<String> {
    let mut text = String::new();
    let file = tokio::fs::File::open(path).await?;
    file.take(MAX_LIST_BYTES as u64 + 1).read_to_string(&mut text).await?;
    match text.len() > MAX_LIST_BYTES {
        true => Err(std::io::ErrorKind::FileTooLarge.into()),
        false => Ok(text),
    }
}

pub(super) async fn watch(
    path: &str,
    poll_interval: Micros,
    kind: ListKind,
    inputs: mpsc::Sender<Input>,
    mut commands: mpsc::UnboundedReceiver<DiscoveryCommand>,
) {
    let mut last: Option<String> = None;
    let mut failing = false;
    loop {
        let input = match read(path).await {
            Ok(text) if !failing && last.as_ref() == Some(&text) => None,
            Ok(text) => match (kind.parse_text)(&text) {
                Ok(input) => {
                    last = Some(text);
                    failing = false;
                    Some(input)
                }
                Err((line, what)) => {
                    if !failing {
                        tracing::warn!(
                            path,
                            line,
                            what,
                            list = kind.what,
                            "list file is malformed; the last list stays in use"
                        );
                    }
                    (!std::mem::replace(&mut failing, true)).then(kind.failure)
                }
            },
            Err(e) => {
                if !failing {
                    tracing::warn!(path, error = %e, list = kind.what, "list file can't be read; the last list stays in use");
                }
                (!std::mem::replace(&mut failing, true)).then(kind.failure)
            }
        };
        if let Some(input) = input {
            if inputs.send(input).await.is_err() {
                return;
            }
        }
        tokio::select! {
            _ = tokio::time::sleep(Duration::from_micros(poll_interval as u64)) => {}
            command = commands.recv() => match command {
                None => return,
                // Reading a file is cheap, so each command reads it now and reports the list again.
                Some(_) => last = None,
            },
        }
    }
}
