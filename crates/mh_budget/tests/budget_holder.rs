//! Tests of the individual rules of the lending protocol.

use std::sync::Arc;
use std::time::Duration;

use mh_budget::prelude::*;
use mh_budget::{Ask, Body, Claim, Loan, MICROTOKENS_PER_TOKEN, fair_shares};
use mh_types::{Code, Incarnation, VmName};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use tokio::time::Instant;

const LENDER: Incarnation = Incarnation(3);

fn holder(now: Instant, name: &str, incarnation: Incarnation, settings: LendingSettings, burst: f64) -> BudgetHolder {
    let identity = Arc::new(VmIdentity {
        vm: name.into(),
        domain: "a".into(),
        incarnation,
    });
    let budget = Arc::new(Budget::new("org/a/b".into(), 100.0, burst).expect("valid budget"));
    let mut holder = BudgetHolder::new(now, identity, budget, Arc::new(settings), 1, 0);
    let owner = Owner {
        vm: "lender".into(),
        domain: "a".into(),
    };
    holder.set_owners(now, Arc::new(std::iter::once(owner).collect()));
    holder
}

fn lender(now: Instant) -> BudgetHolder {
    let mut lender = holder(now, "lender", LENDER, LendingSettings::default(), 40.0);
    let all = lender.division().slots_of_domain(0).collect();
    assert!(lender.adopt_slots(now, now, &all, Adoption::New));
    lender
}

fn ask(number: u64, held: u64, want: u64) -> Msg {
    let want = Share::of_tokens(want);
    let body = Body::Ask(Ask {
        number,
        lender: LENDER,
        held: Share::of_tokens(held),
        returned: 0,
        need: want,
        want,
        elsewhere: Share::EMPTY,
        level: 0,
    });
    Msg {
        budget: "org/a/b".into(),
        incarnation: Incarnation(1),
        body,
    }
}

