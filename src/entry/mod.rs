//! A scheduler VM that runs jobs on a platform with a log, workers and an advisor.
//!
//! One [`control`] thread tracks the owner of the cell, runs the links to other entries and, while
//! this entry owns the cell, carries out the decisions of the
//! [scheduler](crate::core::scheduler). Traffic threads pass requests to it through a [`ControlHandle`]. The
//! traits of [`port`] abstract the platform's protocols.

pub mod control;
pub mod latency;
pub mod link;
pub mod message;
pub mod owner;
pub mod port;
pub mod rpc;
pub mod settings;
pub mod standby;
pub mod writer;

use tokio::sync::{mpsc, oneshot};

use crate::core::error::{Error, Kind, Result};
use crate::core::time::Instant;
use control::Call;
use message::{EntryRequest, EntryResponse};

/// A handle through which traffic threads send requests to the control thread.
#[derive(Clone)]
pub struct ControlHandle {
    calls: mpsc::UnboundedSender<Call>,
}

impl ControlHandle {
    /// Creates a handle, and the receiver of its requests for the control thread.
    pub fn new() -> (ControlHandle, mpsc::UnboundedReceiver<Call>) {
        let (calls, receiver) = mpsc::unbounded_channel();
        (ControlHandle { calls }, receiver)
    }

    /// Sends a request to the owner of the cell and returns its response.
    ///
    /// # Errors
    ///
    /// The owner's error; [`Kind::NoOwner`] when no owner was found before `wait_until`;
    /// [`Kind::AnswerLost`] when it is still unknown at `deadline` whether the request was executed;
    /// [`Kind::Stopping`] when the control thread has ended.
    pub async fn request(
        &self,
        request: EntryRequest,
        wait_until: Instant,
        deadline: Instant,
    ) -> Result<EntryResponse> {
        let (reply, answer) = oneshot::channel();
        let call = Call {
            request,
            wait_until,
            deadline,
            reply,
        };
        let lost = |_| {
            Error::new(
                Kind::AnswerLost,
                "the control thread ended before it answered the request",
            )
        };
        self.calls
            .send(call)
            .map_err(|_| Error::new(Kind::Stopping, "the entry is stopping"))?;
        answer.await.map_err(lost)?
    }
}
