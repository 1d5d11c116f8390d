//! Prints listings as text or JSON.

use std::fmt;
use std::str::FromStr;

use serde::Serialize;

/// The output format of a listing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Format {
    /// Aligned columns, for people.
    #[default]
    Text,
    /// JSON, for programs.
    Json,
}

impl FromStr for Format {
    type Err = String;

    fn from_str(text: &str) -> Result<Format, String> {
        match text {
            "text" => Ok(Format::Text),
            "json" => Ok(Format::Json),
            _ => Err(format!("`{text}` is not a format; give text or json")),
        }
    }
}

/// A usage error that the argument parser does not detect.
#[derive(Debug)]
pub(crate) struct Usage(pub(crate) String);

impl fmt::Display for Usage {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(&self.0)
    }
}

impl std::error::Error for Usage {}

/// A listing: the response that is printed as JSON, and the columns that are printed as text.
pub(crate) struct Listing<'a, T> {
    /// The whole response.
    pub(crate) response: &'a T,
    /// The column names.
    pub(crate) columns: &'a [&'a str],
    /// The rows, with one text for each column.
    pub(crate) rows: Vec<Vec<String>>,
}

impl<T: Serialize> Listing<'_, T> {
    /// Prints the listing to standard output.
    pub(crate) fn print(&self, format: Format) -> eyre::Result<()> {
        match format {
            Format::Json => println!("{}", serde_json::to_string_pretty(self.response)?),
            Format::Text => self.print_text(),
        }
        Ok(())
    }

    fn print_text(&self) {
        let header: Vec<String> = self
            .columns
            .iter()
            .map(|name| name.to_uppercase())
            .collect();
        let lines = std::iter::once(&header).chain(&self.rows);
        let widths: Vec<usize> = (0..header.len())
            .map(|column| {
                lines
                    .clone()
                    .map(|line| line[column].len())
                    .max()
                    .unwrap_or(0)
            })
            .collect();
        for line in lines {
            let cells = line
                .iter()
                .zip(&widths)
                .map(|(cell, &width)| format!("{cell:width$}"));
            println!("{}", cells.collect::<Vec<_>>().join("  ").trim_end());
        }
    }
}
