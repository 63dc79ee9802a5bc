//! How unevenly work falls on servers.

/// The largest share over the mean: 1 where all have the same. None without servers or work.
pub fn max_over_mean(work: &[u64]) -> Option<f64> {
    let sum: u64 = work.iter().sum();
    let most = *work.iter().max()?;
    (sum > 0).then(|| most as f64 * work.len() as f64 / sum as f64)
}

/// The Gini coefficient: 0 where all have the same, towards 1 where one has all. None without servers or work.
pub fn gini(work: &[u64]) -> Option<f64> {
    let sum: u64 = work.iter().sum();
    if sum == 0 {
        return None;
    }
    let mut sorted = work.to_vec();
    sorted.sort_unstable();
    let n = sorted.len() as f64;
    let ranked: f64 = sorted.iter().zip(1u64..).map(|(w, rank)| *w as f64 * rank as f64).sum();
    Some((2.0 * ranked / (n * sum as f64) - (n + 1.0) / n).max(0.0))
}

#[cfg(test)]
mod tests {
    use super::*;

    /// By the definition: the mean difference of all pairs over twice the mean.
    fn plain(work: &[u64]) -> f64 {
        let pairs = work.iter().flat_map(|a| work.iter().map(move |b| a.abs_diff(*b)));
        pairs.sum::<u64>() as f64 / (2.0 * work.len() as f64 * work.iter().sum::<u64>() as f64)
    }

    #[test]
    fn equal_work_is_even_and_one_that_has_all_is_not() {
        assert_eq!(gini(&[5, 5, 5]), Some(0.0));
        assert_eq!(max_over_mean(&[5, 5, 5]), Some(1.0));
        assert_eq!(max_over_mean(&[0, 0, 9]), Some(3.0));
        assert_eq!(
            (gini(&[]), gini(&[0, 0]), max_over_mean(&[]), max_over_mean(&[0])),
            (None, None, None, None)
        );
        for work in [&[0, 0, 9][..], &[1, 2, 3, 4], &[7, 1, 1, 0, 30]] {
            assert!((gini(work).unwrap_or(-1.0) - plain(work)).abs() < 1e-12);
        }
    }
}
