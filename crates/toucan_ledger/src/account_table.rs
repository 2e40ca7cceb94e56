//! Compact table of the accounts of one stream.

use std::hash::BuildHasher;
use std::ops::{Index, IndexMut};

use foldhash::fast::RandomState;
use toucan_types::BudgetName;

use crate::account::Account;

/// Number of accounts in one chunk; growth never copies or reserves more than one chunk.
const CHUNK_ACCOUNTS: usize = 1024;
/// Marks an empty bucket of the index.
const EMPTY_BUCKET: u32 = u32::MAX;

#[derive(Clone, Debug)]
struct Entry {
    name: BudgetName,
    account: Account,
}

/// Compact table of the accounts of one stream, by index and by name.
///
/// A hash map of names beside a vector of accounts would store each name twice and keep up to half
/// of its buckets empty; at 660,000 budgets that is most of the memory. Accounts are never removed.
#[derive(Clone, Debug, Default)]
pub(crate) struct AccountTable {
    chunks: Vec<Vec<Entry>>,
    len: u32,
    /// Open addressing with linear probing; at most three quarters full, length a power of two.
    buckets: Vec<u32>,
    hasher: RandomState,
}

impl AccountTable {
    pub(crate) fn len(&self) -> u32 {
        self.len
    }

    pub(crate) fn name(&self, index: u32) -> &BudgetName {
        &self.entry(index).name
    }

    pub(crate) fn find(&self, name: &BudgetName) -> Option<u32> {
        if self.buckets.is_empty() {
            return None;
        }
        let mut bucket = self.home_bucket(name);
        loop {
            let index = self.buckets[bucket];
            if index == EMPTY_BUCKET {
                return None;
            }
            if self.name(index) == name {
                return Some(index);
            }
            bucket = (bucket + 1) & (self.buckets.len() - 1);
        }
    }

    pub(crate) fn find_or_new(&mut self, name: &BudgetName) -> u32 {
        if let Some(index) = self.find(name) {
            return index;
        }
        let index = self.len;
        if self
            .chunks
            .last()
            .is_none_or(|chunk| chunk.len() == CHUNK_ACCOUNTS)
        {
            self.chunks.push(Vec::new());
        }
        let entry = Entry {
            name: name.clone(),
            account: Account::default(),
        };
        if let Some(chunk) = self.chunks.last_mut() {
            chunk.push(entry);
        }
        self.len += 1;
        if self.buckets.len() / 4 * 3 <= self.len as usize {
            self.grow_index();
        } else {
            self.insert_index(index);
        }
        index
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&BudgetName, &Account)> + '_ {
        let entries = self.chunks.iter().flatten();
        entries.map(|entry| (&entry.name, &entry.account))
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (u32, &mut Account)> + '_ {
        let entries = self.chunks.iter_mut().flatten();
        (0..).zip(entries.map(|entry| &mut entry.account))
    }

    fn entry(&self, index: u32) -> &Entry {
        &self.chunks[index as usize / CHUNK_ACCOUNTS][index as usize % CHUNK_ACCOUNTS]
    }

    fn home_bucket(&self, name: &BudgetName) -> usize {
        // The mask keeps only the low bits, which the cast preserves.
        self.hasher.hash_one(name) as usize & (self.buckets.len() - 1)
    }

    fn insert_index(&mut self, index: u32) {
        let mut bucket = self.home_bucket(self.name(index));
        while self.buckets[bucket] != EMPTY_BUCKET {
            bucket = (bucket + 1) & (self.buckets.len() - 1);
        }
        self.buckets[bucket] = index;
    }

    fn grow_index(&mut self) {
        self.buckets = vec![EMPTY_BUCKET; (self.buckets.len() * 2).max(16)];
        for index in 0..self.len {
            self.insert_index(index);
        }
    }
}

impl Index<u32> for AccountTable {
    type Output = Account;

    fn index(&self, index: u32) -> &Account {
        &self.entry(index).account
    }
}

impl IndexMut<u32> for AccountTable {
    fn index_mut(&mut self, index: u32) -> &mut Account {
        &mut self.chunks[index as usize / CHUNK_ACCOUNTS][index as usize % CHUNK_ACCOUNTS].account
    }
}
