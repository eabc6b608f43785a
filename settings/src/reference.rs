//! Reference of all settings, as `loftcoved settings` prints it.

use std::fmt;

/// Reference of a key.
#[derive(Debug)]
pub struct Key {
    /// Name of the key in the file.
    pub name: &'static str,
    /// Rust type of the value.
    pub kind: &'static str,
    /// Default value as source text, or `None` if the key is required.
    pub default: Option<&'static str>,
    /// Range of the value, or `None` if it has no order or all values are valid.
    pub range: Option<Range>,
    /// Documentation of the key.
    pub doc: &'static str,
}

/// Range of a value. Both bounds are valid.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Range {
    /// Minimum as source text.
    pub min: &'static str,
    /// Maximum as source text.
    pub max: &'static str,
}

impl fmt::Display for Range {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let number = |text: &str| text.trim_end_matches(".0").replace('_', ",");
        write!(f, "from {} to {}", number(self.min), number(self.max))
    }
}

/// Reference of a section.
#[derive(Debug)]
pub struct Section {
    /// Name of the section in the file; empty for the top level.
    pub path: &'static str,
    /// Documentation of the section.
    pub about: &'static str,
    /// Keys of the section, in the order of declaration.
    pub keys: &'static [Key],
}

impl fmt::Display for Section {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.path {
            "" => writeln!(f, "### top of the file\n\n{}\n", self.about.trim())?,
            path => writeln!(f, "### `[{path}]`\n\n{}\n", self.about.trim())?,
        }
        writeln!(f, "| key | type | default | meaning |")?;
        writeln!(f, "| --- | --- | --- | --- |")?;
        for key in self.keys {
            let default = key.default.map_or("required".to_owned(), |text| format!("`{text}`"));
            let range = key.range.map_or(String::new(), |range| format!(" Value {range}."));
            let doc = key.doc.trim();
            writeln!(f, "| `{}` | `{}` | {default} | {doc}{range} |", key.name, key.kind)?;
        }
        Ok(())
    }
}
