//! How a stack comes to stand.

use super::fleet::Between;
use super::front_ends::owners_line;
use super::host::{host, listen, run_worker, StartWorker};
use super::{unix_ms, FrontEnd, HarnessError, Stack, WorkerProcess};
use crate::callers::{self, CallerSettings, Counts, Pace};
use crate::day::Day;
use crate::division::Addresses;
use crate::layout::Layout;
use crate::relay;
use stagehoist_checker::capture::{Link, Peer, Recorder};
use stagehoist_checker::tap;
use stagehoist_emulator::broker::{self, Broker, BrokerOptions};
use stagehoist_emulator::list::{Listed, Registry};
use stagehoist_emulator::{store, worker};
use std::collections::BTreeMap;
use std::net::TcpListener as StdListener;
use std::path::Path;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

impl Stack {
    /// Starts everything; `binary` is the project's own binary, whose `serve` runs the front ends.
    pub fn start(day: Day, binary: &Path) -> Result<Stack, HarnessError> {
        let layout = Layout::of(&day);
        Stack::with_layout(day, layout, binary)
    }

    /// Starts everything by a layout other than the day's own.
    pub fn with_layout(day: Day, layout: Layout, binary: &Path) -> Result<Stack, HarnessError> {
        let recorder = Recorder::default();
        let mut hosts = Vec::new();
        let mut links = Vec::new();
        let mut taps: Vec<(StdListener, String, usize, Arc<tap::Controls>)> = Vec::new();
        let mut tap = |front_end: Option<u32>, peer: Peer, far: &str| -> Result<_, HarnessError> {
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
            workers.insert(plan.name.clone(), WorkerProcess { address, controls: stand, down: false });
        }

        let folder = tempfile::tempdir().map_err(HarnessError::Config)?;
        let mut worker_taps = BTreeMap::new();
        let mut lists = Vec::new();
        let mut configs = Vec::new();
        let (between, relays) = Between::new(&day, folder.path())?;
        if !relays.is_empty() {
            hosts.push(host(move || async move {
                let mut tasks = tokio::task::JoinSet::new();
                for (port, far, fault) in relays {
                    tasks.spawn_local(relay::serve(port, far, fault));
                }
                while let Some(ended) = tasks.join_next().await {
                    tracing::warn!(?ended, "relay ended");
                }
            })?);
        }
        let owners = owners_line(&day, folder.path());
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
            let shared = &between.lines[front_end as usize];
            let text = layout.config(&day, front_end, &broker, &list) + shared + &owners;
            std::fs::write(&path, text).map_err(HarnessError::Config)?;
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
        let (tenants, weights) = watch::channel(day.fleet.callers());
        let (count, seed, plan) = (counts.clone(), day.seed, layout.clone());
        let (addresses, where_to) = watch::channel(Addresses::of(&day).map_err(HarnessError::Division)?);
        let told = CallerSettings { pace: told, tenants: weights, addresses: where_to };
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
            tenants,
            addresses,
            between,
            worker_taps,
            front_ends: Vec::new(),
            disorderly: Vec::new(),
            workers,
            start_worker,
            binary: binary.to_path_buf(),
            folder,
            _hosts: hosts,
        };
        if stack.day.owners_listed {
            stack.list_front_ends(&(0..stack.day.front_ends).collect::<Vec<_>>())?;
        }
        for config in configs {
            let process = stack.spawn(&config)?;
            stack.front_ends.push(FrontEnd { process, config });
        }
        Ok(stack)
    }
}
