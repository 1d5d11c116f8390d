//! The dispatcher of the calls of one service in one traffic thread.
//!
//! An idempotent call is queued at the entry where it arrives. A call that runs at most once is
//! forwarded to the owner of its key's partition. There the [`Table`](super::dedup::Table) on the
//! control thread decides about it: [`Output::Admit`] submits the request, [`Input::Verdict`]
//! returns the decision and [`Output::Report`] reports how the run ended. A queued request is sent
//! to a target when a granted slot is free. Every request gets one final answer by its deadline.
//!
//! The I/O code keeps the bodies by [`Id`], carries out each [`Output`] in order and passes events
//! in as [`Input`]. It must compute the timeout of a request right before it writes the request to
//! a target.

mod arrival;
mod counter;
mod dump;
mod ending;
mod request;
mod send;
mod state;
mod target;
mod upkeep;

use std::time::Duration;

use bytes::Bytes;
use laburnum_derive::{message, state, value};

pub use self::counter::{Counters, Reason, Traffic};
pub use self::dump::{Dump, Row};
pub use self::state::Dispatcher;
use super::call::{Answer, Call, Id};
use super::dedup::Term;
use super::link::{Attempt, Connection};
use super::route::{Partitions, Place};
use super::{dedup, limit, link, outlier, queue, retry, slot};
use crate::core::error::Error;
use crate::core::id::{Key, Node, Partition, Target};
use crate::core::time::Instant;

/// The settings of a dispatcher; see [`Settings::builder`].
#[value]
pub struct Settings {
    partitions: Partitions,
    queue: queue::Rules,
    slot: slot::Rules,
    limit: limit::Rules,
    outlier: outlier::Rules,
    retry: retry::Rules,
    link: link::Rules,
    slot_request_interval: Duration,
}

/// Builds [`Settings`].
#[state]
pub struct Builder {
    settings: Settings,
}

/// A target in the VM list.
#[value]
pub struct Listed {
    /// The target.
    pub target: Target,
    /// Its location.
    pub place: Place,
    /// Its capacity.
    pub capacity: slot::Capacity,
    /// Whether it is leaving and must get no new requests.
    pub is_leaving: bool,
}

/// The targets of the service in one version of the VM list.
#[message]
pub struct Listing {
    /// The version number, which grows with each change of the list.
    pub version: u64,
    /// The targets.
    pub targets: Vec<Listed>,
}

/// The owner of a partition. An owner with an older term than the known one is ignored.
#[value]
pub struct Owner {
    /// The term of the ownership.
    pub term: Term,
    /// The owner.
    pub node: Node,
    /// Its location.
    pub place: Place,
    /// The time until which the ownership certainly lasts; used only for this process's own
    /// partitions.
    pub until: Instant,
}

/// A target's reply to a request.
#[message]
pub enum Reply {
    /// The target ran the request and answered.
    Done(Bytes),
    /// The target ran the request, and the run failed.
    Failed(Error),
    /// The target refused the request before it ran.
    Refused,
}

/// The decision of the table of keys about a request.
#[message]
pub enum Verdict {
    /// Run the request with the key once.
    Run(Id, Key),
    /// Answer the request without running it again.
    Answer(Id, Answer),
}

/// An event for the dispatcher.
#[message]
pub enum Input {
    /// A request arrived.
    Arrived(Call),
    /// The caller no longer waits for a request.
    Canceled(Id),
    /// The table of keys decided about a request.
    Verdict(Verdict),
    /// The owner answered a forwarded request.
    ForwardAnswered(Id, Answer),
    /// A forwarded request could not be sent or its answer was lost.
    ForwardFailed(Id),
    /// A grant of slots arrived.
    Granted(slot::Grant),
    /// A version of the VM list arrived; one older than the known version is ignored.
    Targets(Listing),
    /// The ownership of a partition changed or was extended.
    Owner(Partition, Owner),
    /// This process's ownership of a partition has ended, and the next owner is not known yet.
    OwnershipEnded(Partition),
    /// A target answered.
    Replied {
        /// The target.
        target: Target,
        /// The connection that the answer arrived on.
        connection: Connection,
        /// The attempt named in the answer.
        attempt: Attempt,
        /// The answer.
        reply: Reply,
    },
    /// A connection to a target was closed or could not be opened.
    Closed {
        /// The target.
        target: Target,
        /// The connection.
        connection: Connection,
        /// Whether any byte of the request on it may have been sent.
        may_have_sent: bool,
    },
    /// Something was received from a target on a connection.
    Received {
        /// The target.
        target: Target,
        /// The connection.
        connection: Connection,
    },
    /// A planned stop begins.
    Drain,
    /// Time has passed; due at [`Dispatcher::wake_at`] at the latest.
    Tick,
}

