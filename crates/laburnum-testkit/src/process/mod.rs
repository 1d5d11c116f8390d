//! Programs as tests run them.
//!
//! A [`Builder`] names a program of this workspace and its arguments. [`Builder::run`] waits for
//! its end and returns [`Finished`], whose `expect_` functions compare it with what it should have
//! done. [`Builder::start`] leaves it running as a [`Process`], which is killed by its id when it
//! is dropped.

mod capture;
mod finished;

use std::env;
use std::ffi::{OsStr, OsString};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use eyre::WrapErr as _;
use rustix::process::{Pid, kill_process};

use self::capture::Capture;
pub use self::finished::Finished;

/// The span between two looks at a program that may have ended.
const POLL: Duration = Duration::from_millis(10);

/// How long a program may run under [`Builder::run`] unless told otherwise.
const RUN_LIMIT: Duration = Duration::from_secs(30);

/// A signal to a program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Pauses it.
    Stop,
    /// Lets it go on after a pause.
    Continue,
    /// Asks it to end.
    Terminate,
    /// Ends it at once.
    Kill,
}

impl From<Signal> for rustix::process::Signal {
    fn from(signal: Signal) -> rustix::process::Signal {
        match signal {
            Signal::Stop => rustix::process::Signal::STOP,
            Signal::Continue => rustix::process::Signal::CONT,
            Signal::Terminate => rustix::process::Signal::TERM,
            Signal::Kill => rustix::process::Signal::KILL,
        }
    }
}

/// Returns the file of a program of this workspace, beside the current one.
///
/// # Errors
///
/// Fails when the program has not been built.
pub fn program(name: &str) -> eyre::Result<PathBuf> {
    let current = env::current_exe().wrap_err("the current program's own file is not known")?;
    let directories = current.ancestors().skip(1).take(2);
    let file = directories
        .map(|directory| directory.join(name))
        .find(|file| file.is_file());
    file.ok_or_else(|| {
        eyre::eyre!("`{name}` is not built; run `cargo build --workspace --bins` first")
    })
}

/// A program that is to be run.
#[derive(Clone, Debug)]
pub struct Builder {
    name: String,
    program: String,
    arguments: Vec<OsString>,
    limit: Duration,
}

impl Builder {
    /// Names a program of this workspace.
    pub fn new(program: &str) -> Builder {
        Builder {
            name: program.to_owned(),
            program: program.to_owned(),
            arguments: Vec::new(),
            limit: RUN_LIMIT,
        }
    }

    /// Sets the name that messages call the program by.
    pub fn name(mut self, name: impl Into<String>) -> Builder {
        self.name = name.into();
        self
    }

    /// Adds an argument.
    pub fn arg(mut self, argument: impl AsRef<OsStr>) -> Builder {
        self.arguments.push(argument.as_ref().to_owned());
        self
    }

    /// Adds arguments.
    pub fn args(mut self, arguments: impl IntoIterator<Item = impl AsRef<OsStr>>) -> Builder {
        let arguments = arguments.into_iter();
        self.arguments
            .extend(arguments.map(|each| each.as_ref().to_owned()));
        self
    }

    /// Sets how long the program may run under [`Builder::run`].
    pub fn limit(mut self, limit: Duration) -> Builder {
        self.limit = limit;
        self
    }

    /// Starts the program and leaves it running.
    ///
    /// # Errors
    ///
    /// Fails when the program is not built or cannot be started.
    pub fn start(self) -> eyre::Result<Process> {
        let mut child = Command::new(program(&self.program)?)
            .args(&self.arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .wrap_err_with(|| format!("{} cannot be started", self.name))?;
        Ok(Process {
            out: child.stdout.take().map(Capture::start).unwrap_or_default(),
            err: child.stderr.take().map(Capture::start).unwrap_or_default(),
            name: self.name,
            child,
        })
    }

    /// Runs the program to its end.
    ///
    /// # Errors
    ///
    /// Fails when the program cannot be started or does not end within the limit.
    pub fn run(self) -> eyre::Result<Finished> {
        let limit = self.limit;
        let mut process = self.start()?;
        let status = process.wait(limit)?;
        Ok(Finished::new(
            process.name.clone(),
            status,
            process.out.close(),
            process.err.close(),
        ))
    }
}

/// A running program.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    out: Capture,
    err: Capture,
}

impl Process {
    /// Returns the name that messages call the program by.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits for the first line of standard output that `select` returns a value for.
    ///
    /// # Errors
    ///
    /// Fails when the output ends or `limit` passes first.
    pub fn wait_for_line<T>(
        &self,
        limit: Duration,
        select: impl Fn(&str) -> Option<T>,
    ) -> eyre::Result<T> {
        let found = self
            .out
            .wait(limit, |lines| lines.iter().find_map(|line| select(line)));
        found.ok_or_else(|| {
            eyre::eyre!(
                "{} did not print the expected line; its output:\n{}",
                self.name,
                self.output()
            )
        })
    }

    /// Returns everything printed so far, standard output first.
    pub fn output(&self) -> String {
        format!("{}{}", self.out.text(), self.err.text())
    }

    /// Returns whether the program still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends a signal.
    ///
    /// # Errors
    ///
    /// Fails when the program has ended.
    pub fn signal(&self, signal: Signal) -> eyre::Result<()> {
        kill_process(Pid::from_child(&self.child), signal.into())
            .wrap_err_with(|| format!("{} cannot be sent {signal:?}", self.name))
    }

    /// Waits for the program's end.
    ///
    /// # Errors
    ///
    /// Fails when it does not end within `limit`.
    pub fn wait(&mut self, limit: Duration) -> eyre::Result<ExitStatus> {
        let deadline = Instant::now() + limit;
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            eyre::ensure!(
                Instant::now() < deadline,
                "{} did not end within {limit:?}; its output:\n{}",
                self.name,
                self.output()
            );
            thread::sleep(POLL);
        }
    }

    /// Kills the program and waits for its end.
    ///
    /// # Errors
    ///
    /// Fails when the end cannot be waited for.
    pub fn kill(&mut self) -> eyre::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.kill();
    }
}
