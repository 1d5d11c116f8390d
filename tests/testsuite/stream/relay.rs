//! One node of a region reads for the others, and another takes over when it dies or lags.

use std::time::Duration;

use laburnum_testkit::fake::{Fault, Region};
use laburnumplank::core::stream::relay::{HEARTBEAT, LAG, Rules, SILENCE};
use proptest::prelude::*;

use super::config;

const NODES: usize = 5;

/// The span between two steps of the region.
const STEP: Duration = Duration::from_millis(50);

fn region(rules: Rules) -> Region {
    Region::new(NODES, STEP, rules)
}

/// Ends all faults and lets the region settle on one relay.
fn heal(region: &mut Region) {
    for member in &mut region.members {
        member.fault = Fault::None;
    }
    region.run(Duration::from_secs(30));
    assert_eq!(region.direct_readers().len(), 1);
}

/// Breaks the only relay, appends a record and returns how long the others lacked it.
fn outlive(region: &mut Region, fault: Fault) -> Option<Duration> {
    region.run(Duration::from_secs(5));
    let relay = region.direct_readers();
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
    assert_eq!(region.direct_readers().len(), 1);
    let fetches = region.fetches;
    region.append();
    let complete = region.run(Duration::from_secs(10)).unwrap();
    assert!(complete.since(region.now - Duration::from_secs(10)) <= STEP * 4);
    assert!(region.fetches - fetches <= 12, "more than one node fetches");
}

#[test]
fn silent_relay_is_replaced() {
    let span = outlive(&mut region(Rules::default()), Fault::Silent).unwrap();
    assert!(span <= SILENCE + HEARTBEAT + STEP * 4, "{span:?}");
}

#[test]
fn lagging_relay_is_replaced() {
    let span = outlive(&mut region(Rules::default()), Fault::LogUnreachable).unwrap();
    assert!(span <= LAG + HEARTBEAT + STEP * 4, "{span:?}");
}

#[test]
fn second_relay_may_die_too() {
    let mut region = region(Rules::default());
    outlive(&mut region, Fault::Silent).unwrap();
    let sound = |index: &usize| region.members[*index].fault == Fault::None;
    let second: Vec<usize> = region.direct_readers().into_iter().filter(sound).collect();
    assert_eq!(second.len(), 1);
    region.members[second[0]].fault = Fault::Silent;
    region.append();
    let start = region.now;
    let complete = region.run(Duration::from_secs(10)).unwrap();
    assert!(complete.since(start) <= SILENCE + HEARTBEAT + STEP * 4);
}

#[test]
fn returned_relay_is_trusted_again() {
    let mut region = region(Rules::default());
    outlive(&mut region, Fault::Silent).unwrap();
    heal(&mut region);
    assert!(region.is_complete());
}

/// Gives a follower a gap that no relay keeps; returns whether it was filled.
fn fills_gap(rules: Rules) -> bool {
    let mut region = region(rules);
    region.run(Duration::from_secs(1));
    let follower = (region.direct_readers()[0] + 1) % NODES;
    region.members[follower].fault = Fault::Silent;
    for _ in 0..500 {
        region.append();
        region.run(STEP);
    }
    for index in (0..NODES).filter(|index| *index != follower) {
        region.reset_relay(index);
    }
    heal(&mut region);
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
    for fault in [Fault::Silent, Fault::LogUnreachable] {
        assert!(outlive(&mut region(rules), fault).is_none());
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
            region.members[index].fault = [Fault::None, Fault::Silent, Fault::LogUnreachable][usize::from(fault)];
            region.append();
            region.run(Duration::from_millis(millis));
        }
        heal(&mut region);
        let all: Vec<u64> = (0..region.log.next()).collect();
        for member in &region.members {
            prop_assert_eq!(&member.received, &all);
        }
    }
}
