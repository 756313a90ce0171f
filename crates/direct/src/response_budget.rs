//! Memory for responses of servers that are buffered before they go to their callers, and until these
//! have read them.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use bytes::{Bytes, BytesMut};

/// Length up to which a response is buffered in any case, in bytes; connections limit their number.
const SMALL_RESPONSE_BYTES: usize = 16 * 1024;

/// Memory of a process for buffered responses.
#[derive(Debug, Clone)]
pub struct ResponseBudget(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    capacity: AtomicUsize,
    held: AtomicUsize,
}

impl ResponseBudget {
    /// Returns a memory of `capacity` bytes.
    pub fn new(capacity: usize) -> Self {
        Self(Arc::new(Inner {
            capacity: AtomicUsize::new(capacity),
            held: AtomicUsize::new(0),
        }))
    }

    /// Changes the memory, in bytes. What responses hold beyond it is not taken away.
    pub fn set_capacity(&self, capacity: usize) {
        self.0.capacity.store(capacity, Ordering::Relaxed);
    }

    /// Returns the memory that responses hold, in bytes.
    pub fn held(&self) -> usize {
        self.0.held.load(Ordering::Relaxed)
    }

    /// Returns an empty buffer.
    pub fn begin(&self) -> ResponseBuffer {
        ResponseBuffer {
            bytes: BytesMut::new(),
            charge: Charge {
                budget: self.clone(),
                bytes: 0,
            },
        }
    }
}

/// Memory that a response holds; given back on drop.
#[derive(Debug)]
struct Charge {
    budget: ResponseBudget,
    bytes: usize,
}

impl Charge {
    /// Returns whether there is memory for `more` bytes.
    fn has_room(&self, more: usize) -> bool {
        let inner = &self.budget.0;
        self.budget.held() + more <= inner.capacity.load(Ordering::Relaxed)
    }

    fn add(&mut self, more: usize) {
        self.budget.0.held.fetch_add(more, Ordering::Relaxed);
        self.bytes += more;
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.budget.0.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Beginning of a response's body.
#[derive(Debug)]
pub struct ResponseBuffer {
    bytes: BytesMut,
    charge: Charge,
}

/// Bytes that count until nobody holds them any more.
struct ChargedBytes {
    bytes: BytesMut,
    _charge: Charge,
}

impl AsRef<[u8]> for ChargedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl ResponseBuffer {
    /// Appends bytes; returns false, and leaves the buffer as it is, if there is no memory for them.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        let length = self.bytes.len() + bytes.len();
        let capacity = self.bytes.capacity();
        if length > capacity {
            // Twice the length, as the buffer grows; old and new one exist at once for a moment.
            let wanted = length.next_power_of_two();
            if length > SMALL_RESPONSE_BYTES && !self.charge.has_room(wanted) {
                return false;
            }
            self.charge.add(wanted - capacity);
            let mut larger = BytesMut::with_capacity(wanted);
            larger.extend_from_slice(&self.bytes);
            self.bytes = larger;
        }
        self.bytes.extend_from_slice(bytes);
        true
    }

    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns the bytes, which count until they are dropped.
    pub fn into_bytes(self) -> Bytes {
        if self.bytes.is_empty() {
            return Bytes::new();
        }
        Bytes::from_owner(ChargedBytes {
            bytes: self.bytes,
            _charge: self.charge,
        })
    }
}
