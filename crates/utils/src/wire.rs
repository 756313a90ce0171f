//! Decoding of messages from processes of an earlier build. Messages are encoded by position, and a
//! build adds fields at the end only, which builds before it ignore.

use serde::de::DeserializeOwned;

/// Decodes a message, which may lack the last field if it is of an earlier build; that one reads as
/// zero then.
///
/// # Errors
/// When the bytes are no message of this type.
pub fn decode_any_build<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, postcard::Error> {
    postcard::from_bytes(bytes).or_else(|error| {
        let extended = [bytes, &[0]].concat();
        postcard::from_bytes(&extended).map_err(|_| error)
    })
}
