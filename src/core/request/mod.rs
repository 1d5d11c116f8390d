//! How calls reach targets: at most once, the whole answer, no head-of-line blocking.

pub mod call;
pub mod dedup;
pub mod dispatcher;
pub mod limit;
pub mod link;
pub mod outlier;
pub mod queue;
pub mod rate;
pub mod retry;
pub mod route;
pub mod slot;

pub use self::call::{Answer, Call, Id, Origin, Safety};
pub use self::dispatcher::{Dispatcher, Settings};
