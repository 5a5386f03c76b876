//! A growable arena with small `Copy` keys, which reuses freed slots under new keys.

use std::marker::PhantomData;

/// Bits of a key that hold the index of its slot; the others count how often the slot was reused.
const INDEX_BITS: u32 = 20;

/// A typed key of an [`Arena`].
pub trait Key: Copy {
    /// Returns the key with this number.
    fn from_number(number: u32) -> Self;

    /// Returns the number of the key.
    fn number(self) -> u32;
}

fn index_of(number: u32) -> usize {
    (number & ((1 << INDEX_BITS) - 1)) as usize
}

/// A value, or none, and the number of the key that it has or that the next one gets.
#[derive(Clone, Debug)]
struct Slot<V> {
    number: u32,
    value: Option<V>,
}

/// Values of type `V` addressed by keys of type `K`. The key of a removed value finds nothing, until
/// its slot has been reused some thousand times.
#[derive(Clone, Debug)]
pub struct Arena<K, V> {
    slots: Vec<Slot<V>>,
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
        let index = self.free.pop().unwrap_or_else(|| {
            self.slots.push(Slot {
                number: self.slots.len() as u32,
                value: None,
            });
            self.slots.len() - 1
        });
        let slot = &mut self.slots[index];
        slot.value = Some(value);
        K::from_number(slot.number)
    }

    /// Removes and returns the value of `key`.
    pub fn remove(&mut self, key: K) -> Option<V> {
        let index = index_of(key.number());
        let slot = self.slots.get_mut(index)?;
        if slot.number != key.number() {
            return None;
        }
        let value = slot.value.take()?;
        slot.number = slot.number.wrapping_add(1 << INDEX_BITS);
        self.free.push(index);
        Some(value)
    }

    /// Returns the value of `key`, if present.
    pub fn get(&self, key: K) -> Option<&V> {
        let slot = self.slots.get(index_of(key.number()))?;
        let slot = (slot.number == key.number()).then_some(slot);
        slot?.value.as_ref()
    }

    /// Returns the value of `key` for modification, if present.
    pub fn get_mut(&mut self, key: K) -> Option<&mut V> {
        let slot = self.slots.get_mut(index_of(key.number()))?;
        let slot = (slot.number == key.number()).then_some(slot);
        slot?.value.as_mut()
    }

    /// Iterates over keys and values in the order of their slots.
    pub fn iter(&self) -> impl Iterator<Item = (K, &V)> {
        let slots = self.slots.iter();
        slots.filter_map(|s| s.value.as_ref().map(|v| (K::from_number(s.number), v)))
    }

    /// Iterates over keys and mutable values in the order of their slots.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (K, &mut V)> {
        let slots = self.slots.iter_mut();
        slots.filter_map(|s| {
            let number = s.number;
            s.value.as_mut().map(|v| (K::from_number(number), v))
        })
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
