//! Interning of names as small integer ids.

use std::collections::BTreeMap;
use std::sync::Arc;

use cranelift_entity::{EntityRef, PrimaryMap};

/// A table of names and their ids. A name keeps its id for the lifetime of the table.
#[derive(Debug, Clone)]
pub struct Table<E: EntityRef> {
    ids: BTreeMap<Arc<str>, E>,
    names: PrimaryMap<E, Arc<str>>,
}

impl<E: EntityRef> Default for Table<E> {
    fn default() -> Table<E> {
        Table { ids: BTreeMap::new(), names: PrimaryMap::new() }
    }
}

impl<E: EntityRef> Table<E> {
    /// Returns the id of a name, and assigns one if the name is new.
    pub fn intern(&mut self, name: &Arc<str>) -> E {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let id = self.names.push(name.clone());
        self.ids.insert(name.clone(), id);
        id
    }

    /// Returns the id of a name, if it is in the table.
    pub fn get(&self, name: &str) -> Option<E> {
        self.ids.get(name).copied()
    }

    /// Returns the name of an id.
    pub fn name(&self, id: E) -> &Arc<str> {
        &self.names[id]
    }
}
