//! The rate of appends, backpressure and what may be withdrawn.

use std::time::Duration;

use laburnumplank::core::error::Kind;
use laburnumplank::core::stream::writer::{Builder, Copy, Input, Output, Writer};
use laburnumplank::core::stream::{Batch, Bundle, CELL_APPENDS_PER_SECOND, Name, Sequence, decode};
use laburnumplank::core::time::Instant;

use super::node;

fn stream(name: &str) -> Name {
    Name(name.to_owned())
}

/// Returns a writer that may append to `a` and `b`.
fn writer(entries: u32) -> Writer {
    let mut writer = Builder::new(node(1, 1), 1)
        .entries(entries)
        .lane_bytes(1_000)
        .build();
    for name in ["a", "b"] {
        let input = Input::Read {
            stream: stream(name),
            next: 0,
            last: None,
        };
        writer.step(Instant(0), input, &mut Vec::new());
    }
    writer
}

fn appends(out: &[Output]) -> Vec<(&Name, Copy)> {
    let append = |output| match output {
        &Output::Append {
            ref stream, copy, ..
        } => Some((stream, copy)),
        _ => None,
    };
    out.iter().filter_map(append).collect()
}

#[test]
fn appends_of_all_streams_share_the_rate() {
    let entries = 10;
    let mut writer = writer(entries);
    let mut counts = [0_u32; 2];
    let mut records = 0;
    for milli in 0..10_000_u64 {
        let now = Instant(milli * 1_000);
        for name in ["a", "b"] {
            records += u32::from(writer.push(&stream(name), &milli).is_ok());
        }
        let mut out = Vec::new();
        writer.step(now, Input::Tick, &mut out);
        for (stream, copy) in appends(&out) {
            counts[usize::from(stream.0 == "b")] += 1;
            let input = Input::Appended {
                stream: stream.clone(),
                copy,
                offset: 0,
            };
            writer.step(now, input, &mut Vec::new());
        }
    }
    let share = 10 * CELL_APPENDS_PER_SECOND / entries;
    assert!(counts[0] + counts[1] <= share + 1, "{counts:?}");
    assert!(counts[0] + counts[1] >= share * 9 / 10, "{counts:?}");
    assert!(counts[0].abs_diff(counts[1]) <= 1, "{counts:?}");
    assert_eq!(
        records, 20_000,
        "records were refused though batches could grow"
    );
}

#[test]
fn append_in_flight_holds_back_the_next_batch() {
    let mut writer = writer(1);
    let mut out = Vec::new();
    writer.push(&stream("a"), &1_u8).unwrap();
    writer.step(Instant(0), Input::Tick, &mut out);
    writer.push(&stream("a"), &2_u8).unwrap();
    writer.step(Instant(1_000_000), Input::Tick, &mut out);
    assert_eq!(appends(&out).len(), 1);
    let copy = appends(&out)[0].1;
    writer.step(
        Instant(1_000_001),
        Input::Appended {
            stream: stream("a"),
            copy,
            offset: 0,
        },
        &mut out,
    );
    assert_eq!(appends(&out).last().unwrap().1.first, Sequence(2));
}

#[test]
fn retry_has_the_same_bytes() {
    let mut writer = writer(1);
    let mut out = Vec::new();
    writer.push(&stream("a"), &1_u8).unwrap();
    writer.step(Instant(0), Input::Tick, &mut out);
    writer.push(&stream("a"), &2_u8).unwrap();
    for second in 1..60 {
        writer.step(Instant(second * 1_000_000), Input::Tick, &mut out);
    }
    let mut bytes = out.iter().filter_map(|output| match output {
        Output::Append { bytes, .. } => Some(bytes),
        _ => None,
    });
    let first = bytes.next().unwrap();
    assert_eq!(
        decode::<Batch>(&decode::<Bundle>(first).unwrap().0[0].0)
            .unwrap()
            .records
            .len(),
        1
    );
    let mut retries = 0;
    for retry in bytes {
        assert_eq!(first, retry);
        retries += 1;
    }
    assert!((5..=30).contains(&retries), "{retries}");
}

#[test]
fn full_lane_refuses_and_says_why() {
    let mut writer = writer(1);
    let record = vec![0_u8; 300];
    while writer.push(&stream("a"), &record).is_ok() {}
    let error = writer.push(&stream("a"), &record).unwrap_err();
    assert_eq!(error.kind, Kind::Overloaded);
    let mut out = Vec::new();
    writer.step(Instant(0), Input::Tick, &mut out);
    let copy = appends(&out)[0].1;
    writer.step(
        Instant(1),
        Input::Failed {
            stream: stream("a"),
            copy,
        },
        &mut out,
    );
    while writer.push(&stream("a"), &record).is_ok() {}
    let error = writer.push(&stream("a"), &record).unwrap_err();
    assert_eq!(error.kind, Kind::LogDown);
    let error = writer
        .push(&stream("a"), &vec![1_000_u64; 1 << 20])
        .unwrap_err();
    assert_eq!(error.kind, Kind::TooLarge);
}

#[test]
fn withdraw_works_until_the_record_is_sent() {
    let mut writer = writer(1);
    let sent = writer.push(&stream("a"), &1_u8).unwrap();
    let mut out = Vec::new();
    writer.step(Instant(0), Input::Tick, &mut out);
    let waiting = writer.push(&stream("a"), &2_u8).unwrap();
    assert!(!writer.withdraw(&stream("a"), sent));
    assert!(writer.withdraw(&stream("a"), waiting));
    assert!(!writer.withdraw(&stream("a"), waiting));
}

#[test]
fn writer_sends_nothing_before_its_position_is_known() {
    let mut writer = Builder::new(node(1, 1), 1).build();
    writer.push(&stream("a"), &1_u8).unwrap();
    let mut out = Vec::new();
    writer.step(Instant(0), Input::Tick, &mut out);
    assert!(out.is_empty());
    assert_eq!(writer.wake_at(), None);
    let read = Input::Read {
        stream: stream("a"),
        next: 9,
        last: None,
    };
    writer.step(Instant(0) + Duration::from_secs(1), read, &mut out);
    assert_eq!(appends(&out)[0].1.seen, 9);
}

#[test]
fn urgent_stream_waits_for_one_other_turn() {
    let builder = Builder::new(node(1, 1), 1)
        .entries(200)
        .urgent(stream("urgent"));
    let mut writer = builder.build();
    let names: Vec<Name> = (0..20).map(|n| stream(&format!("s{n}"))).collect();
    let read = |stream: &Name| Input::Read {
        stream: stream.clone(),
        next: 0,
        last: None,
    };
    for name in names.iter().chain([&stream("urgent")]) {
        writer.step(Instant(0), read(name), &mut Vec::new());
    }
    let mut order = Vec::new();
    for second in 1..40 {
        let now = Instant(second * 1_000_000);
        for name in &names {
            writer.push(name, &second).unwrap();
        }
        if second % 10 == 0 {
            writer.push(&stream("urgent"), &second).unwrap();
        }
        let mut out = Vec::new();
        writer.step(now, Input::Tick, &mut out);
        for (stream, copy) in appends(&out) {
            order.push(stream.0.clone());
            let input = Input::Appended {
                stream: stream.clone(),
                copy,
                offset: 0,
            };
            writer.step(now, input, &mut Vec::new());
        }
    }
    let turns = order
        .iter()
        .enumerate()
        .filter(|(_, name)| *name == "urgent");
    let turns: Vec<usize> = turns.map(|(turn, _)| turn + 1).collect();
    assert_eq!(turns, [10, 20, 30]);
}
