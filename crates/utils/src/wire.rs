//! Decoding of messages from processes of an earlier build. Messages are encoded by position, and a
//! build adds fields at the end only, which builds before it ignore.

use serde::de::DeserializeOwned;

/// Maximum number of fields that a build has added to a message since the one before it.
const MAX_NEW_FIELDS: usize = 2;

/// Decodes a message, which may lack the last fields if it is of an earlier build; those read as
/// zero or empty then.
///
/// # Errors
/// When the bytes are no message of this type.
pub fn decode_any_build<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, postcard::Error> {
    let with_zeros = |zeros: usize| [bytes, &[0; MAX_NEW_FIELDS][..zeros]].concat();
    let mut extended = (1..=MAX_NEW_FIELDS).map(with_zeros);
    postcard::from_bytes(bytes).or_else(|error| {
        let decoded = extended.find_map(|it| postcard::from_bytes(&it).ok());
        decoded.ok_or(error)
    })
}
