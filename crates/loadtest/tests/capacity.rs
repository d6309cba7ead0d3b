//! Lines through points.

use loadtest::capacity::Line;

#[test]
fn line_through_exact_points_has_no_error() {
    let line = Line::fit(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]).expect("a line");
    assert!((line.slope - 2.0).abs() < 1e-9 && (line.intercept - 3.0).abs() < 1e-9);
    assert!(line.slope_error < 1e-9 && line.r_squared > 0.999_999);
}

#[test]
fn scatter_shows_in_the_error() {
    // Worked out by hand: slope 0.9, residuals 0.3, -0.6, 0.3: error sqrt(0.54 / 1 / 2).
    let line = Line::fit(&[(1.0, 1.2), (2.0, 1.2), (3.0, 3.0)]).expect("a line");
    assert!((line.slope - 0.9).abs() < 1e-9, "{line:?}");
    assert!((line.slope_error - (0.54_f64 / 2.0).sqrt()).abs() < 1e-9, "{line:?}");
}

#[test]
fn too_few_points_and_a_single_size_give_no_line() {
    assert_eq!(Line::fit(&[(1.0, 1.0), (2.0, 2.0)]), None);
    assert_eq!(Line::fit(&[(2.0, 1.0), (2.0, 2.0), (2.0, 3.0)]), None);
}
