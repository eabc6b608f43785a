//! Macro that declares a section of settings.

/// Declares a section: its structure, its parsing from TOML and its reference.
///
/// A key with `= value` is optional and has that default. A key without one is required. Unknown
/// keys are rejected. A key with `, from min to max` has that range, which `check` of the section
/// checks. NaN is in no range.
macro_rules! section {
    (
        $(#[doc = $about:literal])+
        $name:ident as $raw:ident ($raw_path:literal) in $path:literal {
            $( $(#[doc = $doc:literal])+ $key:ident : $kind:ty $(= $default:expr)?
                $(, from $min:literal to $max:literal)? ; )+
        }
    ) => {
        $(#[doc = $about])+
        #[derive(Debug, Clone, serde::Deserialize)]
        #[serde(try_from = $raw_path)]
        pub struct $name {
            $( $(#[doc = $doc])+ pub $key: $kind, )+
        }

        #[derive(serde::Deserialize, Default)]
        #[serde(deny_unknown_fields, default)]
        struct $raw {
            $( $key: Option<$crate::value::Form<$kind>>, )+
        }

        impl TryFrom<$raw> for $name {
            type Error = $crate::error::Missing;

            fn try_from(raw: $raw) -> Result<$name, $crate::error::Missing> {
                Ok($name {
                    $( $key: match raw.$key {
                        Some(value) => value.0,
                        None => section!(@absent $key $(, $default)?),
                    }, )+
                })
            }
        }

        impl $name {
            /// Reference of the section's keys.
            pub const REFERENCE: $crate::reference::Section = $crate::reference::Section {
                path: $path,
                about: concat!($($about),+),
                keys: &[ $( $crate::reference::Key {
                    name: stringify!($key),
                    kind: stringify!($kind),
                    default: section!(@default $($default)?),
                    range: section!(@range $($min, $max)?),
                    doc: concat!($($doc),+),
                } ),+ ],
            };

            /// Checks the ranges of the section's values.
            #[allow(unused_comparisons, reason = "the range of an unsigned value may start at 0")]
            pub(crate) fn check(&self) -> Result<(), $crate::error::Range> {
                $( $(
                    if !($min..=$max).contains(&self.$key) {
                        return Err($crate::error::Range {
                            section: $path,
                            key: stringify!($key),
                            range: section!(@bounds $min, $max),
                        });
                    }
                )? )+
                Ok(())
            }
        }
    };
    (@absent $key:ident, $default:expr) => { $default };
    (@absent $key:ident) => { return Err($crate::error::Missing(stringify!($key))) };
    (@default $default:expr) => { Some(stringify!($default)) };
    (@default) => { None };
    (@range $min:literal, $max:literal) => { Some(section!(@bounds $min, $max)) };
    (@range) => { None };
    (@bounds $min:literal, $max:literal) => {
        $crate::reference::Range { min: stringify!($min), max: stringify!($max) }
    };
}
