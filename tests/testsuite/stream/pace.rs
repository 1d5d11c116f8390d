//! Writers: the rate of appends, backpressure and the withdrawal of records.

use laburnumplank::core::error::Kind;
use laburnumplank::core::stream::writer::{BatchCopy, Builder, Input, Output, Writer};
use laburnumplank::core::stream::{Batch, Bundle, CELL_APPENDS_PER_SECOND, Name, Sequence, decode};
use laburnumplank::core::time::Instant;

use super::node;

fn stream(name: &str) -> Name {
    Name(name.to_owned())
}

fn read(name: &str, next: u64) -> Input {
    let stream = stream(name);
    let last = None;
    Input::Read { stream, next, last }
}

fn appended(stream: &Name, copy: BatchCopy) -> Input {
    Input::Appended {
        stream: stream.clone(),
        copy,
        offset: 0,
    }
}

/// Returns a writer whose read position in the streams `a` and `b` is set, with queues of 1,000
/// bytes.
fn writer(entries: u32) -> Writer {
    let builder = Builder::new(node(1, 1), 1).entries(entries);
    let mut writer = builder.queue_bytes(1_000).build();
    for name in ["a", "b"] {
        writer.step(Instant(0), read(name, 0), &mut Vec::new());
    }
    writer
}

fn appends(out: &[Output]) -> Vec<(&Name, BatchCopy)> {
    let append = |output| match output {
        &Output::Append {
            ref stream, copy, ..
        } => Some((stream, copy)),
        _ => None,
    };
    out.iter().filter_map(append).collect()
}

/// Ticks a writer and reports its appends as successful; returns the names of their streams.
fn turn(writer: &mut Writer, now: Instant) -> Vec<String> {
    let mut out = Vec::new();
    writer.step(now, Input::Tick, &mut out);
    for (stream, copy) in appends(&out) {
        writer.step(now, appended(stream, copy), &mut Vec::new());
    }
    appends(&out)
        .iter()
        .map(|(stream, _)| stream.0.clone())
        .collect()
}

#[test]
fn appends_of_all_streams_share_the_rate() {
    let entries = 10;
    let mut writer = writer(entries);
    let mut counts = [0_u32; 2];
    for milli in 0..10_000_u64 {
        for name in ["a", "b"] {
            writer.push(&stream(name), &milli).unwrap();
        }
        for name in turn(&mut writer, Instant(milli * 1_000)) {
            counts[usize::from(name == "b")] += 1;
        }
    }
    let share = 10 * CELL_APPENDS_PER_SECOND / entries;
    assert!(counts[0] + counts[1] <= share + 1, "{counts:?}");
    assert!(counts[0] + counts[1] >= share * 9 / 10, "{counts:?}");
    assert!(counts[0].abs_diff(counts[1]) <= 1, "{counts:?}");
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
    writer.step(Instant(1_000_001), appended(&stream("a"), copy), &mut out);
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
fn full_queue_refuses_with_kind_of_cause() {
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
    writer.step(Instant(1_000_000), read("a", 9), &mut out);
    assert_eq!(appends(&out)[0].1.read_position, 9);
}

#[test]
fn urgent_stream_waits_for_one_other_turn() {
    let builder = Builder::new(node(1, 1), 1)
        .entries(200)
        .urgent(stream("urgent"));
    let mut writer = builder.build();
    let names: Vec<String> = (0..20).map(|number| format!("s{number}")).collect();
    for name in names.iter().map(String::as_str).chain(["urgent"]) {
        writer.step(Instant(0), read(name, 0), &mut Vec::new());
    }
    let mut order = Vec::new();
    for second in 1..40 {
        for name in &names {
            writer.push(&stream(name), &second).unwrap();
        }
        if second % 10 == 0 {
            writer.push(&stream("urgent"), &second).unwrap();
        }
        order.extend(turn(&mut writer, Instant(second * 1_000_000)));
    }
    let is_urgent = |turn: &usize| order[*turn - 1] == "urgent";
    let turns: Vec<usize> = (1..=order.len()).filter(is_urgent).collect();
    assert_eq!(turns, [10, 20, 30]);
}
