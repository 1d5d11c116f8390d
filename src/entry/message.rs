//! What entries ask of each other.

use std::time::Duration;

use laburnum_derive::message;

use crate::core::error::Result;
use crate::core::scheduler::id::{Job, Step, Token};
use crate::core::scheduler::record::Phase;
use crate::core::scheduler::spec::{Queue, Spec};
use crate::core::tenure::Claim;

/// What is asked, of the owner but for [`Ask::Advise`], [`Ask::Claim`] and
/// [`Ask::Succeed`].
#[message]
pub enum Ask {
    /// Accepts a job.
    Submit {
        /// The id that the client chose.
        job: Job,
        /// The queue.
        queue: Queue,
        /// The job.
        spec: Spec,
    },
    /// Cancels a job.
    Cancel {
        /// The job.
        job: Job,
        /// The queue's name.
        queue: String,
    },
    /// Says how a job stands.
    Read {
        /// The job.
        job: Job,
        /// The queue's name.
        queue: String,
    },
    /// Counts the jobs of a queue that have started nothing.
    Pending {
        /// The queue's name.
        queue: String,
    },
    /// Asks any entry who owns the cell.
    Claim,
    /// Asks another entry to take the cell over from the asking owner.
    Succeed {
        /// The owner's token.
        token: Token,
        /// Whether the owner stops; else the log refuses its records.
        is_stopping: bool,
    },
    /// Calls the advisor on behalf of the owner.
    Advise {
        /// The step.
        step: Step,
        /// The workers, by name.
        workers: Vec<String>,
    },
}

impl Ask {
    /// Whether nothing is changed by asking.
    pub fn is_read(&self) -> bool {
        matches!(
            self,
            Ask::Read { .. } | Ask::Pending { .. } | Ask::Advise { .. }
        )
    }

    /// Returns the name in logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Ask::Submit { .. } => "submit",
            Ask::Cancel { .. } => "cancel",
            Ask::Read { .. } => "read",
            Ask::Pending { .. } => "pending",
            Ask::Claim => "claim",
            Ask::Succeed { .. } => "succeed",
            Ask::Advise { .. } => "advise",
        }
    }
}

/// What is answered.
#[message]
pub enum Tell {
    /// The job is accepted and in the log.
    Accepted,
    /// The job is cancelled, or had ended.
    Cancelled,
    /// There is no such job.
    Gone,
    /// How the job stands.
    Phase(Phase),
    /// How many jobs have started nothing.
    Pending(u64),
    /// The claim in force, as far as the asked entry knows.
    Claim(Option<Claim>),
    /// The permitted workers.
    Advised {
        /// Names and tickets.
        allowed: Vec<(String, String)>,
        /// How long the tickets hold.
        validity: Duration,
    },
}

/// One message on a link.
#[message]
pub enum Frame {
    /// The first message: who dialled.
    Hello {
        /// Its name.
        name: String,
    },
    /// Shows that the link works.
    Heartbeat,
    /// Asks for something.
    Ask {
        /// Matches the answer.
        id: u64,
        /// What.
        ask: Ask,
    },
    /// Answers an ask.
    Tell {
        /// The id of the ask.
        id: u64,
        /// The answer.
        tell: Result<Tell>,
    },
}
