//! An executor: it holds copies, runs requests for a told time, loads on order, and spoils answers on command. All that
//! crosses its sockets is noted with its time.

use super::backlog::full_backlog;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch, Notify};

/// How long an address may take to be free again.
const BIND_TIMEOUT: Duration = Duration::from_secs(2);
/// How often one that hangs looks whether it still does.
const HUNG_POLL: Duration = Duration::from_millis(5);

/// What becomes of one request's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    Noise,
    Endless,
    /// A length that does not fit the body.
    WrongLength,
    /// Claims 3 GB and goes on sending.
    Huge,
    /// Breaks off inside the body.
    CutOff,
    /// Stops inside the body and stays open.
    StopsShort,
    Never,
    /// Comes after the caller's time.
    Late,
    Twice,
    /// An answer under an unknown id comes first.
    UnknownBefore,
    /// The connection is reset once the request was read; it ran.
    Reset,
    /// An error though it ran.
    Error,
}

/// What crossed a socket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExecutorRequest {
    Run {
        id: String,
        class: String,
        key: String,
        body: Vec<u8>,
        /// How long the front end will wait.
        wait: Duration,
    },
    /// How it ended here: the word of its answer, or how it was spoilt.
    Answered {
        id: String,
        word: String,
    },
    Stop {
        id: String,
    },
    Hold {
        key: String,
        copies: u32,
    },
    Free {
        key: String,
    },
    Probe,
}

/// Whether an executor takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Intake {
    #[default]
    Open,
    /// It finishes what it runs, rejects runs and orders to load, and answers questions about its health with `DOWN`.
    Draining,
    /// It reads, and does and answers nothing until it no longer hangs.
    Hung,
}

#[derive(Clone, Debug)]
pub struct ObservedRequest {
    pub at: Instant,
    /// Which of its addresses the connection came to: where each front end has an address of its own, which front end.
    pub front_end: usize,
    pub what: ExecutorRequest,
}

#[derive(Default)]
struct State {
    seen: Vec<ObservedRequest>,
    copies: BTreeSet<String>,
    faults: VecDeque<Fault>,
    running: BTreeMap<(u64, String), Arc<Notify>>,
    connections: usize,
    intake: Intake,
    /// Requests that it runs at a time; 0: any number. Beyond them it answers `BUSY`, and `DOWN` to questions.
    places: usize,
    /// Requests whose time is shorter than a run are dropped without a word.
    drops_expired: bool,
}

impl State {
    fn is_full(&self) -> bool {
        self.places > 0 && self.running.len() >= self.places
    }

    fn rejects(&self) -> bool {
        self.intake == Intake::Draining || self.is_full()
    }
}

/// One executor.
pub struct Executor {
    pub id: u32,
    /// The first of its addresses.
    pub address: SocketAddr,
    pub addresses: Vec<SocketAddr>,
    state: Arc<Mutex<State>>,
    /// Closes the connections that are open.
    closing: watch::Sender<()>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

/// What serves the connections to one address.
#[derive(Clone)]
struct Party {
    state: Arc<Mutex<State>>,
    closing: watch::Receiver<()>,
    front_end: usize,
    run: Duration,
    load: Duration,
}

impl Party {
    /// Returns once the executor does not hang.
    async fn awake(&self) {
        while self.state.lock().unwrap().intake == Intake::Hung {
            tokio::time::sleep(HUNG_POLL).await;
        }
    }

    fn note(&self, what: ExecutorRequest) {
        let seen = ObservedRequest { at: Instant::now(), front_end: self.front_end, what };
        self.state.lock().unwrap().seen.push(seen);
    }
}

/// Binds an address; one that was just left may take a moment.
async fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let by = Instant::now() + BIND_TIMEOUT;
    loop {
        match TcpListener::bind(address).await {
            Err(error) if error.kind() == std::io::ErrorKind::AddrInUse && Instant::now() < by => {
                tokio::time::sleep(HUNG_POLL).await;
            }
            done => return done,
        }
    }
}

async fn never_accept(address: SocketAddr) {
    let mut crowd = Vec::new();
    let _listener = loop {
        // The listener that was there may take a moment to go.
        match full_backlog(address, &mut crowd).await {
            Some(listener) => break listener,
            None => tokio::time::sleep(HUNG_POLL).await,
        }
    };
    std::future::pending().await
}

async fn accept(listener: TcpListener, party: Party) {
    let mut tasks = tokio::task::JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        let number = {
            let mut state = party.state.lock().unwrap();
            state.connections += 1;
            state.connections as u64
        };
        tasks.spawn(serve(stream, number, party.clone()));
    }
}

impl Executor {
    /// Starts one that runs requests for `run` and loads for `load`; must be called inside a runtime.
    pub async fn start(id: u32, run: Duration, load: Duration) -> std::io::Result<Executor> {
        Executor::start_at(&[SocketAddr::from(([127, 0, 0, 1], 0))], id, run, load).await
    }

