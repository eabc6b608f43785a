//! Forms of the values in a settings file.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;

use serde::de::{Deserialize, Deserializer, Error, Unexpected, Visitor};

use crate::{file, seeds};

/// A value of a key.
pub(crate) trait Value: Sized {
    /// Reads the value in any of its forms.
    fn read<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error>;
}

/// Value that is read in any of its forms.
pub(crate) struct Form<T>(pub T);

impl<'de, T: Value> Deserialize<'de> for Form<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Form<T>, D::Error> {
        T::read(deserializer).map(Form)
    }
}

/// Types with one form. Those of fractions read whole numbers too.
macro_rules! plain {
    ($($kind:ty),+) => {
        $( impl Value for $kind {
            fn read<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                <$kind>::deserialize(deserializer)
            }
        } )+
    };
}

plain!(f64, Arc<str>, SocketAddr, IpAddr, PathBuf, BTreeMap<Arc<str>, String>);
plain!(file::Level, file::Role);

/// Types of whole numbers, which may be written with a fraction of zero, as in `260.0`.
macro_rules! whole {
    ($($kind:ty),+) => {
        $( impl Value for $kind {
            fn read<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let number = deserializer.deserialize_any(Whole)?;
                let unexpected = Unexpected::Unsigned(number);
                <$kind>::try_from(number).map_err(|_| D::Error::invalid_value(unexpected, &Whole))
            }
        } )+
    };
}

whole!(u32, u64, usize);

impl<T: Value> Value for Option<T> {
    fn read<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        T::read(deserializer).map(Some)
    }
}

impl Value for Vec<SocketAddr> {
    fn read<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let values = Vec::<toml::Value>::deserialize(deserializer)?;
        Ok(values.iter().filter_map(seeds::address).collect())
    }
}

struct Whole;

impl Visitor<'_> for Whole {
    type Value = u64;

    fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("a whole number that is not negative")
    }

    fn visit_i64<E: Error>(self, number: i64) -> Result<u64, E> {
        u64::try_from(number).map_err(|_| E::invalid_value(Unexpected::Signed(number), &self))
    }

    fn visit_u64<E: Error>(self, number: u64) -> Result<u64, E> {
        Ok(number)
    }

    fn visit_f64<E: Error>(self, number: f64) -> Result<u64, E> {
        // NaN and the infinite numbers have no fraction of zero.
        if number.fract() == 0.0 && (0.0..=MAX_EXACT).contains(&number) {
            return Ok(number as u64);
        }
        Err(E::invalid_value(Unexpected::Float(number), &self))
    }
}

/// Maximum up to which a fraction holds each whole number.
const MAX_EXACT: f64 = 9_007_199_254_740_992.0;
