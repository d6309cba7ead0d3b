//! Least squares over workers and task starts.

use serde::Serialize;

/// One run of a fit: what it had, and what was measured.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Point {
    pub workers: f64,
    pub starts_per_s: f64,
    pub value: f64,
}

/// A value with its standard error.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Estimate {
    pub value: f64,
    pub error: f64,
}

/// Number of coefficients of a fit.
const COEFFICIENTS: usize = 3;

type Matrix = [[f64; COEFFICIENTS]; COEFFICIENTS];

/// `constant + per_worker * workers + per_start * starts_per_s`, by least squares.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Fit {
    pub points: usize,
    pub constant: Estimate,
    pub per_worker: Estimate,
    pub per_start: Estimate,
    /// Part of the variance that the fit explains.
    pub r_squared: f64,
    #[serde(skip)]
    covariance: Matrix,
}

impl Fit {
    /// Fits the points; none if there are too few or they do not tell the coefficients apart.
    pub fn of(points: &[Point]) -> Option<Fit> {
        if points.len() <= COEFFICIENTS {
            return None;
        }
        let mut normal = Matrix::default();
        let mut right = [0.0; COEFFICIENTS];
        for point in points {
            let row = regressors(point.workers, point.starts_per_s);
            for (i, left) in row.iter().enumerate() {
                right[i] += left * point.value;
                for (j, other) in row.iter().enumerate() {
                    normal[i][j] += left * other;
                }
            }
        }
        let inverse = inverted(normal)?;
        let solved = inverse.map(|row| dot(&row, &right));
        let mean = points.iter().map(|p| p.value).sum::<f64>() / points.len() as f64;
        let predicted = |p: &Point| dot(&solved, &regressors(p.workers, p.starts_per_s));
        let residuals: f64 = points
            .iter()
            .map(|p| (p.value - predicted(p)).powi(2))
            .sum();
        let variance: f64 = points.iter().map(|p| (p.value - mean).powi(2)).sum();
        let noise = residuals / (points.len() - COEFFICIENTS) as f64;
        let covariance = inverse.map(|row| row.map(|cell| cell * noise));
        let estimate = |at: usize| Estimate {
            value: solved[at],
            error: covariance[at][at].max(0.0).sqrt(),
        };
        Some(Fit {
            points: points.len(),
            constant: estimate(0),
            per_worker: estimate(1),
            per_start: estimate(2),
            r_squared: if variance > 0.0 {
                1.0 - residuals / variance
            } else {
                1.0
            },
            covariance,
        })
    }

    /// What it comes to, with the error of the fit alone.
    pub fn at(&self, workers: f64, starts_per_s: f64) -> Estimate {
        let row = regressors(workers, starts_per_s);
        let coefficients = [
            self.constant.value,
            self.per_worker.value,
            self.per_start.value,
        ];
        let spread = self.covariance.map(|cells| dot(&cells, &row));
        Estimate {
            value: dot(&coefficients, &row),
            error: dot(&spread, &row).max(0.0).sqrt(),
        }
    }
}

fn regressors(workers: f64, starts_per_s: f64) -> [f64; COEFFICIENTS] {
    [1.0, workers, starts_per_s]
}

fn dot(left: &[f64; COEFFICIENTS], right: &[f64; COEFFICIENTS]) -> f64 {
    left.iter().zip(right).map(|(a, b)| a * b).sum()
}

/// The inverse of a symmetric matrix by its cofactors; none if it has none.
fn inverted(m: Matrix) -> Option<Matrix> {
    let minor = |i: usize, j: usize| {
        let (a, b) = ((i + 1) % 3, (i + 2) % 3);
        let (c, d) = ((j + 1) % 3, (j + 2) % 3);
        m[a][c] * m[b][d] - m[a][d] * m[b][c]
    };
    let determinant: f64 = (0..COEFFICIENTS).map(|j| m[0][j] * minor(0, j)).sum();
    let scale: f64 = (0..COEFFICIENTS).map(|i| m[i][i]).product();
    if determinant.abs() <= scale.abs() * 1e-12 {
        return None;
    }
    let mut inverse = Matrix::default();
    for (i, row) in inverse.iter_mut().enumerate() {
        for (j, cell) in row.iter_mut().enumerate() {
            *cell = minor(j, i) / determinant;
        }
    }
    Some(inverse)
}
