//! Everything that stands: threads for the stand-ins and taps, processes for the front ends.

use crate::callers::{self, Counts, Pace};
use crate::day::Day;
use crate::layout::Layout;
use stagehoist_judge::capture::{Link, Peer, Recorder};
use stagehoist_judge::tap;
use stagehoist_standin::broker::{self, Broker, BrokerOptions};
use stagehoist_standin::list::{Listed, Registry};
use stagehoist_standin::{store, worker};
use std::collections::BTreeMap;
use std::io;
use std::net::TcpListener as StdListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

/// What can keep a stage from standing.
#[derive(Debug, thiserror::Error)]
pub enum StageError {
    #[error("can't open a loopback socket: {0}")]
    Socket(#[source] io::Error),
    #[error("can't write the front ends' configuration: {0}")]
    Config(#[source] io::Error),
    #[error("can't start {binary}: {source}")]
    Process { binary: PathBuf, source: io::Error },
    #[error("front end {0} ended before it was told to ({1})")]
    Ended(u32, String),
    #[error("the front ends do not consume after {0:?}")]
    NotReady(Duration),
    #[error("front end {0} did not end in order within {1:?}: {2}")]
    NoOrderlyEnd(u32, Duration, String),
}

/// Threads end when this is dropped.
struct Host {
    _stop: watch::Sender<bool>,
}

/// Runs something on a thread of its own with a current-thread runtime, until the host is dropped.
fn host<F>(work: impl FnOnce() -> F + Send + 'static) -> Result<Host, StageError>
where
    F: std::future::Future<Output = ()> + 'static,
{
    let (stop, mut stopped) = watch::channel(false);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(StageError::Socket)?;
    std::thread::Builder::new()
        .spawn(move || {
            let local = tokio::task::LocalSet::new();
            local.block_on(&runtime, async move {
                let work = work();
                tokio::select! {
                    () = work => {}
                    _ = stopped.changed() => {}
                }
            });
        })
        .map_err(StageError::Socket)?;
    Ok(Host { _stop: stop })
}

fn listen() -> Result<(StdListener, String), StageError> {
    let open = || {
        let listener = StdListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?.to_string();
        Ok((listener, address))
    };
    open().map_err(StageError::Socket)
}

struct WorkerStand {
    address: String,
    controls: Arc<worker::Controls>,
    down: bool,
}

struct StartWorker {
    address: String,
    listener: Option<StdListener>,
    options: worker::WorkerOptions,
    controls: Arc<worker::Controls>,
    warm: bool,
}

/// One front end's process.
pub struct FrontEnd {
    pub process: Child,
    config: PathBuf,
}

/// The stack of a day.
pub struct Stack {
    pub layout: Layout,
    pub day: Day,
    pub recorder: Recorder,
    pub links: Vec<Link>,
    pub broker: broker::Handle,
    pub broker_address: String,
    pub store: Arc<store::Controls>,
    pub store_address: String,
    pub registry: Registry,
    pub list_address: String,
    pub counts: Arc<Counts>,
    pub pace: watch::Sender<Pace>,
    /// By front end and worker.
    pub worker_taps: BTreeMap<(u32, String), Arc<tap::Controls>>,
    pub front_ends: Vec<FrontEnd>,
    /// Broken by hand: did every front end that was told to end do so in order.
    pub disorderly: Vec<String>,
    workers: BTreeMap<String, WorkerStand>,
    start_worker: mpsc::UnboundedSender<StartWorker>,
    binary: PathBuf,
    folder: tempfile::TempDir,
    _hosts: Vec<Host>,
}

/// Milliseconds since 1970.
fn unix_ms() -> i64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_millis() as i64
}

impl Stack {
    /// Starts everything; `binary` is the project's own binary, whose `serve` runs the front ends.
    pub fn start(day: Day, binary: &Path) -> Result<Stack, StageError> {
        let layout = Layout::of(&day);
        Stack::with_layout(day, layout, binary)
    }

    /// Starts everything by a layout other than the day's own.
    pub fn with_layout(day: Day, layout: Layout, binary: &Path) -> Result<Stack, StageError> {
        let recorder = Recorder::default();
        let mut hosts = Vec::new();
        let mut links = Vec::new();
        let mut taps: Vec<(StdListener, String, usize, Arc<tap::Controls>)> = Vec::new();
        let mut tap = |front_end: Option<u32>, peer: Peer, far: &str| -> Result<_, StageError> {
            let (listener, address) = listen()?;
            let controls = Arc::new(tap::Controls::default());
            taps.push((listener, far.to_string(), links.len(), controls.clone()));
            links.push(Link { front_end, peer });
            Ok((address, controls))
        };

        let (broker_handle, commands) = broker::Handle::new();
        let stamps = day.stamps;
        let (listener, broker_address) = listen()?;
        hosts.push(host(move || async move {
            let Ok(listener) = TcpListener::from_std(listener) else { return };
            let stamp_from = stamps.then(|| unix_ms() * 1000);
            let options = BrokerOptions { stamp_from, ..BrokerOptions::default() };
            let ended = broker::serve(listener, Broker::new(options), commands).await;
            tracing::warn!(?ended, "broker ended");
        })?);

        let store_controls = Arc::new(store::Controls::default());
        let (listener, store_address) = listen()?;
        let controls = store_controls.clone();
        let (start_worker, mut starts) = mpsc::unbounded_channel::<StartWorker>();
        hosts.push(host(move || async move {
            let Ok(listener) = TcpListener::from_std(listener) else { return };
            tokio::task::spawn_local(store::serve(listener, store::StoreOptions::default(), controls));
            while let Some(start) = starts.recv().await {
                tokio::task::spawn_local(run_worker(start));
            }
        })?);

        let registry = Registry::new();
        let mut workers = BTreeMap::new();
        for (i, plan) in layout.workers.iter().enumerate() {
            let (listener, address) = listen()?;
            let controls = Arc::new(worker::Controls::default());
            let options = worker::WorkerOptions {
                name: plan.name.clone(),
                spec: layout.spec.clone(),
                catalogue: layout.catalogue.clone(),
                store: store_address.clone(),
                seed: day.seed.wrapping_add(i as u64),
            };
            registry.put(Listed {
                name: plan.name.clone(),
                zone: plan.hall.clone(),
                kind: "usual".into(),
                cell: plan.cell,
                capacity: layout.spec.cores,
                started_ms: unix_ms() - 3_600_000,
                draining: false,
            });
            let (start, stand) = (controls.clone(), controls);
            let sent = StartWorker {
                address: address.clone(),
                listener: Some(listener),
                options,
                controls: start,
                warm: true,
            };
            // The thread that takes it lives as long as the hosts.
            let _ = start_worker.send(sent);
            workers.insert(plan.name.clone(), WorkerStand { address, controls: stand, down: false });
        }

        let folder = tempfile::tempdir().map_err(StageError::Config)?;
        let mut worker_taps = BTreeMap::new();
        let mut lists = Vec::new();
        let mut configs = Vec::new();
        for front_end in 0..day.front_ends {
            let mut addresses = BTreeMap::new();
            for (name, stand) in &workers {
                let peer = Peer::Worker(name.clone());
                let (address, controls) = tap(Some(front_end), peer, &stand.address)?;
                addresses.insert(name.clone(), address);
                worker_taps.insert((front_end, name.clone()), controls);
            }
            let (listener, far) = listen()?;
            lists.push((listener, addresses));
            let (list, _) = tap(Some(front_end), Peer::List, &far)?;
            let (broker, _) = tap(Some(front_end), Peer::Broker, &broker_address)?;
            let path = folder.path().join(format!("front-end-{front_end}.conf"));
            let text = layout.config(&day, front_end, &broker, &list);
            std::fs::write(&path, text).map_err(StageError::Config)?;
            configs.push(path);
        }
        let (callers_broker, _) = tap(None, Peer::CallersBroker, &broker_address)?;
        let (listener, list_address) = listen()?;
        let direct = workers.iter().map(|(name, stand)| (name.clone(), stand.address.clone())).collect();
        lists.push((listener, direct));
        let shown = registry.clone();
        hosts.push(host(move || async move {
            let mut tasks = tokio::task::JoinSet::new();
            for (listener, addresses) in lists {
                let Ok(listener) = TcpListener::from_std(listener) else { return };
                tasks.spawn_local(shown.clone().serve(listener, addresses));
            }
            while tasks.join_next().await.is_some() {}
        })?);
        // Callers' link, brokers' links and workers' links on threads of their own, so that one does not wait for another.
        let group = |link: usize| match links[link].peer {
            Peer::CallersBroker => 0,
            Peer::Broker | Peer::List => 1,
            Peer::Worker(_) => 2,
        };
        let mut groups: [Vec<_>; 3] = Default::default();
        taps.into_iter().for_each(|tap| groups[group(tap.2)].push(tap));
        for taps in groups {
            let record = recorder.clone();
            hosts.push(host(move || async move {
                let mut tasks = tokio::task::JoinSet::new();
                for (listener, far, link, controls) in taps {
                    let Ok(listener) = TcpListener::from_std(listener) else { return };
                    tasks.spawn_local(tap::serve(listener, far, link, record.clone(), controls));
                }
                while let Some(ended) = tasks.join_next().await {
                    tracing::warn!(?ended, "tap ended");
                }
            })?);
        }

        let counts = Arc::new(Counts::default());
        let (pace, told) = watch::channel(Pace { rate: 0.0, stop: false });
        let (count, seed, plan) = (counts.clone(), day.seed, layout.clone());
        hosts.push(host(move || callers::run(callers_broker, 0, plan, seed, count, told))?);

        let mut stack = Stack {
            layout,
            day,
            recorder,
            links,
            broker: broker_handle,
            broker_address,
            store: store_controls,
            store_address,
            registry,
            list_address,
            counts,
            pace,
            worker_taps,
            front_ends: Vec::new(),
            disorderly: Vec::new(),
            workers,
            start_worker,
            binary: binary.to_path_buf(),
            folder,
            _hosts: hosts,
        };
        for config in configs {
            let process = stack.spawn(&config)?;
            stack.front_ends.push(FrontEnd { process, config });
        }
        Ok(stack)
    }

    fn spawn(&self, config: &Path) -> Result<Child, StageError> {
        let log = config.with_extension("log");
        let log =
            std::fs::OpenOptions::new().create(true).append(true).open(log).map_err(StageError::Config)?;
        Command::new(&self.binary)
            .args(["--log", &self.layout.log, "--log-format", "json", "serve"])
            .arg(config)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|source| StageError::Process { binary: self.binary.clone(), source })
    }

    /// What a front end's process wrote last.
    pub fn log(&self, front_end: u32) -> String {
        let path = self.folder.path().join(format!("front-end-{front_end}.log"));
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        lines[lines.len().saturating_sub(20)..].join("\n")
    }

    /// Where a front end's metrics stand, as its log tells.
    pub fn metrics_address(&self, front_end: u32) -> Option<String> {
        let path = self.folder.path().join(format!("front-end-{front_end}.log"));
        crate::process::metrics_told(&std::fs::read_to_string(path).ok()?)
    }

    /// Waits until every front end consumes.
    pub fn wait_ready(&mut self, most: Duration) -> Result<(), StageError> {
        use std::sync::atomic::Ordering;
        let by = Instant::now() + most;
        while Instant::now() < by {
            for number in 0..self.front_ends.len() {
                let ended = self.front_ends[number].process.try_wait();
                if let Ok(Some(status)) = ended {
                    let log = self.log(number as u32);
                    return Err(StageError::Ended(number as u32, format!("{status}\n{log}")));
                }
            }
            if self.counts.consumers.load(Ordering::Relaxed) >= u64::from(self.day.front_ends) {
                // Each has its list by then, or gets it within a query's time on loopback.
                std::thread::sleep(Duration::from_millis(200));
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Err(StageError::NotReady(most))
    }

    /// The addresses that a stranger may use, by name.
    pub fn addresses(&self) -> Vec<(String, String)> {
        let mut all = vec![
            ("broker".to_string(), self.broker_address.clone()),
            ("worker-list".to_string(), self.list_address.clone()),
            ("program-store".to_string(), self.store_address.clone()),
        ];
        all.extend(
            self.workers.iter().map(|(name, stand)| (format!("worker-{name}"), stand.address.clone())),
        );
        all
    }

    /// The commands of a worker.
    pub fn worker(&self, name: &str) -> Option<Arc<worker::Controls>> {
        self.workers.get(name).map(|w| w.controls.clone())
    }

    /// Workers that fell over for being sent too much while cold.
    pub fn fallen(&self) -> Vec<String> {
        self.workers.iter().filter(|(_, w)| w.controls.has_fallen()).map(|(n, _)| n.clone()).collect()
    }

    /// A worker's process dies: its socket refuses from now on, and the list drops it.
    pub fn kill_worker(&mut self, name: &str) {
        if let Some(stand) = self.workers.get_mut(name) {
            stand.down = true;
            stand.controls.kill();
        }
        for ((_, worker), controls) in &self.worker_taps {
            if worker == name {
                controls.down(true);
            }
        }
        self.registry.remove(name);
    }

    /// A worker comes back, empty and cold.
    pub fn return_worker(&mut self, name: &str) {
        let Some(index) = self.layout.workers.iter().position(|w| w.name == name) else { return };
        let plan = self.layout.workers[index].clone();
        let Some(stand) = self.workers.get_mut(name).filter(|s| s.down) else { return };
        stand.down = false;
        stand.controls = Arc::new(worker::Controls::default());
        let options = worker::WorkerOptions {
            name: name.to_string(),
            spec: self.layout.spec.clone(),
            catalogue: self.layout.catalogue.clone(),
            store: self.store_address.clone(),
            seed: self.day.seed.wrapping_add(index as u64),
        };
        let start = StartWorker {
            address: stand.address.clone(),
            listener: None,
            options,
            controls: stand.controls.clone(),
            warm: false,
        };
        let _ = self.start_worker.send(start);
        for ((_, worker), controls) in &self.worker_taps {
            if worker == name {
                controls.down(false);
            }
        }
        self.registry.put(Listed {
            name: plan.name,
            zone: plan.hall,
            kind: "usual".into(),
            cell: plan.cell,
            capacity: self.layout.spec.cores,
            started_ms: unix_ms(),
            draining: false,
        });
    }

    /// Sends a signal to a front end's process.
    pub fn signal(&self, front_end: u32, signal: rustix::process::Signal) {
        let Some(f) = self.front_ends.get(front_end as usize) else { return };
        if let Some(pid) = rustix::process::Pid::from_raw(f.process.id() as i32) {
            let _ = rustix::process::kill_process(pid, signal);
        }
    }

    /// Starts a front end's process anew after the old one ended.
    pub fn restart_front_end(&mut self, front_end: u32) -> Result<(), StageError> {
        let config = self.front_ends[front_end as usize].config.clone();
        let process = self.spawn(&config)?;
        self.front_ends[front_end as usize].process = process;
        Ok(())
    }

    /// Waits for a front end's process to end; its exit code, or None where it was ended by a signal or is still there.
    pub fn wait_end(&mut self, front_end: u32, most: Duration) -> Option<i32> {
        let by = Instant::now() + most;
        while Instant::now() < by {
            if let Ok(Some(status)) = self.front_ends[front_end as usize].process.try_wait() {
                return status.code();
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        None
    }

    /// Tells every front end to end in order, and sees that each does so with exit code 0.
    pub fn end(&mut self, most: Duration) -> Result<(), StageError> {
        for front_end in 0..self.front_ends.len() as u32 {
            self.signal(front_end, rustix::process::Signal::TERM);
        }
        for front_end in 0..self.front_ends.len() as u32 {
            let code = self.wait_end(front_end, most);
            if code != Some(0) {
                let log = self.log(front_end);
                return Err(StageError::NoOrderlyEnd(front_end, most, format!("exit code {code:?}\n{log}")));
            }
        }
        Ok(())
    }
}

impl Drop for Stack {
    fn drop(&mut self) {
        for front_end in &mut self.front_ends {
            // One that ended already can't be killed, which is as well.
            let _ = front_end.process.kill();
            let _ = front_end.process.wait();
        }
    }
}

async fn run_worker(start: StartWorker) {
    let listener = match start.listener {
        Some(listener) => TcpListener::from_std(listener),
        None => {
            // The old process's socket may take a moment to go.
            let mut tries = 0;
            loop {
                match TcpListener::bind(&start.address).await {
                    Err(_) if tries < 100 => tries += 1,
                    done => break done,
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    };
    match listener {
        Ok(listener) => {
            if let Err(error) = worker::run(listener, start.options, start.controls, start.warm).await {
                tracing::warn!(%error, "worker ended");
            }
        }
        Err(error) => tracing::warn!(%error, "worker can't listen"),
    }
}
