//! Dense maps with entity ids as keys.

use std::fmt;
use std::marker::PhantomData;

use crate::entity;

/// Map from an entity id to a value, stored densely by index.
#[derive(Clone)]
pub struct EntityMap<K, V> {
    /// Slot of each index. Invariant: `len` of them are `Some`.
    slots: Vec<Option<V>>,
    len: usize,
    key: PhantomData<K>,
}

impl<K, V> EntityMap<K, V>
where
    K: entity::Entity,
{
    /// Creates an empty map.
    #[must_use]
    pub fn new() -> Self {
        Self {
            slots: Vec::new(),
            len: 0,
            key: PhantomData,
        }
    }

    /// Number of entities in the map.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether the map contains no entity.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Value of an entity.
    #[must_use]
    pub fn get(&self, key: K) -> Option<&V> {
        self.slots.get(key.index())?.as_ref()
    }

    /// Mutable value of an entity.
    pub fn get_mut(&mut self, key: K) -> Option<&mut V> {
        self.slots.get_mut(key.index())?.as_mut()
    }

    /// Whether the map contains the entity.
    #[must_use]
    pub fn contains(&self, key: K) -> bool {
        self.get(key).is_some()
    }

    /// Sets the value of an entity and returns the previous one.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        let slot = self.slot(key);
        let former = slot.replace(value);
        if former.is_none() {
            self.len += 1;
        }
        former
    }

    /// Removes an entity and returns its value.
    pub fn remove(&mut self, key: K) -> Option<V> {
        let former = self.slots.get_mut(key.index())?.take();
        if former.is_some() {
            self.len -= 1;
        }
        former
    }

    /// Mutable value of an entity. Inserts the result of `make` if the map has no value for it.
    pub fn get_or_insert_with<F>(&mut self, key: K, make: F) -> &mut V
    where
        F: FnOnce() -> V,
    {
        if !self.contains(key) {
            self.len += 1;
        }
        self.slot(key).get_or_insert_with(make)
    }

    /// Entities and values in order of id.
    pub fn iter(&self) -> impl Iterator<Item = (K, &V)> {
        self.slots
            .iter()
            .enumerate()
            .filter_map(|(i, slot)| Some((K::from_index(i), slot.as_ref()?)))
    }

    /// Entities and mutable values in order of id.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (K, &mut V)> {
        self.slots
            .iter_mut()
            .enumerate()
            .filter_map(|(i, slot)| Some((K::from_index(i), slot.as_mut()?)))
    }

    /// Entities in order of id.
    pub fn keys(&self) -> impl Iterator<Item = K> {
        self.iter().map(|(key, _)| key)
    }

    /// Values in order of id.
    pub fn values(&self) -> impl Iterator<Item = &V> {
        self.iter().map(|(_, value)| value)
    }

    /// Removes the entities for which `keep` returns false.
    pub fn retain<F>(&mut self, mut keep: F)
    where
        F: FnMut(K, &mut V) -> bool,
    {
        for (i, slot) in self.slots.iter_mut().enumerate() {
            let Some(value) = slot else { continue };
            if !keep(K::from_index(i), value) {
                *slot = None;
                self.len -= 1;
            }
        }
    }

    fn slot(&mut self, key: K) -> &mut Option<V> {
        let index = key.index();
        if self.slots.len() <= index {
            self.slots.resize_with(index + 1, || None);
        }
        &mut self.slots[index]
    }
}

impl<K, V> Default for EntityMap<K, V>
where
    K: entity::Entity,
{
    fn default() -> Self {
        Self::new()
    }
}

impl<K, V> FromIterator<(K, V)> for EntityMap<K, V>
where
    K: entity::Entity,
{
    fn from_iter<I>(entries: I) -> Self
    where
        I: IntoIterator<Item = (K, V)>,
    {
        let mut map = Self::new();
        for (key, value) in entries {
            map.insert(key, value);
        }
        map
    }
}

impl<K, V> fmt::Debug for EntityMap<K, V>
where
    K: entity::Entity + fmt::Debug,
    V: fmt::Debug,
{
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_map().entries(self.iter()).finish()
    }
}
