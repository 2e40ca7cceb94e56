//! Selects the route of a call by host and longest path prefix.

use std::rc::Rc;

use toucan_types::FastHashMap;

use super::Route;

/// Routes by host, each host's sorted by falling length of prefix.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    by_host: FastHashMap<String, Vec<Rc<Route>>>,
    len: usize,
}

impl RouteTable {
    /// The table of some routes.
    pub fn new(routes: impl IntoIterator<Item = Route>) -> Self {
        let mut table = Self::default();
        for route in routes {
            table.len += 1;
            table
                .by_host
                .entry(route.host.clone())
                .or_default()
                .push(Rc::new(route));
        }
        for routes in table.by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        table
    }

    /// The route with the longest prefix that begins `path`, of those of `host`.
    ///
    /// The host may carry a port, and its case does not matter.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let name = host.split(':').next().unwrap_or(host);
        let routes = match self.by_host.get(name) {
            Some(routes) => routes,
            None => self.by_host.get(&name.to_ascii_lowercase())?,
        };
        routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// Count of routes.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Whether there are no routes.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }
}
