//! One traffic thread's dispatch of the calls of one service.
//!
//! A call that may be repeated is queued at the entry where it arrives. One that runs at most once
//! is forwarded to the owner of its key, whose [`Table`](super::dedup::Table) on the control thread
//! decides: [`Output::Admit`] asks it, [`Input::Verdict`] brings its decision and
//! [`Output::Report`] tells it how the run ended. Queued requests go to a target when a slot of the
//! present grants is free. Every request gets one final answer by its deadline.
//!
//! The I/O code keeps bodies by [`Id`], sends what [`Output`] says in order, and reports what it
//! sees. It must state the time that is left right before it writes a request to a target.

mod arrival;
mod counter;
mod dump;
mod ending;
mod flight;
mod pump;
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
    urgent_ask: Duration,
}

/// Builds [`Settings`].
#[state]
pub struct Builder {
    settings: Settings,
}

/// A target as the VM list shows it.
#[value]
pub struct Listed {
    /// The target.
    pub target: Target,
    /// Where it is.
    pub place: Place,
    /// What it serves at once.
    pub capacity: slot::Capacity,
    /// Whether it is leaving and must get nothing new.
    pub is_leaving: bool,
}

/// The targets of the service in one version of the VM list.
#[message]
pub struct Listing {
    /// Grows with each change of the list.
    pub version: u64,
    /// The targets.
    pub targets: Vec<Listed>,
}

/// Who owns a partition; what speaks of an older term than known is ignored.
#[value]
pub struct Owner {
    /// The term of the ownership.
    pub term: Term,
    /// The owner.
    pub node: Node,
    /// Where it is.
    pub place: Place,
    /// When the ownership surely lasts until; needed only of this process's own partitions.
    pub until: Instant,
}

/// What a target did with a request.
#[message]
pub enum Reply {
    /// It ran it and answered.
    Done(Bytes),
    /// It ran it and failed.
    Failed(Error),
    /// It refused it before it ran.
    Refused,
}

/// The decision of the table of keys.
#[message]
pub enum Verdict {
    /// Run the request of the key once.
    Run(Id, Key),
    /// Answer the request.
    Answer(Id, Answer),
}

/// An event for the dispatcher.
#[message]
pub enum Input {
    /// A request arrived.
    Arrived(Call),
    /// The caller no longer waits for a request.
    Canceled(Id),
    /// The table of keys has decided.
    Verdict(Verdict),
    /// The owner answered a forwarded request.
    Returned(Id, Answer),
    /// A forwarded request could not be sent or its answer was lost.
    ForwardFailed(Id),
    /// A grant of slots came.
    Granted(slot::Grant),
    /// A version of the VM list came; an older one than known is ignored.
    Targets(Listing),
    /// The ownership of a partition changed or was extended.
    Owner(Partition, Owner),
    /// This process's ownership of a partition has ended and the next owner isn't known.
    Disowned(Partition),
    /// A target answered.
    Replied {
        /// The target.
        target: Target,
        /// The connection that the answer came on.
        connection: Connection,
        /// The attempt that it names.
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
    /// A target gave a sign of life on a connection.
    Heard {
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

/// How the run of a key ended, for the table.
#[message]
pub enum Report {
    /// It was dispatched and ended so.
    Finished(dedup::Outcome),
    /// It was surely not dispatched; the table answers.
    GaveUp(Answer),
    /// The request no longer waits.
    Left,
}

/// What the dispatcher wants done.
#[message]
pub enum Output {
    /// Give a request its final answer.
    Answer(Id, Answer),
    /// Forward a request to the owner of its key.
    Forward(Id, Node),
    /// Ask the table of the partition about a request.
    Admit(Partition, dedup::Submission),
    /// Tell the table of the partition about a request.
    Report {
        /// The partition.
        partition: Partition,
        /// The request.
        id: Id,
        /// Its key.
        key: Key,
        /// What happened.
        report: Report,
    },
    /// Ask the owner of the partition for slots.
    Ask(Partition, slot::Ask),
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
        /// The target must give the request up by then.
        until: Instant,
    },
    /// Send a heartbeat.
    Ping(Target, Connection),
    /// Close a connection.
    Close(Target, Connection),
    /// The planned stop may go on: nothing is in flight.
    Drained,
}

impl Settings {
    /// Starts from the defaults.
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
            urgent_ask: Duration::from_millis(20),
        }
    }
}

impl Builder {
    /// Sets how many partitions keys and targets are hashed to.
    pub fn partitions(mut self, partitions: Partitions) -> Builder {
        self.settings.partitions = partitions;
        self
    }

    /// Sets the rules of the queue.
    pub fn queue(mut self, rules: queue::Rules) -> Builder {
        self.settings.queue = rules;
        self
    }

    /// Sets the rules of grants.
    pub fn slot(mut self, rules: slot::Rules) -> Builder {
        self.settings.slot = rules;
        self
    }

    /// Sets the rules of the limit per target.
    pub fn limit(mut self, rules: limit::Rules) -> Builder {
        self.settings.limit = rules;
        self
    }

    /// Sets the rules of ejection.
    pub fn outlier(mut self, rules: outlier::Rules) -> Builder {
        self.settings.outlier = rules;
        self
    }

    /// Sets the rules of retrying.
    pub fn retry(mut self, rules: retry::Rules) -> Builder {
        self.settings.retry = rules;
        self
    }

    /// Sets the rules of connections.
    pub fn link(mut self, rules: link::Rules) -> Builder {
        self.settings.link = rules;
        self
    }

    /// Sets how often more slots are asked for while requests wait.
    pub fn urgent_ask(mut self, span: Duration) -> Builder {
        self.settings.urgent_ask = span;
        self
    }

    /// Returns the settings.
    pub fn build(self) -> Settings {
        self.settings
    }
}
