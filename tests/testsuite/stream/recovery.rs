//! Recovery: a node starts from a peer's state, a snapshot or the whole stream, and never with a
//! state that lacks needed records.

use std::time::Duration;

use laburnum_testkit::fake::node;
use laburnumplank::core::stream::snapshot::recovery::{Input, Output, Recovery, StateCopy};
use laburnumplank::core::stream::snapshot::{Id, finder, split};
use laburnumplank::core::stream::{Batch, Body, Sequence, encode};
use laburnumplank::core::time::Instant;

use super::Log;

/// The sources that are available to a recovering node.
#[derive(Default)]
struct Sources {
    /// The offset that the state of each peer reaches; `None` for a peer that doesn't respond.
    peers: Vec<Option<u64>>,
    /// The offset that the snapshot reaches, or `None` when there is none.
    snapshot: Option<u64>,
    /// The oldest offset in the log, or `None` when the log is down.
    first: Option<u64>,
}

/// Runs a recovery for at most a minute; returns its last output and the time it took, or `None` if
/// it didn't end.
fn recover(needed: u64, sources: &Sources) -> Option<(Output, Duration)> {
    let mut snapshots = Log::default();
    if let Some(covers) = sources.snapshot {
        let id = Id {
            node: node(9, 1),
            number: 1,
        };
        let parts = split(id, covers, b"state").unwrap();
        let records = parts.iter().map(|part| Body(encode(part).unwrap()));
        let batch = Batch {
            node: node(9, 1),
            first: Sequence(1),
            read_position: 0,
            records: records.collect(),
        };
        snapshots.append(&batch.to_entry().unwrap());
    }
    let mut recovery = Recovery::new(needed, 1);
    let ids = (0..sources.peers.len()).map(|index| node(index as u32, 1));
    let mut inputs = vec![Input::Peers(ids.collect()), Input::Tick];
    let mut now = Instant(0);
    while now < Instant(60_000_000) {
        let mut out = Vec::new();
        for input in std::mem::take(&mut inputs) {
            recovery.step(now, input, &mut out);
        }
        for output in out {
            match output {
                Output::RequestState(from) => {
                    let next = sources.peers[from.vm.0 as usize];
                    let copy = |next| {
                        Some(StateCopy {
                            next,
                            bytes: b"state".to_vec(),
                        })
                    };
                    inputs.extend(next.map(|next| Input::Peer {
                        from,
                        copy: copy(next),
                    }));
                }
                Output::FetchBounds => {
                    inputs.push(
                        sources
                            .first
                            .map_or(Input::Failed, |first| Input::Bounds { first }),
                    );
                }
                Output::FetchSnapshot { from, bounds_only } => {
                    let page = snapshots.page(from, if bounds_only { 0 } else { 9 });
                    inputs.push(Input::Snapshot(finder::Input::Page(page)));
                }
                end => return Some((end, now.since(Instant(0)))),
            }
        }
        now = now + Duration::from_millis(100);
        inputs.push(Input::Tick);
    }
    None
}

fn restored(next: u64) -> Output {
    Output::Restore(StateCopy {
        next,
        bytes: b"state".to_vec(),
    })
}

#[test]
fn peer_is_preferred_and_needs_no_log() {
    let sources = Sources {
        peers: vec![Some(7)],
        ..Sources::default()
    };
    assert_eq!(recover(0, &sources).unwrap().0, restored(7));
}

#[test]
fn silent_peers_give_way_to_the_snapshot() {
    let sources = Sources {
        peers: vec![None; 9],
        snapshot: Some(5),
        first: Some(3),
    };
    let (end, span) = recover(0, &sources).unwrap();
    assert_eq!(end, restored(5));
    assert!(span <= Duration::from_secs(5), "{span:?}");
}

#[test]
fn new_stream_is_read_from_its_start() {
    let sources = Sources {
        first: Some(0),
        ..Sources::default()
    };
    assert_eq!(recover(0, &sources).unwrap().0, Output::ReadAll);
}

#[test]
fn node_never_starts_with_less_than_is_needed() {
    let expired = Sources {
        first: Some(3),
        ..Sources::default()
    };
    let down = Sources::default();
    let short = Sources {
        peers: vec![Some(4)],
        snapshot: Some(5),
        first: Some(6),
    };
    assert_eq!(recover(0, &expired), None);
    assert_eq!(recover(0, &down), None);
    assert_eq!(recover(6, &short), None);
    assert_eq!(
        recover(
            8,
            &Sources {
                first: Some(0),
                ..short
            }
        ),
        None
    );
}

#[test]
fn later_peers_are_tried_in_later_rounds() {
    let sources = Sources {
        peers: vec![None, None, None, None, Some(7)],
        ..Sources::default()
    };
    assert_eq!(recover(0, &sources).unwrap().0, restored(7));
}
