//! Small macros that give types their common derives and implementations.

/// Derives what nearly every plain data type of the project needs.
///
/// # Example
///
/// ```
/// cyclamengauge_core::data_types! {
///     /// A span of tokens.
///     pub struct Span { pub from: u64, pub to: u64 }
/// }
/// assert_eq!(Span { from: 0, to: 4 }.clone(), Span { from: 0, to: 4 });
/// ```
#[macro_export]
macro_rules! data_types {
    ($($item:item)*) => {
        $(
            #[derive(Clone, Debug, PartialEq)]
            $item
        )*
    };
}

/// Defines a textual id as a newtype with `Display` and `FromStr`.
///
/// # Example
///
/// ```
/// cyclamengauge_core::text_id! {
///     /// Name of a meadow.
///     pub struct MeadowId;
/// }
/// let id: MeadowId = "south".parse().unwrap();
/// assert_eq!(id.to_string(), "south");
/// assert!("".parse::<MeadowId>().is_err());
/// ```
#[macro_export]
macro_rules! text_id {
    ($($(#[$meta:meta])* pub struct $name:ident;)*) => {
        $(
            $(#[$meta])*
            #[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
            pub struct $name($crate::text::SmolStr);

            impl $name {
                /// Creates an id from its text, which may be of any form.
                pub fn new(text: impl AsRef<str>) -> Self {
                    Self($crate::text::SmolStr::new(text.as_ref()))
                }

                /// The id's text.
                pub fn as_str(&self) -> &str {
                    self.0.as_str()
                }
            }

            impl std::fmt::Display for $name {
                fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                    f.write_str(self.0.as_str())
                }
            }

            impl std::str::FromStr for $name {
                type Err = $crate::error::Error;

                fn from_str(text: &str) -> Result<Self, Self::Err> {
                    if text.is_empty() {
                        return Err($crate::error::Error::new("parse id", "an id is empty"));
                    }
                    Ok(Self::new(text))
                }
            }
        )*
    };
}

/// Defines a numeric newtype with a unit, `Display` and `FromStr`.
///
/// # Example
///
/// ```
/// cyclamengauge_core::quantity! {
///     /// Length of a fence.
///     pub struct Metres(u64) in "m";
/// }
/// let length: Metres = "12 m".parse().unwrap();
/// assert_eq!(length.to_string(), "12 m");
/// ```
#[macro_export]
macro_rules! quantity {
    ($($(#[$meta:meta])* pub struct $name:ident($inner:ty) in $unit:literal;)*) => {
        $(
            $(#[$meta])*
            #[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
            pub struct $name(pub $inner);

            impl $name {
                /// The bare number.
                pub fn get(self) -> $inner {
                    self.0
                }
            }

            impl std::fmt::Display for $name {
                fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                    write!(f, "{} {}", self.0, $unit)
                }
            }

            impl std::str::FromStr for $name {
                type Err = $crate::error::Error;

                fn from_str(text: &str) -> Result<Self, Self::Err> {
                    let number = text.trim().trim_end_matches($unit).trim();
                    let parsed = number.parse::<$inner>();
                    parsed.map(Self).map_err(|_| {
                        $crate::error::Error::new("parse quantity", format!("`{text}` is not a number of {}", $unit))
                    })
                }
            }
        )*
    };
}
