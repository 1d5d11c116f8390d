//! An entry that runs jobs of steps on a platform with a log, workers and an advisor.
//!
//! One [`control`] thread follows who owns the cell, carries links to other entries and, while it
//! owns the cell, carries out what the [scheduler](crate::core::scheduler) decides. Traffic threads
//! hand it requests through a [`Gate`]. What the platform speaks is behind the traits of [`port`].

pub mod control;
pub mod link;
pub mod message;
pub mod owner;
pub mod port;
pub mod settings;
pub mod writer;

use tokio::sync::{mpsc, oneshot};

use crate::core::error::{Error, Kind, Result};
use crate::core::time::Instant;
use control::Call;
use message::{Ask, Tell};

/// The way from a traffic thread to the control thread.
#[derive(Clone)]
pub struct Gate {
    calls: mpsc::UnboundedSender<Call>,
}

impl Gate {
    /// Makes a gate and the other end of it.
    pub fn new() -> (Gate, mpsc::UnboundedReceiver<Call>) {
        let (calls, receiver) = mpsc::unbounded_channel();
        (Gate { calls }, receiver)
    }

    /// Gets a request served by the owner of the cell.
    ///
    /// # Errors
    ///
    /// What the owner answered; [`Kind::NoOwner`] when no owner was found before `patience`, and
    /// [`Kind::AnswerLost`] when at `deadline` it is not known whether the request was taken.
    pub async fn ask(&self, ask: Ask, patience: Instant, deadline: Instant) -> Result<Tell> {
        let (reply, answer) = oneshot::channel();
        let call = Call {
            ask,
            patience,
            deadline,
            reply,
        };
        let lost = |_| Error::new(Kind::AnswerLost, "the control thread is gone");
        self.calls
            .send(call)
            .map_err(|_| Error::new(Kind::Stopping, "the entry stops"))?;
        answer.await.map_err(lost)?
    }
}
