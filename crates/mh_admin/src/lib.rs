//! HTTP server of the admin port: settings, status, state dump and metrics for operators.
//!
//! [`serve`] passes each request to an [`AdminApi`] and responds with JSON. Errors are problem documents with numbered
//! result codes, as on the caller port.
//!
//! ```
//! use mh_admin::AdminError;
//! use mh_types::Code;
//!
//! let error = AdminError::new(Code::RevisionConflict, "revision 7 by ana changed it");
//! assert_eq!(error.code.status(), 409);
//! ```

mod api;
mod error;
mod metrics;
mod serve;

pub use api::{AdminApi, BoxFuture, ChangeReply, SetRequest};
pub use error::AdminError;
pub use metrics::{Metric, Metrics};
pub use serve::serve;
