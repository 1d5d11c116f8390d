//! Requests between entries, and from HTTP threads to the control thread, with their responses.

use laburnum_derive::message;
use tokio::sync::oneshot;

use super::Stream;
use crate::api::schema;
use crate::core::config;
use crate::core::error::Result;
use crate::core::id::{Caller, Job, Key, Partition, Service, Target, Team};
use crate::core::placement;
use crate::core::workload::Priority;

/// A call of a target's service.
#[message]
pub struct Call {
    /// The service.
    pub service: Service,
    /// The method.
    pub method: String,
    /// The payload, which the target receives unchanged.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// The idempotency key, always set for a call that is not idempotent.
    pub key: Option<Key>,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// The queue that the call waits in.
    pub priority: Priority,
    /// The client that made the call.
    pub caller: Caller,
}

/// A request to the control thread of this entry or of another one.
#[message]
pub enum Request {
    /// Runs a call that is not idempotent at most once.
    Call(Call),
    /// Accepts a job.
    SubmitJob(Box<placement::Job>),
    /// Reads a job.
    GetJob(Job),
    /// Cancels a job.
    CancelJob(Job),
    /// Explains why a job waits.
    ExplainJob(Job),
    /// Lists the jobs of one partition.
    ListJobs {
        /// The partition.
        partition: Partition,
        /// Only jobs of this team, when set.
        team: Option<Team>,
        /// Whether jobs that ended are listed too.
        ended: bool,
    },
    /// Lists the workers of one partition.
    ListWorkers(Partition),
    /// Lists the quotas and their use in one partition.
    ListQuotas(Partition),
    /// Lists the entries and targets that the receiver knows.
    ListVms,
    /// Reads a version of the configuration; 0 stands for the version in force.
    GetConfig(u64),
    /// Changes the configuration.
    PutConfig {
        /// The version that the change is based on.
        base: u64,
        /// The operator who made the change.
        author: String,
        /// The change.
        body: config::Body,
    },
    /// Lists the latest versions of the configuration.
    ListConfig,
    /// Returns the state of the control thread, as JSON.
    Dump,
    /// Returns the state that the receiver built from a stream; an entry without state sends this.
    StreamState(Stream),
}

/// The state of a stream.
#[message]
pub struct StreamState {
    /// The offset of the first log entry whose effect the state does not contain.
    pub next: u64,
    /// The encoded state.
    #[serde(with = "serde_bytes")]
    pub bytes: Vec<u8>,
}

/// A response to an [`Request`].
#[message]
pub enum Response {
    /// A call has run.
    Called {
        /// The body of the target's response.
        #[serde(with = "serde_bytes")]
        body: Vec<u8>,
        /// The target that ran this call; `None` when the response was recorded earlier.
        target: Option<Target>,
        /// Whether the response was recorded for an earlier call with the same key.
        recorded: bool,
    },
    /// The record of the submitted job is durable.
    Submitted(Job),
    /// The status of one job.
    Job(schema::JobStatus),
    /// The reason why a job waits.
    Explained(schema::ExplainJobResponse),
    /// The status of jobs.
    Jobs(Vec<schema::JobStatus>),
    /// The status of VMs.
    Vms(Vec<schema::VmStatus>),
    /// The status of quotas.
    Quotas(Vec<schema::QuotaStatus>),
    /// Versions of the configuration, newest first.
    Config(Vec<schema::ConfigVersion>),
    /// The number of the version that a change created.
    Version(u64),
    /// The state of the control thread, as JSON.
    State(String),
    /// The state of a stream; `None` when the sender has none.
    StreamState(Option<StreamState>),
}

/// The channel that a request's response is sent on.
pub type Reply = oneshot::Sender<Result<Response>>;
