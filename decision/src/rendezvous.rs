//! Rendezvous hashing: an order of candidates that all processes agree on.
//!
//! Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
//! 1998. A candidate's weight depends on its own name and the subject only, so
//! that the going of one moves nothing but its own share.

use xxhash_rust::xxh3;

/// Weight of a candidate for a subject; the highest goes first.
pub fn weight(subject: &str, candidate: &str) -> u64 {
    xxh3::xxh3_64_with_seed(candidate.as_bytes(), xxh3::xxh3_64(subject.as_bytes()))
}

/// The candidates in the order of their weight for the subject.
pub fn order<'a, N: AsRef<str> + ?Sized + 'a>(
    subject: &str,
    candidates: impl IntoIterator<Item = &'a N>,
) -> Vec<&'a N> {
    let mut ranked: Vec<(u64, &N)> =
        candidates.into_iter().map(|name| (weight(subject, name.as_ref()), name)).collect();
    ranked.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.as_ref().cmp(b.1.as_ref())));
    ranked.into_iter().map(|(_, name)| name).collect()
}
