//! The configuration in force and the pending changes of operators.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use uuid::Uuid;

use super::journal::Journal;
use crate::api::schema::ConfigVersion;
use crate::core::config::{
    Body, Change, Config, FORMAT, Input, Output, Pending, State, Store, Verdict, Version,
};
use crate::core::error::{Error, Kind, Result};
use crate::core::stream::{PushId, Record};
use crate::core::time::{Instant, Stamp};
use crate::wire::{Reply, Response, Stream};

/// How many versions [`Configuration::list`] returns at most.
const LISTED: usize = 64;

/// An operator's request to change the configuration.
pub(super) struct ChangeRequest {
    /// The version that the change is based on.
    pub(super) base: u64,
    /// The operator who makes the change.
    pub(super) author: String,
    /// The change.
    pub(super) body: Body,
    /// The time of the request.
    pub(super) at: Stamp,
    /// When the operator stops waiting for the response.
    pub(super) deadline: Instant,
}

/// A response to an operator.
pub(super) struct OperatorResponse {
    reply: Reply,
    result: Result<Response>,
}

impl OperatorResponse {
    /// Sends the response.
    pub(super) fn send(self) {
        let _ = self.reply.send(self.result);
    }
}

/// The versions of the configuration and the pending changes, with the channels for responses.
#[derive(Default)]
pub(super) struct Configuration {
    store: Store,
    pending: Pending,
    replies: HashMap<Uuid, Reply>,
}

impl Configuration {
    /// Returns the configuration in force.
    pub(super) fn config(&self) -> &Config {
        self.store.config()
    }

    /// Returns the configuration in force for other threads.
    pub(super) fn shared(&self) -> Arc<Config> {
        Arc::clone(self.store.config())
    }

    /// Returns the version in force.
    pub(super) fn version(&self) -> Version {
        self.store.version()
    }

    /// Writes a change to the log, or refuses it at once when it cannot be accepted.
    pub(super) fn put(
        &mut self,
        now: Instant,
        journal: &mut Journal,
        request: ChangeRequest,
        reply: Reply,
    ) -> Vec<OperatorResponse> {
        let change = Change {
            id: Uuid::new_v4(),
            format: FORMAT,
            base: Version(request.base),
            author: request.author,
            at: request.at,
            body: request.body,
        };
        if let Err(error) = self.check(journal, &change) {
            return vec![OperatorResponse {
                reply,
                result: Err(error),
            }];
        }
        match journal.push(Stream::Config, &change) {
            Ok(push_id) => {
                self.replies.insert(change.id, reply);
                let input = Input::Submitted {
                    id: change.id,
                    push_id,
                    deadline: request.deadline,
                };
                self.step(now, input).0
            }
            Err(error) => vec![OperatorResponse {
                reply,
                result: Err(error),
            }],
        }
    }

    /// Refuses a change that cannot be accepted.
    fn check(&mut self, journal: &Journal, change: &Change) -> Result<()> {
        if !self.pending.has_room() {
            return Err(Error::new(
                Kind::Overloaded,
                "too many configuration changes are pending; retry later",
            ));
        }
        if change.base > self.store.version() {
            // This entry has not read the base version yet; the order in the log decides.
            return check_log(journal);
        }
        match self.store.preview(change) {
            Verdict::Conflict { in_force } => {
                let message = format!("version {in_force} is in force; base the change on it");
                return Err(Error::new(Kind::Conflict, message));
            }
            Verdict::Invalid(faults) => {
                let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
                return Err(Error::new(Kind::InvalidConfig, lines.join("\n")));
            }
            _ => {}
        }
        check_log(journal)
    }

    /// Applies a change that was read from the log, and responds to its operator.
    pub(super) fn apply(&mut self, now: Instant, record: &Record<Change>) -> Vec<OperatorResponse> {
        let verdict = self.store.apply(record);
        self.step(
            now,
            Input::Evaluated {
                id: record.value.id,
                verdict,
            },
        )
        .0
    }

    /// Restores a newer state; fails for one that cannot be read.
    pub(super) fn restore(&mut self, state: State) -> Result<bool> {
        self.store.restore(state)
    }

    /// Returns the state for a snapshot, if the store is not blocked.
    pub(super) fn state(&self) -> Option<State> {
        self.store.state()
    }

    /// Handles records that may or may not be in the log.
    pub(super) fn unknown(&mut self, now: Instant, push_ids: &[PushId]) -> Vec<OperatorResponse> {
        self.step(now, Input::Unknown(push_ids.to_vec())).0
    }

    /// Advances the pending changes, and withdraws records whose operators stopped waiting.
    pub(super) fn tick(&mut self, now: Instant, journal: &mut Journal) -> Vec<OperatorResponse> {
        let (mut responses, withdrawals) = self.step(now, Input::Tick);
        for push_id in withdrawals {
            if journal.withdraw(Stream::Config, push_id) {
                responses.extend(self.step(now, Input::Withdrawn(push_id)).0);
            }
        }
        responses
    }

    /// Returns a version; 0 stands for the version in force.
    ///
    /// # Errors
    ///
    /// [`Kind::NotFound`] for a version that is not stored.
    pub(super) fn get(&self, version: u64) -> Result<ConfigVersion> {
        let version = if version == 0 {
            self.store.version()
        } else {
            Version(version)
        };
        let document = self.store.document_at(version)?;
        let document = serde_json::to_string_pretty(&document).map_err(|error| {
            Error::new(
                Kind::Internal,
                format!("cannot serialize the configuration: {error}"),
            )
        })?;
        let entry = self.store.history().find(|entry| entry.version == version);
        let author = entry.map_or_else(String::new, |entry| entry.author.clone());
        Ok(ConfigVersion {
            version: version.0,
            author,
            document,
        })
    }

    /// Returns the latest versions, newest first.
    pub(super) fn list(&self) -> Vec<ConfigVersion> {
        let newest = self.store.version().0;
        let oldest = newest.saturating_sub(LISTED as u64) + 1;
        (oldest..=newest)
            .rev()
            .filter_map(|version| self.get(version).ok())
            .collect()
    }

    /// Passes an input to the pending changes; returns responses and records to withdraw.
    fn step(&mut self, now: Instant, input: Input) -> (Vec<OperatorResponse>, Vec<PushId>) {
        let mut out = Vec::new();
        self.pending.step(now, input, &mut out);
        let mut responses = Vec::new();
        let mut withdrawals = Vec::new();
        for output in out {
            match output {
                Output::Answer { id, result } => {
                    if let Some(reply) = self.replies.remove(&id) {
                        let result = result.map(|version| Response::Version(version.0));
                        responses.push(OperatorResponse { reply, result });
                    }
                }
                Output::Withdraw(push_id) => withdrawals.push(push_id),
            }
        }
        (responses, withdrawals)
    }
}

/// How long before its response is due a change expires.
pub(super) const RESPONSE_MARGIN: Duration = Duration::from_millis(200);

/// Refuses a change while it cannot become durable.
fn check_log(journal: &Journal) -> Result<()> {
    if journal.is_up() {
        return Ok(());
    }
    let message = "the log cannot be written now; retry later";
    Err(Error::new(Kind::LogDown, message))
}
