use hyper::header::HeaderValue;

/// Id of one request: 32 hexadecimal digits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RequestId(String);

impl RequestId {
    pub(crate) fn random() -> Self {
        Self(format!("{:032x}", rand::random::<u128>()))
    }

    pub(crate) fn parse(text: &str) -> Option<Self> {
        let valid = text.len() == 32 && text.bytes().all(|b| b.is_ascii_hexdigit());
        valid.then(|| Self(text.to_owned()))
    }

    pub(crate) fn as_str(&self) -> &str {
        &self.0
    }

    pub(crate) fn to_header(&self) -> HeaderValue {
        HeaderValue::from_str(&self.0).unwrap_or_else(|_| HeaderValue::from_static(""))
    }
}
