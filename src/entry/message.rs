//! The messages that entries send each other over links.

use std::time::Duration;

use laburnum_derive::message;

use crate::core::account;
use crate::core::error::Result;
use crate::core::queue::{Endpoint, QueueTable, patch};
use crate::core::scheduler::RemainingLease;
use crate::core::scheduler::explain::Explanation;
use crate::core::scheduler::id::{Job, Step, Token};
use crate::core::scheduler::record::Phase;
use crate::core::scheduler::spec::{Queue, Spec};
use crate::core::tenure::Claim;

/// A request to an entry. Every entry serves [`Self::Advise`], [`Self::Claim`], [`Self::Configuration`],
/// [`Self::TakeOver`] and [`Self::Leases`]; only the owner serves the others.
#[message]
pub enum EntryRequest {
    /// Accepts a job.
    Submit {
        /// The job's id, which the client chose.
        job: Job,
        /// The job's queue.
        queue: Queue,
        /// The endpoint that the client used. Entries of earlier releases send none.
        #[serde(default)]
        endpoint: Option<Endpoint>,
        /// The job's steps and schedule.
        spec: Spec,
        /// The client account of the caller, if the queue needs a key of one.
        #[serde(default)]
        account: Option<account::Name>,
    },
    /// Cancels a job.
    Cancel {
        /// The job's id.
        job: Job,
        /// The name of the queue at the endpoint that the client used.
        queue: String,
        /// That endpoint. Entries of earlier releases send none.
        #[serde(default)]
        endpoint: Option<Endpoint>,
        /// The client account of the caller, if the queue needs a key of one.
        #[serde(default)]
        account: Option<account::Name>,
    },
    /// Returns the phase of a job.
    Read {
        /// The job's id.
        job: Job,
        /// The name of the queue at the endpoint that the client used.
        queue: String,
        /// That endpoint. Entries of earlier releases send none.
        #[serde(default)]
        endpoint: Option<Endpoint>,
        /// The client account of the caller, if the queue needs a key of one.
        #[serde(default)]
        account: Option<account::Name>,
    },
    /// Counts the jobs of a queue of which no task has started yet.
    Pending {
        /// The name of the queue at the endpoint that the client used.
        queue: String,
        /// That endpoint. Entries of earlier releases send none.
        #[serde(default)]
        endpoint: Option<Endpoint>,
    },
    /// Returns the latest claim that the receiving entry has read or received.
    Claim,
    /// Returns a page of what the receiving entry has of the configuration beyond a version.
    Configuration {
        /// The version that the sending entry has; `None` if it has none.
        known: Option<u64>,
        /// The page; `None` from an entry of an earlier release, which gets the whole table.
        #[serde(default)]
        page: Option<ConfigurationPage>,
    },
    /// Requests that the receiving entry take the cell over from the sending owner.
    #[serde(rename = "Succeed")]
    TakeOver {
        /// The sending owner's token.
        token: Token,
        /// Whether the owner is giving up the cell; otherwise the log refuses its records.
        is_stopping: bool,
    },
    /// Requests that the receiving entry end its ownership with the token `former`, unless it has ended
    /// already, and return the leases that its workers may still have. The sending entry owns the cell.
    Leases {
        /// The token of the receiving entry's ownership.
        former: Token,
        /// The token of the sending entry's ownership.
        successor: Token,
    },
    /// Explains where a job would go now, or where the tasks of an accepted one wait. Changes nothing.
    Explain(Explain),
    /// Requests that the receiving entry call the advisor on behalf of the owner.
    Advise {
        /// The step to place.
        step: Step,
        /// The names of the workers that are candidates for the step.
        workers: Vec<String>,
    },
}

impl EntryRequest {
    /// Whether the request changes no state, so that it can be repeated safely.
    pub fn is_read(&self) -> bool {
        matches!(
            self,
            EntryRequest::Read { .. }
                | EntryRequest::Pending { .. }
                | EntryRequest::Explain(_)
                | EntryRequest::Advise { .. }
        )
    }

    /// Returns the name of the request for logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            EntryRequest::Submit { .. } => "submit",
            EntryRequest::Cancel { .. } => "cancel",
            EntryRequest::Read { .. } => "read",
            EntryRequest::Pending { .. } => "pending",
            EntryRequest::Claim => "claim",
            EntryRequest::Configuration { .. } => "configuration",
            EntryRequest::TakeOver { .. } => "succeed",
            EntryRequest::Leases { .. } => "leases",
            EntryRequest::Explain(_) => "explain",
            EntryRequest::Advise { .. } => "advise",
        }
    }
}

/// Which page of the configuration to return, and when.
#[message]
pub struct ConfigurationPage {
    /// The number of the page.
    pub number: usize,
    /// The offset up to which the receiving entry should have read the log. If it has nothing newer yet, it
    /// waits until it has.
    pub position: Option<u64>,
    /// The longest that it waits.
    pub wait: Duration,
}

/// What to explain.
#[message]
pub enum Explain {
    /// A job that a caller could submit.
    Submission {
        /// The queue.
        queue: Box<Queue>,
        /// The job.
        spec: Spec,
        /// The client account, if the queue needs a key of one.
        account: Option<account::Name>,
    },
    /// An accepted job.
    Job(Job),
}

/// The response to an [`EntryRequest`].
#[message]
pub enum EntryResponse {
    /// The job is accepted and in the log.
    Accepted,
    /// The job is cancelled, or had already ended.
    Cancelled,
    /// There is no such job.
    Gone,
    /// The job's phase.
    Phase(Phase),
    /// The number of jobs of which no task has started yet.
    Pending(u64),
    /// The latest claim that the responding entry has read or received; `None` if there is none.
    Claim(Option<Claim>),
    /// The configuration in force at the responding entry; `None` if it has no newer one.
    Configuration(Option<Box<QueueTable>>),
    /// A page of the changes of the configuration.
    ConfigurationPage {
        /// The page; `None` if the responding entry has no newer version.
        page: Option<Box<patch::Page>>,
        /// The offset up to which it has read the log.
        position: Option<u64>,
        /// The time since its last read that succeeded; `None` if none has.
        read_age: Option<Duration>,
    },
    /// The workers that may still have a lease, as of the response.
    Leases(Vec<RemainingLease>),
    /// Where the tasks of a job would go, or wait.
    Explained(Box<Explanation>),
    /// The workers that may run the step.
    Advised {
        /// The workers' names, each with the advisor's ticket for it.
        allowed: Vec<(String, String)>,
        /// How long the tickets are valid.
        validity: Duration,
    },
}

/// One message on a link.
#[message]
pub enum Frame {
    /// The first frame of each end.
    Hello {
        /// The name of the sending entry.
        name: String,
    },
    /// Shows that the link works.
    Heartbeat,
    /// A request.
    #[serde(rename = "Ask")]
    Request {
        /// Identifies the request on this link; the response repeats it.
        id: u64,
        /// The request itself.
        #[serde(rename = "ask")]
        request: EntryRequest,
    },
    /// A response.
    #[serde(rename = "Tell")]
    Response {
        /// The id of the request.
        id: u64,
        /// The result of the request.
        #[serde(rename = "tell")]
        response: Result<EntryResponse>,
    },
}
