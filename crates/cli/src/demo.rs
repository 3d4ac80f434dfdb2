//! `demo` and `play`: a day on the whole stack, shown and accounted for.

mod shown;

use clap::Args;
use shown::{account, shower};
use stagehoist_harness::{measure, play_on, Day, HarnessError, Stack};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// The day that `demo` plays.
const DEMO: &str = include_str!("../../../days/demo.day");

#[derive(Args)]
pub struct DemoArgs {
    /// Shorten or lengthen the day to so many seconds.
    #[arg(long)]
    seconds: Option<u64>,
    /// One JSON object on standard output in place of the ledger.
    #[arg(long)]
    json: bool,
    /// Keep all up until SIGINT and print the addresses; a day is played first only where --seconds is given.
    #[arg(long)]
    stay: bool,
}

#[derive(Args)]
pub struct PlayArgs {
    /// The day file; see docs/days.md.
    day: PathBuf,
    /// Shorten or lengthen the day to so many seconds.
    #[arg(long)]
    seconds: Option<u64>,
    /// Draw anew what the day leaves open (ranges of moments, `any`, `any-of`); the file's own seed draws otherwise.
    #[arg(long)]
    seed: Option<u64>,
    /// Tell the front ends of no pool, to compare; callers send the same.
    #[arg(long)]
    without_reservations: bool,
    /// Keep the processes' configurations, logs and stores, and the day as drawn, in this folder: new, or empty.
    #[arg(long)]
    keep: Option<PathBuf>,
    /// One JSON object on standard output in place of the ledger.
    #[arg(long)]
    json: bool,
}

fn fail(e: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("stagehoist: {e}");
    ExitCode::FAILURE
}

fn read(name: &str, text: &str, seconds: Option<u64>) -> Result<Day, ExitCode> {
    let day = Day::parse(name, text).map_err(|faults| {
        faults.iter().for_each(|fault| eprintln!("{fault}"));
        ExitCode::from(2)
    })?;
    Ok(match seconds {
        Some(seconds) => day.shortened(Duration::from_secs(seconds.max(1))),
        None => day,
    })
}

/// Plays a day file.
pub fn play(args: &PlayArgs) -> ExitCode {
    let text = match std::fs::read_to_string(&args.day) {
        Ok(text) => text,
        Err(e) => return fail(&format!("{}: {e}", args.day.display())),
    };
    let mut day = match read(&args.day.display().to_string(), &text, args.seconds) {
        Ok(day) => day,
        Err(code) => return code,
    };
    day.fleet.without_pools = args.without_reservations;
    let day = day.drawn(args.seed.unwrap_or(day.seed));
    if args.seed.is_some() {
        eprint!("{}", day.drawn_text());
    }
    let Some(folder) = &args.keep else { return played(day, args.json, None) };
    let kept = keep(folder, &text, args.seconds, &day);
    match kept {
        Ok(()) => played(day, args.json, Some(folder)),
        Err(e) => {
            eprintln!("stagehoist: --keep {}: {e}", folder.display());
            ExitCode::from(2)
        }
    }
}

/// Makes the folder for what a day leaves behind, and writes the day there as it was drawn.
fn keep(folder: &Path, text: &str, seconds: Option<u64>, day: &Day) -> std::io::Result<()> {
    std::fs::create_dir_all(folder)?;
    if std::fs::read_dir(folder)?.next().is_some() {
        return Err(std::io::Error::other("the folder is not empty"));
    }
    let first = |line: &str| line.split_whitespace().next().map(str::to_string);
    let open = |line: &&str| !matches!(first(line).as_deref(), Some("at" | "seed"));
    let mut lines: Vec<&str> = text.lines().filter(open).collect();
    let shortened = seconds.map(|s| format!("# Played with --seconds {s}, which also shortened spans."));
    lines.extend(shortened.as_deref());
    std::fs::write(folder.join("drawn.day"), format!("{}\n{}", lines.join("\n"), day.drawn_text()))
}

/// Plays a day on a new stack and accounts for it.
fn played(day: Day, json: bool, keep: Option<&Path>) -> ExitCode {
    let ledger = stage(day).and_then(|mut stack| {
        let ledger = play_on(&mut stack, &mut shower());
        let kept = keep.map_or(Ok(()), |folder| stack.keep(folder));
        kept.map_err(HarnessError::Config).and(ledger)
    });
    match ledger {
        Ok(ledger) => account(&ledger, json),
        Err(e) => fail(&e),
    }
}

/// Plays the built-in day, or keeps the stack up for strangers.
pub fn demo(args: &DemoArgs) -> ExitCode {
    let day = match read("demo.day", DEMO, args.seconds) {
        Ok(day) => day,
        Err(code) => return code,
    };
    if !args.stay {
        return played(day, args.json, None);
    }
    if args.seconds.is_some() {
        let code = played(day.clone(), args.json, None);
        if code != ExitCode::SUCCESS {
            return code;
        }
    }
    let mut stack = match stage(day) {
        Ok(stack) => stack,
        Err(e) => return fail(&e),
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => return fail(&e),
    };
    let interrupted = runtime.block_on(async {
        let mut interrupt = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::interrupt())?;
        let mut terminate = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
        // Nothing is recorded for a verdict while strangers use the stack.
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
    if let Err(e) = interrupted {
        return fail(&e);
    }
    match stack.end(Duration::from_secs(10)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => fail(&e),
    }
}

fn stage(day: Day) -> Result<Stack, HarnessError> {
    let binary = std::env::current_exe().map_err(HarnessError::Socket)?;
    let mut stack = Stack::start(day, &binary)?;
    stack.wait_ready(Duration::from_secs(20))?;
    Ok(stack)
}

/// Measures and prints one line for each way of calling.
pub fn measured(rate: f64, seconds: u64, workers: &[u32], json: bool) -> ExitCode {
    let binary = match std::env::current_exe() {
        Ok(binary) => binary,
        Err(e) => return fail(&e),
    };
    let mut show = |m: &stagehoist_harness::Measured| {
        if json {
            println!("{}", serde_json::to_string(m).unwrap_or_default());
            return;
        }
        let held: Vec<String> = m.held_us.iter().map(|(k, v)| format!("{k} {v:.0}")).collect();
        print!(
            "{:<22} {:>4} workers  {:>6} answered  held us: {}",
            m.what,
            m.workers,
            m.answered,
            held.join("  ")
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
    match measure(&binary, workers, rate, seconds, &mut show) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => fail(&e),
    }
}
