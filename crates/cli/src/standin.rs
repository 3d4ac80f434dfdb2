//! The `standin` subcommand: runs one emulator on a given address until SIGINT or SIGTERM.

use clap::Subcommand;
use stagehoist_emulator::broker::{self, Broker, BrokerOptions};
use stagehoist_emulator::list::{Listed, Registry};
use stagehoist_emulator::store::{self, StoreOptions};
use stagehoist_emulator::worker::{self, Catalogue, Program, Spec, WorkerOptions};
use std::collections::BTreeMap;
use std::io;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, SystemTime};
use tokio::net::TcpListener;

#[derive(Subcommand)]
pub enum Standin {
    /// Run an AMQP 0-9-1 broker.
    Broker {
        #[arg(long, default_value = "127.0.0.1:5672")]
        listen: String,
        #[arg(long, default_value = "guest")]
        user: String,
        #[arg(long, default_value = "guest")]
        password: String,
        /// Stamp messages with the time at which the broker accepts them (header timestamp_in_ms).
        #[arg(long)]
        stamp: bool,
    },
    /// Run workers that serve KServe v2 on ports assigned by the system, and an endpoint list of them.
    Workers {
        #[arg(long, default_value_t = 3)]
        count: u32,
        /// Address of a program store.
        #[arg(long)]
        store: String,
        /// Address on which to serve the endpoint list in the format of Consul's health API.
        #[arg(long, default_value = "127.0.0.1:8500")]
        list: String,
        /// A function that all workers can load: NAME:MEMORY-MB:LANES:START-MS:RUN-MS; NAME may end with *.
        #[arg(long = "function", default_value = "*:64:2:80:20")]
        functions: Vec<String>,
        /// Concurrent calls that each worker runs at full speed.
        #[arg(long, default_value_t = 4)]
        cores: u32,
        /// Maximum number of calls queued at a worker; it rejects further calls.
        #[arg(long, default_value_t = 64)]
        queue: usize,
    },
    /// Serve an endpoint list from a file in the format of Consul's health API.
    List {
        #[arg(long, default_value = "127.0.0.1:8500")]
        listen: String,
        /// File with one line NAME ADDRESS for each endpoint.
        #[arg(long)]
        file: std::path::PathBuf,
    },
    /// Run a pass-through proxy that makes no decisions, as a baseline for measurements.
    Proxy {
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: String,
        /// Addresses to forward requests to in turn, separated by commas.
        #[arg(long)]
        to: String,
    },
    /// Run the program store that workers fetch from.
    Store {
        #[arg(long, default_value = "127.0.0.1:8600")]
        listen: String,
        #[arg(long, default_value_t = 120)]
        fetch_ms: u64,
        #[arg(long, default_value_t = 8)]
        at_ease: u32,
        #[arg(long, default_value_t = 64)]
        most: u32,
    },
}

/// Runs an emulator until it receives SIGINT or SIGTERM.
pub fn run(emulator: Standin) -> ExitCode {
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("stagehoist: {e}");
            return ExitCode::FAILURE;
        }
    };
    let local = tokio::task::LocalSet::new();
    let result = local.block_on(&runtime, async {
        let mut terminate = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
        tokio::select! {
            result = serve(emulator) => result,
            _ = tokio::signal::ctrl_c() => Ok(()),
            _ = terminate.recv() => Ok(()),
        }
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("stagehoist: {e}");
            ExitCode::FAILURE
        }
    }
}

async fn bind(name: &str, address: &str) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address)
        .await
        .map_err(|e| io::Error::new(e.kind(), format!("can't listen on {address}: {e}")))?;
    println!("{name} {}", listener.local_addr()?);
    Ok(listener)
}

fn invalid_input(text: String) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidInput, text)
}

