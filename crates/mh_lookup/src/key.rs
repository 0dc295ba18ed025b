use std::fmt::Debug;
use std::net::{Ipv4Addr, Ipv6Addr};

/// Address bits by which prefixes are compared: 32 for IPv4, the upper 64 for IPv6.
pub(crate) trait Key: Copy + Ord + Debug {
    /// Returns the key with all but the first `len` bits cleared.
    fn masked(self, len: u8) -> Self;
}

impl Key for u32 {
    fn masked(self, len: u8) -> Self {
        self & u32::MAX.checked_shl(32 - u32::from(len.min(32))).unwrap_or(0)
    }
}

impl Key for u64 {
    fn masked(self, len: u8) -> Self {
        self & u64::MAX.checked_shl(64 - u32::from(len.min(64))).unwrap_or(0)
    }
}

pub(crate) fn v4(addr: Ipv4Addr) -> u32 {
    addr.to_bits()
}

pub(crate) fn v6(addr: Ipv6Addr) -> u64 {
    (addr.to_bits() >> 64) as u64
}
