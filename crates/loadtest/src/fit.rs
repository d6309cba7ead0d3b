//! Linear least-squares fit of a measured quantity over the number of workers and the rate of task starts.

use serde::Serialize;

/// The size of a run and the value measured in it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Point {
    pub workers: f64,
    pub starts_per_s: f64,
    pub value: f64,
}

/// An estimated value and its standard error.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Estimate {
    pub value: f64,
    #[serde(rename = "error")]
    pub standard_error: f64,
}

/// Number of coefficients of the model.
const COEFFICIENTS: usize = 3;

type Matrix = [[f64; COEFFICIENTS]; COEFFICIENTS];

/// The fitted model: `constant + per_worker * workers + per_start * starts_per_s`.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Fit {
    /// Number of points.
    pub points: usize,
    pub constant: Estimate,
    pub per_worker: Estimate,
    pub per_start: Estimate,
    /// Coefficient of determination: the fraction of the variance that the model explains.
    pub r_squared: f64,
    /// Covariance of the coefficients.
    #[serde(skip)]
    covariance: Matrix,
}

impl Fit {
    /// Fits the model to the points; `None` if there are too few of them or they do not determine every coefficient.
    pub fn from_points(points: &[Point]) -> Option<Fit> {
        if points.len() <= COEFFICIENTS {
            return None;
        }
        // The normal equations: `normal_matrix * coefficients = right_side`.
        let mut normal_matrix = Matrix::default();
        let mut right_side = [0.0; COEFFICIENTS];
        for point in points {
            let row = regressors(point.workers, point.starts_per_s);
            for (i, left) in row.iter().enumerate() {
                right_side[i] += left * point.value;
                for (j, right) in row.iter().enumerate() {
                    normal_matrix[i][j] += left * right;
                }
            }
        }
        let inverse = invert(normal_matrix)?;
        let coefficients = inverse.map(|row| dot(&row, &right_side));
        let mean = points.iter().map(|p| p.value).sum::<f64>() / points.len() as f64;
        let predicted = |p: &Point| dot(&coefficients, &regressors(p.workers, p.starts_per_s));
        let residual_square_sum: f64 = points
            .iter()
            .map(|p| (p.value - predicted(p)).powi(2))
            .sum();
        let total_square_sum: f64 = points.iter().map(|p| (p.value - mean).powi(2)).sum();
        let residual_variance = residual_square_sum / (points.len() - COEFFICIENTS) as f64;
        let covariance = inverse.map(|row| row.map(|cell| cell * residual_variance));
        let estimate = |index: usize| Estimate {
            value: coefficients[index],
            standard_error: covariance[index][index].max(0.0).sqrt(),
        };
        Some(Fit {
            points: points.len(),
            constant: estimate(0),
            per_worker: estimate(1),
            per_start: estimate(2),
            r_squared: if total_square_sum > 0.0 {
                1.0 - residual_square_sum / total_square_sum
            } else {
                1.0
            },
            covariance,
        })
    }

    /// Predicts the value at a size; the standard error is that of the fit alone, without the scatter of single runs.
    pub fn predict(&self, workers: f64, starts_per_s: f64) -> Estimate {
        let row = regressors(workers, starts_per_s);
        let coefficients = [
            self.constant.value,
            self.per_worker.value,
            self.per_start.value,
        ];
        let weighted_covariance = self.covariance.map(|cells| dot(&cells, &row));
        Estimate {
            value: dot(&coefficients, &row),
            standard_error: dot(&weighted_covariance, &row).max(0.0).sqrt(),
        }
    }
}

/// The factors of the coefficients at a size.
fn regressors(workers: f64, starts_per_s: f64) -> [f64; COEFFICIENTS] {
    [1.0, workers, starts_per_s]
}

fn dot(left: &[f64; COEFFICIENTS], right: &[f64; COEFFICIENTS]) -> f64 {
    left.iter().zip(right).map(|(a, b)| a * b).sum()
}

/// The inverse of a symmetric matrix, from its cofactors; `None` if the matrix is singular or nearly so.
fn invert(m: Matrix) -> Option<Matrix> {
    let cofactor = |i: usize, j: usize| {
        let (a, b) = ((i + 1) % 3, (i + 2) % 3);
        let (c, d) = ((j + 1) % 3, (j + 2) % 3);
        m[a][c] * m[b][d] - m[a][d] * m[b][c]
    };
    let determinant: f64 = (0..COEFFICIENTS).map(|j| m[0][j] * cofactor(0, j)).sum();
    let diagonal_product: f64 = (0..COEFFICIENTS).map(|i| m[i][i]).product();
    if determinant.abs() <= diagonal_product.abs() * 1e-12 {
        return None;
    }
    let mut inverse = Matrix::default();
    for (i, row) in inverse.iter_mut().enumerate() {
        for (j, cell) in row.iter_mut().enumerate() {
            *cell = cofactor(j, i) / determinant;
        }
    }
    Some(inverse)
}
