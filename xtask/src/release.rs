//! Releases the current schema.
//!
//! Clients may be built against the released schema. A new release must be compatible with the
//! previous one, so that existing clients keep working.

use std::fs;

use argh::FromArgs;
use eyre::WrapErr;
use laburnum_testkit::schema;

/// release the current schema; later schema changes must be compatible with it
#[derive(FromArgs)]
#[argh(subcommand, name = "release-schema")]
pub(crate) struct Options {}

/// Path of the current schema's descriptor.
const CURRENT: &str = "src/api/schema/laburnum.v1.bin";
/// Path of the released schema's descriptor.
const RELEASED: &str = "proto/released/laburnum.v1.bin";

/// Replaces the released descriptor by the current one if the two are compatible.
pub(crate) fn exec(_options: &Options) -> eyre::Result<()> {
    let current = fs::read(CURRENT)
        .wrap_err("cannot read the descriptor of the current schema; run `cargo xtask codegen`")?;
    let released =
        fs::read(RELEASED).wrap_err("cannot read the descriptor of the released schema")?;
    let breaking_changes =
        schema::breaking_changes(&schema::decode(&released)?, &schema::decode(&current)?);
    let lines: Vec<String> = breaking_changes.iter().map(ToString::to_string).collect();
    eyre::ensure!(
        lines.is_empty(),
        "the current schema is not compatible with the released one:\n{}",
        lines.join("\n")
    );
    fs::write(RELEASED, current)?;
    Ok(())
}
