//! Messages that stay on one line.

use std::fmt::{self, Write};

/// Returns whether a character can be part of a line. Control characters, line and paragraph
/// separators, and characters that are invisible or change the direction of the text cannot.
pub(crate) fn is_printable(character: char) -> bool {
    match character {
        ' '..='~' => true,
        '\0'..='\u{7f}' => false,
        // The escape of any other printable character is the character itself.
        _ => character.escape_debug().len() == 1,
    }
}

/// Writer that escapes the characters for which `is_escaped` returns `true`.
pub(crate) struct Escaper<'a, 'b> {
    pub(crate) out: &'a mut fmt::Formatter<'b>,
    pub(crate) is_escaped: fn(char) -> bool,
}

impl Write for Escaper<'_, '_> {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        let mut rest = text;
        while let Some((at, character)) =
            rest.char_indices().find(|(_, each)| (self.is_escaped)(*each))
        {
            self.out.write_str(&rest[..at])?;
            write!(self.out, "{}", character.escape_debug())?;
            rest = &rest[at + character.len_utf8()..];
        }
        self.out.write_str(rest)
    }
}

/// Displays a value with escapes in place of all characters that are not printable.
#[derive(Debug, Clone, Copy)]
pub struct Printable<T>(pub T);

impl<T: fmt::Display> fmt::Display for Printable<T> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let is_escaped = |character| !is_printable(character);
        write!(Escaper { out: formatter, is_escaped }, "{}", self.0)
    }
}
