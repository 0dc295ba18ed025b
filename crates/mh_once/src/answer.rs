use bytes::{Bytes, BytesMut};

/// Bytes counted per answer in addition to its body and headers: the struct, its reference counts and its entry in the
/// operation table.
const ANSWER_OVERHEAD_BYTES: usize = 128;
/// Bytes counted per header in addition to its name and value: two `Bytes` handles.
const HEADER_OVERHEAD_BYTES: usize = 2 * size_of::<Bytes>();

/// A backend server's complete response to an operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Header names and values in the order received, without hop-by-hop headers.
    pub headers: Vec<(Bytes, Bytes)>,
    /// Response body.
    pub body: Bytes,
}

impl Answer {
    /// Size in bytes that counts towards the operation table's answer limits.
    pub fn memory_bytes(&self) -> usize {
        let headers = self
            .headers
            .iter()
            .map(|(name, value)| name.len() + value.len() + HEADER_OVERHEAD_BYTES);
        ANSWER_OVERHEAD_BYTES + headers.sum::<usize>() + self.body.len()
    }

    /// Copies the answer into one allocation of its exact size.
    ///
    /// A slice of a connection's read buffer keeps the whole buffer allocated, which the byte limit does not count.
    pub(crate) fn compact(&self) -> Self {
        let slices = || {
            self.headers
                .iter()
                .flat_map(|(name, value)| [name, value])
                .chain([&self.body])
        };
        let mut buf = BytesMut::with_capacity(slices().map(Bytes::len).sum());
        slices().for_each(|slice| buf.extend_from_slice(slice));
        let mut buf = buf.freeze();
        let headers = self
            .headers
            .iter()
            .map(|(name, value)| (buf.split_to(name.len()), buf.split_to(value.len())))
            .collect();
        Self {
            status: self.status,
            headers,
            body: buf,
        }
    }
}
