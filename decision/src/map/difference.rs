//! Encoding of a map as its difference from a base map that both sides have.
//!
//! A change moves a few experts of a large map, and every rank needs the whole map. The encoding
//! lists, for each layer set, the ranks whose experts change: the distance from the previous
//! changed rank, the indices of the removed experts in the ascending list, and the numbers of the
//! added experts. Distances and counts are Exp-Golomb codes, which are short for small numbers.
//! Indices and experts take as many bits as the largest one needs. That makes two to four bytes
//! per added expert. Both sides compare digests of the base and of the result, so that a
//! difference is never applied to a different map.
//!
//! Lists are kept in ascending order here. The order within a rank has no effect on the work of an
//! engine, but engines may compare maps for exact equality. So a map must be the same whether or
//! not a rank received it as a difference ([`canonical`]).

use std::io;

use bitstream_io::{BigEndian, BitRead, BitReader, BitWrite, BitWriter};
use xxhash_rust::xxh3::Xxh3Default;

/// Experts by layer set and rank, as in the report of an engine.
pub type Map = Vec<Vec<Vec<u16>>>;

/// Size in bits of the field that gives the size of an expert number.
const WIDTH_BITS: u32 = 5;
/// Maximum size of an expert number in bits.
const MAX_WIDTH: u32 = u16::BITS;
/// Maximum prefix length of an Exp-Golomb code: counts and distances are below 2^16.
const MAX_PREFIX: u32 = u16::BITS;

/// Reason for which a difference was not applied. The texts are sent to peers as messages of gRPC
/// statuses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The encoding is truncated or has trailing bytes.
    #[error("difference is cut off or too long")]
    Length,
    /// A rank, an index or an expert is out of range.
    #[error("difference does not fit the map that it is applied to")]
    Shape,
    /// The digest of the result differs from the expected one.
    #[error("digest of the result is not the expected one")]
    Digest,
}

/// Returns the initial map of a group: experts are assigned to ranks round-robin.
pub fn round_robin(sets: usize, experts: usize, ranks: usize) -> Map {
    let list = |rank: usize| (rank..experts).step_by(ranks.max(1)).map(|expert| expert as u16);
    let set: Vec<Vec<u16>> = (0..ranks).map(|rank| list(rank).collect()).collect();
    vec![set; sets]
}

/// Returns the digest of a map, which does not depend on the order within its lists.
pub fn digest(map: &Map) -> u64 {
    let mut hasher = Xxh3Default::new();
    let mut number = |number: u32| hasher.update(&number.to_le_bytes());
    number(map.len() as u32);
    for ranks in map {
        number(ranks.len() as u32);
        for list in ranks {
            number(list.len() as u32);
            sorted(list).into_iter().for_each(|expert| number(u32::from(expert)));
        }
    }
    hasher.digest()
}

/// Returns the map with its lists in ascending order, which is the form that [`apply`] returns.
pub fn canonical(map: &Map) -> Map {
    map.iter().map(|ranks| ranks.iter().map(|list| sorted(list)).collect()).collect()
}

fn sorted(list: &[u16]) -> Vec<u16> {
    let mut list = list.to_vec();
    list.sort_unstable();
    list
}

/// Encodes the difference from `base` to `map`. Returns `None` if their numbers of sets or ranks
/// differ.
pub fn encode(base: &Map, map: &Map) -> Option<Vec<u8>> {
    let same_ranks = base.iter().zip(map).all(|(base, map)| base.len() == map.len());
    if base.len() != map.len() || !same_ranks {
        return None;
    }
    let largest = map.iter().flatten().flatten().copied().max().unwrap_or(0);
    let mut writer =
        Writer { bits: BitWriter::new(Vec::new()), width: width(usize::from(largest)) };
    // Writing to memory cannot fail.
    writer.map(base, map).ok()?;
    writer.bits.byte_align().ok()?;
    Some(writer.bits.into_writer())
}

/// Applies a difference to `base`; `expected` is the digest of the resulting map.
///
/// # Errors
///
/// An [`Error`] if the difference is malformed or belongs to another base map.
pub fn apply(base: &Map, bytes: &[u8], expected: u64) -> Result<Map, Error> {
    let mut reader = Reader { bits: BitReader::new(io::Cursor::new(bytes)), width: 0 };
    let map = reader.map(base)?;
    reader.end(bytes.len())?;
    if digest(&map) != expected {
        return Err(Error::Digest);
    }
    Ok(map)
}

/// Returns the number of bits that represent numbers up to `largest`.
fn width(largest: usize) -> u32 {
    usize::BITS - largest.leading_zeros()
}

/// Change of the experts of one rank.
struct Change {
    /// Indices of the removed experts in the previous list.
    removed: Vec<usize>,
    added: Vec<u16>,
}

