//! What is known about each instance, merged from the live list, heartbeats and connect results.

use jj_utils::common_derives;

common_derives! {copy:
    /// What this process believes of one instance.
    pub enum MemberState {
        /// Heard from lately.
        Live,
        /// Silent or unreachable for a while; takes work only when nobody better is left.
        Suspect,
        /// Said, or was said, to be leaving.
        Leaving,
        /// Dead or replaced.
        Gone,
        /// Never heard from.
        Unknown,
    }
}

impl MemberState {
    /// Whether new work may be sent there at all.
    pub fn may_take_work(self) -> bool {
        matches!(self, Self::Live | Self::Suspect)
    }
}
