//! Names turned into small ids and back.

use std::collections::BTreeMap;
use std::sync::Arc;

use cranelift_entity::{EntityRef, PrimaryMap};

/// Gives each name an id, which it keeps for the life of the table.
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
    /// The id of the name, a new one if the name is new.
    pub fn intern(&mut self, name: &Arc<str>) -> E {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let id = self.names.push(name.clone());
        self.ids.insert(name.clone(), id);
        id
    }

    /// The id of a known name.
    pub fn get(&self, name: &str) -> Option<E> {
        self.ids.get(name).copied()
    }

    /// The name of an id.
    pub fn name(&self, id: E) -> &Arc<str> {
        &self.names[id]
    }
}
