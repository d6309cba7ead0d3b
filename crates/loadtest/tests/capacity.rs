//! Tests of the linear fit behind the capacity tables.

use loadtest::fit::{Fit, Point};

/// Points at five sizes, with the value that `value` gives for workers and task starts per second.
fn points(value: impl Fn(f64, f64) -> f64) -> Vec<Point> {
    let sizes = [
        (100.0, 5.0),
        (200.0, 5.0),
        (400.0, 6.0),
        (300.0, 50.0),
        (320.0, 200.0),
    ];
    sizes
        .into_iter()
        .map(|(workers, starts_per_s)| Point {
            workers,
            starts_per_s,
            value: value(workers, starts_per_s),
        })
        .collect()
}

#[test]
fn fit_to_exact_points_has_no_error() {
    let fit = Fit::from_points(&points(|w, s| 3.0 + 0.02 * w + 0.5 * s))
        .expect("the points determine the fit");
    assert!((fit.constant.value - 3.0).abs() < 1e-6, "{fit:?}");
    assert!((fit.per_worker.value - 0.02).abs() < 1e-8, "{fit:?}");
    assert!((fit.per_start.value - 0.5).abs() < 1e-8, "{fit:?}");
    assert!(
        fit.per_start.standard_error < 1e-6 && fit.r_squared > 0.999_999,
        "{fit:?}"
    );
    let predicted = fit.predict(4_200.0, 640.0);
    assert!(
        (predicted.value - (3.0 + 84.0 + 320.0)).abs() < 1e-3 && predicted.standard_error < 1e-2,
        "{predicted:?}"
    );
}

#[test]
fn scattered_points_give_errors_that_grow_with_the_distance_of_the_prediction() {
    let noise = |w: f64| {
        if (w as u64).is_multiple_of(200) {
            1.0
        } else {
            -1.0
        }
    };
    let fit = Fit::from_points(&points(|w, s| 3.0 + 0.02 * w + 0.5 * s + noise(w)))
        .expect("the points determine the fit");
    assert!(
        fit.per_worker.standard_error > 1e-4 && fit.r_squared < 1.0,
        "{fit:?}"
    );
    let (near, far) = (fit.predict(250.0, 50.0), fit.predict(4_200.0, 640.0));
    assert!(
        far.standard_error > 3.0 * near.standard_error,
        "{near:?} {far:?}"
    );
}

#[test]
fn too_few_or_collinear_points_give_no_fit() {
    assert_eq!(Fit::from_points(&points(|_, _| 1.0)[..3]), None);
    let collinear: Vec<Point> = (1..9)
        .map(|n| Point {
            workers: f64::from(n),
            starts_per_s: 2.0 * f64::from(n),
            value: 1.0,
        })
        .collect();
    assert_eq!(Fit::from_points(&collinear), None);
}
