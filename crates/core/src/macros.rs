//! Macros that define types with their common derives and implementations.

/// Defines data types that derive `Clone`, `Debug` and `PartialEq`.
///
/// # Example
///
/// ```
/// cyclamengauge_core::data_types! {
///     /// A range of token positions.
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

/// Defines ids as string newtypes with `Display` and `FromStr`.
///
/// `FromStr` rejects an empty text; `new` accepts any text.
///
/// # Example
///
/// ```
/// cyclamengauge_core::text_id! {
///     /// Name of a region.
///     pub struct RegionId;
/// }
/// let id: RegionId = "south".parse().unwrap();
/// assert_eq!(id.to_string(), "south");
/// assert!("".parse::<RegionId>().is_err());
/// ```
#[macro_export]
macro_rules! text_id {
    ($($(#[$meta:meta])* pub struct $name:ident;)*) => {
        $(
            $(#[$meta])*
            #[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
            pub struct $name($crate::text::SmolStr);

            impl $name {
                /// Creates an id from any text, without validation.
                pub fn new(text: impl AsRef<str>) -> Self {
                    Self($crate::text::SmolStr::new(text.as_ref()))
                }

                /// The id as text.
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
                        return Err($crate::error::Error::new("parse id", "the id is empty"));
                    }
                    Ok(Self::new(text))
                }
            }
        )*
    };
}

/// Defines numeric newtypes with a unit, `Display` and `FromStr`.
///
/// `FromStr` accepts a number with or without the unit.
///
/// # Example
///
/// ```
/// cyclamengauge_core::quantity! {
///     /// Size of a message body.
///     pub struct Bytes(u64) in "bytes";
/// }
/// let size: Bytes = "12 bytes".parse().unwrap();
/// assert_eq!(size.to_string(), "12 bytes");
/// ```
#[macro_export]
macro_rules! quantity {
    ($($(#[$meta:meta])* pub struct $name:ident($inner:ty) in $unit:literal;)*) => {
        $(
            $(#[$meta])*
            #[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
            pub struct $name(pub $inner);

            impl $name {
                /// The number without its unit.
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
                        $crate::error::Error::new("parse quantity", format!("expected a number of {}, got `{text}`", $unit))
                    })
                }
            }
        )*
    };
}
