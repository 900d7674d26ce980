//! Append-only arenas indexed by typed `u32` keys.

use std::marker::PhantomData;

/// Typed index into an [`Arena`].
///
/// The type ties a key to a kind of item, not to one particular arena.
pub trait Key: Copy {
    /// Returns the key of the item at `index`.
    fn from_index(index: u32) -> Self;
    /// Returns the position of the item in its arena.
    fn index(self) -> usize;
}

/// Defines a `Copy` newtype over `u32` that implements [`Key`].
#[macro_export]
macro_rules! arena_key {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub struct $name(u32);

        impl $crate::arena::Key for $name {
            fn from_index(index: u32) -> Self {
                Self(index)
            }

            fn index(self) -> usize {
                self.0 as usize
            }
        }
    };
}

/// List of items addressed by typed keys; items are never removed, so keys stay valid.
#[derive(Clone, Debug)]
pub struct Arena<K, T> {
    items: Vec<T>,
    marker: PhantomData<K>,
}

impl<K, T> Default for Arena<K, T> {
    fn default() -> Self {
        Self { items: Vec::new(), marker: PhantomData }
    }
}

impl<K, T> Arena<K, T>
where
    K: Key,
{
    /// Adds an item and returns its key.
    pub fn push(&mut self, item: T) -> K {
        let key = K::from_index(self.items.len() as u32);
        self.items.push(item);
        key
    }

    /// Returns the item at `key`, or `None` when the index is out of range.
    pub fn get(&self, key: K) -> Option<&T> {
        self.items.get(key.index())
    }

    /// Returns the item at `key` for modification, or `None` when the index is out of range.
    pub fn get_mut(&mut self, key: K) -> Option<&mut T> {
        self.items.get_mut(key.index())
    }

    /// Returns the number of items.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns whether the arena has no items.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Iterates over all items with their keys, in insertion order.
    pub fn iter(&self) -> impl Iterator<Item = (K, &T)> {
        self.items.iter().enumerate().map(|(index, item)| (K::from_index(index as u32), item))
    }

    /// Returns the first item that satisfies `predicate`, with its key.
    pub fn find<F>(&self, predicate: F) -> Option<(K, &T)>
    where
        F: Fn(&T) -> bool,
    {
        self.iter().find(|(_, item)| predicate(item))
    }
}

impl<K, T> std::ops::Index<K> for Arena<K, T>
where
    K: Key,
{
    type Output = T;

    fn index(&self, key: K) -> &T {
        &self.items[key.index()]
    }
}

impl<K, T> std::ops::IndexMut<K> for Arena<K, T>
where
    K: Key,
{
    fn index_mut(&mut self, key: K) -> &mut T {
        &mut self.items[key.index()]
    }
}
