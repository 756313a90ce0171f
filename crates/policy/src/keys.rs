//! Idempotency keys, issued by the system or made by callers, and the agent (home) of each.
//!
//! An issued key `jk1.<agent>.<incarnation>.<random>` names the only agent incarnation that may
//! run it, so processes need not agree on a view of the agents. A caller-made key names no home.

use std::{fmt, str::FromStr};

use jj_utils::{
    common_derives,
    ids::{Incarnation, InstanceId},
};
use rand::Rng;

use crate::rendezvous;

/// Prefix of every issued key.
pub const ISSUED_PREFIX: &str = "jk1.";

/// Maximum length of a key in bytes.
pub const MAX_KEY_LEN: usize = 200;

const RANDOM_DIGITS: usize = 32;

/// Reason why a key is malformed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// The key is empty.
    #[error("the idempotency key is empty")]
    Empty,
    /// The key has more than [`MAX_KEY_LEN`] bytes.
    #[error("the idempotency key has {0} bytes; at most {MAX_KEY_LEN} are allowed")]
    TooLong(usize),
    /// The key contains a space, a control character or a non-ASCII character.
    #[error("the idempotency key has a character that is not printable ASCII at byte {0}")]
    BadCharacter(usize),
    /// An issued key lacks one of its four parts.
    #[error("an issued key has the form jk1.<agent>.<incarnation>.<random>")]
    BadForm,
    /// The agent part is empty or has characters other than letters, digits, `-`, `_` and `.`.
    #[error("the agent in the issued key is not an instance name")]
    BadAgent,
    /// The incarnation part is not a decimal number without leading zeros.
    #[error("the incarnation in the issued key is not a decimal number")]
    BadIncarnation,
    /// The random part is not 32 lower-case hexadecimal digits.
    #[error("the random part of the issued key is not 32 lower-case hexadecimal digits")]
    BadRandom,
}

common_derives! {key:
    /// One incarnation of an agent.
    pub struct AgentIncarnation {
        /// Name of the agent's instance.
        pub agent: InstanceId,
        /// Incarnation of the agent.
        pub incarnation: Incarnation,
    }
}

common_derives! {key:
    /// A key issued by the system.
    pub struct IssuedKey {
        /// The only agent incarnation that may run it.
        pub home: AgentIncarnation,
        /// Distinguishes keys of one home.
        pub random: u128,
    }
}

impl IssuedKey {
    /// Creates a random key for a home.
    pub fn issue(home: AgentIncarnation, rng: &mut impl Rng) -> Self {
        let random = u128::from(rng.next_u64()) << 64 | u128::from(rng.next_u64());
        Self { home, random }
    }
}

impl fmt::Display for IssuedKey {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let AgentIncarnation { agent, incarnation } = &self.home;
        write!(
            out,
            "{ISSUED_PREFIX}{agent}.{incarnation}.{:032x}",
            self.random
        )
    }
}

impl FromStr for IssuedKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        let rest = text.strip_prefix(ISSUED_PREFIX).ok_or(KeyError::BadForm)?;
        let mut parts = rest.rsplitn(3, '.');
        let (Some(random), Some(incarnation), Some(agent)) =
            (parts.next(), parts.next(), parts.next())
        else {
            return Err(KeyError::BadForm);
        };
        let home = AgentIncarnation {
            agent: parse_agent(agent)?,
            incarnation: parse_incarnation(incarnation)?,
        };
        let random = parse_random(random)?;
        Ok(Self { home, random })
    }
}

common_derives! {key:
    /// An idempotency key of a request.
    pub enum OnceKey {
        /// Issued by the system.
        Issued(IssuedKey),
        /// Made by the caller.
        CallerMade(String),
    }
}

impl FromStr for OnceKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        if text.is_empty() {
            return Err(KeyError::Empty);
        }
        if text.len() > MAX_KEY_LEN {
            return Err(KeyError::TooLong(text.len()));
        }
        if let Some(at) = text.bytes().position(|byte| !byte.is_ascii_graphic()) {
            return Err(KeyError::BadCharacter(at));
        }
        if text.starts_with(ISSUED_PREFIX) {
            return text.parse().map(Self::Issued);
        }
        Ok(Self::CallerMade(text.to_owned()))
    }
}

impl fmt::Display for OnceKey {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Issued(key) => key.fmt(out),
            Self::CallerMade(key) => out.write_str(key),
        }
    }
}

common_derives! {key:
    /// Destination of a request with an issued key.
    pub enum KeyHome {
        /// This agent incarnation and no other.
        At(AgentIncarnation),
        /// The home has ended or is unknown here: the verdict is "may have run".
        Gone,
    }
}

/// Returns the destination of an issued key according to one entry's view of the agents.
///
/// A view older than the key may list an earlier incarnation of the home; the agent then checks the
/// incarnation itself. The home is gone only if the view has a newer incarnation or no such agent.
pub fn key_home(key: &IssuedKey, view: &[AgentIncarnation]) -> KeyHome {
    let known = view.iter().find(|it| it.agent == key.home.agent);
    match known {
        Some(current) if current.incarnation <= key.home.incarnation => {
            KeyHome::At(key.home.clone())
        }
        _ => KeyHome::Gone,
    }
}

/// Returns all possible homes of a caller-made key, the preferred one first (rendezvous hashing).
pub fn ranked_homes<'a>(key: &str, agents: &'a [InstanceId]) -> Vec<&'a InstanceId> {
    let names = agents.iter().map(String::as_str);
    let ranking = rendezvous::ranking(rendezvous::key_hash(key), names);
    ranking.into_iter().map(|at| &agents[at]).collect()
}

fn parse_agent(text: &str) -> Result<InstanceId, KeyError> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if text.is_empty() || !text.bytes().all(allowed) {
        return Err(KeyError::BadAgent);
    }
    Ok(text.to_owned())
}

fn parse_incarnation(text: &str) -> Result<Incarnation, KeyError> {
    let canonical = text == "0" || !text.starts_with(['0', '+']);
    if !canonical {
        return Err(KeyError::BadIncarnation);
    }
    text.parse().map_err(|_| KeyError::BadIncarnation)
}

fn parse_random(text: &str) -> Result<u128, KeyError> {
    let lower_hex = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    if text.len() != RANDOM_DIGITS || !text.bytes().all(lower_hex) {
        return Err(KeyError::BadRandom);
    }
    u128::from_str_radix(text, 16).map_err(|_| KeyError::BadRandom)
}
