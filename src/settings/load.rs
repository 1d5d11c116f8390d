//! Loads a settings file.

use std::path::{Path, PathBuf};
use std::{fmt, fs};

use super::{Fault, Settings};

/// Why a settings file cannot be used.
#[derive(Debug)]
pub struct Error {
    /// The path of the file.
    pub file: PathBuf,
    /// Every fault that was found; never empty.
    pub faults: Vec<Fault>,
}

/// Reads and checks the settings in `file`.
///
/// # Errors
///
/// Fails when the file cannot be read or contains an invalid value.
pub fn load(file: &Path) -> Result<Settings, Error> {
    let text = fs::read_to_string(file).map_err(|error| Error {
        file: file.to_owned(),
        faults: vec![Fault::new(
            "(file)",
            &format!("cannot be read: {error}"),
            "name a readable settings file with --settings",
        )],
    })?;
    parse(&text).map_err(|faults| Error {
        file: file.to_owned(),
        faults,
    })
}

/// Parses and checks the settings in `text`.
///
/// # Errors
///
/// Returns every fault that was found; the list is never empty.
pub fn parse(text: &str) -> Result<Settings, Vec<Fault>> {
    let value: serde_json::Value = json5::from_str(text).map_err(|error| {
        let problem = format!("is not valid JSON with comments: {error}");
        vec![Fault::new(
            "(file)",
            &problem,
            "correct the syntax at the given position",
        )]
    })?;
    let settings: Settings = serde_path_to_error::deserialize(value).map_err(|error| {
        let field = error.path().to_string();
        let problem = error.inner().to_string();
        vec![Fault::new(&field, &problem, remedy(&field, &problem))]
    })?;
    let faults = settings.faults();
    if faults.is_empty() {
        Ok(settings)
    } else {
        Err(faults)
    }
}

/// Returns the remedy for a field that is unknown, missing or of the wrong type.
fn remedy(field: &str, problem: &str) -> &'static str {
    if problem.starts_with("unknown field") {
        "remove the field or correct its name"
    } else if problem.starts_with("missing field") {
        "add the field"
    } else if field.ends_with("_ms") {
        "give a whole number of milliseconds, without a unit"
    } else if field.ends_with("_s") {
        "give a whole number of seconds, without a unit"
    } else if field.ends_with("_kib") {
        "give a whole number of KiB, without a unit"
    } else if field.ends_with("listen") {
        "give an IP address and a port, such as \"192.0.2.1:8080\""
    } else {
        "give a value of the type that docs/OPERATIONS.md lists"
    }
}

impl fmt::Display for Error {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.faults.iter().enumerate() {
            if index > 0 {
                out.write_str("\n")?;
            }
            write!(out, "{}: {fault}", self.file.display())?;
        }
        Ok(())
    }
}

impl std::error::Error for Error {}
