//! Prints the progress and the ledger of a day.

use super::fail;
use indicatif::{ProgressBar, ProgressStyle};
use stagehoist_harness::{Ledger, Progress};
use std::process::ExitCode;

/// Returns a callback that prints progress on standard error: a bar on a terminal, otherwise lines.
pub(super) fn progress_printer() -> impl FnMut(Progress<'_>) {
    let bar = ProgressBar::new(0);
    let style = "{bar:30} {pos}/{len} s  {msg}";
    bar.set_style(ProgressStyle::with_template(style).unwrap_or_else(|_| ProgressStyle::default_bar()));
    let hidden = bar.is_hidden();
    let print_line = move |bar: &ProgressBar, text: String| {
        if hidden {
            eprintln!("{text}");
        } else {
            bar.println(text);
        }
    };
    move |progress| match progress {
        Progress::Ready => print_line(&bar, "front ends are consuming".into()),
        Progress::Trouble(text) => print_line(&bar, format!("  fault: {text}")),
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
            eprintln!("judging the recorded traffic");
        }
    }
}

pub(super) fn print_ledger(ledger: &Ledger, json: bool) -> ExitCode {
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
        let answers: Vec<String> = l.answers.iter().map(|(k, v)| format!("{k} {v}")).collect();
        println!("answers by outcome and reason: {}", answers.join("  "));
        for (tenant, of) in &l.tenants {
            let times: Vec<String> = of.latency_ms.iter().map(|(k, v)| format!("{k} {v:.1}")).collect();
            println!(
                "{tenant}: sent {}  served {} (soon {})  refused {}  failed {}  ms: {}  lanes there after {:?} ms",
                of.sent,
                of.served,
                of.soon,
                of.refused,
                of.failed,
                times.join("  "),
                of.lanes_after_ms
            );
        }
        for (function, after) in &l.in_force_after_ms {
            match after {
                Some(ms) => println!("retired {function}: in force after {ms:.1} ms"),
                None => println!("retired {function}: never in force"),
            }
        }
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
