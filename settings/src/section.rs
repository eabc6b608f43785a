//! Macro that declares a section of settings.

/// Declares a section: its structure, its parsing from TOML and its reference.
///
/// A key with `= value` is optional and has that default. A key without one is required. Unknown
/// keys are rejected.
macro_rules! section {
    (
        $(#[doc = $about:literal])+
        $name:ident as $raw:ident ($raw_path:literal) in $path:literal {
            $( $(#[doc = $doc:literal])+ $key:ident : $kind:ty $(= $default:expr)? ; )+
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
            $( $key: Option<$kind>, )+
        }

        impl TryFrom<$raw> for $name {
            type Error = $crate::error::Missing;

            fn try_from(raw: $raw) -> Result<$name, $crate::error::Missing> {
                Ok($name {
                    $( $key: match raw.$key {
                        Some(value) => value,
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
                    doc: concat!($($doc),+),
                } ),+ ],
            };
        }
    };
    (@absent $key:ident, $default:expr) => { $default };
    (@absent $key:ident) => { return Err($crate::error::Missing(stringify!($key))) };
    (@default $default:expr) => { Some(stringify!($default)) };
    (@default) => { None };
}
