//! The `demo`, `play` and `measure` subcommands: run a scenario (a day) on the whole stack and print its progress and ledger,
//! or measure the stack.

mod output;

use clap::Args;
use output::{print_ledger, progress_printer};
use stagehoist_harness::{measure, play_on, Day, HarnessError, Stack};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// The scenario that `demo` runs.
const DEMO: &str = include_str!("../../../days/demo.day");

#[derive(Args)]
pub struct DemoArgs {
    /// Shorten or lengthen the day to this number of seconds.
    #[arg(long)]
    seconds: Option<u64>,
    /// Print one JSON object on standard output instead of the ledger.
    #[arg(long)]
    json: bool,
    /// Print the addresses and keep the stack running until SIGINT; a day runs first only if --seconds is given.
    #[arg(long)]
    stay: bool,
}

#[derive(Args)]
pub struct ScenarioArgs {
    /// The day file; see docs/days.md.
    day: PathBuf,
    /// Shorten or lengthen the day to this number of seconds.
    #[arg(long)]
    seconds: Option<u64>,
    /// Seed for the values that the day leaves to chance (time ranges, `any`, `any-of`); the default is the seed in the file.
    #[arg(long)]
    seed: Option<u64>,
    /// Configure no pools in the front ends, for comparison; callers send the same load.
    #[arg(long)]
    without_reservations: bool,
    /// Keep the processes' configurations, logs and stores, and the day with all drawn values, in this new or empty folder.
    #[arg(long)]
    keep: Option<PathBuf>,
    /// Print one JSON object on standard output instead of the ledger.
    #[arg(long)]
    json: bool,
}

fn fail(e: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("stagehoist: {e}");
    ExitCode::FAILURE
}

fn parse_day(name: &str, text: &str, seconds: Option<u64>) -> Result<Day, ExitCode> {
    let day = Day::parse(name, text).map_err(|faults| {
        faults.iter().for_each(|fault| eprintln!("{fault}"));
        ExitCode::from(2)
    })?;
    Ok(match seconds {
        Some(seconds) => day.shortened(Duration::from_secs(seconds.max(1))),
        None => day,
    })
}

/// Runs a day file.
pub fn run_scenario(args: &ScenarioArgs) -> ExitCode {
    let text = match std::fs::read_to_string(&args.day) {
        Ok(text) => text,
        Err(e) => return fail(&format!("{}: {e}", args.day.display())),
    };
    let mut day = match parse_day(&args.day.display().to_string(), &text, args.seconds) {
        Ok(day) => day,
        Err(code) => return code,
    };
    day.fleet.without_pools = args.without_reservations;
    let day = day.drawn(args.seed.unwrap_or(day.seed));
    if args.seed.is_some() {
        eprint!("{}", day.drawn_text());
    }
    let Some(folder) = &args.keep else { return run_day(day, args.json, None) };
    let kept = prepare_keep_folder(folder, &text, args.seconds, &day);
    match kept {
        Ok(()) => run_day(day, args.json, Some(folder)),
        Err(e) => {
            eprintln!("stagehoist: --keep {}: {e}", folder.display());
            ExitCode::from(2)
        }
    }
}

/// Creates the folder for the files of a run, and writes the day with all drawn values into it.
fn prepare_keep_folder(folder: &Path, text: &str, seconds: Option<u64>, day: &Day) -> std::io::Result<()> {
    std::fs::create_dir_all(folder)?;
    if std::fs::read_dir(folder)?.next().is_some() {
        return Err(std::io::Error::other("the folder is not empty"));
    }
    let first_word = |line: &str| line.split_whitespace().next().map(str::to_string);
    let is_copied = |line: &&str| !matches!(first_word(line).as_deref(), Some("at" | "seed"));
    let mut lines: Vec<&str> = text.lines().filter(is_copied).collect();
    let note = seconds.map(|s| format!("# Played with --seconds {s}, which also shortened spans."));
    lines.extend(note.as_deref());
    std::fs::write(folder.join("drawn.day"), format!("{}\n{}", lines.join("\n"), day.drawn_text()))
}

/// Runs a day on a new stack and prints its ledger.
fn run_day(day: Day, json: bool, keep: Option<&Path>) -> ExitCode {
    let ledger = start_stack(day).and_then(|mut stack| {
        let ledger = play_on(&mut stack, &mut progress_printer());
        let kept = keep.map_or(Ok(()), |folder| stack.keep(folder));
        kept.map_err(HarnessError::Config).and(ledger)
    });
    match ledger {
        Ok(ledger) => print_ledger(&ledger, json),
        Err(e) => fail(&e),
    }
}

/// Runs the built-in day, or keeps the stack running for external clients.
pub fn demo(args: &DemoArgs) -> ExitCode {
    let day = match parse_day("demo.day", DEMO, args.seconds) {
        Ok(day) => day,
        Err(code) => return code,
    };
    if !args.stay {
        return run_day(day, args.json, None);
    }
    if args.seconds.is_some() {
        let code = run_day(day.clone(), args.json, None);
        if code != ExitCode::SUCCESS {
            return code;
        }
    }
    let mut stack = match start_stack(day) {
        Ok(stack) => stack,
        Err(e) => return fail(&e),
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => return fail(&e),
    };
    let wait_result = runtime.block_on(async {
        let mut interrupt = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::interrupt())?;
        let mut terminate = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
        // Traffic of external clients is not judged, so the recorder is stopped.
        stack.recorder.stop();
        for (name, address) in stack.addresses() {
            println!("{name} {address}");
        }
        use std::io::Write;
        std::io::stdout().flush()?;
        tokio::select! {
            _ = interrupt.recv() => {}
            _ = terminate.recv() => {}
        }
        Ok::<(), std::io::Error>(())
    });
    if let Err(e) = wait_result {
        return fail(&e);
    }
    match stack.end(Duration::from_secs(10)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => fail(&e),
    }
}

fn start_stack(day: Day) -> Result<Stack, HarnessError> {
    let binary = std::env::current_exe().map_err(HarnessError::Socket)?;
    let mut stack = Stack::start(day, &binary)?;
    stack.wait_ready(Duration::from_secs(20))?;
    Ok(stack)
}

/// Runs the measurements and prints one line for each call path.
pub fn run_measurements(rate: f64, seconds: u64, workers: &[u32], json: bool) -> ExitCode {
    let binary = match std::env::current_exe() {
        Ok(binary) => binary,
        Err(e) => return fail(&e),
    };
    let mut print_row = |m: &stagehoist_harness::Measured| {
        if json {
            println!("{}", serde_json::to_string(m).unwrap_or_default());
            return;
        }
        let held_times: Vec<String> = m.held_us.iter().map(|(k, v)| format!("{k} {v:.0}")).collect();
        print!(
            "{:<22} {:>4} workers  {:>6} answered  held us: {}",
            m.what,
            m.workers,
            m.answered,
            held_times.join("  ")
        );
        if m.cpu_us > 0.0 {
            print!("  cpu {:.1} us a call, {:.0} calls/s a core", m.cpu_us, m.per_core_s);
        }
        if let Some(module) = m.module_us {
            print!("  module {module:.1} us a call");
        }
        if let Some(bytes) = m.held_bytes {
            print!("  {bytes:.0} bytes a held call");
        }
        println!();
    };
    match measure(&binary, workers, rate, seconds, &mut print_row) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => fail(&e),
    }
}
