//! Control of the programs that tests run.
//!
//! A [`Builder`] names a program of this workspace and its arguments. [`Builder::run`] waits until
//! the program exits and returns [`Finished`], whose `expect_` functions check its exit code and
//! output. [`Builder::start`] leaves the program running as a [`Process`], which is killed by its
//! process id when it is dropped.

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

/// The interval at which [`Process::wait`] checks whether the program has exited.
const EXIT_POLL: Duration = Duration::from_millis(10);

/// The default time limit of [`Builder::run`].
const RUN_LIMIT: Duration = Duration::from_secs(30);

/// A signal that can be sent to a program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// `SIGSTOP`: suspends the program.
    Stop,
    /// `SIGCONT`: resumes a suspended program.
    Continue,
    /// `SIGHUP`: requests the program to read its settings again.
    Hangup,
    /// `SIGTERM`: requests the program to exit.
    Terminate,
    /// `SIGKILL`: ends the program immediately.
    Kill,
}

impl From<Signal> for rustix::process::Signal {
    fn from(signal: Signal) -> rustix::process::Signal {
        match signal {
            Signal::Stop => rustix::process::Signal::STOP,
            Signal::Continue => rustix::process::Signal::CONT,
            Signal::Hangup => rustix::process::Signal::HUP,
            Signal::Terminate => rustix::process::Signal::TERM,
            Signal::Kill => rustix::process::Signal::KILL,
        }
    }
}

/// Returns the path of a program of this workspace.
///
/// The program is searched in the directory of the current executable and in its parent.
///
/// # Errors
///
/// Fails when the program has not been built.
pub fn program(name: &str) -> eyre::Result<PathBuf> {
    let current = env::current_exe().wrap_err("cannot find the path of the current executable")?;
    let directories = current.ancestors().skip(1).take(2);
    let file = directories
        .map(|directory| directory.join(name))
        .find(|file| file.is_file());
    file.ok_or_else(|| {
        eyre::eyre!("`{name}` is not built; run `cargo build --workspace --bins` first")
    })
}

/// A program to run, and its arguments.
#[derive(Clone, Debug)]
pub struct Builder {
    name: String,
    program: String,
    arguments: Vec<OsString>,
    limit: Duration,
}

impl Builder {
    /// Creates a builder for a program of this workspace, without arguments.
    pub fn new(program: &str) -> Builder {
        Builder {
            name: program.to_owned(),
            program: program.to_owned(),
            arguments: Vec::new(),
            limit: RUN_LIMIT,
        }
    }

    /// Sets the name of the program in error messages; the default is its file name.
    pub fn name(mut self, name: impl Into<String>) -> Builder {
        self.name = name.into();
        self
    }

    /// Adds one command-line argument.
    pub fn arg(mut self, argument: impl AsRef<OsStr>) -> Builder {
        self.arguments.push(argument.as_ref().to_owned());
        self
    }

    /// Adds command-line arguments.
    pub fn args(mut self, arguments: impl IntoIterator<Item = impl AsRef<OsStr>>) -> Builder {
        let arguments = arguments.into_iter();
        self.arguments
            .extend(arguments.map(|each| each.as_ref().to_owned()));
        self
    }

    /// Sets the time limit of [`Builder::run`]; the default is 30 seconds.
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
            .wrap_err_with(|| format!("cannot start {}", self.name))?;
        Ok(Process {
            stdout: child.stdout.take().map(Capture::start).unwrap_or_default(),
            stderr: child.stderr.take().map(Capture::start).unwrap_or_default(),
            name: self.name,
            child,
        })
    }

    /// Runs the program until it exits.
    ///
    /// # Errors
    ///
    /// Fails when the program cannot be started or does not exit within the time limit.
    pub fn run(self) -> eyre::Result<Finished> {
        let limit = self.limit;
        let mut process = self.start()?;
        let status = process.wait(limit)?;
        Ok(Finished::new(
            process.name.clone(),
            status,
            process.stdout.close(),
            process.stderr.close(),
        ))
    }
}

/// A program that was started; it is killed on drop.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    stdout: Capture,
    stderr: Capture,
}

impl Process {
    /// Returns the name of the program in error messages.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the operating system's process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits for the first line of standard output for which `select` returns a value, and returns
    /// that value.
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
            .stdout
            .wait(limit, |lines| lines.iter().find_map(|line| select(line)));
        found.ok_or_else(|| {
            eyre::eyre!(
                "{} did not print the expected line; its output:\n{}",
                self.name,
                self.output()
            )
        })
    }

    /// Returns all output so far: standard output, then standard error.
    pub fn output(&self) -> String {
        format!("{}{}", self.stdout.text(), self.stderr.text())
    }

    /// Returns whether the program is still running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends a signal to the program.
    ///
    /// # Errors
    ///
    /// Fails when the program has exited.
    pub fn signal(&self, signal: Signal) -> eyre::Result<()> {
        kill_process(Pid::from_child(&self.child), signal.into())
            .wrap_err_with(|| format!("cannot send {signal:?} to {}", self.name))
    }

    /// Waits until the program exits.
    ///
    /// # Errors
    ///
    /// Fails when the program does not exit within `limit`.
    pub fn wait(&mut self, limit: Duration) -> eyre::Result<ExitStatus> {
        let deadline = Instant::now() + limit;
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            eyre::ensure!(
                Instant::now() < deadline,
                "{} did not exit within {limit:?}; its output:\n{}",
                self.name,
                self.output()
            );
            thread::sleep(EXIT_POLL);
        }
    }

    /// Kills the program and waits until it has exited.
    ///
    /// # Errors
    ///
    /// Fails when the program cannot be killed or waited for.
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
