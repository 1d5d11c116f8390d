//! The exit status and output of a program, with assertions on them.

use std::process::ExitStatus;

use serde::de::DeserializeOwned;

/// The exit status and captured output of a program that has exited.
#[derive(Clone, Debug)]
pub struct Finished {
    name: String,
    status: ExitStatus,
    stdout: String,
    stderr: String,
}

impl Finished {
    pub(super) fn new(
        name: String,
        status: ExitStatus,
        stdout: String,
        stderr: String,
    ) -> Finished {
        Finished {
            name,
            status,
            stdout,
            stderr,
        }
    }

    /// Returns everything written to standard output.
    pub fn stdout(&self) -> &str {
        &self.stdout
    }

    /// Returns everything written to standard error.
    pub fn stderr(&self) -> &str {
        &self.stderr
    }

    /// Asserts that the exit code is `code`.
    ///
    /// # Panics
    ///
    /// Panics when the exit code differs or a signal ended the program.
    #[track_caller]
    pub fn expect_code(self, code: i32) -> Finished {
        assert_eq!(self.status.code(), Some(code), "exit code of {self}");
        self
    }

    /// Asserts that the exit code is 0.
    ///
    /// # Panics
    ///
    /// Panics when the exit code differs or a signal ended the program.
    #[track_caller]
    pub fn expect_success(self) -> Finished {
        self.expect_code(0)
    }

    /// Asserts that standard output contains `text`.
    ///
    /// # Panics
    ///
    /// Panics when the text is absent.
    #[track_caller]
    pub fn expect_stdout(self, text: &str) -> Finished {
        assert!(
            self.stdout.contains(text),
            "`{text}` is not in the standard output of {self}"
        );
        self
    }

    /// Asserts that standard error contains `text`.
    ///
    /// # Panics
    ///
    /// Panics when the text is absent.
    #[track_caller]
    pub fn expect_stderr(self, text: &str) -> Finished {
        assert!(
            self.stderr.contains(text),
            "`{text}` is not in the standard error of {self}"
        );
        self
    }

    /// Decodes standard output as JSON.
    ///
    /// # Errors
    ///
    /// Fails when standard output is not a `T` in JSON.
    pub fn json<T: DeserializeOwned>(&self) -> eyre::Result<T> {
        Ok(serde_json::from_str(&self.stdout)?)
    }
}

impl std::fmt::Display for Finished {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            out,
            "{} ({})\n{}\n{}",
            self.name, self.status, self.stdout, self.stderr
        )
    }
}