/// A report about a request to the table of keys.
#[message]
pub enum Report {
    /// The request was sent to a target, and this is the outcome.
    Finished(dedup::Outcome),
    /// Certainly no target ran the request. The table answers it.
    NotDispatched(Answer),
    /// The request no longer waits for an answer.
    Abandoned,
}

/// An action for the I/O code.
#[message]
pub enum Output {
    /// Give a request its final answer.
    Answer(Id, Answer),
    /// Forward a request to the owner of its key.
    Forward(Id, Node),
    /// Submit a request to the partition's table of keys.
    Admit(Partition, dedup::Submission),
    /// Report to the partition's table of keys about a request.
    Report {
        /// The partition.
        partition: Partition,
        /// The request.
        id: Id,
        /// Its key.
        key: Key,
        /// The report.
        report: Report,
    },
    /// Request slots from the owner of the partition.
    RequestSlots(Partition, slot::SlotRequest),
    /// Open a connection to a target.
    Open(Target, Connection),
    /// Send a request on a connection that is open or opening.
    Send {
        /// The target.
        target: Target,
        /// The connection.
        connection: Connection,
        /// The request and the number of its attempt.
        attempt: Attempt,
        /// The time at which the target must stop serving the request.
        until: Instant,
    },
    /// Send a heartbeat.
    Ping(Target, Connection),
    /// Close a connection.
    Close(Target, Connection),
    /// No request is in flight any more, so the planned stop may continue.
    Drained,
}

impl Settings {
    /// Returns a builder with the default settings.
    pub fn builder() -> Builder {
        Builder {
            settings: Settings::default(),
        }
    }
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            partitions: Partitions(64),
            queue: queue::Rules::default(),
            slot: slot::Rules::default(),
            limit: limit::Rules::default(),
            outlier: outlier::Rules::default(),
            retry: retry::Rules::default(),
            link: link::Rules::default(),
            slot_request_interval: Duration::from_millis(20),
        }
    }
}

impl Builder {
    /// Sets the number of partitions that keys and targets are hashed to.
    pub fn partitions(mut self, partitions: Partitions) -> Builder {
        self.settings.partitions = partitions;
        self
    }

    /// Sets the parameters of the queue.
    pub fn queue(mut self, rules: queue::Rules) -> Builder {
        self.settings.queue = rules;
        self
    }

    /// Sets the parameters of grants.
    pub fn slot(mut self, rules: slot::Rules) -> Builder {
        self.settings.slot = rules;
        self
    }

    /// Sets the parameters of the concurrency limit of a target.
    pub fn limit(mut self, rules: limit::Rules) -> Builder {
        self.settings.limit = rules;
        self
    }

    /// Sets the parameters of outlier detection.
    pub fn outlier(mut self, rules: outlier::Rules) -> Builder {
        self.settings.outlier = rules;
        self
    }

    /// Sets the parameters of retries.
    pub fn retry(mut self, rules: retry::Rules) -> Builder {
        self.settings.retry = rules;
        self
    }

    /// Sets the timeouts of connections.
    pub fn link(mut self, rules: link::Rules) -> Builder {
        self.settings.link = rules;
        self
    }

    /// Sets the minimum interval between requests for more slots.
    pub fn slot_request_interval(mut self, span: Duration) -> Builder {
        self.settings.slot_request_interval = span;
        self
    }

    /// Returns the settings.
    pub fn build(self) -> Settings {
        self.settings
    }
}
