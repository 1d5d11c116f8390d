//! Configuration: property tests with races and recoveries against a naive oracle, and unit tests.

mod document;
mod fuzz;
mod store;

use laburnumplank::core::config::{Body, Change, FORMAT, Version};
use laburnumplank::core::id::Node;
use laburnumplank::core::stream::{Id, Record, Sequence};
use laburnumplank::core::time::Stamp;
use uuid::Uuid;

use crate::stream::node;

/// Returns a change whose id and time are derived from `number`.
fn change(number: u64, base: Version, body: Body) -> Change {
    Change {
        id: Uuid::from_u128(u128::from(number)),
        format: FORMAT,
        base,
        author: "operator".to_owned(),
        at: Stamp(number),
        body,
    }
}

/// Returns a patch that sets one team's weight.
fn weight(team: &str, weight: u64) -> Body {
    Body::Patch(format!(
        r#"{{"teams": {{"{team}": {{"weight": {weight}}}}}}}"#
    ))
}

/// Returns the only record at `offset`.
fn record(offset: u64, value: Change) -> Record<Change> {
    let node: Node = node(1, 1);
    let sequence = Sequence(offset + 1);
    Record {
        id: Id { node, sequence },
        offset,
        index: 0,
        value,
    }
}
