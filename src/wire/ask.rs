//! What one entry asks of another, and a traffic thread of the control thread.

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
    /// Handed to the target as it is.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// The idempotency key, always set for a call that is not idempotent.
    pub key: Option<Key>,
    /// Whether running the call twice does no harm.
    pub idempotent: bool,
    /// How it is queued.
    pub priority: Priority,
    /// Who asks.
    pub caller: Caller,
}

/// What is asked.
#[message]
pub enum Ask {
    /// Runs a call that is not idempotent at most once.
    Call(Call),
    /// Accepts a job.
    SubmitJob(Box<placement::Job>),
    /// Reads a job.
    GetJob(Job),
    /// Cancels a job.
    CancelJob(Job),
    /// Says why a job waits.
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
    /// Lists the quotas as one partition sees them.
    ListQuotas(Partition),
    /// Lists entries and targets as the asked entry sees them.
    ListVms,
    /// Reads a version of the configuration, 0 for the one in force.
    GetConfig(u64),
    /// Changes the configuration.
    PutConfig {
        /// The version that the change was made against.
        base: u64,
        /// Who changes it.
        author: String,
        /// What changes.
        body: config::Body,
    },
    /// Lists the latest versions of the configuration.
    ListConfig,
    /// Returns the state of the control part.
    Dump,
    /// Returns the state of a stream, for an entry that has none.
    StreamState(Stream),
}

/// The state of a stream.
#[message]
pub struct StreamState {
    /// It holds the effect of all entries before this offset.
    pub next: u64,
    /// The encoded state.
    #[serde(with = "serde_bytes")]
    pub bytes: Vec<u8>,
}

/// What is answered.
#[message]
pub enum Tell {
    /// The answer of a call.
    Called {
        /// The target's whole answer.
        #[serde(with = "serde_bytes")]
        body: Vec<u8>,
        /// The target that answered, if it answered this request.
        target: Option<Target>,
        /// Whether the answer was recorded for an earlier request with the same key.
        recorded: bool,
    },
    /// The job is durable.
    Submitted(Job),
    /// A job.
    Job(schema::JobStatus),
    /// Why a job waits.
    Explained(schema::ExplainJobResponse),
    /// Jobs.
    Jobs(Vec<schema::JobStatus>),
    /// VMs.
    Vms(Vec<schema::VmStatus>),
    /// Quotas.
    Quotas(Vec<schema::QuotaStatus>),
    /// Versions of the configuration, newest first.
    Config(Vec<schema::ConfigVersion>),
    /// The version that a change became.
    Version(u64),
    /// State, as JSON.
    State(String),
    /// The state of a stream, if the asked entry has one.
    StreamState(Option<StreamState>),
}

/// Where the answer goes.
pub type Reply = oneshot::Sender<Result<Tell>>;
