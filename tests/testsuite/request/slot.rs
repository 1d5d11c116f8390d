//! Grants of a target's slots.

use laburnumplank::core::id::{Incarnation, Node, Target, Vm};
use laburnumplank::core::request::Id;
use laburnumplank::core::request::route::Tier;
use laburnumplank::core::request::slot::{Capacity, Grantor, Holder, Member, Rules};
use laburnumplank::core::time::Instant;
use proptest::prelude::*;

const START: Instant = Instant(1_000_000_000);
const FOREVER: Instant = Instant(u64::MAX / 2);
const CAPACITY: Capacity = Capacity {
    slots: 8,
    connections: 64,
};

fn holder(vm: u32, tier: Tier) -> Holder {
    let node = Node {
        vm: Vm(vm),
        incarnation: Incarnation(1),
    };
    let member = Member { node, thread: 0 };
    Holder::new(Rules::default(), member, Target(1), tier)
}

fn grantor() -> Grantor {
    let mut grantor = Grantor::first(Rules::default(), CAPACITY);
    grantor.extend(FOREVER);
    grantor
}

/// Requests slots, accepts the grant at once and returns the slots of the grant in force.
fn renew(now: Instant, grantor: &mut Grantor, holder: &mut Holder, needs: u32) -> u32 {
    let request = holder.request(now, needs, needs);
    if let Some(grant) = grantor.grant(now, &request) {
        holder.accept(&grant);
    }
    holder.held(now)
}

#[test]
fn grantor_prefers_near_members() {
    let (mut near, mut far) = (holder(1, Tier::DataCentre), holder(2, Tier::Remote));
    let mut grantor = grantor();
    assert_eq!(renew(START, &mut grantor, &mut far, 8), 8);
    assert_eq!(
        renew(START, &mut grantor, &mut near, 6),
        0,
        "the far member still holds all slots"
    );
    assert_eq!(renew(START, &mut grantor, &mut far, 8), 2);
    assert_eq!(
        renew(START, &mut grantor, &mut near, 6),
        0,
        "the far member keeps its slots until its next request for slots"
    );
    renew(START, &mut grantor, &mut far, 8);
    assert_eq!(renew(START, &mut grantor, &mut near, 6), 6);
}

#[test]
fn grantor_counts_vanished_member_until_its_grant_ends() {
    let rules = Rules::default();
    let (mut gone, mut other) = (holder(1, Tier::Region), holder(2, Tier::Region));
    let mut grantor = grantor();
    assert_eq!(renew(START, &mut grantor, &mut gone, 8), 8);
    let before = START + rules.span + rules.max_call_time;
    assert_eq!(renew(before, &mut grantor, &mut other, 8), 0);
    let after = START + rules.lifetime();
    assert_eq!(renew(after, &mut grantor, &mut other, 8), 8);
}

#[test]
fn after_takeover_grants_only_reported_slots() {
    let rules = Rules::default();
    let (mut old, mut new) = (holder(1, Tier::Region), holder(2, Tier::Region));
    assert_eq!(renew(START, &mut grantor(), &mut old, 3), 3);
    let mut second = Grantor::after_takeover(START, rules, CAPACITY);
    second.extend(FOREVER);
    assert_eq!(renew(START, &mut second, &mut old, 8), 3);
    assert_eq!(renew(START, &mut second, &mut new, 8), 0);
    let after = START + rules.lifetime();
    assert!(renew(after, &mut second, &mut new, 8) > 0);
}

#[test]
fn grantor_without_ownership_grants_nothing() {
    let mut grantor = Grantor::first(Rules::default(), CAPACITY);
    grantor.extend(START);
    assert_eq!(
        renew(START, &mut grantor, &mut holder(1, Tier::Region), 3),
        0
    );
}

#[test]
fn grant_span_counts_from_the_request() {
    let rules = Rules::default();
    let mut holder = holder(1, Tier::Region);
    let request = holder.request(START, 4, 4);
    let grant = grantor().grant(START, &request).unwrap();
    holder.accept(&grant);
    assert_eq!(holder.free(START), 4);
    assert_eq!(holder.free(START + rules.span), 0);
}

#[test]
fn lost_call_occupies_its_slot_until_the_target_has_stopped() {
    let rules = Rules::default();
    let mut holder = holder(1, Tier::Region);
    renew(START, &mut grantor(), &mut holder, 1);
    let deadline = START + rules.span;
    holder.occupy(START, Id(1), deadline);
    holder.mark_lost(Id(1));
    holder.expire(deadline);
    assert_eq!(holder.used(), 1);
    holder.expire(deadline + rules.margin);
    assert_eq!(holder.used(), 0);
}

/// A step of several holders with one grantor. Messages may be lost, late or repeated.
#[derive(Clone, Debug)]
enum Step {
    Request { holder: usize, wants: u32 },
    RequestArrives { index: usize },
    GrantArrives { index: usize },
    Occupy { holder: usize },
    Release { holder: usize },
    Advance { ms: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..4usize, 0..9u32).prop_map(|(holder, wants)| Step::Request { holder, wants }),
        3 => (0..6usize).prop_map(|index| Step::RequestArrives { index }),
        3 => (0..6usize).prop_map(|index| Step::GrantArrives { index }),
        4 => (0..4usize).prop_map(|holder| Step::Occupy { holder }),
        1 => (0..4usize).prop_map(|holder| Step::Release { holder }),
        1 => (1..3000u64).prop_map(|ms| Step::Advance { ms }),
    ]
}

proptest! {
    #![proptest_config(super::state_machine::config(300))]
    #[test]
    fn sum_over_holders_never_exceeds_capacity(steps in prop::collection::vec(step(), 1..150)) {
        let mut now = START;
        let mut grantor = grantor();
        let mut holders: Vec<Holder> = (0..4).map(|vm| holder(vm, Tier::Region)).collect();
        let (mut requests, mut grants) = (Vec::new(), Vec::new());
        let mut running: Vec<(usize, Id, Instant)> = Vec::new();
        for (number, step) in steps.into_iter().enumerate() {
            match step {
                Step::Request { holder, wants } => requests.push(holders[holder].request(now, wants, wants)),
                Step::RequestArrives { index } => {
                    let request = requests.iter().rev().nth(index);
                    grants.extend(request.and_then(|request| grantor.grant(now, request)));
                }
                Step::GrantArrives { index } => {
                    if let Some(grant) = grants.iter().rev().nth(index) {
                        holders[grant.member.node.vm.0 as usize].accept(grant);
                    }
                }
                Step::Occupy { holder } if holders[holder].free(now) > 0 => {
                    let id = Id(number as u64);
                    let deadline = now + Rules::default().max_call_time * 2;
                    let span = holders[holder].occupy(now, id, deadline);
                    running.push((holder, id, now + span));
                }
                Step::Release { holder } => {
                    if let Some(at) = running.iter().position(|run| run.0 == holder) {
                        holders[holder].release(running.remove(at).1);
                    }
                }
                Step::Advance { ms } => now = now + std::time::Duration::from_millis(ms),
                Step::Occupy { .. } => {}
            }
            running.retain(|(_, _, ends)| now < *ends);
            prop_assert!(running.len() <= CAPACITY.slots as usize);
        }
    }
}
