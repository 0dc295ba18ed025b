mod answering;
mod attempt;
mod body;
mod counters;
mod cx;
mod exchange;
mod forward;
mod gateway;
mod held_answer;
mod hold_budget;
mod in_use;
mod outgoing;
mod timings;
mod verdict;

pub use counters::Counters;
pub(crate) use counters::{add, add_lookup};
pub use gateway::Gateway;
pub(crate) use timings::Timings;
