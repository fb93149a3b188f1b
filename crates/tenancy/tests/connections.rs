//! Connections by tenant: bounds that hold whatever comes, parts that are met, nobody pushed out while it works.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use shalewall_tenancy::connections::{Connections, Ticket, Turned};
use shalewall_tenancy::model::{Limits, TenantId};
use std::collections::{BTreeMap, BTreeSet};

fn id(name: &str) -> TenantId {
    TenantId::try_from(name.to_string()).unwrap()
}

fn most_open(connections: Option<u32>) -> Limits {
    Limits {
        connections,
        ..Limits::default()
    }
}

/// One that comes and names a tenant.
fn come(c: &mut Connections, tenant: &str) -> Result<Ticket, Turned> {
    let (ticket, _) = c.open().expect("nobody is at work");
    match c.name(ticket, &id(tenant)) {
        Ok(_) => {
            c.busy(ticket);
            Ok(ticket)
        }
        Err(turned) => {
            c.close(ticket);
            Err(turned)
        }
    }
}

fn two(most: usize) -> Connections {
    let mut c = Connections::new(most);
    c.agree(&id("loud"), 1.0, &Limits::default());
    c.agree(&id("quiet"), 1.0, &Limits::default());
    c
}

#[test]
fn slow_heads_cost_those_who_send_them() {
    let mut c = two(400);
    let kept: Vec<_> = (0..50).map(|_| come(&mut c, "quiet").unwrap()).collect();
    // A thousand connections that never say whose they are.
    let mut closed = 0;
    for _ in 0..1000 {
        let (_, victim) = c.open().expect("they are silent");
        closed += u32::from(victim.is_some_and(|v| !kept.contains(&v)));
    }
    assert_eq!(
        (closed, c.open_now()),
        (900, 150),
        "a quarter of the front is theirs"
    );
    assert_eq!(c.held(&id("quiet")), 50);
    assert!(come(&mut c, "quiet").is_ok());
}

#[test]
fn a_tenant_within_its_part_gets_idle_places_of_one_above_it_and_no_busy_one() {
    let mut c = two(400);
    let loud: Vec<_> = std::iter::from_fn(|| come(&mut c, "loud").ok()).collect();
    assert_eq!(
        loud.len(),
        285,
        "all but the reserve, while nobody else wants them"
    );
    loud[..200].iter().for_each(|t| c.idle(*t));
    let mut closed = Vec::new();
    for i in 0..150 {
        let (ticket, _) = c.open().expect("there is room");
        let victim = c
            .name(ticket, &id("quiet"))
            .unwrap_or_else(|e| panic!("{i}: {e:?}"));
        c.busy(ticket);
        closed.extend(victim);
    }
    // Fifteen places of the reserve; then the idle ones, the longest idle first.
    assert_eq!(closed, loud[..135]);
    assert_eq!((c.held(&id("quiet")), c.held(&id("loud"))), (150, 150));
    // Above its part it gets nothing more while the other is at its own.
    assert_eq!(come(&mut c, "quiet"), Err(Turned::Part));
    // Its own idle ones it may have again.
    assert_eq!(c.name(loud[140], &id("loud")), Ok(None));
}

