//! The closed list of error kinds and the table of how each is reported.
//!
//! Every refusal or failure that a caller can get is one [`Kind`]. The [`table`](Kind::answer)
//! gives its RPC code, whether the request ran, and whether and when the caller may retry, so that
//! all parts of the daemon report it the same way.

use std::fmt;
use std::time::Duration;

use laburnum_derive::value;

/// What is known about whether a request ran.
#[value]
pub enum Effect {
    /// The request was not run and will not be.
    NotRun,
    /// The request may or may not have run.
    Unknown,
    /// The request ran.
    Ran,
}

/// An RPC status code of the Connect protocol.
#[value]
#[allow(missing_docs, reason = "the names are those of the Connect protocol")]
pub enum Code {
    InvalidArgument,
    Unauthenticated,
    NotFound,
    Aborted,
    FailedPrecondition,
    ResourceExhausted,
    Unavailable,
    DeadlineExceeded,
    Internal,
    Unknown,
    Unimplemented,
    Canceled,
}

/// The kind of an error that a caller or an operator can get.
#[value]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The request body, key or a field is malformed.
    Malformed,
    /// The request is larger than the limit.
    TooLarge,
    /// The call has no key of a client account, or one that admits nobody.
    Unauthenticated,
    /// The service, job, VM or version does not exist.
    NotFound,
    /// The job was never accepted, or its status is no longer kept, according to the owner of the cell.
    Gone,
    /// A non-idempotent call has no key, or its key is not a UUID version 7.
    KeyRequired,
    /// The key's creation time is outside the accepted window.
    KeyExpired,
    /// The key was used before with a different request.
    KeyReused,
    /// No worker could ever hold the job.
    Impossible,
    /// The configuration has faults.
    InvalidConfig,
    /// Another change to the configuration was accepted after the version that this one is based
    /// on.
    Conflict,
    /// A queue, quota or limit is full.
    Overloaded,
    /// The deadline passed before the request was dispatched.
    Expired,
    /// The owner of the partition is unknown or currently not allowed to act.
    NoOwner,
    /// The platform's log currently cannot be written.
    LogDown,
    /// No target of the service can currently take the request.
    NoTarget,
    /// The daemon is stopping and takes no new work.
    Stopping,
    /// The request may have reached a target, but its response was lost.
    AnswerLost,
    /// The target ran the request and responded with a failure.
    TargetFailed,
    /// The caller or an operator cancelled the work.
    Canceled,
    /// The RPC does not exist.
    Unimplemented,
    /// A defect in the daemon.
    Internal,
}

/// How a kind is reported to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The kind's name on the wire and in metrics.
    pub name: &'static str,
    /// The RPC status code.
    pub code: Code,
    /// Whether the same request may be sent again.
    pub retryable: bool,
    /// What is known about whether the request ran.
    pub effect: Effect,
    /// The minimum wait before a retry, if the kind has a usual one.
    pub retry_after: Option<Duration>,
    /// A description of the kind for people.
    pub meaning: &'static str,
}

impl Code {
    /// Returns the code's name in the Connect protocol.
    pub fn name(self) -> &'static str {
        match self {
            Code::InvalidArgument => "invalid_argument",
            Code::Unauthenticated => "unauthenticated",
            Code::NotFound => "not_found",
            Code::Aborted => "aborted",
            Code::FailedPrecondition => "failed_precondition",
            Code::ResourceExhausted => "resource_exhausted",
            Code::Unavailable => "unavailable",
            Code::DeadlineExceeded => "deadline_exceeded",
            Code::Internal => "internal",
            Code::Unknown => "unknown",
            Code::Unimplemented => "unimplemented",
            Code::Canceled => "canceled",
        }
    }

    /// Returns the HTTP status that the Connect protocol gives the code.
    pub fn http_status(self) -> u16 {
        match self {
            Code::InvalidArgument | Code::FailedPrecondition => 400,
            Code::Unauthenticated => 401,
            Code::NotFound => 404,
            Code::Aborted => 409,
            Code::ResourceExhausted => 429,
            Code::Unavailable => 503,
            Code::DeadlineExceeded => 504,
            Code::Internal | Code::Unknown => 500,
            Code::Unimplemented => 501,
            Code::Canceled => 499,
        }
    }
}

impl Kind {
    /// Returns the kind with this name on the wire, or `None` for an unknown name.
    pub fn from_name(name: &str) -> Option<Kind> {
        Kind::ALL
            .into_iter()
            .find(|kind| kind.answer().name == name)
    }

    /// All kinds, in the order of the table.
    pub const ALL: [Kind; 22] = [
        Kind::Malformed,
        Kind::TooLarge,
        Kind::Unauthenticated,
        Kind::NotFound,
        Kind::Gone,
        Kind::KeyRequired,
        Kind::KeyExpired,
        Kind::KeyReused,
        Kind::Impossible,
        Kind::InvalidConfig,
        Kind::Conflict,
        Kind::Overloaded,
        Kind::Expired,
        Kind::NoOwner,
        Kind::LogDown,
        Kind::NoTarget,
        Kind::Stopping,
        Kind::AnswerLost,
        Kind::TargetFailed,
        Kind::Canceled,
        Kind::Unimplemented,
        Kind::Internal,
    ];

