//! Records that were reported as invalid.
//!
//! Records are read again at each change of the mirror, and an invalid one stays until its writer
//! replaces it. It is therefore logged once for each of its revisions.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use loftcove_decision::mirror::Record;
use loftcove_decision::revision::Revision;

/// Maximum number of records that are remembered. Above it, records are reported again.
const MAX_RECORDS: usize = 4_096;

/// The revisions at which records were reported.
#[derive(Debug, Default)]
pub(crate) struct Reported {
    revisions: Mutex<BTreeMap<Arc<str>, Revision>>,
}

impl Reported {
    /// Returns whether a record has not been reported at its revision, and remembers that it is.
    pub(crate) fn insert(&self, record: &Record) -> bool {
        // Each change is one insertion or removal.
        let mut revisions =
            self.revisions.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        if revisions.len() >= MAX_RECORDS {
            revisions.clear();
        }
        revisions.insert(record.key.clone(), record.revision) != Some(record.revision)
    }
}
