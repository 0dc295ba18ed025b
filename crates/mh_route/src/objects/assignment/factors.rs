use std::collections::BTreeMap;

/// Number of steps between no share and the full share. A change of the totals by less than half a step moves nothing,
/// and a share deviates by at most 1/32 of the largest factor.
const STEPS: f64 = 16.0;

/// Divides `weights` by the largest and rounds them to steps. A positive weight stays positive, so that no region is
/// left without objects by rounding.
pub fn quantised<K: Clone + Ord>(weights: &BTreeMap<K, f64>) -> BTreeMap<K, f64> {
    let largest = weights.values().copied().fold(0.0, f64::max);
    let step = |weight: f64| {
        if largest <= 0.0 {
            1.0
        } else if weight <= 0.0 {
            0.0
        } else {
            (weight / largest * STEPS).round().max(1.0) / STEPS
        }
    };
    weights
        .iter()
        .map(|(key, weight)| (key.clone(), step(*weight)))
        .collect()
}
