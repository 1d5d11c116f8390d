//! The kinds of workload and the classes of request.

use laburnum_derive::value;

/// How a job is placed.
#[value]
pub enum Class {
    /// Short work that must start within seconds.
    Urgent,
    /// A long-running service, whose tasks are kept running.
    Service,
    /// A job that needs all its tasks at once.
    Gang,
    /// Patient work.
    Batch,
}

/// How a request to a target is queued.
#[value]
pub enum Priority {
    /// A quick lookup that somebody waits for.
    Lookup,
    /// A filing or route build of one client.
    Normal,
    /// One of many filings or route builds.
    Bulk,
}

impl Class {
    /// All classes, most pressing first.
    pub const ALL: [Class; 4] = [Class::Urgent, Class::Service, Class::Gang, Class::Batch];
}

impl Priority {
    /// All priorities, most pressing first.
    pub const ALL: [Priority; 3] = [Priority::Lookup, Priority::Normal, Priority::Bulk];
}
