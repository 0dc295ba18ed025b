//! Fixtures shared by the tests.
#![allow(dead_code, reason = "each test file uses only some of the fixtures")]

use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

use mh_lookup::prelude::*;

pub fn vm(name: &str, site: u16) -> VmSpec {
    VmSpec {
        name: name.into(),
        addr: ([127, 0, 0, 1], 8080).into(),
        site: SiteId(site),
        weight: 1,
        state: VmAvailability::Serving,
        headroom: u32::MAX,
    }
}

/// Creates `sites` sites with `per_site` VMs each, named `v<site>-<number>`; ranking n starts with site n.
pub fn spec(sites: u16, per_site: usize) -> TableSpec {
    let ranking = |first: u16| (0..sites).map(|i| SiteId((first + i) % sites)).collect();
    TableSpec {
        lifetime: Duration::from_secs(30),
        vms: (0..sites)
            .flat_map(|s| (0..per_site).map(move |n| vm(&format!("v{s}-{n}"), s)))
            .collect(),
        rankings: (0..sites).map(ranking).collect(),
        blocks: Vec::new(),
        homes: Vec::new(),
    }
}

/// Returns the address of the `i`th caller; each caller has its own network.
pub fn caller(i: u32) -> IpAddr {
    Ipv4Addr::from_bits(0x0A00_0001 + (i << 8)).into()
}

/// Names of the VMs that a look-up returns.
pub fn names(table: &Table, addr: IpAddr) -> Vec<String> {
    table
        .find(addr, None, 0)
        .iter()
        .map(|c| c.vm.name.as_str().to_owned())
        .collect()
}
