use std::fmt::Debug;
use std::io;

use futures_util::future::ready;
use futures_util::stream::{Stream, StreamExt, iter};
use hyper::header::{HeaderName, HeaderValue};
use mh_edge::ServerStream;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio_util::bytes::BytesMut;
use tokio_util::codec::{BytesCodec, Decoder, FramedRead, LengthDelimitedCodec};
use tokio_util::io::StreamReader;

/// Header of a request for a tunnel, and of its answer, that states how the server's bytes are sent.
pub(crate) const FRAMING_HEADER: HeaderName = HeaderName::from_static("mangohook-tunnel");

/// Value of [`FRAMING_HEADER`]: frames with a length, of which an empty one marks the end of the server's bytes.
pub(crate) const FRAMED: HeaderValue = HeaderValue::from_static("frames");

/// Longest frame, in bytes.
pub(crate) const MAX_FRAME_BYTES: usize = 16 * 1024;

/// Returns the codec of the frames of a tunnel.
pub(crate) fn frame_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .length_field_type::<u16>()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

/// Returns the stream to a server behind the tunnel `vm`, of which `first` has been read already.
///
/// It ends only if the server has closed its connection. The operating system closes the connections of a killed process
/// as if it had ended them itself, so without frames an end says nothing about the server and is an error.
pub(super) fn server_stream(vm: TcpStream, first: &[u8], is_framed: bool) -> Box<dyn ServerStream> {
    let (from_vm, to_vm) = vm.into_split();
    if is_framed {
        let frames = with_lost_end(from_vm, first, frame_codec());
        let frames = frames.take_while(|frame| ready(!frame.as_ref().is_ok_and(BytesMut::is_empty)));
        Box::new(tokio::io::join(StreamReader::new(frames), to_vm))
    } else {
        let bytes = with_lost_end(from_vm, first, BytesCodec::new());
        Box::new(tokio::io::join(StreamReader::new(bytes), to_vm))
    }
}

/// Decodes what another VM sends; the end of its connection is an error.
fn with_lost_end<D: Decoder<Item = BytesMut, Error = io::Error> + Debug>(
    from_vm: OwnedReadHalf,
    first: &[u8],
    decoder: D,
) -> impl Stream<Item = io::Result<BytesMut>> + Debug + Unpin + use<D> {
    let mut read = FramedRead::new(from_vm, decoder);
    read.read_buffer_mut().extend_from_slice(first);
    let lost = io::Error::new(io::ErrorKind::ConnectionAborted, "the tunnel ended before the server");
    read.chain(iter([Err(lost)]))
}
