use crate::ServerSpec;

/// Charges the budgets of a request to a server before the request is sent.
///
/// Closures `Fn(&ServerSpec) -> bool` implement the trait.
pub trait Charge {
    /// Charges one request to the budgets of the region and the link to `server`; returns `false`, without charging
    /// anything, if a budget is used up.
    fn charge(&self, server: &ServerSpec) -> bool;
}

impl<F: Fn(&ServerSpec) -> bool> Charge for F {
    fn charge(&self, server: &ServerSpec) -> bool {
        self(server)
    }
}
