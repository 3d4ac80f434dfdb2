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

/// A gateway that hands calls to workers which load functions or models on demand.
#[derive(Parser)]
#[command(version, about)]
struct Cli {
    /// What to log: a level (error, warn, info, debug, trace) or filter directives such as `warn,stagehoist_gateway=debug`.
    #[arg(long, global = true, default_value = "warn")]
    log: String,
    /// How to log.
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
    /// The whole stack on loopback with a short day of trouble; exit code 0 only if every rule held.
    Demo(demo::DemoArgs),
    /// Run the gateway by a configuration file until SIGTERM or SIGINT, then drain.
    Serve {
        /// The configuration file.
        conf: PathBuf,
    },
    /// Run one live front end on the platform's protocol, as the file named by GW_CONFIG tells, until SIGTERM.
    Platform,
    /// Tell everything that is wrong with a configuration file.
    Check {
        /// The configuration file.
        conf: PathBuf,
        /// Print the configuration with every directive written out.
        #[arg(long)]
        print: bool,
    },
    /// Measure the gateway beside a direct call and a pass-through proxy, in one run.
    Measure {
        /// Calls a second.
        #[arg(long, default_value_t = 1000.0)]
        rate: f64,
        /// Seconds for each measurement.
        #[arg(long, default_value_t = 10)]
        seconds: u64,
        /// Numbers of workers, separated by commas.
        #[arg(long, default_value = "12,100", value_delimiter = ',')]
        workers: Vec<u32>,
        /// One JSON object a line.
        #[arg(long)]
        json: bool,
    },
    /// Open-loop load on a running gateway, and sweeps of the whole stack beside baselines.
    Load {
        #[command(subcommand)]
        what: load::Load,
    },
    /// An emulator for an outside system.
    Standin {
        #[command(subcommand)]
        what: standin::Standin,
    },
    /// Play a scripted day of trouble from a file and print its ledger; exit code 0 only if every rule held.
    Play(demo::PlayArgs),
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
            let everything = cli.log.contains("debug") || cli.log.contains("trace");
            log.with_writer(platform::SparseLog::new(everything)).init()
        }
        (LogFormat::Text, _) => log.with_writer(std::io::stderr).init(),
        (LogFormat::Json, _) => {
            log.with_writer(std::io::stderr).json().flatten_event(true).with_span_list(false).init()
        }
    }
    match cli.command {
        Command::Demo(args) => demo::demo(&args),
        Command::Play(args) => demo::play(&args),
        Command::Platform => platform::run(),
        Command::Serve { conf } => serve::serve(&conf),
        Command::Check { conf, print } => serve::check(&conf, print),
        Command::Measure { rate, seconds, workers, json } => demo::measured(rate, seconds, &workers, json),
        Command::Load { what } => load::run(what),
        Command::Standin { what } => standin::run(what),
    }
}