async fn serve(emulator: Standin) -> io::Result<()> {
    match emulator {
        Standin::Broker { listen: address, user, password, stamp } => {
            let (_handle, commands) = broker::Handle::new();
            // The broker's clock counts from its start.
            let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
            let stamp_from = stamp.then_some(since_epoch.as_micros() as i64);
            let options = BrokerOptions { user, password, stamp_from, ..BrokerOptions::default() };
            broker::serve(bind("broker", &address).await?, Broker::new(options), commands).await
        }
        Standin::Store { listen: address, fetch_ms, at_ease, most } => {
            let fetch = Duration::from_millis(fetch_ms);
            let options = StoreOptions { fetch, at_ease, most, ..StoreOptions::default() };
            store::serve(bind("program-store", &address).await?, options, Arc::default()).await
        }
        Standin::Proxy { listen: address, to } => {
            let targets = to.split(',').map(str::to_string).collect();
            stagehoist_emulator::proxy::serve(bind("proxy", &address).await?, targets).await
        }
        Standin::List { listen: address, file } => {
            let registry = Registry::new();
            let text = std::fs::read_to_string(&file)
                .map_err(|e| io::Error::new(e.kind(), format!("{}: {e}", file.display())))?;
            let mut addresses = BTreeMap::new();
            for (number, line) in text.lines().enumerate() {
                let words: Vec<&str> = line.split('#').next().unwrap_or("").split_whitespace().collect();
                match words[..] {
                    [] => {}
                    [name, address] => {
                        registry.put(endpoint(name, 0));
                        addresses.insert(name.to_string(), address.to_string());
                    }
                    _ => {
                        return Err(invalid_input(format!(
                            "{}:{}: expected NAME ADDRESS",
                            file.display(),
                            number + 1
                        )))
                    }
                }
            }
            registry.serve(bind("worker-list", &address).await?, addresses).await
        }
        Standin::Workers { count, store, list, functions, cores, queue } => {
            let catalogue = functions.iter().map(|f| parse_function(f)).collect::<io::Result<Vec<_>>>()?;
            let catalogue = Arc::new(Catalogue(catalogue));
            let registry = Registry::new();
            let mut addresses = BTreeMap::new();
            let mut tasks = tokio::task::JoinSet::new();
            for i in 0..count {
                let name = format!("w{i}");
                let listener = bind(&format!("worker-{name}"), "127.0.0.1:0").await?;
                addresses.insert(name.clone(), listener.local_addr()?.to_string());
                registry.put(Listed { capacity: f64::from(cores), ..endpoint(&name, now_ms()) });
                let options = WorkerOptions {
                    name,
                    spec: Spec { cores: f64::from(cores), queue_most: queue, ..Spec::default() },
                    catalogue: catalogue.clone(),
                    store: store.clone(),
                    seed: u64::from(i),
                };
                tasks.spawn_local(worker::run(listener, options, Arc::default(), true));
            }
            registry.serve(bind("worker-list", &list).await?, addresses).await
        }
    }
}

fn now_ms() -> i64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_millis() as i64
}

fn endpoint(name: &str, started_ms: i64) -> Listed {
    Listed {
        name: name.into(),
        zone: "hall-a".into(),
        kind: "usual".into(),
        cell: 0,
        capacity: 4.0,
        started_ms,
        draining: false,
    }
}

fn parse_function(text: &str) -> io::Result<(String, Program)> {
    let parse_error = || invalid_input(format!("{text}: expected NAME:MEMORY-MB:LANES:START-MS:RUN-MS"));
    let parts: Vec<&str> = text.split(':').collect();
    let [name, memory, lanes, start, run] = parts[..] else { return Err(parse_error()) };
    let number = |t: &str| t.parse::<u32>().map_err(|_| parse_error());
    let program = Program {
        memory: u64::from(number(memory)?) * 1_000_000,
        lanes: number(lanes)?.max(1) as usize,
        start: i64::from(number(start)?) * 1000,
        run: i64::from(number(run)?) * 1000,
    };
    Ok((name.to_string(), program))
}
