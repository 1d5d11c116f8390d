//! One node of a region reads the log for the others, and another takes over when it dies or lags.

use std::time::Duration;

use laburnum_testkit::fake::{Fault, Region};
use laburnumplank::core::stream::relay::{HEARTBEAT_INTERVAL, MAX_LAG, Rules, SILENCE_TIMEOUT};
use proptest::prelude::*;

use super::config;

const NODES: usize = 5;

/// The time between two steps of the region.
const STEP: Duration = Duration::from_millis(50);

fn region(rules: Rules) -> Region {
    Region::new(NODES, STEP, rules)
}

/// Ends all faults, runs the region for 30 s and checks that exactly one node reads the log.
fn end_faults(region: &mut Region) {
    for member in &mut region.members {
        member.fault = Fault::None;
    }
    region.run(Duration::from_secs(30));
    assert_eq!(region.direct().len(), 1);
}

/// Puts `fault` on the only node that reads the log, appends a record, and returns the time until
/// the others have it, or `None` if they don't get it within 10 s.
fn break_relay(region: &mut Region, fault: Fault) -> Option<Duration> {
    region.run(Duration::from_secs(5));
    let relay = region.direct();
    assert_eq!(relay.len(), 1);
    region.members[relay[0]].fault = fault;
    region.append();
    let broken_at = region.now;
    let complete = region.run(Duration::from_secs(10))?;
    Some(complete.since(broken_at))
}

#[test]
fn one_node_reads_for_the_region() {
    let mut region = region(Rules::default());
    for _ in 0..100 {
        region.append();
        region.run(Duration::from_millis(100));
    }
    assert!(region.run(Duration::from_secs(1)).is_some());
    assert_eq!(region.direct().len(), 1);
    let fetches = region.fetches;
    region.append();
    let complete = region.run(Duration::from_secs(10)).unwrap();
    assert!(complete.since(region.now - Duration::from_secs(10)) <= STEP * 4);
    assert!(region.fetches - fetches <= 12, "more than one node fetches");
}

#[test]
fn silent_relay_is_replaced() {
    let span = break_relay(&mut region(Rules::default()), Fault::Silent).unwrap();
    assert!(
        span <= SILENCE_TIMEOUT + HEARTBEAT_INTERVAL + STEP * 4,
        "{span:?}"
    );
}

#[test]
fn lagging_relay_is_replaced() {
    let span = break_relay(&mut region(Rules::default()), Fault::CutOff).unwrap();
    assert!(span <= MAX_LAG + HEARTBEAT_INTERVAL + STEP * 4, "{span:?}");
}

#[test]
fn second_relay_may_die_too() {
    let mut region = region(Rules::default());
    break_relay(&mut region, Fault::Silent).unwrap();
    let is_healthy = |index: &usize| region.members[*index].fault == Fault::None;
    let second: Vec<usize> = region.direct().into_iter().filter(is_healthy).collect();
    assert_eq!(second.len(), 1);
    region.members[second[0]].fault = Fault::Silent;
    region.append();
    let start = region.now;
    let complete = region.run(Duration::from_secs(10)).unwrap();
    assert!(complete.since(start) <= SILENCE_TIMEOUT + HEARTBEAT_INTERVAL + STEP * 4);
}

#[test]
fn returned_relay_is_trusted_again() {
    let mut region = region(Rules::default());
    break_relay(&mut region, Fault::Silent).unwrap();
    end_faults(&mut region);
    assert!(region.is_complete());
}

/// Lets a follower miss entries that no relay keeps any more; returns whether it gets them.
fn fills_gap(rules: Rules) -> bool {
    let mut region = region(rules);
    region.run(Duration::from_secs(1));
    let follower = (region.direct()[0] + 1) % NODES;
    region.members[follower].fault = Fault::Silent;
    for _ in 0..500 {
        region.append();
        region.run(STEP);
    }
    for index in (0..NODES).filter(|index| *index != follower) {
        region.renew_relay(index);
    }
    end_faults(&mut region);
    region.is_complete()
}

#[test]
fn follower_far_behind_reads_the_log_itself() {
    assert!(fills_gap(Rules::default()));
}

#[test]
fn oracle_catches_catch_up_off() {
    assert!(!fills_gap(Rules {
        catch_up: false,
        ..Rules::default()
    }));
}

#[test]
fn oracle_catches_takeover_off() {
    let rules = Rules {
        takeover: false,
        ..Rules::default()
    };
    for fault in [Fault::Silent, Fault::CutOff] {
        assert!(break_relay(&mut region(rules), fault).is_none());
    }
}

proptest! {
    #![proptest_config(config(40))]

    #[test]
    fn faults_never_leave_a_gap(
        steps in proptest::collection::vec((0..NODES, 0..3_u8, 0..3_000_u64), 1..20),
    ) {
        let mut region = region(Rules::default());
        for (index, fault, millis) in steps {
            region.members[index].fault = [Fault::None, Fault::Silent, Fault::CutOff][usize::from(fault)];
            region.append();
            region.run(Duration::from_millis(millis));
        }
        end_faults(&mut region);
        let all: Vec<u64> = (0..region.log.next()).collect();
        for member in &region.members {
            prop_assert_eq!(&member.got, &all);
        }
    }
}
