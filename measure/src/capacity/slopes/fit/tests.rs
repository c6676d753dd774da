//! The fit against values worked out by hand, and what it refuses.

use super::{FitError, Line};

fn near(one: f64, other: f64) -> bool {
    (one - other).abs() < 1e-9 * one.abs().max(1.0)
}

#[test]
fn points_on_a_line_give_that_line_without_error() {
    let line =
        Line::fit(&[(1.0, 5.0), (10.0, 23.0), (100.0, 203.0), (1000.0, 2003.0)]).expect("a line");
    assert!(
        near(line.slope, 2.0) && near(line.intercept, 3.0) && near(line.r2, 1.0),
        "{line:?}"
    );
    assert!(
        line.slope_error < 1e-9 && line.intercept_error < 1e-6,
        "{line:?}"
    );
    assert!(near(line.at(7400.0).0, 14_803.0));
}

#[test]
fn errors_are_those_of_the_textbook() {
    // Sizes 1 to 4 (mean 2.5, spread 5) and their values (mean 4.75): slope 9.5 / 5; the line gives 1.9, 3.8, 5.7, 7.6.
    let line = Line::fit(&[(1.0, 2.0), (2.0, 4.0), (3.0, 5.0), (4.0, 8.0)]).expect("a line");
    assert!(
        near(line.slope, 1.9) && near(line.intercept, 0.0),
        "{line:?}"
    );
    let left = 0.1f64.powi(2) + 0.2f64.powi(2) + 0.7f64.powi(2) + 0.4f64.powi(2);
    let residual = left / 2.0;
    assert!(near(line.slope_error, (residual / 5.0).sqrt()), "{line:?}");
    assert!(
        near(
            line.intercept_error,
            (residual * (0.25 + 6.25 / 5.0)).sqrt()
        ),
        "{line:?}"
    );
    assert!(near(line.r2, 1.0 - left / 18.75), "{line:?}");
    let (value, error) = line.at(10.0);
    assert!(near(value, 19.0) && near(error, (residual * (0.25 + 7.5f64.powi(2) / 5.0)).sqrt()));
}

#[test]
fn values_that_do_not_grow_have_no_slope() {
    let line = Line::fit(&[(1.0, 7.0), (10.0, 7.0), (100.0, 7.0)]).expect("a line");
    assert!(
        near(line.slope, 0.0) && near(line.intercept, 7.0) && near(line.r2, 1.0),
        "{line:?}"
    );
}

#[test]
fn what_is_no_line_is_refused_with_the_reason() {
    assert_eq!(
        Line::fit(&[(1.0, 1.0), (2.0, 2.0)]),
        Err(FitError::TooFewPoints)
    );
    assert_eq!(
        Line::fit(&[(3.0, 1.0), (3.0, 2.0), (3.0, 9.0)]),
        Err(FitError::OneSize)
    );
    assert_eq!(
        Line::fit(&[(1.0, 1.0), (2.0, f64::NAN), (3.0, 1.0)]),
        Err(FitError::NotFinite)
    );
    assert_eq!(
        Line::fit(&[(1.0, 1.0), (f64::INFINITY, 2.0), (3.0, 1.0)]),
        Err(FitError::NotFinite)
    );
}