    /// One at given addresses, where another may have been before.
    pub async fn start_at(
        addresses: &[SocketAddr],
        id: u32,
        run: Duration,
        load: Duration,
    ) -> std::io::Result<Executor> {
        let state = Arc::new(Mutex::new(State::default()));
        let (closing, closed) = watch::channel(());
        let (mut listening, mut tasks) = (Vec::new(), Vec::new());
        for (front_end, address) in addresses.iter().enumerate() {
            let listener = bind(*address).await?;
            listening.push(listener.local_addr()?);
            let party = Party { state: state.clone(), closing: closed.clone(), front_end, run, load };
            tasks.push(tokio::spawn(accept(listener, party)));
        }
        Ok(Executor { id, address: listening[0], addresses: listening, state, closing, tasks })
    }

    /// Copies that stand.
    pub fn holds(&self, keys: &[&str]) {
        self.state.lock().unwrap().copies.extend(keys.iter().map(|k| k.to_string()));
    }

    /// The next requests' answers are spoilt so.
    pub fn spoil(&self, faults: impl IntoIterator<Item = Fault>) {
        self.state.lock().unwrap().faults.extend(faults);
    }

    pub fn seen(&self) -> Vec<ObservedRequest> {
        self.state.lock().unwrap().seen.clone()
    }

    pub fn connections(&self) -> usize {
        self.state.lock().unwrap().connections
    }

    /// Whether it takes new work from now on.
    pub fn set_intake(&self, intake: Intake) {
        self.state.lock().unwrap().intake = intake;
    }

    /// Requests that it runs at a time; 0: any number.
    pub fn set_places(&self, places: usize) {
        self.state.lock().unwrap().places = places;
    }

    /// Whether requests whose time is shorter than a run are dropped without a word.
    pub fn set_drops_expired(&self, drops_expired: bool) {
        self.state.lock().unwrap().drops_expired = drops_expired;
    }

    /// Closes every open connection, whatever is on it; it goes on and takes new ones.
    pub fn close_connections(&self) {
        self.closing.send_replace(());
    }

    /// Its machine is cut off: its connections are reset, and new ones never come up.
    pub fn cut_off(&mut self) {
        self.end();
        self.tasks = self.addresses.iter().map(|address| tokio::spawn(never_accept(*address))).collect();
    }

    /// The process ends: its connections are reset, new ones refused.
    pub fn end(&self) {
        self.tasks.iter().for_each(tokio::task::JoinHandle::abort);
    }
}

impl Drop for Executor {
    fn drop(&mut self) {
        self.end();
    }
}

fn field(list: &str, name: &str) -> String {
    let found = list.split(',').find_map(|f| f.strip_prefix(name)?.strip_prefix('='));
    found.unwrap_or_default().to_string()
}

