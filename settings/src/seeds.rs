//! Seeds that are not an IP address and a port. They are left out, because a seed may be stale, and
//! the others are enough to start with.

use std::net::SocketAddr;

/// Number of seeds, and of characters of each, that a log line shows.
const MAX_SHOWN: (usize, usize) = (3, 64);

/// Seeds of a settings file that are left out, as the file has them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LeftOut(Vec<String>);

impl LeftOut {
    /// Returns the seeds that are left out of those in a section; `""` stands for the top level.
    pub(crate) fn of(text: &str, section: &str) -> LeftOut {
        let Ok(table) = text.parse::<toml::Table>() else { return LeftOut::default() };
        let section = match section {
            "" => Some(&table),
            name => table.get(name).and_then(toml::Value::as_table),
        };
        let seeds = section.and_then(|table| table.get("seeds")?.as_array());
        let wrong = seeds.into_iter().flatten().filter(|seed| address(seed).is_none());
        let text = |seed: &toml::Value| seed.as_str().map_or(seed.to_string(), str::to_owned);
        LeftOut(wrong.map(text).collect())
    }

    /// Returns whether no seed is left out.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Writes a log line if seeds are left out.
    pub fn log(&self) {
        if self.is_empty() {
            return;
        }
        let (seeds, length) = MAX_SHOWN;
        let shown = self.0.iter().take(seeds);
        let shown: Vec<String> = shown.map(|seed| seed.chars().take(length).collect()).collect();
        let count = self.0.len();
        log::warn!(
            "seeds left out count={count} seeds={shown:?} reason=not-an-address-and-port \
             next=use-others"
        );
    }
}

/// Returns the address of a seed, or `None` if it is none.
pub(crate) fn address(seed: &toml::Value) -> Option<SocketAddr> {
    seed.as_str()?.parse().ok()
}
