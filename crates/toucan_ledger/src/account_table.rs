//! Compact table of the accounts of one stream.

use std::hash::BuildHasher;
use std::ops::{Index, IndexMut};

use foldhash::fast::RandomState;
use toucan_types::BudgetName;

use crate::account::Account;

/// Number of accounts in one chunk; growth never copies or reserves more than one chunk.
const CHUNK: usize = 1024;
/// Marks an empty bucket of the index.
const EMPTY: u32 = u32::MAX;

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
    places: Vec<u32>,
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
        if self.places.is_empty() {
            return None;
        }
        let mut place = self.first_place(name);
        loop {
            let index = self.places[place];
            if index == EMPTY {
                return None;
            }
            if self.name(index) == name {
                return Some(index);
            }
            place = (place + 1) & (self.places.len() - 1);
        }
    }

    pub(crate) fn find_or_new(&mut self, name: &BudgetName) -> u32 {
        if let Some(index) = self.find(name) {
            return index;
        }
        let index = self.len;
        if self.chunks.last().is_none_or(|chunk| chunk.len() == CHUNK) {
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
        if self.places.len() / 4 * 3 <= self.len as usize {
            self.grow();
        } else {
            self.place(index);
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
        &self.chunks[index as usize / CHUNK][index as usize % CHUNK]
    }

    fn first_place(&self, name: &BudgetName) -> usize {
        // The mask keeps only the low bits, which the cast preserves.
        self.hasher.hash_one(name) as usize & (self.places.len() - 1)
    }

    fn place(&mut self, index: u32) {
        let mut place = self.first_place(self.name(index));
        while self.places[place] != EMPTY {
            place = (place + 1) & (self.places.len() - 1);
        }
        self.places[place] = index;
    }

    fn grow(&mut self) {
        self.places = vec![EMPTY; (self.places.len() * 2).max(16)];
        for index in 0..self.len {
            self.place(index);
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
        &mut self.chunks[index as usize / CHUNK][index as usize % CHUNK].account
    }
}
