use std::collections::HashMap;
use std::sync::Arc;

use arcstr::ArcStr;
use mh_types::RouteName;

use crate::CompiledRoute;

/// Index of routes that finds the one with the longest matching path prefix, by whole segments.
///
/// A lookup probes one hash entry per segment of the path, so its cost does not grow with the number of routes.
#[derive(Debug, Default)]
pub struct RouteTable {
    by_prefix: HashMap<ArcStr, Vec<Arc<CompiledRoute>>>,
    by_name: HashMap<RouteName, Arc<CompiledRoute>>,
}

impl RouteTable {
    /// Builds the table; of two routes with the same prefix and method the one created first takes precedence.
    pub fn new(mut routes: Vec<Arc<CompiledRoute>>) -> Self {
        routes.sort_by(|a, b| (a.created, &a.name).cmp(&(b.created, &b.name)));
        let by_name = routes
            .iter()
            .map(|route| (route.name.clone(), Arc::clone(route)))
            .collect();
        let mut by_prefix: HashMap<ArcStr, Vec<Arc<CompiledRoute>>> = HashMap::new();
        for route in routes {
            by_prefix.entry(route.prefix.clone()).or_default().push(route);
        }
        Self { by_prefix, by_name }
    }

    /// The route that matches a request.
    pub fn find(&self, method: &str, path: &str) -> Option<&Arc<CompiledRoute>> {
        let mut prefix = path.trim_end_matches('/');
        loop {
            let route = self
                .by_prefix
                .get(prefix)
                .and_then(|routes| routes.iter().find(|r| r.allows_method(method)));
            if route.is_some() || prefix.is_empty() {
                return route;
            }
            prefix = &prefix[..prefix.rfind('/').unwrap_or(0)];
        }
    }

    /// The route with this name.
    pub fn by_name(&self, name: &RouteName) -> Option<&Arc<CompiledRoute>> {
        self.by_name.get(name)
    }

    /// Every route.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<CompiledRoute>> {
        self.by_prefix.values().flatten()
    }
}
