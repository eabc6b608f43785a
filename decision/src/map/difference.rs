//! A map as its difference from another one that both sides hold.
//!
//! A change moves a few experts of a map that is large, and every rank needs
//! the whole of it. So what goes out is, set by set, the ranks whose experts
//! change, and how: the distance from the changed rank before, the places of
//! the experts that leave in the ascending list, and the numbers of those that
//! come. Distances and counts are Exp-Golomb codes, which are short for small
//! numbers; places and experts take the bits that the largest one needs. That
//! is two to four bytes for an expert that comes. Both sides compare digests of
//! the base and of the result, so a difference is never applied to another map.
//!
//! Lists are kept in ascending order here. The order within a rank means nothing
//! to the work, but engines may compare maps to the letter, so a map must be the
//! same whether a rank has it from a difference or not ([`canonical`]).

use std::io;

use bitstream_io::{BigEndian, BitRead, BitReader, BitWrite, BitWriter};
use xxhash_rust::xxh3::Xxh3Default;

/// Experts by layer set and rank, as in a report of an engine.
pub type Map = Vec<Vec<Vec<u16>>>;

/// Bits of the field that tells how many bits an expert takes.
const WIDTH_BITS: u32 = 5;
/// Most bits of an expert's number.
const MAX_WIDTH: u32 = u16::BITS;
/// Longest prefix of an Exp-Golomb code: counts and distances are below 2^16.
const MAX_PREFIX: u32 = u16::BITS;

/// Why a difference was not applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// It ends early, or has more than its end.
    #[error("difference is cut off or too long")]
    Length,
    /// It names a rank, a place or an expert that cannot be.
    #[error("difference does not fit the map that it is applied to")]
    Shape,
    /// The result is not the map that was meant.
    #[error("digest of the result is not the expected one")]
    Digest,
}

/// The map that a group opens with: experts dealt out in turn.
pub fn round_robin(sets: usize, experts: usize, ranks: usize) -> Map {
    let list = |rank: usize| (rank..experts).step_by(ranks.max(1)).map(|expert| expert as u16);
    let set: Vec<Vec<u16>> = (0..ranks).map(|rank| list(rank).collect()).collect();
    vec![set; sets]
}

/// Digest of a map, whatever the order within its lists.
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

/// The same map with its lists in ascending order, as [`apply`] makes it.
pub fn canonical(map: &Map) -> Map {
    map.iter().map(|ranks| ranks.iter().map(|list| sorted(list)).collect()).collect()
}

fn sorted(list: &[u16]) -> Vec<u16> {
    let mut list = list.to_vec();
    list.sort_unstable();
    list
}

/// The difference that makes `map` of `base`; `None` where they differ in their
/// numbers of sets or ranks.
pub fn encode(base: &Map, map: &Map) -> Option<Vec<u8>> {
    let same_ranks = base.iter().zip(map).all(|(base, map)| base.len() == map.len());
    if base.len() != map.len() || !same_ranks {
        return None;
    }
    let largest = map.iter().flatten().flatten().copied().max().unwrap_or(0);
    let mut writer =
        Writer { bits: BitWriter::new(Vec::new()), width: width(usize::from(largest)) };
    // Writing to memory does not fail.
    writer.map(base, map).ok()?;
    writer.bits.byte_align().ok()?;
    Some(writer.bits.into_writer())
}

/// Applies a difference to `base`; `expected` is the digest of the result.
///
/// # Errors
///
/// An [`Error`] for a difference that is malformed or meant for another map.
pub fn apply(base: &Map, bytes: &[u8], expected: u64) -> Result<Map, Error> {
    let mut reader = Reader { bits: BitReader::new(io::Cursor::new(bytes)), width: 0 };
    let map = reader.map(base)?;
    reader.end(bytes.len())?;
    if digest(&map) != expected {
        return Err(Error::Digest);
    }
    Ok(map)
}

/// Bits that numbers up to `largest` take.
fn width(largest: usize) -> u32 {
    usize::BITS - largest.leading_zeros()
}

/// What changes at one rank.
struct Change {
    /// Places, in the list of before, of the experts that leave.
    leaving: Vec<usize>,
    coming: Vec<u16>,
}

fn change(before: &[u16], after: &[u16]) -> Option<Change> {
    let leaves = |(_, expert): &(usize, &u16)| !after.contains(expert);
    let leaving = before.iter().enumerate().filter(leaves).map(|(place, _)| place).collect();
    let coming = after.iter().copied().filter(|expert| !before.contains(expert)).collect();
    let change = Change { leaving, coming };
    (!change.leaving.is_empty() || !change.coming.is_empty()).then_some(change)
}

struct Writer {
    bits: BitWriter<Vec<u8>, BigEndian>,
    /// Bits of an expert's number.
    width: u32,
}

impl Writer {
    fn map(&mut self, base: &Map, map: &Map) -> io::Result<()> {
        self.bits.write_var(WIDTH_BITS, self.width)?;
        base.iter().zip(map).try_for_each(|(base, map)| self.set(base, map))
    }

    /// The changed ranks, each by its distance from the one before, and the
    /// distance to the end.
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
        self.number(change.leaving.len())?;
        for place in &change.leaving {
            self.bits.write_var(width(held), *place as u32)?;
        }
        self.number(change.coming.len())?;
        for expert in &change.coming {
            self.bits.write_var(self.width, u32::from(*expert))?;
        }
        Ok(())
    }

    /// An Exp-Golomb code.
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
        let places: Vec<usize> = (0..count)
            .map(|_| self.bits(width(held)).map(|place| place as usize))
            .collect::<Result<_, _>>()?;
        // Places ascend, so each is taken out without moving those before it.
        if places.windows(2).any(|pair| pair[0] >= pair[1]) {
            return Err(Error::Shape);
        }
        for place in places.into_iter().rev() {
            if place >= list.len() {
                return Err(Error::Shape);
            }
            list.remove(place);
        }
        // Each expert takes bits of the message, which bounds the list.
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
        let rest = self.bits(prefix)?;
        Ok(((1 << prefix) + rest - 1) as usize)
    }

    fn bits(&mut self, count: u32) -> Result<u32, Error> {
        self.bits.read_var(count).map_err(|_| Error::Length)
    }

    /// Checks that the message ends here, but for the bits that fill its last byte.
    fn end(mut self, length: usize) -> Result<(), Error> {
        self.bits.byte_align();
        let read = self.bits.into_reader().position();
        if read == length as u64 { Ok(()) } else { Err(Error::Length) }
    }
}
