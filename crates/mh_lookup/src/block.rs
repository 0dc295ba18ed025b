use std::fmt;
use std::net::IpAddr;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::key::{self, Key};

/// A block of caller addresses in CIDR notation, such as `10.2.0.0/16`.
///
/// The prefix of an IPv6 block has at most 64 bits, since a single network has at least a /64.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Block {
    addr: IpAddr,
    len: u8,
}

/// Error for a text, or a pair of address and length, that is not a valid block.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidBlock(String);

impl fmt::Display for InvalidBlock {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:?} is not an address block: use ADDRESS/LENGTH with no bits after the first LENGTH, at most /64 for IPv6",
            self.0
        )
    }
}

impl std::error::Error for InvalidBlock {}

impl Block {
    /// Creates the block of the addresses that share the first `len` bits of `addr`.
    ///
    /// # Errors
    ///
    /// [`InvalidBlock`] if `len` is too long or `addr` has bits after the first `len`.
    pub fn new(addr: IpAddr, len: u8) -> Result<Self, InvalidBlock> {
        let valid = match addr {
            IpAddr::V4(a) => len <= 32 && key::v4(a).masked(len) == key::v4(a),
            IpAddr::V6(a) => len <= 64 && u128::from(key::v6(a).masked(len)) << 64 == a.to_bits(),
        };
        if valid {
            Ok(Self { addr, len })
        } else {
            Err(InvalidBlock(format!("{addr}/{len}")))
        }
    }

    /// Returns the first address of the block.
    pub fn addr(&self) -> IpAddr {
        self.addr
    }

    /// Returns the number of leading bits that all addresses of the block share.
    pub fn prefix_len(&self) -> u8 {
        self.len
    }
}

impl FromStr for Block {
    type Err = InvalidBlock;

    fn from_str(text: &str) -> Result<Self, InvalidBlock> {
        let parts = text
            .split_once('/')
            .and_then(|(a, l)| Some((a.parse().ok()?, l.parse().ok()?)));
        let (addr, len) = parts.ok_or_else(|| InvalidBlock(text.to_owned()))?;
        Self::new(addr, len)
    }
}

impl TryFrom<String> for Block {
    type Error = InvalidBlock;

    fn try_from(text: String) -> Result<Self, InvalidBlock> {
        text.parse()
    }
}

impl From<Block> for String {
    fn from(block: Block) -> Self {
        block.to_string()
    }
}

impl fmt::Display for Block {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.addr, self.len)
    }
}
