//! The specification of a job, and how a job ends.
//!
//! A [`Job`] does not change after it is submitted; its [`Builder`] fills in the defaults. All
//! tasks of a job share one size, one command and one family.

use std::time::Duration;

use laburnum_derive::{message, value};

use crate::core::id;
use crate::core::resource::Amount;
use crate::core::workload::Class;

/// The number of failures of one task after which the job fails, when the job sets none.
pub const DEFAULT_MAX_ATTEMPTS: u32 = 3;

/// The declared run time of a task when the job sets none.
pub const DEFAULT_RUN_TIME: Duration = Duration::from_secs(600);

/// How long the tasks of a gang may take from placement until all run, when the job sets no
/// timeout.
pub const DEFAULT_GANG_TIMEOUT: Duration = Duration::from_secs(120);

/// A job as its team submitted it.
#[message]
pub struct Job {
    /// The job's unique id.
    pub id: id::Job,
    /// The team whose quota the job counts against.
    pub team: id::Team,
    /// The class, which decides how the job is placed.
    pub class: Class,
    /// The family of jobs that shares one history of run times.
    pub family: id::Family,
    /// The number of tasks.
    pub tasks: u32,
    /// The declared size of each task.
    pub size: Amount,
    /// The declared run time of each task.
    pub run_time: Duration,
    /// The command that each task runs.
    pub command: String,
    /// How long the tasks of a gang may take from placement until all run.
    pub gang_timeout: Duration,
    /// The number of failures of one task after which the job fails.
    pub max_attempts: u32,
    /// How the job's tasks are distributed over workers.
    pub spread: Spread,
}

/// How the tasks of a job are distributed over workers.
#[value]
#[derive(Default)]
#[serde(rename_all = "snake_case")]
pub enum Spread {
    /// Each task goes to the worker that fits it best.
    #[default]
    None,
    /// Tasks are spread evenly over data centres and racks where there is free capacity.
    Racks,
}

/// How a job ended.
#[value]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// All tasks succeeded.
    Succeeded,
    /// One task failed as often as `max_attempts` allows; failures on workers that are on probation
    /// after a quarantine do not count.
    Failed,
    /// The job was cancelled.
    Canceled,
}

/// Builds a [`Job`] from defaults.
#[derive(Clone, Debug)]
pub struct Builder {
    job: Job,
}

impl Job {
    /// Returns a builder for a job with one task of `size`.
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

    /// Sets the family whose run times the job shares; the default is the team's name.
    pub fn family(mut self, family: id::Family) -> Builder {
        self.job.family = family;
        self
    }

    /// Sets the declared run time of a task.
    pub fn run_time(mut self, span: Duration) -> Builder {
        self.job.run_time = span;
        self
    }

    /// Sets the command that each task runs.
    pub fn command(mut self, command: impl Into<String>) -> Builder {
        self.job.command = command.into();
        self
    }

    /// Sets how long a gang may take from placement until all its tasks run.
    pub fn gang_timeout(mut self, span: Duration) -> Builder {
        self.job.gang_timeout = span;
        self
    }

    /// Sets the number of failures of one task after which the job fails.
    pub fn max_attempts(mut self, attempts: u32) -> Builder {
        self.job.max_attempts = attempts;
        self
    }

    /// Sets how tasks are distributed over workers; by default services are spread over racks.
    pub fn spread(mut self, spread: Spread) -> Builder {
        self.job.spread = spread;
        self
    }

    /// Returns the finished job.
    pub fn build(self) -> Job {
        self.job
    }
}
