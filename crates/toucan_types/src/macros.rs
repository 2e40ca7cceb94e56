//! Macros that define the newtypes of this crate.

/// Defines a newtype over a shared immutable string.
macro_rules! name_type {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(
            Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
            serde::Serialize, serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(faststr::FastStr);

        impl $name {
            /// Wraps a string. Clones share its buffer.
            pub fn new(name: impl Into<faststr::FastStr>) -> Self {
                Self(name.into())
            }

            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                self.0.as_str()
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(self.0.as_str())
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                Self(faststr::FastStr::new(name))
            }
        }

        impl From<String> for $name {
            fn from(name: String) -> Self {
                Self(faststr::FastStr::from(name))
            }
        }

        impl std::borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                self.0.as_str()
            }
        }
    };
}

/// Defines a newtype over a monotonically increasing `u64`.
macro_rules! number_type {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
            serde::Serialize, serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the next number.
            ///
            /// Saturates at [`u64::MAX`], which is never reached in practice.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0.saturating_add(1))
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    };
}

pub(crate) use {name_type, number_type};
