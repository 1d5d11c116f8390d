//! Tests of the order in which an owner's records reach the log and are reported as being there.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use laburnumplank::core::scheduler::id::{Mark, Token};
use laburnumplank::entry::port::Record;
use laburnumplank::entry::writer::{self, Event, Queue};
use laburnumplank::util::clock::Clock;
use slog::{Discard, Logger, o};

use super::fake::Fake;

/// More refusals than it takes until the writer considers the log unavailable.
const MANY_REFUSALS: u32 = 1_000;
/// The size of a value of which one append holds two, but not three.
const LARGE: usize = 400_000;

fn record(key: &str, size: usize) -> Record {
    Record {
        key: Some(key.as_bytes().to_vec()),
        value: Some(vec![0; size]),
    }
}

async fn until(condition: impl Fn() -> bool) {
    while !condition() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

#[test]
fn records_put_back_are_durable_only_once_all_of_their_batch_are_in_the_log() {
    actix_rt::System::new().block_on(async {
        let platform = Fake::default();
        let queue = Rc::new(Queue::default());
        let unsent = Rc::new(RefCell::new(Mark(0)));
        let durable = Rc::new(RefCell::new(Vec::new()));
        let on_event = {
            let (platform, unsent, durable) = (platform.clone(), unsent.clone(), durable.clone());
            move |event| match event {
                Event::Durable { mark, .. } => {
                    let keys = platform.0.jobs.borrow().keys().cloned().collect::<Vec<_>>();
                    durable.borrow_mut().push((mark, keys));
                }
                Event::Unavailable(sent) => *unsent.borrow_mut() = sent,
                _ => {}
            }
        };
        actix_rt::spawn(writer::run(
            platform.clone(),
            Rc::clone(&queue),
            Token(1),
            0,
            Clock::start(),
            Logger::root(Discard, o!()),
            on_event,
        ));
        queue.push(Mark(1), record("a", 1));
        until(|| !durable.borrow().is_empty()).await;

        platform.0.refusals.set(MANY_REFUSALS);
        queue.push(Mark(2), record("b", LARGE));
        until(|| platform.0.refusals.get() < MANY_REFUSALS).await;
        queue.push(Mark(3), record("c", LARGE));
        queue.push(Mark(4), record("d", LARGE));
        until(|| *unsent.borrow() == Mark(1)).await;
        platform.0.refusals.set(0);
        until(|| {
            durable
                .borrow()
                .last()
                .is_some_and(|(mark, _)| *mark == Mark(4))
        })
        .await;

        let durable = durable.borrow();
        for (mark, keys) in durable.iter() {
            let expected = [b"a", b"b", b"c", b"d"].map(|key| key.to_vec());
            let expected = &expected[..mark.0 as usize];
            assert!(
                keys.starts_with(expected),
                "{mark:?} with {} records",
                keys.len()
            );
        }
    });
}
