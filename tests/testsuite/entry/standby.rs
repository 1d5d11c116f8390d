//! Tests of what a takeover still has to read when the entry has a copy of the jobs.

use std::rc::Rc;

use laburnumplank::core::scheduler::id::Job;
use laburnumplank::entry::message::{EntryRequest, EntryResponse};
use laburnumplank::entry::owner::Owner;
use laburnumplank::entry::port::{Changes, LatestPage, ReadError};
use laburnumplank::entry::standby::{self, Answer, Copy, Read};
use tokio::sync::watch;

use super::fake::Fake;
use super::owner::{open, owner, submit};

/// Keys in one page of the log.
const PAGE_KEYS: usize = 500;
/// Keys of a cell with thousands of jobs.
const KEYS: usize = 5_000;

fn key(index: usize) -> Vec<u8> {
    format!("{index:016x}").into_bytes()
}

/// Returns the page of `keys`, read when the log ended at `end`.
fn page(keys: std::ops::Range<usize>, has_more: bool, end: u64) -> Answer {
    Answer::Page(LatestPage {
        records: keys.map(|index| (key(index), b"old".to_vec())).collect(),
        has_more,
        end,
    })
}

/// Returns one change that was read from `offset`, in a log that ends at `end`.
fn change(index: usize, value: Option<&[u8]>, offset: u64, end: u64) -> Answer {
    Answer::Changes(Changes {
        records: vec![(key(index), value.map(<[u8]>::to_vec))],
        next: offset + 1,
        end,
    })
}

fn value(copy: &Copy, index: usize) -> Option<&[u8]> {
    let key = key(index);
    let mut records = copy.records();
    records.find_map(|(known, value)| (known == key).then_some(value))
}

/// Returns a copy with all pages, read while the log ended at `end`.
fn copy_of_all(end: u64) -> Copy {
    let mut copy = Copy::default();
    for first in (0..KEYS).step_by(PAGE_KEYS) {
        let last = first + PAGE_KEYS;
        copy.apply(Ok(page(first..last, last < KEYS, end))).unwrap();
    }
    copy
}

#[test]
fn takeover_of_thousands_of_jobs_needs_one_read_of_a_standby() {
    let mut copy = copy_of_all(7);
    assert_eq!(copy.pages(), KEYS / PAGE_KEYS);
    assert_eq!(copy.next_read(), Read::Changes(7));
    copy.apply(Ok(change(3, Some(b"new"), 7, 8))).unwrap();
    assert!(copy.is_current());
    assert_eq!(value(&copy, 3), Some(&b"new"[..]));
    assert_eq!(copy.records().count(), KEYS);
}

#[test]
fn deleted_key_is_not_in_the_copy() {
    let mut copy = copy_of_all(7);
    copy.apply(Ok(change(3, None, 7, 8))).unwrap();
    assert_eq!(value(&copy, 3), None);
}

#[test]
fn copy_with_changes_left_to_read_is_not_current() {
    let mut copy = copy_of_all(7);
    copy.apply(Ok(change(3, None, 7, 9))).unwrap();
    assert!(!copy.is_current());
    assert_eq!(copy.next_read(), Read::Changes(8));
    copy.apply(Ok(change(4, None, 8, 9))).unwrap();
    assert!(copy.is_current());
}

#[test]
fn key_that_changes_between_two_pages_is_read_again() {
    let mut copy = Copy::default();
    copy.apply(Ok(page(0..1, true, 7))).unwrap();
    copy.apply(Ok(page(1..2, false, 8))).unwrap();
    assert!(!copy.is_current(), "key 0 may have changed at offset 7");
    assert_eq!(copy.next_read(), Read::Changes(7));
    copy.apply(Ok(change(0, Some(b"new"), 7, 8))).unwrap();
    assert!(copy.is_current());
    assert_eq!(value(&copy, 0), Some(&b"new"[..]));
}

#[test]
fn copy_is_read_anew_after_the_log_has_dropped_changes() {
    let mut copy = copy_of_all(7);
    let lost = copy.apply(Err(ReadError::Lost));
    assert_eq!(lost, Err(ReadError::Lost));
    assert_eq!(copy.next_read(), Read::Changes(7));
    let truncated = ReadError::Truncated { first: 9 };
    assert_eq!(copy.apply(Err(truncated)), Err(truncated));
    assert_eq!(copy.next_read(), Read::Newest(None));
    assert_eq!(copy.records().count(), 0);
}

/// Takes the cell over with a copy and waits until the takeover is complete.
async fn take_over(platform: &Fake, token: u64, copy: Copy) -> Rc<Owner<Fake>> {
    let owner = owner(platform, token);
    let (_, tables) = watch::channel(None);
    actix_rt::spawn(Rc::clone(&owner).run(tables, copy));
    assert!(owner.opened().await);
    owner
}

async fn knows(owner: &Owner<Fake>, job: u64) -> bool {
    let read = EntryRequest::Read {
        job: Job(job),
        queue: "filings".to_owned(),
        endpoint: None,
        account: None,
    };
    matches!(owner.serve(read).await, Ok(EntryResponse::Phase(_)))
}

#[test]
fn owner_with_a_copy_knows_jobs_accepted_since_without_reading_pages() {
    actix_rt::System::new().block_on(async {
        let platform = Fake::default();
        let former = open(&platform, 1).await;
        assert_eq!(former.serve(submit(7)).await, Ok(EntryResponse::Accepted));
        let mut copy = Copy::default();
        let read = copy.next_read();
        copy.apply(standby::fetch(&platform, &read).await).unwrap();
        assert!(copy.is_current());

        assert_eq!(former.serve(submit(8)).await, Ok(EntryResponse::Accepted));
        let pages = platform.0.pages_read.get();
        let later = take_over(&platform, 2, copy).await;
        assert!(knows(&later, 7).await && knows(&later, 8).await);
        assert_eq!(platform.0.pages_read.get(), pages);
    });
}

#[test]
fn owner_whose_copy_is_too_old_reads_all_pages() {
    actix_rt::System::new().block_on(async {
        let platform = Fake::default();
        let mut copy = Copy::default();
        let read = copy.next_read();
        copy.apply(standby::fetch(&platform, &read).await).unwrap();
        let former = open(&platform, 1).await;
        assert_eq!(former.serve(submit(7)).await, Ok(EntryResponse::Accepted));
        platform.0.first_change.set(1);
        let later = take_over(&platform, 2, copy).await;
        assert!(knows(&later, 7).await);
    });
}
