//! Counters of a dispatcher.

use laburnum_derive::value;

/// Why bytes cross between regions.
#[value]
pub enum Reason {
    /// A request was forwarded to the owner of its key.
    Forward,
    /// An owner answered a forwarded request.
    Return,
    /// A request was sent to a target.
    Request,
    /// A target answered.
    Reply,
}

/// Bytes of bodies over the inter-region link, by reason.
#[value]
#[derive(Default)]
pub struct Traffic {
    bytes: [u64; Reason::ALL.len()],
}

/// What a dispatcher has counted since it started.
#[value]
#[derive(Default)]
pub struct Counters {
    /// First attempts sent to targets.
    pub first_attempts: u64,
    /// Further attempts sent to targets.
    pub retries: u64,
    /// Answers that came too late, twice or on another connection.
    pub strays: u64,
    /// Requests refused because of overload.
    pub refused: u64,
    /// Queued requests dropped because their deadline could not be met.
    pub dropped: u64,
    /// Bytes over the inter-region link.
    pub remote: Traffic,
}

impl Reason {
    /// All reasons.
    pub const ALL: [Reason; 4] = [
        Reason::Forward,
        Reason::Return,
        Reason::Request,
        Reason::Reply,
    ];
}

impl Traffic {
    /// Counts bytes.
    pub fn add(&mut self, reason: Reason, bytes: u64) {
        self.bytes[reason as usize] += bytes;
    }

    /// Returns the bytes of one reason.
    pub fn bytes(&self, reason: Reason) -> u64 {
        self.bytes[reason as usize]
    }

    /// Returns the bytes of all reasons.
    pub fn total(&self) -> u64 {
        self.bytes.iter().sum()
    }
}
