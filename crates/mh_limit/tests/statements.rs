//! What a VM concludes from answers, statements and replies.

use std::time::Duration;

use mh_limit::{
    Admission, Ask, InvalidLimit, LimitVm, Limits, Msg, Reply, ServerLimit, Stated, Statement, Target, Verdict,
};
use tokio::time::Instant;

fn start() -> Instant {
    Instant::now() + Duration::from_secs(100)
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn limit(text: &str) -> Stated {
    Stated::from_values([Some(text)])
}

fn target() -> Target {
    Target {
        server: "server".into(),
        run: 1,
        domain: "a".into(),
        region: "maine".into(),
    }
}

/// Limits of the VM `own` in a fleet of which `vms` are alive and settled at [`start`].
fn limits(now: Instant, own: &str, vms: &[&str], listed: usize) -> Limits {
    let vms = vms.iter().map(|vm| LimitVm {
        vm: (*vm).into(),
        domain: "a".into(),
        region: "maine".into(),
    });
    let mut limits = Limits::new(own.into());
    limits.set_vms(now - ms(5000), &vms.collect::<Vec<_>>(), listed);
    limits
}

fn per_s(limits: &Limits, now: Instant) -> Vec<f64> {
    limits.view(now).iter().map(|limit| limit.per_s).collect()
}

/// Guards against texts that stop all requests or none.
#[test]
fn limits_are_parsed() {
    let parse = |text| ServerLimit::parse(text).map(ServerLimit::per_s);

    assert_eq!(parse("7"), Ok(7.0));
    assert_eq!(parse(" 2.5 "), Ok(2.5));
    assert_eq!(parse("0"), Ok(0.25), "a server without requests cannot end its limit");
    assert_eq!(parse("1e300"), Ok(1e6));
    for text in ["", "soon", "NaN", "inf", "1,5", "7/s"] {
        assert_eq!(parse(text), Err(InvalidLimit::NotANumber), "{text}");
    }
    assert_eq!(parse("-3"), Err(InvalidLimit::Negative));
}

/// Guards against repeated headers of which the wrong one counts.
#[test]
fn lowest_of_several_values_counts() {
    let stated = Stated::from_values([Some("9"), Some("soon"), Some("4"), None]);

    assert_eq!(stated, limit("4"));
}

/// Guards against an answer that was overtaken and ends or raises a limit that is in force.
#[test]
fn overtaken_answers_only_lower_a_limit() {
    let now = start();
    let mut limits = limits(now, "vm", &["vm"], 1);
    let server = "server".into();
    limits.on_answer(now, &server, 1, now - ms(50), limit("6"));

    limits.on_answer(now + ms(10), &server, 1, now - ms(20), Stated::Nothing);
    limits.on_answer(now + ms(10), &server, 1, now - ms(20), limit("9"));
    assert_eq!(per_s(&limits, now), [6.0]);

    limits.on_answer(now + ms(10), &server, 1, now - ms(20), limit("4"));
    assert_eq!(per_s(&limits, now), [4.0]);
    limits.on_answer(now + ms(90), &server, 1, now + ms(20), limit("9"));
    assert_eq!(per_s(&limits, now), [9.0]);
    limits.on_answer(
        now + ms(190),
        &server,
        1,
        now + ms(100),
        Stated::Invalid(InvalidLimit::NotANumber),
    );
    assert_eq!(per_s(&limits, now), [9.0]);
    limits.on_answer(now + ms(290), &server, 1, now + ms(200), Stated::Nothing);
    assert!(per_s(&limits, now).is_empty());
}

/// Guards against the limit of a server's former process that binds the new one, or the other way round.
#[test]
fn restarted_server_has_no_limit_until_it_states_one() {
    let now = start();
    let mut limits = limits(now, "vm", &["vm"], 1);
    let server = "server".into();
    limits.on_answer(now, &server, 1, now - ms(50), limit("6"));
    let restarted = Target { run: 2, ..target() };

    assert_eq!(limits.admit(now, &restarted), Admission::Admitted);

    limits.on_answer(now, &server, 2, now - ms(50), limit("3"));
    limits.on_answer(now + ms(60), &server, 1, now + ms(10), Stated::Nothing);
    assert_eq!(per_s(&limits, now), [3.0]);
}

/// Guards against requests without a limit from a VM that learned of a restarted server's limit before it read that the
/// server was restarted, as after a suspension.
#[test]
fn limit_of_a_restarted_server_binds_requests_to_its_former_run() {
    let now = start();
    let mut limits = limits(now, "vm", &["vm"], 1);
    let stated = Statement {
        server: "server".into(),
        run: 2,
        change: 1,
        limit: ServerLimit::parse("4").ok(),
    };
    limits.on_msg(now, &"vm-2".into(), Msg::Statements(vec![stated]), |_| true);

    let admission = limits.admit(now, &target());

    assert!(matches!(admission, Admission::Full(_)), "{admission:?}");
}

/// Guards against two VMs that observed different changes and keep different limits.
#[test]
fn concurrent_changes_converge_to_the_lower_limit() {
    let now = start();
    let statement = |per_s: &str| Statement {
        server: "server".into(),
        run: 1,
        change: 2,
        limit: ServerLimit::parse(per_s).ok(),
    };
    for (first, second) in [("4", "9"), ("9", "4")] {
        let mut limits = limits(now, "vm", &["vm", "vm-2"], 2);
        limits.on_msg(now, &"vm-2".into(), Msg::Statements(vec![statement(first)]), |_| true);
        limits.on_msg(now, &"vm-2".into(), Msg::Statements(vec![statement(second)]), |_| true);

        assert_eq!(per_s(&limits, now), [4.0]);
    }
}

/// Guards against asking an owner that does not reply before each request, and against sending without its consent.
#[test]
fn silent_owner_is_not_asked_again_at_once() {
    let now = start();
    let owner = ["vm-1", "vm-2"];
    let (own, ask, vm) = owner
        .iter()
        .find_map(|own| {
            let mut limits = limits(now, own, &owner, 2);
            limits.on_answer(now, &"server".into(), 1, now, limit("6"));
            match limits.admit(now, &target()) {
                Admission::Ask(vm, ask) => Some((limits, ask, vm)),
                _ => None,
            }
        })
        .expect("one of them must ask the other");
    let mut limits = own;

    let silence = limits.on_reply(now, &vm, &ask, None);

    assert_eq!(silence, Admission::Full(ms(500)));
    assert!(matches!(limits.admit(now + ms(100), &target()), Admission::Full(_)));
    assert!(matches!(limits.admit(now + ms(600), &target()), Admission::Ask(..)));
    let full = Reply {
        verdict: Verdict::Full(ms(300)),
        newer: None,
    };
    assert_eq!(
        limits.on_reply(now + ms(600), &vm, &ask, Some(&full)),
        Admission::Full(ms(300))
    );
    assert_eq!(limits.admit(now + ms(700), &target()), Admission::Full(ms(200)));
}

/// Guards against a VM that admits requests although another one is the owner.
#[test]
fn only_the_owner_admits() {
    let now = start();
    let ask = Ask {
        target: target(),
        statement: Statement {
            server: "server".into(),
            run: 1,
            change: 1,
            limit: ServerLimit::parse("6").ok(),
        },
    };
    let vms = ["vm-1", "vm-2", "vm-3"];

    let admitting = vms.iter().filter(|own| {
        let mut limits = limits(now, own, &vms, 3);
        limits.on_ask(now, &ask).verdict != Verdict::NotOwner
    });

    assert_eq!(admitting.count(), 1);
}

/// Guards against a VM that was paused and admits requests that another VM has admitted meanwhile.
#[test]
fn paused_owner_waits_before_it_admits() {
    let now = start();
    let mut limits = limits(now, "vm", &["vm"], 1);
    limits.on_tick(now, 1);
    limits.on_answer(now, &"server".into(), 1, now - ms(50), limit("10"));
    assert!(matches!(limits.admit(now, &target()), Admission::Full(_)));
    assert_eq!(limits.admit(now + ms(500), &target()), Admission::Admitted);

    let woken = now + ms(6000);

    assert_eq!(limits.admit(woken, &target()), Admission::Full(ms(1000)));
    limits.on_tick(woken + ms(900), 2);
    assert_eq!(limits.admit(woken + ms(1100), &target()), Admission::Admitted);
}
