//! Collection aliases: hash maps and sets with a fast hasher.

/// Hash map for keys that callers cannot choose freely, or whose count is bounded.
pub type FastMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hash set with the same hasher as [`FastMap`].
pub type FastSet<T> = rustc_hash::FxHashSet<T>;
