//! A growable arena with small `Copy` keys, which reuses freed slots.

use std::marker::PhantomData;

/// A typed index into an [`Arena`].
pub trait Key: Copy {
    /// Returns the key of the slot at `index`.
    fn from_index(index: usize) -> Self;

    /// Returns the index of the slot.
    fn index(self) -> usize;
}

/// Values of type `V` addressed by keys of type `K`.
#[derive(Clone, Debug)]
pub struct Arena<K, V> {
    slots: Vec<Option<V>>,
    free: Vec<usize>,
    keys: PhantomData<K>,
}

impl<K, V> Default for Arena<K, V> {
    fn default() -> Self {
        Arena {
            slots: Vec::new(),
            free: Vec::new(),
            keys: PhantomData,
        }
    }
}

impl<K, V> Arena<K, V>
where
    K: Key,
{
    /// Inserts `value` and returns its key.
    pub fn insert(&mut self, value: V) -> K {
        if let Some(index) = self.free.pop() {
            self.slots[index] = Some(value);
            return K::from_index(index);
        }
        self.slots.push(Some(value));
        K::from_index(self.slots.len() - 1)
    }

    /// Removes and returns the value of `key`. A later insertion may reuse the key.
    pub fn remove(&mut self, key: K) -> Option<V> {
        let value = self.slots.get_mut(key.index())?.take()?;
        self.free.push(key.index());
        Some(value)
    }

    /// Returns the value of `key`, if present.
    pub fn get(&self, key: K) -> Option<&V> {
        self.slots.get(key.index())?.as_ref()
    }

    /// Returns the value of `key` for modification, if present.
    pub fn get_mut(&mut self, key: K) -> Option<&mut V> {
        self.slots.get_mut(key.index())?.as_mut()
    }

    /// Iterates over keys and values in the order of their slots.
    pub fn iter(&self) -> impl Iterator<Item = (K, &V)> {
        self.slots
            .iter()
            .enumerate()
            .filter_map(|(i, v)| v.as_ref().map(|v| (K::from_index(i), v)))
    }

    /// Iterates over keys and mutable values in the order of their slots.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (K, &mut V)> {
        self.slots
            .iter_mut()
            .enumerate()
            .filter_map(|(i, v)| v.as_mut().map(|v| (K::from_index(i), v)))
    }

    /// Returns the number of values.
    pub fn len(&self) -> usize {
        self.slots.len() - self.free.len()
    }

    /// Returns true when the arena has no values.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
