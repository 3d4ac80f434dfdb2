//! Rows as a table, the ranking, and the verdict.

use crate::fit::short;
use crate::plan::Size;
use crate::row::Row;
use std::fmt::Write;

/// One row as a line of a Markdown table: name, figure, limit, intent, fit, points.
pub fn line(row: &Row) -> String {
    let s = &row.subject;
    let points: Vec<String> =
        row.points.iter().map(|p| format!("{}:{}", short(p.size), short(p.value))).collect();
    let verdict = if row.held() { "held" } else { "short" };
    let beside = row.beside.map_or(String::new(), |b| format!(" (today: {})", short(b)));
    format!(
        "| {} | {} {}{beside} | {} | {verdict} | {} | {} (residual {:.2}) | {} | {} |",
        s.name,
        short(row.figure),
        s.unit,
        short(s.limit),
        row.mark,
        row.fit.curve,
        row.fit.residual,
        s.axis,
        points.join(" "),
    )
}

pub const HEAD: &str =
    "| row | figure at size | limit | | mark | fit | n | points |\n|---|---|---|---|---|---|---|---|";

/// The ranking: limit reached at over size asked, smallest first.
pub fn ranking(rows: &[Row]) -> String {
    let mut order: Vec<&Row> = rows.iter().collect();
    order.sort_by(|a, b| a.reach().total_cmp(&b.reach()));
    let mut text =
        String::from("| reached at / asked | row | figure | limit | mark |\n|---|---|---|---|---|\n");
    for row in order {
        let s = &row.subject;
        let figure = format!("{} {}", short(row.figure), s.unit);
        let _ = writeln!(
            text,
            "| {} | {} | {figure} | {}: {} | {} |",
            if row.reach() > 1000.0 { "> 1000".into() } else { short(row.reach()) },
            s.name,
            short(s.limit),
            s.source,
            row.mark
        );
    }
    text
}

/// `SCALE held`, or `SCALE short:` with the rows that miss their limit. In a small run only counts judge.
pub fn verdict(rows: &[Row], size: Size) -> String {
    let judged = rows.iter().filter(|r| r.subject.counted || size > Size::Small);
    let short: Vec<&str> = judged.filter(|r| !r.held()).map(|r| r.subject.name).collect();
    match short.is_empty() {
        true => "SCALE held".into(),
        false => format!("SCALE short: {}", short.join(", ")),
    }
}

/// What a row is about, for the page: role, limit with its source, formula, mechanism.
pub fn about(row: &Row) -> String {
    let s = &row.subject;
    format!("{}\t{:?}\t{}\t{}\t{}\t{}", s.name, s.role, s.axis, s.source, s.formula, s.mechanism)
}
