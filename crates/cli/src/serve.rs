//! `serve` and `check`.

use crate::fleet;
use stagehoist_config::load;
use stagehoist_gateway::clock::Clock;
use stagehoist_gateway::state::{module, PolicyFactory};
use stagehoist_gateway::{metrics, serve_with as start, GatewayError};
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};

/// Tells what is wrong with a configuration; exit code 2 where something is.
pub fn check(conf: &Path, print: bool) -> ExitCode {
    match load(conf) {
        Ok(config) if print => {
            print!("{}", config.render());
            ExitCode::SUCCESS
        }
        Ok(_) => {
            println!("{}: no faults", conf.display());
            ExitCode::SUCCESS
        }
        Err(faults) => {
            eprintln!("{faults}");
            eprintln!("{}: {} faults", conf.display(), faults.0.len());
            ExitCode::from(2)
        }
    }
}

/// Runs the gateway until it is ordered to end.
pub fn serve(conf: &Path) -> ExitCode {
    serve_with(module, conf)
}

/// The same with a policy told.
pub fn serve_with(decider: PolicyFactory, conf: &Path) -> ExitCode {
    let config = match load(conf) {
        Ok(config) => config,
        Err(faults) => {
            eprintln!("{faults}");
            return ExitCode::from(2);
        }
    };
    let fail = |e: &dyn std::fmt::Display| {
        eprintln!("stagehoist: {e}");
        ExitCode::FAILURE
    };
    let metrics = if config.listen.is_empty() {
        None
    } else {
        match metrics::install() {
            Ok(handle) => Some(handle),
            Err(e) => return fail(&e),
        }
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => return fail(&e),
    };
    // Signals are caught before anything runs, so that none is lost.
    let signals = runtime.block_on(async {
        Ok::<_, std::io::Error>((signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?))
    });
    let (mut terminate, mut interrupt) = match signals {
        Ok(signals) => signals,
        Err(e) => return fail(&e),
    };
    let clock = Clock::new();
    let (joined, links) = match &config.fleet {
        None => (None, Vec::new()),
        Some(told) => {
            let _tasks = runtime.enter();
            match fleet::start(&config, told, clock) {
                Ok((joined, links)) => (Some(joined), links),
                Err(e) => return fail(&e),
            }
        }
    };
    let running = match start(decider, &config, metrics, clock, links) {
        Ok(running) => running,
        Err(e) => return fail(&e),
    };
    tracing::info!(front_ends = config.front_ends, metrics = ?running.metrics, "serving");
    let broken = runtime.block_on(async {
        let mut look = tokio::time::interval(Duration::from_millis(200));
        loop {
            tokio::select! {
                _ = terminate.recv() => return false,
                _ = interrupt.recv() => return false,
                _ = look.tick() => if running.has_unexpected_exit() {
                    return true;
                },
            }
        }
    });
    running.drain();
    let ended = match joined {
        None => running.join(),
        // What front ends confirm while they drain is still passed on; members leave once nothing of theirs is in progress.
        Some(joined) => runtime.block_on(async {
            let ended = tokio::task::spawn_blocking(move || running.join()).await;
            joined.stop().await;
            ended.unwrap_or_else(|e| Err(GatewayError::Start(std::io::Error::other(e))))
        }),
    };
    match ended {
        Err(e) => fail(&e),
        Ok(()) if broken => fail(&"a front end ended though it was not told to"),
        Ok(()) => {
            tracing::info!("ended in order");
            ExitCode::SUCCESS
        }
    }
}
