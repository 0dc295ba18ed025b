//! Stable assignment of objects to servers: a change of the server list moves few objects.
//!
//! Each slot of a server occupies one cell of a fixed number of cells. Which cell depends on the server's name only,
//! apart from rare collisions. Each object has its own pseudo-random order of all cells; its first choice is the server
//! of the first occupied cell in that order, and its further choices are the servers of the next ones. Shares are
//! therefore proportional to the slots. A server that is added takes over only the objects that meet one of its cells
//! first, and the objects of a server that is removed go to their next server.
//!
//! The order can be computed in both directions, so that a choice follows the order cell by cell in a large fleet, and
//! compares the ranks of all occupied cells in a small one.
//!
//! The result is a function of the list and the factors, so that VMs agree without messages. Nothing here does I/O or
//! reads a clock.

mod cell_order;
mod factors;
mod moves;
mod object_view;
mod stable_assignment;

pub use factors::quantised;
pub use moves::{MoveCounts, MoveTotals, moved_fraction};
pub use object_view::{ObjectChoiceView, ObjectView};
pub use stable_assignment::{AssignedServer, StableAssignment};
