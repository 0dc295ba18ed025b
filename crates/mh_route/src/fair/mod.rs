//! Max-min fair division of capacity among organisations when demand exceeds it.
//!
//! ```
//! use mh_route::fair::{Demand, max_min};
//!
//! let demands = [Demand { amount: 10.0, weight: 1.0 }, Demand { amount: 90.0, weight: 1.0 }];
//! assert_eq!(max_min(60.0, &demands), [10.0, 50.0]);
//! ```

mod admission;
mod water_filling;

pub use admission::FairAdmission;
pub use water_filling::{Demand, max_min};
