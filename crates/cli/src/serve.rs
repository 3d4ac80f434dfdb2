//! The `serve` and `check` subcommands.

use crate::fleet;
use stagehoist_config::load;
use stagehoist_gateway::clock::Clock;
use stagehoist_gateway::state::{module, PolicyFactory};
use stagehoist_gateway::{metrics, serve_with as start, GatewayError};
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};

/// Prints the faults of a configuration file; returns exit code 2 if there are any.
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

/// Runs the gateway with the decision module until SIGTERM or SIGINT, then drains it.
pub fn serve(conf: &Path) -> ExitCode {
    serve_with(module, conf)
}

/// Runs the gateway like [`serve`], with the given policy.
pub fn serve_with(policy: PolicyFactory, conf: &Path) -> ExitCode {
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
    // Signal handlers are installed before anything else runs, so that no signal is lost.
    let signals = runtime.block_on(async {
        Ok::<_, std::io::Error>((signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?))
    });
    let (mut terminate, mut interrupt) = match signals {
        Ok(signals) => signals,
        Err(e) => return fail(&e),
    };
    let clock = Clock::new();
    let (membership, session_handles) = match &config.fleet {
        None => (None, Vec::new()),
        Some(fleet_config) => {
            let _tasks = runtime.enter();
            match fleet::start(&config, fleet_config, clock) {
                Ok((membership, session_handles)) => (Some(membership), session_handles),
                Err(e) => return fail(&e),
            }
        }
    };
    let running = match start(policy, &config, metrics, clock, session_handles) {
        Ok(running) => running,
        Err(e) => return fail(&e),
    };
    tracing::info!(front_ends = config.front_ends, metrics = ?running.metrics, "front ends started");
    let exited_unexpectedly = runtime.block_on(async {
        let mut exit_check = tokio::time::interval(Duration::from_millis(200));
        loop {
            tokio::select! {
                _ = terminate.recv() => return false,
                _ = interrupt.recv() => return false,
                _ = exit_check.tick() => if running.has_unexpected_exit() {
                    return true;
                },
            }
        }
    });
    running.drain();
    let result = match membership {
        None => running.join(),
        // Confirmations that front ends report while they drain are still forwarded; members leave the fleet only after
        // their front ends have finished all work in progress.
        Some(membership) => runtime.block_on(async {
            let result = tokio::task::spawn_blocking(move || running.join()).await;
            membership.stop().await;
            result.unwrap_or_else(|e| Err(GatewayError::Start(std::io::Error::other(e))))
        }),
    };
    match result {
        Err(e) => fail(&e),
        Ok(()) if exited_unexpectedly => fail(&"a front end exited unexpectedly"),
        Ok(()) => {
            tracing::info!("graceful shutdown complete");
            ExitCode::SUCCESS
        }
    }
}
