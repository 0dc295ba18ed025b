//! Which VMs look-ups name.

use super::*;

fn vms(region: &str, count: u16) -> Vec<(RegionName, SocketAddr)> {
    let addr = |n| SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8], 80));
    (0..count).map(|n| (region.into(), addr(n))).collect()
}

/// Guards against VMs of a large region that no caller is ever sent to.
#[test]
fn every_vm_of_a_large_region_is_named_to_some_callers() {
    let vms = vms("north", 98);

    let mut named_by: std::collections::HashMap<SocketAddr, usize> = std::collections::HashMap::new();
    for rnd in 0..980 {
        let answer = named(&vms, Some(&"north".into()), rnd);
        assert_eq!(answer.len(), MAX_NAMED);
        for addr in answer {
            *named_by.entry(addr).or_default() += 1;
        }
    }

    assert_eq!(named_by.len(), 98);
    assert!(named_by.values().all(|count| *count == 640), "{named_by:?}");
}

/// Guards against callers that are sent to another region while their own has VMs.
#[test]
fn callers_stay_in_their_region() {
    let mut all = vms("north", 3);
    let south: Vec<_> = vms("south", 5).into_iter().skip(3).collect();
    all.extend(south.clone());

    let named_south = named(&all, Some(&"south".into()), 7);
    let named_west = named(&all, Some(&"west".into()), 7);

    assert_eq!(named_south, south.iter().map(|(_, addr)| *addr).collect::<Vec<_>>());
    assert_eq!(named_west.len(), 5);
}
