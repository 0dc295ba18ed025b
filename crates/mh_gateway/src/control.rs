mod announce_loop;
mod backend_inputs;
mod capacity_reports;
mod control_state;
mod datagram;
mod demand_reports;
mod deployment_state;
mod feed_loop;
mod feed_outage;
mod feed_states;
mod known_server;
mod limit_messages;
mod load_reports;
mod member_loop;
mod origin;
mod quota_controller;
mod reader_report;
mod relay;
mod repeated_read;
mod shift_controller;
mod shift_writer;
mod stale_vms;
mod usage_loop;

pub use deployment_state::DeploymentState;

pub(crate) use capacity_reports::Capacities;
pub(crate) use control_state::ControlState;
pub(crate) use datagram::{Datagram, encode};
pub(crate) use origin::Origin;
pub(crate) use quota_controller::QuotaController;

pub(crate) use announce_loop::{announce, withdraw};
pub(crate) use feed_loop::follow_feed;
pub(crate) use load_reports::LoadClocks;
pub(crate) use member_loop::run_membership;
pub(crate) use relay::{CHANGES_PATH, Relay, parse_changes_query};
pub(crate) use stale_vms::StaleVms;
pub(crate) use usage_loop::{UsageDuty, UsageView, run_usage};
