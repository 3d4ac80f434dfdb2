//! A client: requests written under tags, answers noted with their time.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::TcpStream;
use tokio::sync::watch;

/// An answer as it came.
#[derive(Clone, Debug)]
pub struct Answered {
    pub at: Instant,
    pub tag: String,
    pub word: String,
    pub body: Vec<u8>,
}

#[derive(Default)]
struct State {
    answers: Vec<Answered>,
    closed: Option<Instant>,
    reset: bool,
}

/// One connection of a client.
pub struct Client {
    write: OwnedWriteHalf,
    state: Arc<Mutex<State>>,
    changed: watch::Receiver<usize>,
    task: tokio::task::JoinHandle<()>,
}

/// An array of bulk strings.
pub fn array(words: &[&[u8]]) -> Vec<u8> {
    let mut b = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        b.extend(format!("${}\r\n", word.len()).into_bytes());
        b.extend_from_slice(word);
        b.extend_from_slice(b"\r\n");
    }
    b
}

async fn number(read: &mut BufReader<tokio::net::tcp::OwnedReadHalf>, mark: char) -> Option<usize> {
    let mut line = String::new();
    read.read_line(&mut line).await.ok().filter(|n| *n > 0)?;
    line.trim_end().strip_prefix(mark)?.parse().ok()
}

async fn answer(read: &mut BufReader<tokio::net::tcp::OwnedReadHalf>) -> Option<Vec<Vec<u8>>> {
    let count = number(read, '*').await?;
    let mut words = Vec::new();
    for _ in 0..count {
        let length = number(read, '$').await?;
        let mut word = vec![0; length + 2];
        read.read_exact(&mut word).await.ok()?;
        word.truncate(length);
        words.push(word);
    }
    Some(words)
}

impl Client {
    pub async fn connect(to: SocketAddr) -> std::io::Result<Client> {
        let stream = TcpStream::connect(to).await?;
        stream.set_nodelay(true)?;
        let (read, write) = stream.into_split();
        let state = Arc::new(Mutex::new(State::default()));
        let (tell, changed) = watch::channel(0);
        let shared = state.clone();
        let task = tokio::spawn(async move {
            let mut read = BufReader::new(read);
            while let Some(words) = answer(&mut read).await {
                let text = |n: usize| words.get(n).map(|w| String::from_utf8_lossy(w).into_owned());
                let answered = Answered {
                    at: Instant::now(),
                    tag: text(0).unwrap_or_default(),
                    word: text(1).unwrap_or_default(),
                    body: words.get(3).cloned().unwrap_or_default(),
                };
                shared.lock().unwrap().answers.push(answered);
                tell.send_modify(|n| *n += 1);
            }
            // What follows the last answer: the end, or the error that a reset leaves.
            let reset = read.read(&mut [0]).await.is_err();
            let mut state = shared.lock().unwrap();
            (state.closed, state.reset) = (Some(Instant::now()), reset);
            drop(state);
            tell.send_modify(|n| *n += 1);
        });
        Ok(Client { write, state, changed, task })
    }

    /// Bytes as they are; an error once the other side is gone.
    pub async fn raw(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.write.write_all(bytes).await
    }

    pub async fn request(&mut self, tag: u64, class: &str, fields: &str, body: &[u8]) -> std::io::Result<()> {
        self.raw(&array(&[b"REQ", tag.to_string().as_bytes(), class.as_bytes(), fields.as_bytes(), body]))
            .await
    }

    pub fn answers(&self) -> Vec<Answered> {
        self.state.lock().unwrap().answers.clone()
    }

    pub fn closed(&self) -> Option<Instant> {
        self.state.lock().unwrap().closed
    }

    /// Whether the connection ended by a reset and not by an orderly end.
    pub fn was_reset(&self) -> bool {
        self.state.lock().unwrap().reset
    }

    /// Waits until so many answers came or the connection closed, `limit` at most.
    pub async fn wait(&mut self, answers: usize, limit: Duration) -> Vec<Answered> {
        let by = tokio::time::Instant::now() + limit;
        while self.answers().len() < answers && self.closed().is_none() {
            if tokio::time::timeout_at(by, self.changed.changed()).await.is_err() {
                break;
            }
        }
        self.answers()
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        self.task.abort();
    }
}
