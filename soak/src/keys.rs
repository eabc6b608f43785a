//! Keys and items of another writer in the store.

use std::time::Duration;

use loftcove_tests::system::System;
use rand::Rng as _;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng as _;
use serde_json::json;

use crate::plan::{Event, Fault, Size};

/// Prefixes of the entries of servers, of what operators write, and of loftcove's own records.
const PREFIXES: [&str; 3] = ["servers/", "op/", "loftcove/"];
/// First letters of names. They sort before, between and after the names of the system's own keys.
const FIRST_LETTERS: [char; 5] = ['a', 'd', 'p', 'r', 'z'];
/// Texts that are invalid or have a meaning in URIs, queries, paths or log lines.
const TEXTS: [&str; 12] = [
    "%",
    "%23",
    "%2F",
    "%C3%A9",
    "%zz",
    "&b=",
    "&path_prefix=op/",
    "&after_rev=",
    "//",
    "../",
    " key=forged",
    "\r\n",
];
/// Maximum size of a key, bytes.
pub const MAX_KEY: usize = 200;
/// Range of the number of keys under each prefix.
const COUNT: std::ops::Range<usize> = 3..10;

/// Mean time between two batches.
const INTERVAL: Duration = Duration::from_millis(2_500);
/// Range of the duration of a batch.
const DURATION_MS: std::ops::Range<u64> = 200..3_500;
/// Value that is XORed with the seed for batches, as in [`crate::plan`].
const SEED: u64 = 0x2b;

/// Keys and items that are written at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Batch {
    /// Seed of the keys and items.
    pub seed: u64,
    /// Number of items on a page of a listing, until the end of the fault.
    pub page_items: u8,
    /// Whether the store answers each watch that its history is gone, until the end of the fault.
    pub relists: bool,
    /// Whether all processes without a fault are killed and restarted at once.
    pub restarts: bool,
    /// Whether the keys and items are left in the store at the end of the fault, so that the system
    /// has to recover beside them.
    pub remains: bool,
}

impl Batch {
    /// Returns the keys, each with the text that the store lists in place of its item, if any.
    pub fn keys(&self) -> Vec<(String, Option<String>)> {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let mut keys = Vec::new();
        for prefix in PREFIXES {
            for _ in 0..rng.random_range(COUNT) {
                // The number keeps drawn keys apart from each other and from the system's own.
                let key = key(&mut rng, prefix, keys.len());
                let item = rng.random_bool(0.5).then(|| item(&mut rng, &key));
                keys.push((key, item));
            }
        }
        keys
    }

    /// Writes the keys and items, and sets how the store lists them.
    pub async fn write(&self, system: &System) {
        system.store_control(&format!("page?items={}", self.page_items)).await;
        for (key, item) in self.keys() {
            // The stand-in reports the item of a change as it is at the time of the change.
            if let Some(item) = item {
                system.replace_item(&key, &item).await;
            }
            system.put_foreign(&key, "[\"of another writer\"]").await;
        }
        if self.relists {
            system.store_control("fault/no-history").await;
        }
    }

    /// Reverts [`Batch::write`]. The keys are left if they remain.
    pub async fn remove(&self, system: &System) {
        system.store_control("page").await;
        if self.relists {
            system.store_control("fault/none").await;
        }
        if self.remains {
            return;
        }
        for (key, _) in self.keys() {
            system.replace_item(&key, "").await;
            system.remove(&key).await;
        }
    }
}

/// Draws batches of keys and items.
pub fn draw(seed: u64, size: &Size) -> Vec<Event> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ SEED);
    let count = (size.time.as_secs_f64() / INTERVAL.as_secs_f64()).ceil() as usize;
    let mut event = |_| {
        let at = size.time.mul_f64(rng.random_range(0.0..1.0));
        let lasts = Duration::from_millis(rng.random_range(DURATION_MS));
        let batch = Batch {
            seed: rng.random(),
            page_items: rng.random_range(1..4),
            relists: rng.random_bool(0.5),
            restarts: rng.random_bool(0.5),
            remains: rng.random_bool(0.5),
        };
        Event { at, lasts, fault: Fault::Keys(batch) }
    };
    (0..count).map(&mut event).collect()
}

/// Draws a key of a prefix.
fn key(rng: &mut ChaCha8Rng, prefix: &str, number: usize) -> String {
    let first = FIRST_LETTERS[rng.random_range(0..FIRST_LETTERS.len())];
    let mut key = format!("{prefix}{first}{number:02}");
    let size = rng.random_range(key.len() + 1..=MAX_KEY);
    // Most keys are short, so that each text is often the last one of a cursor.
    let size = if rng.random_ratio(1, 4) { size } else { size.min(key.len() + 8) };
    loop {
        let part = match rng.random_range(0..6) {
            0 => TEXTS[rng.random_range(0..TEXTS.len())].to_owned(),
            1 => char::from(rng.random_range(0x01..0x20_u8)).to_string(),
            2 => char::from(rng.random_range(0x20..0x80_u8)).to_string(),
            3 => rng.random_range('\u{80}'..'\u{800}').to_string(),
            4 => rng.random_range('\u{800}'..'\u{d000}').to_string(),
            _ => rng.random_range('\u{1f300}'..'\u{1f700}').to_string(),
        };
        if key.len() + part.len() > size {
            return key;
        }
        key += &part;
    }
}

/// Draws a text that is JSON and no item of a key.
fn item(rng: &mut ChaCha8Rng, key: &str) -> String {
    let valid = json!({ "private_key": key, "value": "e30=", "revision": 4 });
    let with = |field: &str, value: serde_json::Value| {
        let mut item = valid.clone();
        item[field] = value;
        item.to_string()
    };
    let without = |field: &str| {
        let mut item = valid.clone();
        item.as_object_mut().expect("an item is an object").remove(field);
        item.to_string()
    };
    match rng.random_range(0..20) {
        0 => "7".to_owned(),
        1 => "null".to_owned(),
        2 => "[]".to_owned(),
        3 => "{}".to_owned(),
        4 => json!(key).to_string(),
        5 => json!([valid]).to_string(),
        6 => "1e999".to_owned(),
        // A lone surrogate is valid JSON and no text.
        7 => r#""\ud800""#.to_owned(),
        8 => r#"{"private_key":"\ud800","value":"e30=","revision":4}"#.to_owned(),
        9 => "[".repeat(500) + &"]".repeat(500),
        10 => without("private_key"),
        11 => without("revision"),
        12 => with("private_key", json!(null)),
        13 => with("private_key", json!([key])),
        14 => with("revision", json!(-4)),
        15 => with("revision", json!("4")),
        16 => with("revision", json!(0.5)),
        17 => with("value", json!(7)),
        18 => with("value", json!(["e30="])),
        _ => with("value", json!("%%%")),
    }
}
