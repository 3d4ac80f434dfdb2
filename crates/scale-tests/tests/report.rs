//! Curves, figures at full size, the ranking and the verdict.

use stagehoist_scale_tests::fit::{fit, Curve};
use stagehoist_scale_tests::{report, Mark, Point, Resource, Role, Row, Size, Subject};

fn points(figure: impl Fn(f64) -> f64) -> Vec<Point> {
    [100.0, 300.0, 1000.0, 3000.0].map(|size| Point { size, value: figure(size) }).to_vec()
}

fn subject(name: &'static str, limit: f64) -> Subject {
    Subject {
        name,
        role: Role::FrontEnd,
        resource: Resource::Memory,
        unit: "bytes",
        axis: "workers",
        asked: 30_000.0,
        limit,
        source: "a test",
        formula: "",
        mechanism: "",
        counted: true,
    }
}

#[test]
fn the_curve_is_the_one_that_the_points_lie_on() {
    let linear = fit(&points(|n| 500.0 + 3.0 * n));
    assert!(matches!(linear.curve, Curve::Linear { slope, .. } if (slope - 3.0).abs() < 1e-6), "{linear:?}");
    let power = fit(&points(|n| 2.0 * n.powf(1.5)));
    assert!(
        matches!(power.curve, Curve::Power { exponent, .. } if (exponent - 1.5).abs() < 1e-6),
        "{power:?}"
    );
    let flat = fit(&points(|_| 7.0));
    assert_eq!((flat.curve, flat.residual), (Curve::Flat(7.0), 0.0));
    let jagged = fit(&points(|n| if n == 300.0 || n == 3000.0 { 100.0 } else { 1.0 }));
    assert!(power.residual < 1e-6 && jagged.residual > 0.5, "{jagged:?}");
}

#[test]
fn a_curve_meets_its_limit_where_it_says() {
    assert_eq!(Curve::Flat(1.0).reaches(2.0), f64::INFINITY);
    assert_eq!(Curve::Flat(3.0).reaches(2.0), 0.0);
    assert_eq!(Curve::Linear { at_zero: 1.0, slope: 2.0 }.reaches(9.0), 4.0);
    assert_eq!(Curve::Power { at_one: 2.0, exponent: 2.0 }.reaches(50.0), 5.0);
}

#[test]
fn a_figure_is_measured_at_size_or_extrapolated_by_a_told_factor() {
    let far = Row::new(subject("far", 100_000.0), points(|n| 3.0 * n));
    assert_eq!(far.mark, Mark::Extrapolated(10.0));
    assert!((far.figure - 90_000.0).abs() < 1.0 && far.held() && (far.reach() - 1.111).abs() < 0.01);
    let mut all = points(|n| 3.0 * n);
    all.push(Point { size: 30_000.0, value: 95_000.0 });
    let there = Row::new(subject("there", 94_000.0), all);
    assert_eq!((there.mark, there.figure, there.held()), (Mark::Measured, 95_000.0, false));
    assert!(there.reach() <= 1.0, "what was measured outweighs the curve");
}

#[test]
fn a_curve_that_falls_is_not_followed_below_what_was_measured() {
    let falling = Row::new(subject("falling", 1.0), points(|n| 300.0 / n.sqrt()));
    assert_eq!(falling.figure, falling.points[3].value);
    assert!(!falling.held() && falling.reach() == 0.0, "{falling:?}");
}

#[test]
fn between_points_that_enclose_the_limit_it_is_met_between_them() {
    let row = Row::new(subject("enclosed", 45.0), points(|n| n.sqrt().min(45.5)));
    let reach = row.reach() * 30_000.0;
    assert!((1000.0..3000.0).contains(&reach), "{reach}");
}

#[test]
fn what_is_short_is_named_and_the_first_to_break_stands_first() {
    let rows = [
        Row::new(subject("good", 1e9), points(|n| 3.0 * n)),
        Row::new(subject("bad", 30_000.0), points(|n| 3.0 * n)),
        Row::new(subject("worse", 3_000.0), points(|n| 3.0 * n)),
    ];
    assert_eq!(report::verdict(&rows, Size::Quick), "SCALE short: bad, worse");
    assert_eq!(report::verdict(&rows[..1], Size::Quick), "SCALE held");
    let ranking = report::ranking(&rows);
    let place = |name: &str| ranking.find(&format!("| {name} |")).unwrap();
    assert!(place("worse") < place("bad") && place("bad") < place("good"), "{ranking}");
}

#[test]
fn in_a_small_run_times_judge_nothing() {
    let timed = Subject { counted: false, ..subject("timed", 3.0) };
    let rows = [Row::new(timed, points(|n| 3.0 * n))];
    assert_eq!(report::verdict(&rows, Size::Small), "SCALE held");
    assert_eq!(report::verdict(&rows, Size::Quick), "SCALE short: timed");
}
