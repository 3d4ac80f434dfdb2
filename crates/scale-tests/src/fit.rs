//! Least squares through measured points, and where the curve meets a limit.

/// A measured figure at a size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    pub size: f64,
    pub value: f64,
}

/// The curve that describes the points best.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Curve {
    /// The same at every size.
    Flat(f64),
    /// `at_zero + slope * size`.
    Linear { at_zero: f64, slope: f64 },
    /// `at_one * size ^ exponent`, least squares on logarithms.
    Power { at_one: f64, exponent: f64 },
}

/// A curve and how far the points lie from it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    pub curve: Curve,
    /// Root of the mean square of the logarithms of measured over fitted; 0.1 is about a tenth.
    pub residual: f64,
}

impl Curve {
    pub fn at(&self, size: f64) -> f64 {
        match *self {
            Curve::Flat(value) => value,
            Curve::Linear { at_zero, slope } => at_zero + slope * size,
            Curve::Power { at_one, exponent } => at_one * size.powf(exponent),
        }
    }

    /// Whether larger sizes have smaller figures.
    pub fn falls(&self) -> bool {
        matches!(*self, Curve::Power { exponent, .. } if exponent < 0.0)
    }

    /// The size at which the curve reaches a limit; infinite where it never does.
    pub fn reaches(&self, limit: f64) -> f64 {
        let at = match *self {
            Curve::Flat(value) if value > limit => 0.0,
            Curve::Flat(_) => f64::INFINITY,
            Curve::Linear { slope, at_zero } if slope <= 0.0 => return Curve::Flat(at_zero).reaches(limit),
            Curve::Linear { at_zero, slope } => (limit - at_zero) / slope,
            Curve::Power { at_one, exponent } if exponent.abs() < 0.05 => {
                return Curve::Flat(at_one).reaches(limit);
            }
            Curve::Power { exponent, .. } if exponent < 0.0 => f64::INFINITY,
            Curve::Power { at_one, exponent } => (limit / at_one).powf(1.0 / exponent),
        };
        at.max(0.0)
    }
}

impl std::fmt::Display for Curve {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match *self {
            Curve::Flat(value) => write!(f, "{}", short(value)),
            Curve::Linear { at_zero, slope } if at_zero.abs() < 1e-9 * slope.abs() => {
                write!(f, "{}*n", short(slope))
            }
            Curve::Linear { at_zero, slope } => write!(f, "{} + {}*n", short(at_zero), short(slope)),
            Curve::Power { at_one, exponent } => write!(f, "{}*n^{exponent:.2}", short(at_one)),
        }
    }
}

/// Three significant digits, with k, M and G.
pub fn short(value: f64) -> String {
    let size = value.abs();
    let (scale, unit) = match size {
        _ if !value.is_finite() => return "inf".into(),
        _ if size >= 1e9 => (1e9, "G"),
        _ if size >= 1e6 => (1e6, "M"),
        _ if size >= 1e4 => (1e3, "k"),
        _ => (1.0, ""),
    };
    let scaled = value / scale;
    match scaled.abs() {
        0.0 => "0".into(),
        x if x < 0.001 => format!("{scaled:.1e}"),
        x if x < 1.0 => format!("{scaled:.4}{unit}"),
        x if x < 10.0 => format!("{scaled:.2}{unit}"),
        x if x < 100.0 => format!("{scaled:.1}{unit}"),
        _ => format!("{scaled:.0}{unit}"),
    }
}

/// The curve with the smallest residual; of two alike the simpler.
pub fn fit(points: &[Point]) -> Fit {
    let mean = points.iter().map(|p| p.value).sum::<f64>() / points.len().max(1) as f64;
    let flat = measured(Curve::Flat(mean), points);
    let line = |form: fn(&Point) -> (f64, f64)| {
        let pairs: Vec<(f64, f64)> = points.iter().map(form).collect();
        linreg::linear_regression_of::<f64, f64, f64>(&pairs).ok()
    };
    let linear = line(|p| (p.size, p.value));
    // One that falls says less than nothing further out.
    let linear = linear.filter(|(slope, _)| *slope >= 0.0);
    let linear = linear.map(|(slope, at_zero)| measured(Curve::Linear { at_zero, slope }, points));
    let positive = points.iter().all(|p| p.value > 0.0 && p.size > 0.0);
    let power = line(|p| (p.size.ln(), p.value.ln())).filter(|_| positive);
    let power = power.map(|(exponent, at)| measured(Curve::Power { at_one: at.exp(), exponent }, points));
    let mut best = flat;
    for other in [linear, power].into_iter().flatten() {
        if other.residual < best.residual * 0.9 - 1e-6 {
            best = other;
        }
    }
    best
}

fn measured(curve: Curve, points: &[Point]) -> Fit {
    let off = |p: &Point| {
        let fitted = curve.at(p.size);
        match (p.value == fitted, fitted > 0.0 && p.value > 0.0) {
            (true, _) => 0.0,
            (false, true) => (p.value / fitted).ln().powi(2),
            // A curve that says nought or less for what was measured is no description.
            (false, false) => 100.0,
        }
    };
    let mean = points.iter().map(off).sum::<f64>() / points.len().max(1) as f64;
    Fit { curve, residual: mean.sqrt() }
}
