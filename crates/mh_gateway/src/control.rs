mod announce_loop;
mod datagram;
mod feed_loop;
mod known_server;
mod list_keeping;
mod member_loop;
mod quota_desk;
mod shift_desk;
mod shift_write;
mod world;

pub use world::World;

pub(crate) use datagram::Datagram;
pub(crate) use quota_desk::QuotaDesk;

pub(crate) use announce_loop::{announce, withdraw};
pub(crate) use feed_loop::follow;
pub(crate) use list_keeping::ListKeeping;
pub(crate) use member_loop::run_members;
