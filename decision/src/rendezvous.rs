//! Rendezvous hashing: an order of candidates that all processes agree on.
//!
//! Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
//! 1998. A candidate's weight depends only on its own name and the subject, so
//! the removal of a candidate moves only the subjects that were assigned to it.

use xxhash_rust::xxh3;

/// Returns the weight of a candidate for a subject; the highest weight comes first.
pub fn weight(subject: &str, candidate: &str) -> u64 {
    xxh3::xxh3_64_with_seed(candidate.as_bytes(), xxh3::xxh3_64(subject.as_bytes()))
}

/// Returns the candidates in descending order of their weight for the subject.
pub fn order<'a, N: AsRef<str> + ?Sized + 'a>(
    subject: &str,
    candidates: impl IntoIterator<Item = &'a N>,
) -> Vec<&'a N> {
    let mut ranked: Vec<(u64, &N)> =
        candidates.into_iter().map(|name| (weight(subject, name.as_ref()), name)).collect();
    ranked.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.as_ref().cmp(b.1.as_ref())));
    ranked.into_iter().map(|(_, name)| name).collect()
}
