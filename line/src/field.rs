//! Values that are one field of a line.

use std::borrow::Cow;
use std::fmt::{self, Write};

use crate::message;

/// Returns whether a character of a value has to be escaped within quotes.
fn is_escaped(character: char) -> bool {
    matches!(character, '"' | '\\') || !message::is_printable(character)
}

/// Returns whether a value consists of characters that need no quotes.
fn is_plain(text: &str) -> bool {
    text.chars().all(|each| !matches!(each, ' ' | '=') && !is_escaped(each))
}

/// Displays text as the value of a field: unchanged if it is plain, otherwise in quotes, with
/// escapes.
#[derive(Debug, Clone, Copy)]
pub struct Text<'a>(pub &'a str);

impl fmt::Display for Text<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if is_plain(self.0) {
            return formatter.write_str(self.0);
        }
        Quoted(self.0).fmt(formatter)
    }
}

/// Displays a value in quotes, with escapes. It is for errors and reasons, which are quoted even if
/// they are plain.
#[derive(Debug, Clone, Copy)]
pub struct Quoted<T>(pub T);

impl<T: fmt::Display> fmt::Display for Quoted<T> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_char('"')?;
        write!(message::Escaper { out: formatter, is_escaped }, "{}", self.0)?;
        formatter.write_char('"')
    }
}

/// Splits the value with which `text` begins, as it was before [`Text`] or [`Quoted`], from the text
/// that follows. A quote without its counterpart extends to the end.
pub fn split(text: &str) -> (Cow<'_, str>, &str) {
    let Some(quoted) = text.strip_prefix('"') else {
        let (value, rest) = text.split_once(' ').unwrap_or((text, ""));
        return (Cow::Borrowed(value), rest);
    };
    let mut after_backslash = false;
    let end = quoted.find(|character| {
        let is_end = character == '"' && !after_backslash;
        after_backslash = character == '\\' && !after_backslash;
        is_end
    });
    let (value, rest) = match end {
        Some(end) => (&quoted[..end], &quoted[end + 1..]),
        None => (quoted, ""),
    };
    (unescape(value), rest)
}

/// Replaces the escapes of a quoted value. A backslash that begins none stays as it is.
fn unescape(value: &str) -> Cow<'_, str> {
    if !value.contains('\\') {
        return Cow::Borrowed(value);
    }
    let mut out = String::with_capacity(value.len());
    let mut rest = value;
    while let Some(at) = rest.find('\\') {
        out.push_str(&rest[..at]);
        rest = &rest[at + 1..];
        match escape(rest) {
            Some((character, length)) => {
                out.push(character);
                rest = &rest[length..];
            }
            None => out.push('\\'),
        }
    }
    out.push_str(rest);
    Cow::Owned(out)
}

/// Returns the character for which the escape at the beginning of `text` stands, and the length of
/// the escape without its backslash.
fn escape(text: &str) -> Option<(char, usize)> {
    let character = match text.chars().next()? {
        '0' => '\0',
        't' => '\t',
        'r' => '\r',
        'n' => '\n',
        same @ ('"' | '\'' | '\\') => same,
        'u' => {
            let (digits, _) = text.strip_prefix("u{")?.split_once('}')?;
            let number = u32::from_str_radix(digits, 16).ok()?;
            return Some((char::from_u32(number)?, "u{}".len() + digits.len()));
        }
        _ => return None,
    };
    Some((character, 1))
}
