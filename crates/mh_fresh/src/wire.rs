use mh_types::{Incarnation, Revision, VmName};
use smallvec::SmallVec;

use crate::{AttestationSummary, BitSet, HeldRevisions, Report, ReportError, SummaryGroup};

const VERSION: u8 = 1;
/// Longest accepted list of summaries, groups or words; limits the allocation that a malformed length can cause.
const MAX_ITEMS: u64 = 4_096;
const VARINT_PAYLOAD_BITS: u32 = 7;
const VARINT_MORE: u8 = 0x80;

impl Report {
    /// Encodes the report in a compact binary format: about 40 bytes, plus 22 for each summary of one group.
    ///
    /// Numbers are LEB128 varints. Revisions are encoded as differences from `known`, which are mostly zero.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut buf = vec![VERSION];
        put_varint(&mut buf, self.vm.as_str().len() as u64);
        buf.extend(self.vm.as_str().as_bytes());
        put_varint(&mut buf, self.incarnation.0);
        put_varint(&mut buf, self.known.0);
        put_varint(&mut buf, self.known.0.wrapping_sub(self.accepted.0));
        put_holding(&mut buf, self.known, &self.holding);
        put_age(&mut buf, self.vouched_ms);
        put_age(&mut buf, self.confirmed_ms);
        put_varint(&mut buf, self.sums.len() as u64);
        for summary in &self.sums {
            buf.extend(summary.tag.to_le_bytes());
            put_varint(&mut buf, summary.groups.len() as u64);
            for group in &summary.groups {
                put_varint(&mut buf, group.members.words().len() as u64);
                group
                    .members
                    .words()
                    .iter()
                    .for_each(|&word| put_varint(&mut buf, word));
                put_varint(&mut buf, group.age_ms.into());
                put_holding(&mut buf, self.known, &group.holding);
            }
        }
        buf
    }

    /// Decodes a report that [`to_bytes`](Self::to_bytes) encoded.
    ///
    /// # Errors
    ///
    /// [`ReportError`] when the bytes are of another version or are not exactly one report.
    pub fn from_bytes(mut bytes: &[u8]) -> Result<Self, ReportError> {
        let buf = &mut bytes;
        match take(buf, 1)? {
            [VERSION] => {}
            other => return Err(ReportError::VersionUnknown(other[0])),
        }
        let length = take_count(buf)?;
        let name = std::str::from_utf8(take(buf, length)?).map_err(|_| ReportError::Malformed)?;
        let vm = VmName::parse(name).map_err(|_| ReportError::Malformed)?;
        let incarnation = Incarnation(take_varint(buf)?);
        let known = Revision(take_varint(buf)?);
        let accepted = Revision(known.0.wrapping_sub(take_varint(buf)?));
        let holding = take_holding(buf, known)?;
        let (vouched_ms, confirmed_ms) = (take_age(buf)?, take_age(buf)?);
        let sums = (0..take_count(buf)?)
            .map(|_| take_summary(buf, known))
            .collect::<Result<_, _>>()?;
        if !buf.is_empty() {
            return Err(ReportError::Malformed);
        }
        Ok(Self {
            vm,
            incarnation,
            known,
            accepted,
            holding,
            vouched_ms,
            confirmed_ms,
            sums,
        })
    }
}

fn put_varint(buf: &mut Vec<u8>, mut value: u64) {
    while value >= u64::from(VARINT_MORE) {
        buf.push(value as u8 | VARINT_MORE);
        value >>= VARINT_PAYLOAD_BITS;
    }
    buf.push(value as u8);
}

/// Encodes an age plus one, so that zero stands for `None`.
fn put_age(buf: &mut Vec<u8>, age_ms: Option<u32>) {
    put_varint(buf, age_ms.map_or(0, |ms| u64::from(ms) + 1));
}

fn put_holding(buf: &mut Vec<u8>, known: Revision, holding: &HeldRevisions) {
    put_varint(buf, known.0.wrapping_sub(holding.held.0));
    put_varint(buf, holding.held_ms.into());
    put_varint(buf, holding.held.0.wrapping_sub(holding.steady.0));
}

fn take<'a>(buf: &mut &'a [u8], length: usize) -> Result<&'a [u8], ReportError> {
    let (taken, rest) = buf.split_at_checked(length).ok_or(ReportError::Malformed)?;
    *buf = rest;
    Ok(taken)
}

fn take_varint(buf: &mut &[u8]) -> Result<u64, ReportError> {
    let mut value = 0_u64;
    for shift in (0..u64::BITS).step_by(VARINT_PAYLOAD_BITS as usize) {
        let byte = take(buf, 1)?[0];
        let payload = u64::from(byte & !VARINT_MORE);
        if payload << shift >> shift != payload {
            return Err(ReportError::Malformed);
        }
        value |= payload << shift;
        if byte & VARINT_MORE == 0 {
            return Ok(value);
        }
    }
    Err(ReportError::Malformed)
}

fn take_u32(buf: &mut &[u8]) -> Result<u32, ReportError> {
    u32::try_from(take_varint(buf)?).map_err(|_| ReportError::Malformed)
}

fn take_count(buf: &mut &[u8]) -> Result<usize, ReportError> {
    let count = take_varint(buf)?;
    if count > MAX_ITEMS {
        Err(ReportError::Malformed)
    } else {
        Ok(count as usize)
    }
}

fn take_age(buf: &mut &[u8]) -> Result<Option<u32>, ReportError> {
    let age = take_varint(buf)?.checked_sub(1);
    age.map(|ms| u32::try_from(ms).map_err(|_| ReportError::Malformed))
        .transpose()
}

fn take_holding(buf: &mut &[u8], known: Revision) -> Result<HeldRevisions, ReportError> {
    let held = Revision(known.0.wrapping_sub(take_varint(buf)?));
    let held_ms = take_u32(buf)?;
    Ok(HeldRevisions {
        held,
        held_ms,
        steady: Revision(held.0.wrapping_sub(take_varint(buf)?)),
    })
}

fn take_summary(buf: &mut &[u8], known: Revision) -> Result<AttestationSummary, ReportError> {
    let tag = take(buf, size_of::<u64>())?
        .try_into()
        .map_err(|_| ReportError::Malformed)?;
    let mut groups = SmallVec::new();
    for _ in 0..take_count(buf)? {
        let words = (0..take_count(buf)?)
            .map(|_| take_varint(buf))
            .collect::<Result<_, _>>()?;
        let age_ms = take_u32(buf)?;
        groups.push(SummaryGroup {
            members: BitSet::from_words(words),
            age_ms,
            holding: take_holding(buf, known)?,
        });
    }
    Ok(AttestationSummary {
        tag: u64::from_le_bytes(tag),
        groups,
    })
}