async fn serve(stream: TcpStream, conn: u64, party: Party) {
    let Party { state, run, load, mut closing, .. } = party.clone();
    closing.mark_unchanged();
    let _ = stream.set_nodelay(true);
    let (read, mut write) = stream.into_split();
    let (to_write, mut lines) = mpsc::channel::<Vec<u8>>(1024);
    let ended = Arc::new(Notify::new());
    let writer_ended = ended.clone();
    let writer = tokio::spawn(async move {
        while let Some(bytes) = lines.recv().await {
            // Nothing to write means: break off.
            if bytes.is_empty() || write.write_all(&bytes).await.is_err() {
                writer_ended.notify_one();
                return;
            }
        }
    });
    let mut read = BufReader::new(read);
    let mut tasks = tokio::task::JoinSet::new();
    loop {
        let mut line = String::new();
        let got = tokio::select! {
            got = read.read_line(&mut line) => got,
            () = ended.notified() => break,
            _ = closing.changed() => break,
        };
        if !matches!(got, Ok(n) if n > 0) {
            break;
        }
        let words: Vec<&str> = line.trim_end_matches(['\r', '\n']).split(' ').collect();
        match words[..] {
            ["RUN", id, fields, length] => {
                let Ok(length) = length.parse::<usize>() else { break };
                let mut body = vec![0; length + 2];
                if read.read_exact(&mut body).await.is_err() {
                    break;
                }
                body.truncate(length);
                let (key, class) = (field(fields, "key"), field(fields, "class"));
                let wait = Duration::from_millis(field(fields, "wait").parse().unwrap_or(0));
                let (id, body_seen) = (id.to_string(), body.clone());
                party.note(ExecutorRequest::Run {
                    id: id.clone(),
                    class,
                    key: key.clone(),
                    body: body_seen,
                    wait,
                });
                let stop = Arc::new(Notify::new());
                let (rejects, holds, fault) = {
                    let mut s = state.lock().unwrap();
                    if s.drops_expired && wait < run {
                        continue;
                    }
                    let rejects = s.rejects();
                    let holds = s.copies.contains(&key) && !rejects;
                    s.running.insert((conn, id.clone()), stop.clone());
                    (rejects, holds, if holds { s.faults.pop_front() } else { None })
                };
                let (state, to_write, party) = (state.clone(), to_write.clone(), party.clone());
                tasks.spawn(async move {
                    party.awake().await;
                    let word = if rejects {
                        "BUSY"
                    } else if !holds {
                        "MISS"
                    } else if fault == Some(Fault::Error) {
                        "ERR"
                    } else {
                        "OK"
                    };
                    if holds {
                        tokio::select! {
                            () = tokio::time::sleep(run) => {}
                            () = stop.notified() => return,
                        }
                    }
                    let body = if word == "OK" { body } else { Vec::new() };
                    answer(&id, word, &body, fault, &party, &to_write).await;
                    state.lock().unwrap().running.remove(&(conn, id));
                });
            }
            ["STOP", id] => {
                party.note(ExecutorRequest::Stop { id: id.into() });
                if let Some(stop) = state.lock().unwrap().running.remove(&(conn, id.to_string())) {
                    stop.notify_one();
                }
            }
            ["NOOP" | "INFO", tag] => {
                party.note(ExecutorRequest::Probe);
                let (out, rejects) = {
                    let s = state.lock().unwrap();
                    (s.running.len(), s.rejects())
                };
                let answer = if rejects {
                    format!("{tag} DOWN - 0\r\n\r\n")
                } else {
                    format!("{tag} UP stats=inflight:{out};x0:0.1 0\r\n\r\n")
                };
                let (party, to_write) = (party.clone(), to_write.clone());
                tasks.spawn(async move {
                    party.awake().await;
                    let _ = to_write.send(answer.into_bytes()).await;
                });
            }
            ["HOLD", tag, fields] => {
                let (key, copies) = (field(fields, "key"), field(fields, "copies").parse().unwrap_or(0));
                party.note(ExecutorRequest::Hold { key: key.clone(), copies });
                let (state, to_write, tag) = (state.clone(), to_write.clone(), tag.to_string());
                let rejects = copies > 0 && state.lock().unwrap().intake == Intake::Draining;
                let party = party.clone();
                tokio::spawn(async move {
                    party.awake().await;
                    if copies > 0 && !rejects {
                        tokio::time::sleep(load).await;
                        state.lock().unwrap().copies.insert(key.clone());
                    }
                    let stand = u32::from(state.lock().unwrap().copies.contains(&key));
                    let word = if rejects { "BUSY" } else { "OK" };
                    let _ =
                        to_write.send(format!("{tag} {word} copies={stand} 0\r\n\r\n").into_bytes()).await;
                });
            }
            ["FREE", key] => {
                party.note(ExecutorRequest::Free { key: key.into() });
                state.lock().unwrap().copies.remove(key);
            }
            _ => break,
        }
    }
    drop(tasks);
    writer.abort();
}

async fn answer(
    id: &str,
    word: &str,
    body: &[u8],
    fault: Option<Fault>,
    party: &Party,
    to_write: &mpsc::Sender<Vec<u8>>,
) {
    let mut whole = format!("{id} {word} queue_fn=1 {}\r\n", body.len()).into_bytes();
    whole.extend_from_slice(body);
    whole.extend_from_slice(b"\r\n");
    let told = fault.map_or(word.to_string(), |f| format!("{f:?}"));
    party.note(ExecutorRequest::Answered { id: id.into(), word: told });
    let send = |bytes: Vec<u8>| async { drop(to_write.send(bytes).await) };
    match fault {
        None | Some(Fault::Error) => send(whole).await,
        Some(Fault::Noise) => send(vec![0x00, 0xff, 0x13, b'\n', 0x80]).await,
        Some(Fault::Endless) => {
            for _ in 0..64 {
                send(vec![b'x'; 1024]).await;
            }
        }
        Some(Fault::WrongLength) => {
            let mut bytes = format!("{id} OK - {}\r\n", body.len() + 3).into_bytes();
            bytes.extend_from_slice(body);
            bytes.extend_from_slice(b"\r\nffffffffffffffff OK - 0\r\n\r\n");
            send(bytes).await;
        }
        Some(Fault::Huge) => {
            send(format!("{id} OK - 3000000000\r\n").into_bytes()).await;
            for _ in 0..64 {
                send(vec![b'y'; 16 << 10]).await;
            }
        }
        Some(Fault::CutOff) => {
            send(whole[..whole.len() - 4].to_vec()).await;
            send(Vec::new()).await;
        }
        Some(Fault::StopsShort) => send(whole[..whole.len() - 4].to_vec()).await,
        Some(Fault::Never) => {}
        Some(Fault::Late) => {
            tokio::time::sleep(Duration::from_secs(3)).await;
            send(whole).await;
        }
        Some(Fault::Twice) => {
            send(whole.clone()).await;
            send(whole).await;
        }
        Some(Fault::UnknownBefore) => {
            let mut bytes = b"00000000deadbeef OK - 5\r\nother\r\n".to_vec();
            bytes.extend_from_slice(&whole);
            send(bytes).await;
        }
        Some(Fault::Reset) => send(Vec::new()).await,
    }
}
