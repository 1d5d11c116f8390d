//! Funnels: merging the log entries of many writers into one append.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use laburnumplank::core::id::Node;
use laburnumplank::core::stream::funnel::{FUNNELS, Funnel, Input, Output, rank};
use laburnumplank::core::stream::writer::BatchCopy;
use laburnumplank::core::stream::{Batch, Body, Bundle, Name, Sequence, decode};
use laburnumplank::core::time::Instant;

use super::node;

fn offer(vm: u32, size: usize) -> Input {
    let batch = Batch {
        node: node(vm, 1),
        first: Sequence(1),
        read_position: 0,
        records: vec![Body(vec![0; size])],
    };
    Input::Offered {
        from: batch.node,
        stream: Name("a".to_owned()),
        copy: BatchCopy {
            first: Sequence(1),
            read_position: 0,
        },
        bytes: batch.to_entry().unwrap(),
    }
}

/// Returns the number of each append and the count of its batches.
fn appends(out: &[Output]) -> Vec<(u64, usize)> {
    let append = |output: &Output| match output {
        Output::Append { number, bytes, .. } => {
            Some((*number, decode::<Bundle>(bytes).unwrap().0.len()))
        }
        Output::Answer { .. } => None,
    };
    out.iter().filter_map(append).collect()
}

/// Returns the offset in the answer to each writer.
fn answers(out: &[Output]) -> BTreeMap<Node, Option<u64>> {
    let answer = |output: &Output| match output {
        Output::Answer { to, offset, .. } => Some((*to, *offset)),
        Output::Append { .. } => None,
    };
    out.iter().filter_map(answer).collect()
}

#[test]
fn funnel_merges_waiting_entries() {
    let mut funnel = Funnel::new(16, &[]);
    let mut out = Vec::new();
    for vm in 0..50 {
        funnel.step(Instant(0), offer(vm, 10), &mut out);
    }
    assert_eq!(appends(&out), [(1, 1)]);
    let landed = Input::Appended {
        stream: Name("a".to_owned()),
        number: 1,
        offset: 7,
    };
    funnel.step(Instant(1), landed, &mut out);
    assert_eq!(answers(&out), BTreeMap::from([(node(0, 1), Some(7))]));
    let turn = funnel.wake_at().unwrap();
    assert_eq!(turn, Instant(80_000));
    funnel.step(turn, Input::Tick, &mut out);
    assert_eq!(appends(&out), [(1, 1), (2, 49)]);
    let failed = Input::Failed {
        stream: Name("a".to_owned()),
        number: 2,
    };
    out.clear();
    funnel.step(turn, failed, &mut out);
    assert_eq!(answers(&out).len(), 49);
    assert!(answers(&out).values().all(Option::is_none));
}

#[test]
fn unanswered_append_fails_before_its_writers_give_up() {
    let mut funnel = Funnel::new(16, &[]);
    let mut out = Vec::new();
    funnel.step(Instant(0), offer(1, 10), &mut out);
    let end = funnel.wake_at().unwrap();
    assert!(end < Instant(0) + Duration::from_secs(2));
    funnel.step(end, Input::Tick, &mut out);
    assert_eq!(answers(&out), BTreeMap::from([(node(1, 1), None)]));
    assert_eq!(funnel.wake_at(), None);
}

#[test]
fn full_funnel_refuses() {
    let mut funnel = Funnel::new(16, &[]);
    let mut out = Vec::new();
    for vm in 0..7 {
        funnel.step(Instant(0), offer(vm, 250_000), &mut out);
    }
    assert_eq!(answers(&out).len(), 2);
    assert!(answers(&out).values().all(Option::is_none));
}

#[test]
fn rank_spreads_writers_over_the_same_funnels() {
    let members: Vec<Node> = (0..400).map(|vm| node(vm, 1)).collect();
    let mut loads: BTreeMap<Node, u32> = BTreeMap::new();
    for origin in &members {
        let funnels = rank(&members, *origin);
        assert_eq!(funnels.len(), FUNNELS);
        *loads.entry(funnels[0]).or_default() += 1;
    }
    assert_eq!(loads.len(), FUNNELS);
    assert!(
        loads.values().all(|load| (10..=45).contains(load)),
        "{loads:?}"
    );
    let before: BTreeSet<Node> = rank(&members, members[0]).into_iter().collect();
    let after: BTreeSet<Node> = rank(&members[..399], members[0]).into_iter().collect();
    assert!(before.difference(&after).count() <= 1);
    assert_eq!(rank(&members[..FUNNELS], members[3]), [members[3]]);
}
