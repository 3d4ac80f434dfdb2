//! The `stagehoist` command.
#![forbid(unsafe_code)]

mod demo;
mod fleet;
mod load;
mod platform;
mod serve;
mod standin;

use clap::{Parser, Subcommand, ValueEnum};
use std::path::PathBuf;
use std::process::ExitCode;
use tracing_subscriber::EnvFilter;

/// A gateway that sends calls to workers which load functions or models on demand.
#[derive(Parser)]
#[command(version, about)]
struct Cli {
    /// Log filter: a level (error, warn, info, debug, trace) or filter directives such as `warn,stagehoist_gateway=debug`.
    #[arg(long, global = true, default_value = "warn")]
    log: String,
    /// Log format.
    #[arg(long, global = true, value_enum, default_value_t = LogFormat::Text)]
    log_format: LogFormat,
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogFormat {
    Text,
    Json,
}

#[derive(Subcommand)]
enum Command {
    /// Run the whole stack on loopback through a short scenario with faults; exit code 0 only if every rule held.
    Demo(demo::DemoArgs),
    /// Run the gateway with a configuration file until SIGTERM or SIGINT, then drain.
    Serve {
        /// The configuration file.
        conf: PathBuf,
    },
    /// Run one front end on the platform's protocol until SIGTERM, configured by the file that GW_CONFIG names.
    Platform,
    /// Report every fault in a configuration file.
    Check {
        /// The configuration file.
        conf: PathBuf,
        /// Print the configuration with every directive written out.
        #[arg(long)]
        print: bool,
    },
    /// Measure the gateway against direct calls and a pass-through proxy, in one run.
    Measure {
        /// Calls per second.
        #[arg(long, default_value_t = 1000.0)]
        rate: f64,
        /// Duration of each measurement in seconds.
        #[arg(long, default_value_t = 10)]
        seconds: u64,
        /// Numbers of workers to measure with, separated by commas.
        #[arg(long, default_value = "12,100", value_delimiter = ',')]
        workers: Vec<u32>,
        /// Print one JSON object per line.
        #[arg(long)]
        json: bool,
    },
    /// Generate open-loop load on a running gateway, or sweep the whole stack over several loads and compare with baselines.
    Load {
        #[command(subcommand)]
        action: load::Load,
    },
    /// Run an emulator of an external system.
    Standin {
        #[command(subcommand)]
        emulator: standin::Standin,
    },
    /// Run a scenario with faults from a day file and print its ledger; exit code 0 only if every rule held.
    Play(demo::ScenarioArgs),
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let filter = match EnvFilter::try_new(&cli.log) {
        Ok(filter) => filter,
        Err(e) => {
            eprintln!("stagehoist: --log {}: {e}", cli.log);
            return ExitCode::from(2);
        }
    };
    let log = tracing_subscriber::fmt().with_env_filter(filter);
    let log = log.with_ansi(std::io::IsTerminal::is_terminal(&std::io::stderr()));
    match (cli.log_format, &cli.command) {
        (_, Command::Platform) => {
            let log_all = cli.log.contains("debug") || cli.log.contains("trace");
            log.with_writer(platform::SparseLog::new(log_all)).init()
        }
        (LogFormat::Text, _) => log.with_writer(std::io::stderr).init(),
        (LogFormat::Json, _) => {
            log.with_writer(std::io::stderr).json().flatten_event(true).with_span_list(false).init()
        }
    }
    match cli.command {
        Command::Demo(args) => demo::demo(&args),
        Command::Play(args) => demo::run_scenario(&args),
        Command::Platform => platform::run(),
        Command::Serve { conf } => serve::serve(&conf),
        Command::Check { conf, print } => serve::check(&conf, print),
        Command::Measure { rate, seconds, workers, json } => {
            demo::run_measurements(rate, seconds, &workers, json)
        }
        Command::Load { action } => load::run(action),
        Command::Standin { emulator } => standin::run(emulator),
    }
}