fn change(before: &[u16], after: &[u16]) -> Option<Change> {
    let is_removed = |(_, expert): &(usize, &u16)| !after.contains(expert);
    let removed = before.iter().enumerate().filter(is_removed).map(|(index, _)| index).collect();
    let added = after.iter().copied().filter(|expert| !before.contains(expert)).collect();
    let change = Change { removed, added };
    (!change.removed.is_empty() || !change.added.is_empty()).then_some(change)
}

struct Writer {
    bits: BitWriter<Vec<u8>, BigEndian>,
    /// Size of an expert number in bits.
    width: u32,
}

impl Writer {
    fn map(&mut self, base: &Map, map: &Map) -> io::Result<()> {
        self.bits.write_var(WIDTH_BITS, self.width)?;
        base.iter().zip(map).try_for_each(|(base, map)| self.set(base, map))
    }

    /// Writes the changed ranks of a set, each with its distance from the previous one, and then
    /// the distance to the end.
    fn set(&mut self, base: &[Vec<u16>], map: &[Vec<u16>]) -> io::Result<()> {
        let mut next = 0;
        for (rank, (before, after)) in base.iter().zip(map).enumerate() {
            let before = sorted(before);
            let Some(change) = change(&before, &sorted(after)) else { continue };
            self.number(rank - next)?;
            self.change(before.len(), &change)?;
            next = rank + 1;
        }
        self.number(base.len() - next)
    }

    fn change(&mut self, held: usize, change: &Change) -> io::Result<()> {
        self.number(change.removed.len())?;
        for index in &change.removed {
            self.bits.write_var(width(held), *index as u32)?;
        }
        self.number(change.added.len())?;
        for expert in &change.added {
            self.bits.write_var(self.width, u32::from(*expert))?;
        }
        Ok(())
    }

    /// Writes a number as an Exp-Golomb code.
    fn number(&mut self, number: usize) -> io::Result<()> {
        let number = number as u32 + 1;
        let prefix = number.ilog2();
        self.bits.write_unary::<1>(prefix)?;
        self.bits.write_var(prefix, number - (1 << prefix))
    }
}

struct Reader<'a> {
    bits: BitReader<io::Cursor<&'a [u8]>, BigEndian>,
    width: u32,
}

impl Reader<'_> {
    fn map(&mut self, base: &Map) -> Result<Map, Error> {
        self.width = self.bits(WIDTH_BITS)?;
        if self.width > MAX_WIDTH {
            return Err(Error::Shape);
        }
        base.iter().map(|ranks| self.set(ranks)).collect()
    }

    fn set(&mut self, base: &[Vec<u16>]) -> Result<Vec<Vec<u16>>, Error> {
        let mut ranks: Vec<Vec<u16>> = base.iter().map(|list| sorted(list)).collect();
        let mut next = 0;
        loop {
            let rank = next + self.number()?;
            if rank == ranks.len() {
                return Ok(ranks);
            }
            let list = ranks.get_mut(rank).ok_or(Error::Shape)?;
            self.change(list)?;
            next = rank + 1;
        }
    }

    fn change(&mut self, list: &mut Vec<u16>) -> Result<(), Error> {
        let held = list.len();
        let count = self.number()?;
        if count > held {
            return Err(Error::Shape);
        }
        let indices: Vec<usize> = (0..count)
            .map(|_| self.bits(width(held)).map(|index| index as usize))
            .collect::<Result<_, _>>()?;
        // Indices ascend, so that removal from the last to the first leaves the others valid.
        if indices.windows(2).any(|pair| pair[0] >= pair[1]) {
            return Err(Error::Shape);
        }
        for index in indices.into_iter().rev() {
            if index >= list.len() {
                return Err(Error::Shape);
            }
            list.remove(index);
        }
        // Each expert consumes bits of the message, which bounds the length of the list.
        for _ in 0..self.number()? {
            let expert = u16::try_from(self.bits(self.width)?).map_err(|_| Error::Shape)?;
            list.push(expert);
        }
        list.sort_unstable();
        Ok(())
    }

    fn number(&mut self) -> Result<usize, Error> {
        let prefix = self.bits.read_unary::<1>().map_err(|_| Error::Length)?;
        if prefix > MAX_PREFIX {
            return Err(Error::Shape);
        }
        let suffix = self.bits(prefix)?;
        Ok(((1 << prefix) + suffix - 1) as usize)
    }

    fn bits(&mut self, count: u32) -> Result<u32, Error> {
        self.bits.read_var(count).map_err(|_| Error::Length)
    }

    /// Checks that the message ends here, except for the padding of its last byte.
    fn end(mut self, length: usize) -> Result<(), Error> {
        self.bits.byte_align();
        let read = self.bits.into_reader().position();
        if read == length as u64 { Ok(()) } else { Err(Error::Length) }
    }
}
