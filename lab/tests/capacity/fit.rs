//! Tests of the linear fit.
use balancer_lab::capacity::fit::{fit, FitError};

#[test]
fn collinear_points_are_fitted_without_residual() {
    let points: Vec<(f64, f64)> = [50.0, 100.0, 200.0, 400.0]
        .map(|x| (x, 3.0 + 0.25 * x))
        .to_vec();
    let line = fit(&points).expect("a line");
    assert!((line.slope - 0.25).abs() < 1e-12, "{line:?}");
    assert!((line.intercept - 3.0).abs() < 1e-9, "{line:?}");
    assert!(
        line.residual < 1e-9 && line.max_residual < 1e-9 && line.slope_error < 1e-9,
        "{line:?}"
    );
    assert!((line.at(550.0) - 140.5).abs() < 1e-9);
}

/// Anscombe's first data set, with its published fit: line 3.00 + 0.500 x, standard error of the slope 0.118, residual
/// standard error 1.237.
#[test]
fn fit_matches_published_values_for_anscombe_data() {
    let x = [10.0, 8.0, 13.0, 9.0, 11.0, 14.0, 6.0, 4.0, 12.0, 7.0, 5.0];
    let y = [
        8.04, 6.95, 7.58, 8.81, 8.33, 9.96, 7.24, 4.26, 10.84, 4.82, 5.68,
    ];
    let points: Vec<(f64, f64)> = x.into_iter().zip(y).collect();
    let line = fit(&points).expect("a line");
    assert!((line.intercept - 3.000).abs() < 0.001, "{line:?}");
    assert!((line.slope - 0.500).abs() < 0.001, "{line:?}");
    assert!((line.slope_error - 0.118).abs() < 0.001, "{line:?}");
    assert!((line.residual - 1.237).abs() < 0.001, "{line:?}");
    assert!((line.max_residual - 1.921).abs() < 0.001, "{line:?}");
}

#[test]
fn points_without_a_unique_fit_are_rejected() {
    assert_eq!(fit(&[]), Err(FitError::TooFewPoints));
    assert_eq!(fit(&[(1.0, 1.0), (2.0, 2.0)]), Err(FitError::TooFewPoints));
    assert_eq!(
        fit(&[(5.0, 1.0), (5.0, 2.0), (5.0, 3.0)]),
        Err(FitError::OneSize)
    );
    assert_eq!(
        fit(&[(1.0, 1.0), (2.0, f64::NAN), (3.0, 3.0)]),
        Err(FitError::NotFinite)
    );
}
