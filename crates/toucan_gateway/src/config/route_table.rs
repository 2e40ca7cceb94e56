//! Finds the route of a call by host and longest path prefix.

use std::rc::Rc;

use toucan_types::FastHashMap;

use super::Route;

/// Routes by host, in descending order of prefix length.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    by_host: FastHashMap<String, Vec<Rc<Route>>>,
    len: usize,
}

impl RouteTable {
    /// Creates a table of the given routes.
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

    /// Returns the route of `host` with the longest prefix of `path`.
    ///
    /// The host may include a port and is matched without regard to case.
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

    /// Returns the number of routes.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Returns whether there are no routes.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }
}
