//! Macro that applies common sets of derives.

/// Derives a common set of traits for a data type.
///
/// `value` is for plain data (`Debug, Clone, PartialEq`), `key` adds `Eq, Hash, PartialOrd, Ord`,
/// `copy` is `key` with `Copy`, and `wire` is `value` with serde's `Serialize` and `Deserialize`.
#[macro_export]
macro_rules! common_derives {
    (value: $($item:tt)*) => {
        #[derive(Debug, Clone, PartialEq)]
        $($item)*
    };
    (key: $($item:tt)*) => {
        #[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
        $($item)*
    };
    (copy: $($item:tt)*) => {
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
        $($item)*
    };
    (wire: $($item:tt)*) => {
        #[derive(Debug, Clone, PartialEq, ::serde::Serialize, ::serde::Deserialize)]
        $($item)*
    };
}
