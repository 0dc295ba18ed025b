use std::fmt::{self, Write};
use std::num::ParseIntError;

use mh_types::{Incarnation, VmName};

use crate::checksum::crc32;
use crate::invalid_op_id::InvalidOpId;

/// First characters of a printed id, also a marker of system-issued ids.
const PREFIX: &str = "mh1.";
/// Last characters of a printed id, also a marker of system-issued ids.
const SUFFIX: &str = ".mh1";

/// An operation id issued by the system, which contains the VM and incarnation that own it.
///
/// The printed form is `mh1.VM.INCARNATION.ISSUED.NONCE.CHECKSUM.mh1`, with the VM's name percent-encoded and the
/// numbers in lower-case hexadecimal. The checksum protects against typing errors, not against forgery; a forged id
/// still has one owner and runs at most once.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct IssuedId {
    /// VM that owns the operation.
    pub vm: VmName,
    /// Incarnation of that VM's process.
    pub incarnation: Incarnation,
    /// Time of issue in milliseconds on the owner's clock; start of the id's lifetime.
    pub issued_ms: u64,
    /// Distinguishes ids issued in the same millisecond.
    pub nonce: u64,
}

impl IssuedId {
    /// Returns true if `text` contains a marker of system-issued ids.
    ///
    /// A printed id has a marker at both ends, and a marker is recognised at any position and in either case. An id
    /// with one wrong, missing or added character therefore still has one, and is not taken for a caller-supplied id,
    /// which another owner would run again.
    pub(crate) fn has_marker(text: &str) -> bool {
        let contains_marker = |marker: &str| {
            text.as_bytes()
                .windows(marker.len())
                .any(|part| part.eq_ignore_ascii_case(marker.as_bytes()))
        };
        contains_marker(PREFIX) || contains_marker(SUFFIX)
    }

    /// Parses a printed id.
    ///
    /// # Errors
    ///
    /// [`InvalidOpId::MalformedIssuedId`] when `text` is not exactly the printed form of an id.
    pub fn parse(text: &str) -> Result<Self, InvalidOpId> {
        let id = Self::parse_fields(text).ok_or(InvalidOpId::MalformedIssuedId)?;
        // Accepts only the canonical form, so that each id has one spelling; this also verifies the checksum.
        if id.to_string() == text {
            Ok(id)
        } else {
            Err(InvalidOpId::MalformedIssuedId)
        }
    }

    fn parse_fields(text: &str) -> Option<Self> {
        let mut fields = text.strip_prefix(PREFIX)?.strip_suffix(SUFFIX)?.split('.');
        let vm = VmName::parse(&percent_decode(fields.next()?)?).ok()?;
        let incarnation = Incarnation(parse_hex(fields.next()?).ok()?);
        let issued_ms = parse_hex(fields.next()?).ok()?;
        let nonce = parse_hex(fields.next()?).ok()?;
        Some(Self {
            vm,
            incarnation,
            issued_ms,
            nonce,
        })
    }
}

impl fmt::Display for IssuedId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut text = String::from(PREFIX);
        percent_encode(self.vm.as_str(), &mut text)?;
        write!(text, ".{:x}.{:x}.{:x}", self.incarnation.0, self.issued_ms, self.nonce)?;
        write!(f, "{text}.{:08x}{SUFFIX}", crc32(text.as_bytes()))
    }
}

fn parse_hex(text: &str) -> Result<u64, ParseIntError> {
    u64::from_str_radix(text, 16)
}

fn percent_encode(name: &str, out: &mut String) -> fmt::Result {
    name.bytes().try_for_each(|byte| {
        if byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_') {
            out.write_char(char::from(byte))
        } else {
            write!(out, "%{byte:02x}")
        }
    })
}

fn percent_decode(text: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let [first, tail @ ..] = rest {
        rest = tail;
        let byte = if *first == b'%' {
            let (pair, tail) = tail.split_at_checked(2)?;
            rest = tail;
            u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok()?
        } else {
            *first
        };
        bytes.push(byte);
    }
    String::from_utf8(bytes).ok()
}
