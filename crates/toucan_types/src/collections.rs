//! Aliases of the hash collections used by all crates.

/// Hash map with a fast hasher and a random seed per map.
pub type FastHashMap<K, V> = std::collections::HashMap<K, V, foldhash::fast::RandomState>;

/// Hash set with a fast hasher and a random seed per set.
pub type FastHashSet<T> = std::collections::HashSet<T, foldhash::fast::RandomState>;
