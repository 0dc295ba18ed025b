mod announce_loop;
mod datagram;
mod feed_loop;
mod feed_states;
mod known_server;
mod load_reports;
mod made_of;
mod member_loop;
mod news;
mod quota_controller;
mod relay;
mod shift_controller;
mod shift_write;
mod stale_vms;
mod world;

pub use world::World;

pub(crate) use datagram::{Datagram, encode};
pub(crate) use quota_controller::QuotaController;

pub(crate) use announce_loop::{announce, withdraw};
pub(crate) use feed_loop::follow;
pub(crate) use member_loop::run_members;
pub(crate) use relay::{CHANGES_PATH, Relay, parse_query};
pub(crate) use stale_vms::StaleVms;
