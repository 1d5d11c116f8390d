//! The classes of jobs and the priorities of requests.

use laburnum_derive::value;

/// The class of a job, which decides how it is placed.
#[value]
pub enum Class {
    /// A short job that must start within seconds.
    Urgent,
    /// A long-running service, whose tasks are restarted when they end.
    Service,
    /// A job whose tasks must all run at the same time.
    Gang,
    /// A job that can wait.
    Batch,
}

/// The priority of a request to a target in the queues of its service.
#[value]
pub enum Priority {
    /// A quick lookup that a person waits for.
    Lookup,
    /// A single request of a client account, such as one filing.
    Normal,
    /// One request of a large batch, such as many filings.
    Bulk,
}

impl Class {
    /// All classes, most urgent first.
    pub const ALL: [Class; 4] = [Class::Urgent, Class::Service, Class::Gang, Class::Batch];
}

impl Priority {
    /// All priorities, most urgent first.
    pub const ALL: [Priority; 3] = [Priority::Lookup, Priority::Normal, Priority::Bulk];
}
