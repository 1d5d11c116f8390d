//! The configuration in force and the operators that wait for a change.

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
use crate::wire::{Reply, Stream, Tell};

/// How many versions a list shows.
const LISTED: usize = 64;

/// A change as an operator asks for it.
pub(super) struct Wish {
    /// The version that it was made against.
    pub(super) base: u64,
    /// Who makes it.
    pub(super) author: String,
    /// What changes.
    pub(super) body: Body,
    /// When it is made.
    pub(super) at: Stamp,
    /// When the operator gives up.
    pub(super) deadline: Instant,
}

/// An answer to an operator.
pub(super) struct Answer {
    reply: Reply,
    result: Result<Tell>,
}

impl Answer {
    /// Sends the answer.
    pub(super) fn send(self) {
        let _ = self.reply.send(self.result);
    }
}

/// The store and the operators that wait.
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

    /// Sends a change to the log, or refuses at once what is bound to be refused.
    pub(super) fn put(
        &mut self,
        now: Instant,
        journal: &mut Journal,
        wish: Wish,
        reply: Reply,
    ) -> Vec<Answer> {
        let change = Change {
            id: Uuid::new_v4(),
            format: FORMAT,
            base: Version(wish.base),
            author: wish.author,
            at: wish.at,
            body: wish.body,
        };
        if let Err(error) = self.check(journal, &change) {
            return vec![Answer {
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
                    deadline: wish.deadline,
                };
                self.step(now, input).0
            }
            Err(error) => vec![Answer {
                reply,
                result: Err(error),
            }],
        }
    }

    /// Refuses what is bound to be refused.
    fn check(&mut self, journal: &Journal, change: &Change) -> Result<()> {
        if !self.pending.has_room() {
            return Err(Error::new(
                Kind::Overloaded,
                "too many changes wait for a verdict; come back",
            ));
        }
        if change.base > self.store.version() {
            // This entry has not read the base yet; the log decides.
            return check_log(journal);
        }
        match self.store.preview(change) {
            Verdict::Conflict { in_force } => {
                let message = format!("version {in_force} is in force; make the change against it");
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

    /// Judges a change that was read from the log.
    pub(super) fn apply(&mut self, now: Instant, record: &Record<Change>) -> Vec<Answer> {
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

    /// Moves on to a newer state; one that cannot be read is left aside.
    pub(super) fn restore(&mut self, state: State) -> Result<bool> {
        self.store.restore(state)
    }

    /// Returns the state for a snapshot, if the store is not blocked.
    pub(super) fn state(&self) -> Option<State> {
        self.store.state()
    }

    /// Notes records that may or may not be in the log.
    pub(super) fn unknown(&mut self, now: Instant, push_ids: &[PushId]) -> Vec<Answer> {
        self.step(now, Input::Unknown(push_ids.to_vec())).0
    }

    /// Lets time pass.
    pub(super) fn tick(&mut self, now: Instant, journal: &mut Journal) -> Vec<Answer> {
        let (mut answers, withdrawals) = self.step(now, Input::Tick);
        for push_id in withdrawals {
            if journal.withdraw(Stream::Config, push_id) {
                answers.extend(self.step(now, Input::Withdrawn(push_id)).0);
            }
        }
        answers
    }

    /// Returns a version, 0 for the one in force.
    ///
    /// # Errors
    ///
    /// [`Kind::NotFound`] for a version that is not kept.
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
                format!("cannot write the document: {error}"),
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

    /// Gives an input to the list of operators; returns answers and records to withdraw.
    fn step(&mut self, now: Instant, input: Input) -> (Vec<Answer>, Vec<PushId>) {
        let mut out = Vec::new();
        self.pending.step(now, input, &mut out);
        let mut answers = Vec::new();
        let mut withdrawals = Vec::new();
        for output in out {
            match output {
                Output::Answer { id, result } => {
                    if let Some(reply) = self.replies.remove(&id) {
                        let result = result.map(|version| Tell::Version(version.0));
                        answers.push(Answer { reply, result });
                    }
                }
                Output::Withdraw(push_id) => withdrawals.push(push_id),
            }
        }
        (answers, withdrawals)
    }
}

/// How much longer than its change an operator's answer may take.
pub(super) const ANSWER_MARGIN: Duration = Duration::from_millis(200);

/// Refuses a change while it cannot become durable.
fn check_log(journal: &Journal) -> Result<()> {
    if journal.is_up() {
        return Ok(());
    }
    let message = "the log cannot be written now; come back";
    Err(Error::new(Kind::LogDown, message))
}
