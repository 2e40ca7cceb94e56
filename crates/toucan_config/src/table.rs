//! Map of named entries that preserves the order of the text.

use std::borrow::Borrow;
use std::hash::Hash;

use toucan_types::FastHashMap;

/// Map of named entries that preserves the order of the text; lookup takes constant time.
#[derive(Clone, Debug)]
pub struct Table<K, V> {
    entries: Vec<(K, V)>,
    index: FastHashMap<K, u32>,
}

impl<K, V> Default for Table<K, V> {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            index: FastHashMap::default(),
        }
    }
}

impl<K: Clone + Eq + Hash, V> Table<K, V> {
    /// Returns the entry with this name.
    pub fn get<Q>(&self, name: &Q) -> Option<&V>
    where
        K: Borrow<Q>,
        Q: Eq + Hash + ?Sized,
    {
        let at = *self.index.get(name)?;
        Some(&self.entries[at as usize].1)
    }

    /// Returns whether there is an entry with this name.
    pub fn contains<Q>(&self, name: &Q) -> bool
    where
        K: Borrow<Q>,
        Q: Eq + Hash + ?Sized,
    {
        self.index.contains_key(name)
    }

    /// Iterates over names and entries in the order of the text.
    pub fn iter(&self) -> impl ExactSizeIterator<Item = (&K, &V)> {
        self.entries.iter().map(|(name, entry)| (name, entry))
    }

    /// Iterates over the names in the order of the text.
    pub fn names(&self) -> impl ExactSizeIterator<Item = &K> {
        self.entries.iter().map(|(name, _)| name)
    }

    /// Iterates over the entries in the order of the text.
    pub fn values(&self) -> impl ExactSizeIterator<Item = &V> {
        self.entries.iter().map(|(_, entry)| entry)
    }

    /// Returns the number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table has no entries.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Adds an entry unless the name exists or the table is full; returns whether it was added.
    pub(crate) fn insert(&mut self, name: K, entry: V) -> bool {
        let Ok(at) = u32::try_from(self.entries.len()) else {
            return false;
        };
        if self.index.contains_key(name.borrow()) {
            return false;
        }
        self.index.insert(name.clone(), at);
        self.entries.push((name, entry));
        true
    }
}
