//! Tables and plots of a measurement.

use std::fmt::Write as _;

use serde::Serialize;

/// The result of one measurement.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The measurement's name, which also names its files.
    pub name: String,
    /// The tables, in the order of the report.
    pub tables: Vec<Table>,
    /// The plots, each of which becomes a file.
    pub plots: Vec<Plot>,
}

/// A table with a title and a row of column names.
#[derive(Clone, Debug, Serialize)]
pub struct Table {
    /// What the table shows.
    pub title: String,
    /// The column names, with units.
    pub columns: Vec<String>,
    /// The rows, each as long as `columns`.
    pub rows: Vec<Vec<String>>,
}

/// Lines over two axes.
#[derive(Clone, Debug, Serialize)]
pub struct Plot {
    /// What the plot shows; also part of its file name.
    pub title: String,
    /// The label of the horizontal axis, with its unit.
    pub x_label: String,
    /// The label of the vertical axis, with its unit.
    pub y_label: String,
    /// The lines.
    pub series: Vec<Series>,
}

/// One line of a plot.
#[derive(Clone, Debug, Serialize)]
pub struct Series {
    /// The legend.
    pub label: String,
    /// The points, by `x`.
    pub points: Vec<(f64, f64)>,
}

impl Report {
    /// Makes an empty report.
    pub fn new(name: &str) -> Report {
        Report {
            name: name.to_owned(),
            tables: Vec::new(),
            plots: Vec::new(),
        }
    }

    /// Renders the tables as Markdown.
    pub fn to_markdown(&self) -> String {
        let mut out = String::new();
        for table in &self.tables {
            table.render(&mut out);
        }
        out
    }
}

impl Table {
    /// Makes a table without rows.
    pub fn new(title: &str, columns: &[&str]) -> Table {
        let columns = columns.iter().map(|&column| column.to_owned()).collect();
        Table {
            title: title.to_owned(),
            columns,
            rows: Vec::new(),
        }
    }

    /// Adds a row.
    pub fn row(&mut self, cells: impl IntoIterator<Item = String>) {
        self.rows.push(cells.into_iter().collect());
    }

    /// Renders the table as Markdown at the end of `out`.
    fn render(&self, out: &mut String) {
        let rule = vec!["---"; self.columns.len()].join(" | ");
        let _ = writeln!(
            out,
            "### {}\n\n| {} |\n| {rule} |",
            self.title,
            self.columns.join(" | ")
        );
        for row in &self.rows {
            let _ = writeln!(out, "| {} |", row.join(" | "));
        }
        out.push('\n');
    }
}
