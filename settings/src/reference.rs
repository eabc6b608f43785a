//! The reference of all settings, as `loftcoved settings` prints it.

use std::fmt;

/// One key of a section.
#[derive(Debug)]
pub struct Key {
    /// Name in the file.
    pub name: &'static str,
    /// Rust type.
    pub kind: &'static str,
    /// Default, or `None` where the file must have the key.
    pub default: Option<&'static str>,
    /// What it does.
    pub doc: &'static str,
}

/// One section of a file.
#[derive(Debug)]
pub struct Section {
    /// Path of the section in the file; empty for the top.
    pub path: &'static str,
    /// What the section is for.
    pub about: &'static str,
    /// Its keys, in the order of declaration.
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
            writeln!(f, "| `{}` | `{}` | {default} | {} |", key.name, key.kind, key.doc.trim())?;
        }
        Ok(())
    }
}
