//! Fits through points.

use loadtest::fit::{Fit, Point};

fn points(value: impl Fn(f64, f64) -> f64) -> Vec<Point> {
    let places = [
        (100.0, 5.0),
        (200.0, 5.0),
        (400.0, 6.0),
        (300.0, 50.0),
        (320.0, 200.0),
    ];
    places
        .into_iter()
        .map(|(workers, starts_per_s)| Point {
            workers,
            starts_per_s,
            value: value(workers, starts_per_s),
        })
        .collect()
}

#[test]
fn fit_through_exact_points_has_no_error() {
    let fit = Fit::of(&points(|w, s| 3.0 + 0.02 * w + 0.5 * s)).expect("a fit");
    assert!((fit.constant.value - 3.0).abs() < 1e-6, "{fit:?}");
    assert!((fit.per_worker.value - 0.02).abs() < 1e-8, "{fit:?}");
    assert!((fit.per_start.value - 0.5).abs() < 1e-8, "{fit:?}");
    assert!(
        fit.per_start.error < 1e-6 && fit.r_squared > 0.999_999,
        "{fit:?}"
    );
    let far = fit.at(4_200.0, 640.0);
    assert!(
        (far.value - (3.0 + 84.0 + 320.0)).abs() < 1e-3 && far.error < 1e-2,
        "{far:?}"
    );
}

#[test]
fn scatter_shows_in_the_errors_and_grows_with_the_distance() {
    let noise = |w: f64| {
        if (w as u64).is_multiple_of(200) {
            1.0
        } else {
            -1.0
        }
    };
    let fit = Fit::of(&points(|w, s| 3.0 + 0.02 * w + 0.5 * s + noise(w))).expect("a fit");
    assert!(
        fit.per_worker.error > 1e-4 && fit.r_squared < 1.0,
        "{fit:?}"
    );
    let (near, far) = (fit.at(250.0, 50.0), fit.at(4_200.0, 640.0));
    assert!(far.error > 3.0 * near.error, "{near:?} {far:?}");
}

#[test]
fn too_few_points_and_points_that_differ_in_one_way_only_give_no_fit() {
    assert_eq!(Fit::of(&points(|_, _| 1.0)[..3]), None);
    let one_way: Vec<Point> = (1..9)
        .map(|n| Point {
            workers: f64::from(n),
            starts_per_s: 2.0 * f64::from(n),
            value: 1.0,
        })
        .collect();
    assert_eq!(Fit::of(&one_way), None);
}