fn loan_of(out: &[Outgoing]) -> Loan {
    match out[0].msg.body {
        Body::Loan(loan) => loan,
        other => panic!("not a loan: {other:?}"),
    }
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against a share that lender and borrower both use, and against a lost answer that leaves share unused until
/// the lease ends.
#[test]
fn loan_leaves_the_lender_and_the_next_ask_corrects_a_lost_answer() {
    let now = Instant::now();
    let mut lender = lender(now);
    let borrower = VmName::from("borrower");
    let loan = loan_of(&lender.on_msg(now, &borrower, &ask(1, 0, 10)));
    assert_eq!(
        (loan.share, loan.tokens),
        (Share::of_tokens(10), 10 * MICROTOKENS_PER_TOKEN)
    );
    assert_eq!(lender.usable_share(), Share::of_tokens(30));
    assert!(
        lender.on_msg(now, &borrower, &ask(1, 0, 10)).is_empty(),
        "a duplicated loan request was answered"
    );
    lender.on_msg(now, &borrower, &ask(2, 0, 0));
    assert_eq!(lender.usable_share(), Share::of_tokens(40));
}

/// Guards against a borrower that still uses a share which the lender has reclaimed, when the borrower's clock is as
/// slow and the lender's clock as fast as the drift bound allows.
#[test]
fn borrower_stops_before_the_lender_reclaims_share_under_drift() {
    let settings = LendingSettings {
        safety_margin: ms(0),
        drift_ppm: 50_000,
        ..LendingSettings::default()
    };
    let start = Instant::now();
    let clock = |rate: f64, millis: u32| start + (ms(1_000) * millis).mul_f64(rate / 1_000.0);
    let mut lender = holder(start, "lender", LENDER, settings, 40.0);
    let all = lender.division().slots_of_domain(0).collect();
    lender.adopt_slots(start, start, &all, Adoption::New);
    let mut borrower = holder(start, "borrower", Incarnation(1), settings, 40.0);
    let (slow, fast) = (0.95, 1.05);
    for _ in 0..50 {
        let _ = borrower.limiter().decide(|| start, 1);
    }
    let asks = borrower.on_tick(clock(slow, 100));
    let answers = lender.on_msg(clock(fast, 100), &"borrower".into(), &asks[0].msg);
    borrower.on_msg(clock(slow, 100), &"lender".into(), &answers[0].msg);
    assert!(!borrower.borrowed_share().is_empty(), "nothing was lent");
    let mut ended = false;
    for millis in 101..6_000 {
        lender.on_tick(clock(fast, millis));
        borrower.on_listed(clock(slow, millis), true);
        let sum = lender.usable_share() + borrower.usable_share();
        assert!(sum <= Share::of_tokens(40), "{sum:?} in use after {millis} ms");
        ended |= borrower.borrowed_share().is_empty();
    }
    assert!(ended);
}

/// Guards against a lease that starts when a delayed loan arrives instead of when it was asked for.
#[test]
fn borrower_lease_starts_at_the_ask() {
    let now = Instant::now();
    let settings = LendingSettings {
        retry_timeout: Duration::from_secs(4),
        renew_interval: ms(500),
        ..LendingSettings::default()
    };
    let mut borrower = holder(now, "borrower", Incarnation(1), settings, 40.0);
    let _ = borrower.limiter().decide(|| now, 30);
    let asks = borrower.on_tick(now + ms(100));
    let Body::Ask(ask) = asks[0].msg.body else {
        panic!("no loan request")
    };
    let loan = Loan {
        borrower: Incarnation(1),
        number: ask.number,
        share: Share::of_tokens(5),
        tokens: 0,
        lease: settings.lease,
        level: 0,
    };
    let msg = Msg {
        budget: "org/a/b".into(),
        incarnation: LENDER,
        body: Body::Loan(loan),
    };
    borrower.on_msg(now + ms(3_100), &"lender".into(), &msg);
    assert_eq!(borrower.borrowed_share(), Share::of_tokens(5));
    borrower.on_listed(now + ms(5_100), true);
    assert_eq!(borrower.borrowed_share(), Share::EMPTY);
}

/// Guards against a restarted VM that accepts a loan that its earlier process asked for with the same number.
#[test]
fn loan_to_an_earlier_incarnation_is_ignored() {
    let now = Instant::now();
    let mut borrower = holder(now, "borrower", Incarnation(2), LendingSettings::default(), 40.0);
    let _ = borrower.limiter().decide(|| now, 30);
    let asks = borrower.on_tick(now + ms(100));
    let Body::Ask(ask) = asks[0].msg.body else {
        panic!("no loan request")
    };
    let (number, share) = (ask.number, Share::of_tokens(5));
    let answer = |borrower| Loan {
        borrower,
        number,
        share,
        tokens: 0,
        lease: Duration::from_secs(5),
        level: 0,
    };
    let msg = |loan| Msg {
        budget: "org/a/b".into(),
        incarnation: LENDER,
        body: Body::Loan(loan),
    };
    borrower.on_msg(now + ms(101), &"lender".into(), &msg(answer(Incarnation(1))));
    assert_eq!(borrower.borrowed_share(), Share::EMPTY);
    borrower.on_msg(now + ms(102), &"lender".into(), &msg(answer(Incarnation(2))));
    assert_eq!(borrower.borrowed_share(), share);
}

/// Guards against use of a slot while loans of the previous owner may still be in use.
#[test]
fn slot_taken_over_is_unused_until_the_wait_ends() {
    let now = Instant::now();
    let mut new_owner = holder(now, "new-owner", Incarnation(1), LendingSettings::default(), 40.0);
    assert!(new_owner.adopt_slots(now, now, &std::iter::once(0).collect(), Adoption::TakenOver));
    for second in 1..=4 {
        new_owner.on_tick(now + ms(1_000 * second));
    }
    new_owner.on_tick(now + LendingSettings::default().takeover_wait() - ms(1));
    assert!(new_owner.usable_share().is_empty());
    new_owner.on_tick(now + LendingSettings::default().takeover_wait());
    assert!(!new_owner.usable_share().is_empty());
}

/// Guards against a paused VM that uses its slots after the pause without reading their rows again.
#[test]
fn paused_owner_must_confirm_with_a_fresh_read() {
    let now = Instant::now();
    let mut owner = lender(now);
    let slots = owner.owned().clone();
    let resumed = now + ms(5_000);
    owner.confirm(resumed, now, &slots);
    assert_eq!(owner.slot_access(), SlotAccess::Unconfirmed);
    assert!(!owner.limiter().meter().try_take(resumed, 1));
    assert!(
        !owner.adopt_slots(resumed, now, &slots, Adoption::HandedOver),
        "adopted on an old read"
    );
    owner.confirm(resumed, resumed, &slots);
    // The meter lost its tokens during the pause and refills.
    assert!(owner.limiter().meter().try_take(resumed + ms(100), 1));
}

/// Guards against a small budget, such as one of five tokens, that is divided so far that no VM can admit anything.
#[test]
fn small_budget_is_decided_by_its_owner() {
    let now = Instant::now();
    let mut owner = holder(now, "lender", LENDER, LendingSettings::default(), 3.0);
    let mut other = holder(now, "other", Incarnation(1), LendingSettings::default(), 3.0);
    owner.adopt_slots(now, now, &std::iter::once(0).collect(), Adoption::New);
    assert!(owner.division().is_undivided());
    other.on_tick(now);
    assert_eq!(other.limiter().decide(|| now, 1), Decision::AskPeer("lender".into()));
    assert!(matches!(
        other.limiter().decide_again(|| now, 1, 1),
        Decision::Refuse { .. }
    ));
    let answers: Vec<bool> = (0..4)
        .map(|_| owner.limiter().decide_for_peer(|| now, 1).admitted)
        .collect();
    assert_eq!(answers, [true, true, true, false]);
    assert!(matches!(owner.limiter().decide(|| now, 1), Decision::Refuse { .. }));
}

/// Guards against inconsistent settings and budgets out of range.
#[test]
fn invalid_settings_and_budgets_are_rejected() {
    assert_eq!(Budget::new("x".into(), 0.0, 5.0), Err(Code::FieldOutOfRange));
    assert_eq!(Budget::new("x".into(), f64::NAN, 5.0), Err(Code::FieldOutOfRange));
    assert_eq!(Budget::for_slots("x".into(), 1, ms(10)), Err(Code::FieldOutOfRange));
    let short = LendingSettings {
        lease: ms(2_500),
        ..LendingSettings::default()
    };
    assert_eq!(short.check(), Err(Code::FieldOutOfRange));
    assert_eq!(LendingSettings::default().check(), Ok(()));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300, failure_persistence: None, rng_seed: RngSeed::Fixed(11), ..ProptestConfig::default()
    })]

    /// Guards against slots whose shares add up to more or less than the budget.
    #[test]
    fn slot_shares_add_up_to_the_whole_budget(burst in 1.0..5_000.0f64, domains in 1..50u16) {
        let budget = Budget::new("x".into(), 10.0, burst).unwrap();
        let division = Division::of(&budget, domains);
        let all: Slots = (0..division.slots()).collect();
        prop_assert_eq!(all.share(&budget, division), budget.whole());
    }

    /// Guards against a division that exceeds the supply, or gives share to one VM while another that has less is below
    /// its need.
    #[test]
    fn needs_are_met_by_max_min_fairness(
        supply in 0..1_000u64,
        claims in prop::collection::vec((0..300u64, 0..300u64), 1..8),
    ) {
        let claims: Vec<Claim> = claims
            .iter()
            .map(|(base, need)| Claim { base: Share(*base), need: Share(*need), want: Share(need * 2) })
            .collect();
        let parts = fair_shares(Share(supply), &claims);
        prop_assert!(parts.iter().copied().sum::<Share>() <= Share(supply));
        for (claim, part) in claims.iter().zip(&parts) {
            let has = claim.base + *part;
            let is_short = has < claim.need;
            for (other, given) in claims.iter().zip(&parts) {
                let has_more = !given.is_empty() && other.base + *given > has + Share(1);
                prop_assert!(!(is_short && has_more), "{claims:?} {parts:?}");
            }
        }
    }
}

/// Guards against refusing the first requests at a VM that owns no slots, although other VMs have tokens.
#[test]
fn first_request_at_a_vm_without_slots_asks_an_owner() {
    let now = Instant::now();
    let identity = Arc::new(VmIdentity {
        vm: "b".into(),
        domain: "d".into(),
        incarnation: Incarnation(1),
    });
    let budget = Arc::new(Budget::new("org/coop".into(), 20.0, 20.0).unwrap());
    let mut holder = BudgetHolder::new(now, identity, budget, Arc::new(LendingSettings::default()), 1, 0);
    let owner = Owner {
        vm: "a".into(),
        domain: "d".into(),
    };
    holder.set_owners(now, Arc::new([owner].into_iter().collect()));

    let decision = holder.limiter().decide(|| now, 1);

    assert_eq!(decision, Decision::AskPeer("a".into()));
}
