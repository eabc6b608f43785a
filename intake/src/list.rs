//! Lists whose elements are read one by one, so that an element that cannot be read does not void
//! the others.

use std::fmt;
use std::marker::PhantomData;

use serde::de::{DeserializeOwned, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};

/// A list without the elements that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Readable<T> {
    /// The elements that can be read.
    pub items: Vec<T>,
    /// Number of the others.
    pub left_out: usize,
    /// Why the first of the others cannot be read.
    pub fault: Option<String>,
}

impl<T> Default for Readable<T> {
    fn default() -> Readable<T> {
        Readable { items: Vec::new(), left_out: 0, fault: None }
    }
}

impl<'de, T: DeserializeOwned> Deserialize<'de> for Readable<T> {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Readable<T>, D::Error> {
        struct List<T>(PhantomData<T>);

        impl<'de, T: DeserializeOwned> Visitor<'de> for List<T> {
            type Value = Readable<T>;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a list")
            }

            fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<Readable<T>, A::Error> {
                let mut readable = Readable::default();
                while let Some(value) = list.next_element::<serde_json::Value>()? {
                    match serde_json::from_value(value) {
                        Ok(item) => readable.items.push(item),
                        Err(error) => {
                            readable.left_out += 1;
                            readable.fault.get_or_insert_with(|| error.to_string());
                        }
                    }
                }
                Ok(readable)
            }
        }

        from.deserialize_seq(List(PhantomData))
    }
}