    /// Returns how the kind is reported.
    pub fn answer(self) -> Answer {
        use Code as C;
        use Effect::{NotRun, Ran, Unknown};
        const SOON: Option<Duration> = Some(Duration::from_millis(200));
        const LATER: Option<Duration> = Some(Duration::from_secs(2));
        const NEVER: Option<Duration> = None;
        let (name, code, retryable, effect, retry_after, meaning) = match self {
            Kind::Malformed => (
                "malformed",
                C::InvalidArgument,
                false,
                NotRun,
                NEVER,
                "the request is malformed",
            ),
            Kind::TooLarge => (
                "too_large",
                C::InvalidArgument,
                false,
                NotRun,
                NEVER,
                "the request is too large",
            ),
            Kind::Unauthenticated => (
                "unauthenticated",
                C::Unauthenticated,
                false,
                NotRun,
                NEVER,
                "no valid key of a client account",
            ),
            Kind::NotFound => (
                "not_found",
                C::NotFound,
                false,
                NotRun,
                NEVER,
                "no such thing",
            ),
            Kind::Gone => (
                "gone",
                C::NotFound,
                false,
                NotRun,
                NEVER,
                "the job is not known",
            ),
            Kind::KeyRequired => (
                "key_required",
                C::InvalidArgument,
                false,
                NotRun,
                NEVER,
                "a key is required",
            ),
            Kind::KeyExpired => (
                "key_expired",
                C::FailedPrecondition,
                false,
                Unknown,
                NEVER,
                "the key's time is outside the window",
            ),
            Kind::KeyReused => (
                "key_reused",
                C::InvalidArgument,
                false,
                NotRun,
                NEVER,
                "the key belongs to another request",
            ),
            Kind::Impossible => (
                "impossible",
                C::FailedPrecondition,
                false,
                NotRun,
                NEVER,
                "no worker could ever hold the job",
            ),
            Kind::InvalidConfig => (
                "invalid_config",
                C::InvalidArgument,
                false,
                NotRun,
                NEVER,
                "the configuration has faults",
            ),
            Kind::Conflict => (
                "conflict",
                C::Aborted,
                false,
                NotRun,
                NEVER,
                "the version in force is another one",
            ),
            Kind::Overloaded => (
                "overloaded",
                C::ResourceExhausted,
                true,
                NotRun,
                SOON,
                "a queue, quota or limit is full",
            ),
            Kind::Expired => (
                "expired",
                C::DeadlineExceeded,
                true,
                NotRun,
                SOON,
                "the deadline passed before dispatch",
            ),
            Kind::NoOwner => (
                "no_owner",
                C::Unavailable,
                true,
                NotRun,
                LATER,
                "the partition has no owner that may act",
            ),
            Kind::LogDown => (
                "log_down",
                C::Unavailable,
                true,
                NotRun,
                LATER,
                "the platform's log cannot be written",
            ),
            Kind::NoTarget => (
                "no_target",
                C::Unavailable,
                true,
                NotRun,
                LATER,
                "no target can take the request",
            ),
            Kind::Stopping => (
                "stopping",
                C::Unavailable,
                true,
                NotRun,
                SOON,
                "the daemon is stopping",
            ),
            Kind::AnswerLost => (
                "answer_lost",
                C::Unknown,
                false,
                Unknown,
                NEVER,
                "the request may have run",
            ),
            Kind::TargetFailed => (
                "target_failed",
                C::Internal,
                false,
                Ran,
                NEVER,
                "the target ran the request and failed",
            ),
            Kind::Canceled => (
                "canceled",
                C::Canceled,
                false,
                NotRun,
                NEVER,
                "the work was cancelled",
            ),
            Kind::Unimplemented => (
                "unimplemented",
                C::Unimplemented,
                false,
                NotRun,
                NEVER,
                "the RPC does not exist",
            ),
            Kind::Internal => (
                "internal",
                C::Internal,
                false,
                Unknown,
                NEVER,
                "a defect in the daemon",
            ),
        };
        Answer {
            name,
            code,
            retryable,
            effect,
            retry_after,
            meaning,
        }
    }
}

/// An error of a [`Kind`] with the details of one case.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Error {
    /// The kind of the error.
    pub kind: Kind,
    /// What failed and how to fix it, in lower case.
    pub message: String,
    /// What is known about whether the request ran; by default that of the kind.
    pub effect: Effect,
    /// The minimum wait before a retry; by default that of the kind.
    pub retry_after: Option<Duration>,
}

/// A result whose error is an [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Creates an error of `kind`; `message` states what failed and how to fix it, in lower case.
    pub fn new(kind: Kind, message: impl Into<String>) -> Error {
        Error {
            kind,
            message: message.into(),
            effect: kind.answer().effect,
            retry_after: kind.answer().retry_after,
        }
    }

    /// Sets what is known about whether the request ran.
    pub fn with_effect(mut self, effect: Effect) -> Error {
        self.effect = effect;
        self
    }

    /// Sets the minimum wait before a retry.
    pub fn with_retry_after(mut self, span: Duration) -> Error {
        self.retry_after = Some(span);
        self
    }
}

impl fmt::Display for Error {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(&self.message)
    }
}

impl std::error::Error for Error {}