#[test]
fn limits_names_and_leavers() {
    let mut c = two(100);
    c.agree(&id("loud"), 1.0, &most_open(Some(2)));
    let first = come(&mut c, "loud").unwrap();
    let second = come(&mut c, "loud").unwrap();
    assert_eq!(come(&mut c, "loud"), Err(Turned::Own));
    c.idle(first);
    let (third, _) = c.open().expect("there is room");
    assert_eq!(
        c.name(third, &id("loud")),
        Ok(Some(first)),
        "its own idle one makes room"
    );
    assert_eq!(come(&mut c, "nobody"), Err(Turned::Unknown));
    // The same connection under another name counts there; gone, the name opens nothing.
    assert_eq!(c.name(second, &id("quiet")), Ok(None));
    assert_eq!((c.held(&id("loud")), c.held(&id("quiet"))), (1, 1));
    c.forget(&id("quiet"));
    assert_eq!(c.name(second, &id("quiet")), Err(Turned::Unknown));
    c.close(second);
    c.close(second);
    assert_eq!((c.open_now(), c.held(&id("quiet"))), (1, 0));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Whatever comes: the bound holds, counts are what is open, what works is not closed for another, and who is
    /// within its part is turned away only while all places above parts are at work.
    #[test]
    fn bounds_hold_whatever_comes(most in 4usize..60, steps in prop::collection::vec((0u8..6, 0u8..4, any::<u8>()), 1..400)) {
        let mut c = Connections::new(most);
        let names = ["a", "b", "c"];
        for (i, name) in names.iter().enumerate() {
            c.agree(&id(name), 1.0 + i as f64, &most_open((i == 2).then_some(5)));
        }
        let mut open: BTreeMap<Ticket, (Option<u8>, bool)> = BTreeMap::new(); // whose, and at work
        for (what, whose, which) in steps {
            let some = open.keys().nth(which as usize % open.len().max(1)).copied();
            let mut gone = None;
            match (what, some) {
                (0..=1, _) => {
                    if let Some((ticket, victim)) = c.open() {
                        prop_assert!(victim.is_none_or(|v| open[&v] == (None, false)));
                        gone = victim;
                        open.insert(ticket, (None, false));
                    } else {
                        prop_assert!(open.values().all(|(of, work)| of.is_some() || *work));
                    }
                }
                (2..=3, Some(ticket)) if whose < 3 => {
                    let name = names[whose as usize];
                    let held = c.held(&id(name)) as f64;
                    let part = c.part(&id(name));
                    match c.name(ticket, &id(name)) {
                        Ok(victim) => {
                            prop_assert!(victim.is_none_or(|v| v != ticket && !open[&v].1), "at work");
                            gone = victim;
                            open.insert(ticket, (Some(whose), false));
                        }
                        Err(turned) => {
                            let idle = open.values().any(|(of, work)| of.is_some_and(|w| w != whose) && !work);
                            let above = names.iter().any(|n| c.held(&id(n)) as f64 > c.part(&id(n)).max(1.0));
                            let starved = turned == Turned::Part && held + 1.0 <= part && idle && !above;
                            prop_assert!(!starved, "{name}: {held} of {part}");
                            open.insert(ticket, (None, true));
                        }
                    }
                }
                (2..=3, Some(ticket)) => {
                    // A whole request.
                    c.busy(ticket);
                    open.entry(ticket).and_modify(|(_, work)| *work = true);
                }
                (4, Some(ticket)) => {
                    c.idle(ticket);
                    open.entry(ticket).and_modify(|(_, work)| *work = false);
                }
                (5, Some(ticket)) => {
                    c.close(ticket);
                    gone = Some(ticket);
                }
                _ => {}
            }
            gone.into_iter().for_each(|g| {
                open.remove(&g);
            });
            prop_assert_eq!(c.open_now(), open.len());
            prop_assert!(c.open_now() <= most.max(2));
            for (i, name) in names.iter().enumerate() {
                prop_assert_eq!(c.held(&id(name)), open.values().filter(|(of, _)| *of == Some(i as u8)).count());
            }
            let all: BTreeSet<_> = open.keys().collect();
            prop_assert_eq!(all.len(), open.len());
        }
    }
}

#[test]
fn a_request_that_names_nobody_is_answered_however_many_come() {
    let mut c = two(40);
    let asked: Vec<_> = (0..10).map(|_| c.open().expect("a quarter").0).collect();
    asked.iter().for_each(|t| c.busy(*t));
    assert_eq!(c.open(), None, "what is at work is not closed for another");
    c.idle(asked[3]);
    assert_eq!(c.open().expect("one is silent").1, Some(asked[3]));
    assert!(
        come_as(&mut c, asked[0], "quiet"),
        "named, it is nobody's no more"
    );
    assert!(c.open().is_some());
}

fn come_as(c: &mut Connections, ticket: Ticket, tenant: &str) -> bool {
    c.name(ticket, &id(tenant)).is_ok()
}
