//! What a job asks for, and how it ends.
//!
//! A [`Job`] is fixed when it is submitted; its [`Builder`] fills in the usual values. All tasks of
//! a job are alike: they share one size, one command and one family.

use std::time::Duration;

use laburnum_derive::{message, value};

use crate::core::id;
use crate::core::resource::Amount;
use crate::core::workload::Class;

/// How often a task is tried when the job does not say.
pub const DEFAULT_MAX_ATTEMPTS: u32 = 3;

/// The declared run time of a task when the job does not say.
pub const DEFAULT_RUN_TIME: Duration = Duration::from_secs(600);

/// How long all tasks of a gang may take to start together when the job does not say.
pub const DEFAULT_GANG_TIMEOUT: Duration = Duration::from_secs(120);

/// A job as its team submitted it.
#[message]
pub struct Job {
    /// The job's id.
    pub id: id::Job,
    /// The team that pays for it.
    pub team: id::Team,
    /// How it is placed.
    pub class: Class,
    /// The family whose run times it shares.
    pub family: id::Family,
    /// How many tasks it has.
    pub tasks: u32,
    /// The declared size of each task.
    pub size: Amount,
    /// The declared run time of each task.
    pub run_time: Duration,
    /// What each task runs.
    pub command: String,
    /// How long all tasks of a gang may take from placement until all run.
    pub gang_timeout: Duration,
    /// How often one task may fail before the job does.
    pub max_attempts: u32,
    /// How tasks are kept apart.
    pub spread: Spread,
}

/// How the tasks of a job are kept apart.
#[value]
#[derive(Default)]
#[serde(rename_all = "snake_case")]
pub enum Spread {
    /// Wherever they fit best.
    #[default]
    None,
    /// Evenly over data centres and racks where there is room.
    Racks,
}

/// How a job ended.
#[value]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// All tasks succeeded.
    Succeeded,
    /// A task failed on every worker it was tried on, up to the number of attempts.
    Failed,
    /// It was cancelled.
    Canceled,
}

/// Builds a [`Job`].
#[derive(Clone, Debug)]
pub struct Builder {
    job: Job,
}

impl Job {
    /// Starts a job of one task of `size`.
    pub fn builder(id: id::Job, team: id::Team, class: Class, size: Amount) -> Builder {
        let spread = match class {
            Class::Service => Spread::Racks,
            _ => Spread::None,
        };
        Builder {
            job: Job {
                id,
                family: id::Family(team.0.clone()),
                team,
                class,
                tasks: 1,
                size,
                run_time: DEFAULT_RUN_TIME,
                command: String::new(),
                gang_timeout: DEFAULT_GANG_TIMEOUT,
                max_attempts: DEFAULT_MAX_ATTEMPTS,
                spread,
            },
        }
    }
}

impl Builder {
    /// Sets the number of tasks.
    pub fn tasks(mut self, tasks: u32) -> Builder {
        self.job.tasks = tasks;
        self
    }

    /// Sets the family whose run times the job shares; the team's name when not set.
    pub fn family(mut self, family: id::Family) -> Builder {
        self.job.family = family;
        self
    }

    /// Sets the declared run time of a task.
    pub fn run_time(mut self, span: Duration) -> Builder {
        self.job.run_time = span;
        self
    }

    /// Sets what a task runs.
    pub fn command(mut self, command: impl Into<String>) -> Builder {
        self.job.command = command.into();
        self
    }

    /// Sets how long a gang may take until all its tasks run.
    pub fn gang_timeout(mut self, span: Duration) -> Builder {
        self.job.gang_timeout = span;
        self
    }

    /// Sets how often one task may fail.
    pub fn max_attempts(mut self, attempts: u32) -> Builder {
        self.job.max_attempts = attempts;
        self
    }

    /// Sets how tasks are kept apart; services are spread over racks when not set.
    pub fn spread(mut self, spread: Spread) -> Builder {
        self.job.spread = spread;
        self
    }

    /// Returns the job.
    pub fn build(self) -> Job {
        self.job
    }
}
