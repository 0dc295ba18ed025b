//! Selection of the VMs that look-ups return.

use super::*;

fn vms(region: &str, count: u16) -> Vec<(RegionName, SocketAddr)> {
    let addr = |n| SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8], 80));
    (0..count).map(|n| (region.into(), addr(n))).collect()
}

/// Guards against VMs of a large region that look-ups never return.
#[test]
fn every_vm_of_large_region_is_returned() {
    let vms = vms("north", 98);

    let mut selections: std::collections::HashMap<SocketAddr, usize> = std::collections::HashMap::new();
    for rnd in 0..980 {
        let answer = select_vms(&vms, Some(&"north".into()), rnd);
        assert_eq!(answer.len(), MAX_LOOKUP_VMS);
        for addr in answer {
            *selections.entry(addr).or_default() += 1;
        }
    }

    assert_eq!(selections.len(), 98);
    assert!(selections.values().all(|count| *count == 640), "{selections:?}");
}

/// Guards against sending callers to another region while their own has VMs.
#[test]
fn callers_stay_in_own_region() {
    let mut all = vms("north", 3);
    let south: Vec<_> = vms("south", 5).into_iter().skip(3).collect();
    all.extend(south.clone());

    let for_south = select_vms(&all, Some(&"south".into()), 7);
    let for_west = select_vms(&all, Some(&"west".into()), 7);

    assert_eq!(for_south, south.iter().map(|(_, addr)| *addr).collect::<Vec<_>>());
    assert_eq!(for_west.len(), 5);
}
