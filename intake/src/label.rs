//! Values of metric labels that come from other writers, such as names of services.

use std::fmt;

use prometheus_client::encoding::{EncodeLabelValue, LabelValueEncoder};

/// Text of a label, written with the escapes of the text format. The metrics library writes label
/// values as they are, so a quote or a line break in one would make the whole page unreadable.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Value(String);

impl From<&str> for Value {
    fn from(text: &str) -> Value {
        Value(text.to_owned())
    }
}

impl EncodeLabelValue for Value {
    fn encode(&self, encoder: &mut LabelValueEncoder) -> fmt::Result {
        use fmt::Write as _;

        self.0.chars().try_for_each(|char| match char {
            '\\' => encoder.write_str("\\\\"),
            '"' => encoder.write_str("\\\""),
            '\n' => encoder.write_str("\\n"),
            char => encoder.write_char(char),
        })
    }
}
