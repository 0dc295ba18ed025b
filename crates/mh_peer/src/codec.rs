use bytes::Bytes;
use capnp::struct_list;
use mh_types::Incarnation;

use crate::peer_capnp::{header, hello, part};
use crate::{Hello, Part};

/// Largest number of parts or headers in one message.
const MAX_LIST_LEN: u32 = 4096;

fn check_list_len(len: u32) -> capnp::Result<()> {
    if len > MAX_LIST_LEN {
        return Err(capnp::Error::failed(format!(
            "a list has {len} entries, more than {MAX_LIST_LEN}"
        )));
    }
    Ok(())
}

pub(crate) fn read_hello(from: hello::Reader<'_>) -> capnp::Result<Hello> {
    Ok(Hello {
        protocol: from.get_protocol(),
        vm: from.get_vm()?.to_str()?.into(),
        incarnation: Incarnation(from.get_incarnation()),
        domain: from.get_domain()?.to_str()?.into(),
    })
}

pub(crate) fn write_hello(hello: &Hello, mut to: hello::Builder<'_>) {
    to.set_protocol(hello.protocol);
    to.set_vm(hello.vm.as_str());
    to.set_incarnation(hello.incarnation.0);
    to.set_domain(hello.domain.as_str());
}

pub(crate) fn read_parts(from: struct_list::Reader<'_, part::Owned>) -> capnp::Result<Vec<Part>> {
    check_list_len(from.len())?;
    from.iter()
        .map(|p| {
            Ok(Part {
                kind: p.get_kind(),
                body: Bytes::copy_from_slice(p.get_body()?),
            })
        })
        .collect()
}

pub(crate) fn write_parts(parts: &[Part], mut to: struct_list::Builder<'_, part::Owned>) {
    for (i, part) in (0..).zip(parts) {
        let mut out = to.reborrow().get(i);
        out.set_kind(part.kind);
        out.set_body(&part.body);
    }
}

pub(crate) fn read_headers(from: struct_list::Reader<'_, header::Owned>) -> capnp::Result<Vec<(String, Bytes)>> {
    check_list_len(from.len())?;
    from.iter()
        .map(|h| Ok((h.get_name()?.to_string()?, Bytes::copy_from_slice(h.get_value()?))))
        .collect()
}

pub(crate) fn write_headers(headers: &[(String, Bytes)], mut to: struct_list::Builder<'_, header::Owned>) {
    for (i, (name, value)) in (0..).zip(headers) {
        let mut out = to.reborrow().get(i);
        out.set_name(name.as_str());
        out.set_value(value);
    }
}
