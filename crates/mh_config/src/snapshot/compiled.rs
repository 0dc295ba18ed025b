mod drain;
mod key;
mod org;
mod route;
mod service;
mod shift;

pub use drain::CompiledDrain;
pub use key::CompiledKey;
pub use org::CompiledOrg;
pub use route::CompiledRoute;
pub use service::{CompiledServer, CompiledService};
pub use shift::CompiledShift;

/// Prefixes `name` with `team`, unless it already has a team.
fn qualify(team: &str, name: &str) -> String {
    if name.contains('/') {
        name.to_owned()
    } else {
        format!("{team}/{name}")
    }
}
