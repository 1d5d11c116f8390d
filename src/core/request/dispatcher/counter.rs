//! Counters of a dispatcher.

use laburnum_derive::value;

/// The reason for traffic between regions.
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

/// Body bytes between regions, by reason.
#[value]
#[derive(Default)]
pub struct Traffic {
    bytes: [u64; Reason::ALL.len()],
}

/// Counters of a dispatcher since its start.
#[value]
#[derive(Default)]
pub struct Counters {
    /// First attempts sent to targets.
    pub first_attempts: u64,
    /// Retries sent to targets.
    pub retries: u64,
    /// Answers that were ignored because they were late, repeated or on the wrong connection.
    pub ignored_answers: u64,
    /// Requests refused because of overload.
    pub refused: u64,
    /// Queued requests dropped because their deadline could not be met.
    pub dropped: u64,
    /// Body bytes between regions.
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
