//! Encoding of lists of numbers in messages: each list is preceded by its length.

/// Encodes lists as one sequence of numbers.
pub fn encode<'a>(lists: impl IntoIterator<Item = &'a Vec<u16>>) -> Vec<u32> {
    let mut row = Vec::new();
    for list in lists {
        row.push(list.len() as u32);
        row.extend(list.iter().map(|number| u32::from(*number)));
    }
    row
}

/// Decodes a sequence into its lists, or returns `None` if it is malformed.
pub fn decode(row: &[u32]) -> Option<Vec<Vec<u16>>> {
    let mut lists = Vec::new();
    let mut rest = row;
    while let Some((length, tail)) = rest.split_first() {
        let (list, tail) = tail.split_at_checked(*length as usize)?;
        lists
            .push(list.iter().map(|number| u16::try_from(*number)).collect::<Result<_, _>>().ok()?);
        rest = tail;
    }
    Some(lists)
}
