//! A program that has ended, and what was expected of it.

use std::process::ExitStatus;

use serde::de::DeserializeOwned;

/// A program that has ended.
#[derive(Clone, Debug)]
pub struct Finished {
    name: String,
    status: ExitStatus,
    out: String,
    err: String,
}

impl Finished {
    pub(super) fn new(name: String, status: ExitStatus, out: String, err: String) -> Finished {
        Finished {
            name,
            status,
            out,
            err,
        }
    }

    /// Returns standard output.
    pub fn out(&self) -> &str {
        &self.out
    }

    /// Returns standard error.
    pub fn err(&self) -> &str {
        &self.err
    }

    /// Expects an exit code.
    ///
    /// # Panics
    ///
    /// Panics when the code is another one.
    #[track_caller]
    pub fn expect_code(self, code: i32) -> Finished {
        assert_eq!(self.status.code(), Some(code), "exit code of {self}");
        self
    }

    /// Expects exit code 0.
    ///
    /// # Panics
    ///
    /// Panics when the code is another one.
    #[track_caller]
    pub fn expect_success(self) -> Finished {
        self.expect_code(0)
    }

    /// Expects `text` somewhere in standard output.
    ///
    /// # Panics
    ///
    /// Panics when it is absent.
    #[track_caller]
    pub fn expect_out(self, text: &str) -> Finished {
        assert!(self.out.contains(text), "no `{text}` in output of {self}");
        self
    }

    /// Expects `text` somewhere in standard error.
    ///
    /// # Panics
    ///
    /// Panics when it is absent.
    #[track_caller]
    pub fn expect_err(self, text: &str) -> Finished {
        assert!(self.err.contains(text), "no `{text}` in errors of {self}");
        self
    }

    /// Returns standard output as a JSON message.
    ///
    /// # Errors
    ///
    /// Fails when it is no such message.
    pub fn json<T: DeserializeOwned>(&self) -> eyre::Result<T> {
        Ok(serde_json::from_str(&self.out)?)
    }
}

impl std::fmt::Display for Finished {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            out,
            "{} ({})\n{}\n{}",
            self.name, self.status, self.out, self.err
        )
    }
}
