use arcstr::ArcStr;
use mh_types::OrgName;

use crate::invalid_op_id::InvalidOpId;

/// Maximum length of a caller-supplied id in bytes.
const MAX_CALLER_ID_BYTES: usize = 255;

/// An operation id supplied by a caller, scoped to the caller's organisation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CallerChosenId {
    org: OrgName,
    text: ArcStr,
}

impl CallerChosenId {
    /// Parses a caller-supplied id.
    ///
    /// # Errors
    ///
    /// [`InvalidOpId::LengthOrCharacters`] when the text is empty, longer than 255 bytes or contains bytes outside
    /// visible ASCII.
    pub(crate) fn parse(org: &OrgName, text: &str) -> Result<Self, InvalidOpId> {
        let fits = (1..=MAX_CALLER_ID_BYTES).contains(&text.len()) && text.bytes().all(|byte| byte.is_ascii_graphic());
        if fits {
            Ok(Self {
                org: org.clone(),
                text: text.into(),
            })
        } else {
            Err(InvalidOpId::LengthOrCharacters)
        }
    }

    /// Organisation whose key came with the request.
    pub fn org(&self) -> &OrgName {
        &self.org
    }

    /// Id as the caller wrote it, without quotes.
    pub fn as_str(&self) -> &str {
        &self.text
    }
}
