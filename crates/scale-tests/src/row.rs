//! A row: what one part of the fleet costs, measured over sizes, beside the limit that it must meet.

use crate::fit::{fit, Curve, Fit, Point};
use serde::{Deserialize, Serialize};

/// Whose cost it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Role {
    FrontEnd,
    /// A replica of the cluster state, leading or following.
    Replica,
    ListSource,
    Worker,
    /// An operator's change from proposal to force.
    Change,
    /// An event at scale.
    Event,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Resource {
    StateBytes,
    Messages,
    Bytes,
    Processor,
    Memory,
    Descriptors,
    /// Time until something holds.
    Time,
    /// Share of calls.
    Share,
}

/// How the figure at full size came about.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mark {
    Measured,
    /// By the fit, from the largest size measured.
    Extrapolated(f64),
    Assumed,
}

impl std::fmt::Display for Mark {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Mark::Measured => write!(f, "measured"),
            Mark::Extrapolated(factor) => write!(f, "extrapolated x{}", crate::fit::short(*factor)),
            Mark::Assumed => write!(f, "assumed"),
        }
    }
}

/// What a row is about, apart from its figures.
#[derive(Clone, Debug)]
pub struct Subject {
    pub name: &'static str,
    pub role: Role,
    pub resource: Resource,
    pub unit: &'static str,
    /// What the sizes count.
    pub axis: &'static str,
    /// The letter's size on that axis.
    pub asked: f64,
    /// Within it the row is held.
    pub limit: f64,
    /// Where the limit comes from.
    pub source: &'static str,
    /// In the letter's numbers.
    pub formula: &'static str,
    /// What carries it today.
    pub mechanism: &'static str,
    /// The figures are counts, the same on every machine and in every run; else times, which load moves.
    pub counted: bool,
}

/// A measured row.
#[derive(Clone, Debug)]
pub struct Row {
    pub subject: Subject,
    pub points: Vec<Point>,
    pub fit: Fit,
    /// At the letter's size.
    pub figure: f64,
    pub mark: Mark,
    /// The figure of the same run with the whole list, or as it is today, where one stands beside the row.
    pub beside: Option<f64>,
}

impl Row {
    /// The figure at the letter's size is the point measured there, else the fit's.
    pub fn new(subject: Subject, mut points: Vec<Point>) -> Row {
        points.sort_by(|a, b| a.size.total_cmp(&b.size));
        let fit = fit(&points);
        let largest = points.last().map_or(0.0, |p| p.size);
        let at_size = points.iter().find(|p| (p.size / subject.asked - 1.0).abs() < 0.01);
        let (figure, mark) = match at_size {
            Some(point) => (point.value, Mark::Measured),
            None => {
                // A curve that falls is not followed below what was measured last.
                let last = points.last().map_or(0.0, |p| if fit.curve.falls() { p.value } else { 0.0 });
                (fit.curve.at(subject.asked).max(last), Mark::Extrapolated(subject.asked / largest))
            }
        };
        Row { subject, points, fit, figure, mark, beside: None }
    }

    pub fn held(&self) -> bool {
        self.figure <= self.subject.limit
    }

    /// Size at which the limit is reached over the size asked: between the points measured where they enclose it, else by
    /// the curve.
    pub fn reach(&self) -> f64 {
        let limit = self.subject.limit;
        let crosses = |p: &[Point]| p[0].value <= limit && p[1].value > limit;
        if let Some(pair) = self.points.windows(2).find(|p| crosses(p)) {
            let (a, b) = (pair[0], pair[1]);
            let part = (limit - a.value) / (b.value - a.value);
            return (a.size + part * (b.size - a.size)) / self.subject.asked;
        }
        if self.fit.curve.falls() {
            return Curve::Flat(self.figure).reaches(limit);
        }
        let reach = self.fit.curve.reaches(limit) / self.subject.asked;
        // A point measured at size outweighs a curve that passes it by.
        match self.mark {
            Mark::Measured if self.held() => reach.max(1.0),
            Mark::Measured => reach.min(1.0),
            _ => reach,
        }
    }

    /// Largest over smallest size measured.
    pub fn span(&self) -> f64 {
        let size = |p: Option<&Point>| p.map_or(1.0, |p| p.size);
        size(self.points.last()) / size(self.points.first())
    }
}
