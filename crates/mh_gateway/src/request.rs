mod active_connection;
mod answer_kind;
mod attempt;
mod body;
mod buffer_budget;
mod buffered_answer;
mod counters;
mod exchange;
mod forward;
mod gateway;
mod outgoing;
mod request_context;
mod streamed_answer;
mod timings;

pub use counters::Counters;
pub(crate) use counters::{count_lookup, increment};
pub use gateway::Gateway;
pub(crate) use timings::Timings;
