//! `demo` and `play`: a day on the whole stack, shown and accounted for.

use clap::Args;
use indicatif::{ProgressBar, ProgressStyle};
use stagehoist_stage::{measure, play_on, Day, Ledger, Progress, Stack, StageError};
use std::path::PathBuf;
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
    let day = match read(&args.day.display().to_string(), &text, args.seconds) {
        Ok(day) => day,
        Err(code) => return code,
    };
    played(day, args.json)
}

/// Plays a day on a new stack and accounts for it.
fn played(day: Day, json: bool) -> ExitCode {
    match stage(day).and_then(|mut stack| play_on(&mut stack, &mut shower())) {
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
        return played(day, args.json);
    }
    if args.seconds.is_some() {
        let code = played(day.clone(), args.json);
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

fn stage(day: Day) -> Result<Stack, StageError> {
    let binary = std::env::current_exe().map_err(StageError::Socket)?;
    let mut stack = Stack::start(day, &binary)?;
    stack.wait_ready(Duration::from_secs(20))?;
    Ok(stack)
}

/// Shows progress on standard error: a bar on a terminal, lines elsewhere.
fn shower() -> impl FnMut(Progress<'_>) {
    let bar = ProgressBar::new(0);
    let style = "{bar:30} {pos}/{len} s  {msg}";
    bar.set_style(ProgressStyle::with_template(style).unwrap_or_else(|_| ProgressStyle::default_bar()));
    let hidden = bar.is_hidden();
    let line = move |bar: &ProgressBar, text: String| {
        if hidden {
            eprintln!("{text}");
        } else {
            bar.println(text);
        }
    };
    move |progress| match progress {
        Progress::Ready => line(&bar, "front ends consume".into()),
        Progress::Trouble(text) => line(&bar, format!("  trouble: {text}")),
        Progress::Second { at, length, sent, served, refused, failed } => {
            bar.set_length(length.as_secs());
            bar.set_position(at.as_secs());
            let text = format!("sent {sent}  served {served}  refused {refused}  failed {failed}");
            bar.set_message(text.clone());
            if hidden && at.as_secs() % 5 == 0 {
                eprintln!("{:>4} s  {text}", at.as_secs());
            }
        }
        Progress::Judging => {
            bar.finish_and_clear();
            eprintln!("judging what crossed the sockets");
        }
    }
}

fn account(ledger: &Ledger, json: bool) -> ExitCode {
    if json {
        match serde_json::to_string(ledger) {
            Ok(text) => println!("{text}"),
            Err(e) => return fail(&e),
        }
    } else {
        let (l, v) = (ledger, &ledger.verdict);
        println!(
            "sent {}  served {}  refused {}  failed {}  unanswered {} (not owed {})",
            v.sent, v.served, v.refused, v.failed, v.unanswered, v.not_owed
        );
        println!("answered twice {}  late {}  store fetches {}", v.answered_twice, v.late, l.store_fetches);
        let times: Vec<String> = l.latency_ms.iter().map(|(k, v)| format!("{k} {v:.1}")).collect();
        println!("served, ms from publish to reply: {}", times.join("  "));
        for rule in &v.rules {
            let word = if rule.kept { "kept" } else { "BROKEN" };
            println!("rule {}  {word:<6}  {:>7} checks  {}", rule.rule, rule.checks, rule.name);
            rule.breaches.iter().for_each(|breach| println!("    {breach}"));
        }
        l.mishaps.iter().for_each(|mishap| println!("mishap: {mishap}"));
    }
    if ledger.good() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Measures and prints one line for each way of calling.
pub fn measured(rate: f64, seconds: u64, workers: &[u32], json: bool) -> ExitCode {
    let binary = match std::env::current_exe() {
        Ok(binary) => binary,
        Err(e) => return fail(&e),
    };
    let mut show = |m: &stagehoist_stage::Measured| {
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
