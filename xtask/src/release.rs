//! Releases the published schema.
//!
//! The released descriptor is what clients may be built on. It is replaced only by one that keeps
//! every client of the former one working.

use std::fs;

use argh::FromArgs;
use eyre::WrapErr;
use laburnum_testkit::schema;

/// make the present schema the released one that later changes are compared with
#[derive(FromArgs)]
#[argh(subcommand, name = "release-schema")]
pub(crate) struct Options {}

/// The descriptor of the present schema.
const PRESENT: &str = "src/api/schema/laburnum.v1.bin";
/// The descriptor of the released schema.
const RELEASED: &str = "proto/released/laburnum.v1.bin";

/// Copies the descriptor unless it breaks clients of the released one.
pub(crate) fn exec(_options: &Options) -> eyre::Result<()> {
    let present = fs::read(PRESENT).wrap_err("the schema is not generated")?;
    let released = fs::read(RELEASED).wrap_err("there is no released schema")?;
    let breaks = schema::breaking_changes(&schema::decode(&released)?, &schema::decode(&present)?);
    let lines: Vec<String> = breaks.iter().map(ToString::to_string).collect();
    eyre::ensure!(
        lines.is_empty(),
        "clients of the released schema would break:\n{}",
        lines.join("\n")
    );
    fs::write(RELEASED, present)?;
    Ok(())
}
