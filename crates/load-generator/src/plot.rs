//! Plots of a sweep, as SVG.

use crate::sweep::Point;
use crate::LoadError;
use plotters::prelude::*;
use std::path::Path;

const COLOURS: [RGBColor; 4] = [RGBColor(20, 90, 170), RGBColor(200, 80, 20), RGBColor(60, 140, 60), BLACK];

/// The mean, least and greatest of one policy's values at one load.
type Spread = (f64, f64, f64, f64);

fn spreads(points: &[Point], policy: &str, value: &dyn Fn(&Point) -> f64) -> Vec<Spread> {
    let mut multiples: Vec<f64> = points.iter().map(|p| p.multiple).collect();
    multiples.sort_by(f64::total_cmp);
    multiples.dedup();
    let at = |m: &f64| {
        let here = points.iter().filter(|p| p.policy == policy && p.multiple == *m);
        let values: Vec<f64> = here.map(value).collect();
        let mean = values.iter().sum::<f64>() / values.len().max(1) as f64;
        let (least, most) = values.iter().fold((f64::MAX, f64::MIN), |(a, b), &x| (a.min(x), b.max(x)));
        (!values.is_empty()).then_some((*m, mean, least, most))
    };
    multiples.iter().filter_map(at).collect()
}

/// Goodput, answers in time and the 99th percentile of served calls against offered load; bars from the least to the greatest
/// over seeds.
pub fn plot(points: &[Point], path: &Path) -> Result<(), LoadError> {
    draw(points, path)
        .map_err(|why| LoadError::Plot { path: path.display().to_string(), why: why.to_string() })
}

fn draw(points: &[Point], path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let mut policies: Vec<String> = points.iter().map(|p| p.policy.clone()).collect();
    policies.sort();
    policies.dedup();
    let area = SVGBackend::new(path, (900, 1080)).into_drawing_area();
    area.fill(&WHITE)?;
    let panels = area.split_evenly((3, 1));
    type Value = Box<dyn Fn(&Point) -> f64>;
    let messages = |p: &Point| p.report.messages.max(1) as f64;
    let views: [(&str, Value); 3] = [
        ("served in aim, share of capacity", Box::new(|p| p.report.goodput / p.capacity)),
        (
            "answered before the caller gave up, share of messages",
            Box::new(move |p| 1.0 - (p.report.no_answer + p.report.after_give_up) as f64 / messages(p)),
        ),
        ("p99 of served calls, ms", Box::new(|p| p.report.served_ms.p99)),
    ];
    let widest = points.iter().map(|p| p.multiple).fold(1.0, f64::max) * 1.05;
    for (panel, (name, value)) in panels.iter().zip(&views) {
        let highest = points.iter().map(value.as_ref()).fold(1.0, f64::max) * 1.1;
        let mut chart = ChartBuilder::on(panel)
            .caption(*name, ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(34)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..widest, 0.0..highest)?;
        chart
            .configure_mesh()
            .x_desc("offered load, times the workers' capacity")
            .light_line_style(WHITE)
            .draw()?;
        for (policy, colour) in policies.iter().zip(COLOURS.iter().cycle()) {
            let line = spreads(points, policy, value.as_ref());
            let style = colour.stroke_width(2);
            chart
                .draw_series(LineSeries::new(line.iter().map(|s| (s.0, s.1)), style))?
                .label(policy.as_str())
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], style));
            chart.draw_series(
                line.iter().map(|s| ErrorBar::new_vertical(s.0, s.2, s.1, s.3, colour.filled(), 8)),
            )?;
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK.mix(0.3))
            .draw()?;
    }
    area.present()?;
    Ok(())
}
