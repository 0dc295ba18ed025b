use smallvec::SmallVec;

use crate::Share;

/// Claim of one VM on a lender's share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Share that the VM has from other sources.
    pub base: Share,
    /// Share that covers the VM's demand, including `base`.
    pub need: Share,
    /// Share that covers the VM's demand with headroom, including `base`.
    pub want: Share,
}

/// Divides `supply` among the claims; the result has the order of `claims` and adds up to at most `supply`.
///
/// First the needs are met by max-min fairness over the total share of each VM: no VM gets a part that raises it above
/// another VM whose need is not met. The remainder is divided in proportion to the share that each VM still wants.
pub fn fair_shares(supply: Share, claims: &[Claim]) -> SmallVec<[Share; 8]> {
    let level = fair_level(supply, claims);
    let mut parts: SmallVec<[Share; 8]> = claims.iter().map(|claim| need_up_to(level, claim)).collect();
    let left = supply.minus(parts.iter().copied().sum());
    let missing: SmallVec<[Share; 8]> = claims
        .iter()
        .zip(&parts)
        .map(|(claim, part)| claim.want.minus(claim.base).minus(*part))
        .collect();
    let total = missing.iter().copied().sum::<Share>();
    for (part, missing) in parts.iter_mut().zip(missing) {
        *part += if total <= left {
            missing
        } else {
            missing.scaled(left.0, total.0)
        };
    }
    parts
}

/// Highest total share per VM up to which `supply` covers the need of every claim.
fn fair_level(supply: Share, claims: &[Claim]) -> Share {
    let fits = |level| {
        claims
            .iter()
            .map(|claim| need_up_to(Share(level), claim))
            .sum::<Share>()
            <= supply
    };
    let (mut low, mut high) = (0, claims.iter().map(|claim| claim.need.0).max().unwrap_or(0));
    while low < high {
        let middle = low + (high - low).div_ceil(2);
        if fits(middle) {
            low = middle;
        } else {
            high = middle - 1;
        }
    }
    Share(low)
}

fn need_up_to(level: Share, claim: &Claim) -> Share {
    level.min(claim.need).minus(claim.base)
}
