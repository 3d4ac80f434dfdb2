//! `stagehoist-scale-tests quick | full | small`: rows with measured figures, the ranking, the verdict.

use clap::{Parser, Subcommand};
use stagehoist_scale_tests::plan::lanes;
use stagehoist_scale_tests::{lanes as apart, measures, report, Measure, Plan, Row, ScaleError, Size};
use std::process::ExitCode;
use std::time::Instant;

#[derive(Parser)]
#[command(version, about = "Measures what breaks first on the way to the fleet to come")]
struct Arguments {
    #[command(subcommand)]
    size: Sizes,
    /// Draws everything.
    #[arg(long, default_value_t = 7, global = true)]
    seed: u64,
    /// Only rows whose name begins so.
    #[arg(long, global = true)]
    row: Vec<String>,
    /// The negative control: each row with its mechanism off or a fault put in.
    #[arg(long, global = true)]
    control: bool,
    /// Tell of each row also its role, limit, formula and mechanism.
    #[arg(long, global = true)]
    about: bool,
    /// Divided front ends: each serves one of so many shards.
    #[arg(long, global = true)]
    shards: Option<u32>,
    /// One permit's rows, or those of them that `--row` names, each as a line: a part of a run, started by it.
    #[arg(long, global = true, hide = true)]
    lane: Option<usize>,
}

#[derive(Clone, Subcommand)]
enum Sizes {
    /// For CI, within ten seconds: only counts judge.
    Small,
    /// Within three minutes.
    Quick,
    /// All sizes.
    Full,
    /// A process of a measurement, started by one of the above.
    #[command(hide = true)]
    Record { part: String, told: String },
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match run(&arguments) {
        Ok(held) if held => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(1),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}

fn run(arguments: &Arguments) -> Result<bool, ScaleError> {
    let size = match &arguments.size {
        Sizes::Small => Size::Small,
        Sizes::Quick => Size::Quick,
        Sizes::Full => Size::Full,
        Sizes::Record { part, told } => {
            stagehoist_scale_tests::record::part(part, told)?;
            return Ok(true);
        }
    };
    let plan = Plan { size, seed: arguments.seed, control: arguments.control, shards: arguments.shards };
    if let Some(lane) = arguments.lane {
        let asked =
            |m: &&Measure| arguments.row.is_empty() || arguments.row.iter().any(|name| name == m.name);
        for measure in lanes().get(lane).into_iter().flatten().filter(asked) {
            println!("{}", apart::line(&timed(measure, &plan)?)?);
        }
        return Ok(true);
    }
    println!("load {}", load());
    let rows = rows(arguments, &plan)?;
    if arguments.about {
        rows.iter().for_each(|row| println!("{}", report::about(row)));
    }
    println!("\n{}", report::ranking(&rows));
    println!("load {}", load());
    let verdict = report::verdict(&rows, size);
    println!("{verdict}");
    Ok(verdict == "SCALE held")
}

fn load() -> String {
    std::fs::read_to_string("/proc/loadavg").unwrap_or_default().trim().into()
}

fn timed(measure: &Measure, plan: &Plan) -> Result<Row, ScaleError> {
    let began = Instant::now();
    let row = (measure.run)(plan)?;
    eprintln!("{} took {:.1} s", measure.name, began.elapsed().as_secs_f64());
    Ok(row)
}

/// Those that were asked for one by one, all side by side.
fn rows(arguments: &Arguments, plan: &Plan) -> Result<Vec<Row>, ScaleError> {
    println!("{}", report::HEAD);
    if arguments.row.is_empty() {
        let rows = apart::run(plan)?;
        rows.iter().for_each(|row| println!("{}", report::line(row)));
        return Ok(rows);
    }
    let all = measures();
    if let Some(unknown) = arguments.row.iter().find(|r| !all.iter().any(|m| m.name.starts_with(r.as_str())))
    {
        return Err(ScaleError::Unknown(unknown.clone()));
    }
    let asked = |m: &&Measure| arguments.row.iter().any(|prefix| m.name.starts_with(prefix.as_str()));
    let mut rows = Vec::new();
    for measure in all.iter().filter(asked) {
        let row = timed(measure, plan)?;
        println!("{}", report::line(&row));
        rows.push(row);
    }
    Ok(rows)
}
