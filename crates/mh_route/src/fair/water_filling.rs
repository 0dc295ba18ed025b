/// Demand of one organisation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// Requested amount, zero or more, in the unit of the capacity.
    pub amount: f64,
    /// Weight relative to the other organisations, above zero.
    pub weight: f64,
}

/// Divides `capacity` among `demands` max-min fairly: no allocation can grow without reducing one that is smaller
/// relative to its weight.
///
/// The result has one amount for each demand, in the same order.
pub fn max_min(capacity: f64, demands: &[Demand]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    let level = |i: usize| demands[i].amount.max(0.0) / demands[i].weight.max(f64::MIN_POSITIVE);
    order.sort_by(|a, b| level(*a).total_cmp(&level(*b)));

    let mut capacity = capacity.max(0.0);
    let mut weight: f64 = demands.iter().map(|demand| demand.weight).sum();
    let mut allocated = vec![0.0; demands.len()];
    for i in order {
        let fair = if weight > 0.0 {
            capacity * demands[i].weight / weight
        } else {
            0.0
        };
        allocated[i] = demands[i].amount.max(0.0).min(fair.max(0.0));
        capacity -= allocated[i];
        weight -= demands[i].weight;
    }
    allocated
}
