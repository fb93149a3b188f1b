//! Changes of a tenant: every state with every wish, tags, replay, and what the schema refuses.

use serde_json::{Value, json};
use shalewall_tenancy::access::{Access, Act, Role, Token, parts, role};
use shalewall_tenancy::change::{By, Entry, Match, Refusal, Wish, decide, replay};
use shalewall_tenancy::model::{State, Tenant, TenantId, schema, terms};

fn id(name: &str) -> TenantId {
    TenantId::try_from(name.to_string()).unwrap()
}

fn document() -> Value {
    json!({ "display_name": "Nursery", "share": 1.0,
        "classes": { "report": { "paid": true, "aim_ms": 1000, "give_up_ms": 4000, "worth": 2.0 } } })
}

fn by(of: Match, now: u64) -> By<'static> {
    By {
        who: "op",
        agrees: true,
        of,
        now,
    }
}

/// A tenant in each state.
fn states() -> Vec<Option<Tenant>> {
    let made = decide(
        &id("a"),
        None,
        &Wish::Create(document()),
        &by(Match::Missing, 1),
    )
    .unwrap()
    .0;
    let of = |t: &Tenant, wish: Wish| {
        decide(&id("a"), Some(t), &wish, &by(Match::Any, 2))
            .unwrap()
            .0
    };
    let deleting = of(&made, Wish::Delete);
    vec![
        None,
        Some(made.clone()),
        Some(of(&made, Wish::Suspend)),
        Some(deleting.clone()),
        Some(of(&deleting, Wish::Bury)),
    ]
}

#[test]
fn every_wish_in_every_state() {
    let wishes = [
        Wish::Create(document()),
        Wish::Patch(json!({ "display_name": "New" })),
        Wish::Suspend,
        Wish::Resume,
        Wish::Delete,
        Wish::Bury,
    ];
    // y: done; t: taken; n: not found; s: the state does not allow it.
    let want = ["ynnnnn", "tyyyys", "tyyyys", "tsssyy", "ynnnnn"];
    for (before, want) in states().iter().zip(want) {
        for (wish, want) in wishes.iter().zip(want.chars()) {
            let got = match decide(&id("a"), before.as_ref(), wish, &by(Match::Any, 9)) {
                Ok((after, entry)) => {
                    assert_eq!(
                        after.revision,
                        before.as_ref().map_or(1, |t| t.revision + 1)
                    );
                    assert_eq!((entry.revision, entry.when), (after.revision, 9));
                    'y'
                }
                Err(Refusal::Taken) => 't',
                Err(Refusal::NotFound) => 'n',
                Err(Refusal::State(_)) => 's',
                Err(other) => panic!("{other:?}"),
            };
            assert_eq!(got, want, "{wish:?} of {before:?}");
        }
    }
}

#[test]
fn a_deletion_keeps_its_limit_and_frees_the_id_only_when_it_is_over() {
    let made = states()[1].clone().unwrap();
    let delete = |t: &Tenant, now| {
        decide(&id("a"), Some(t), &Wish::Delete, &by(Match::Any, now))
            .unwrap()
            .0
    };
    let first = delete(&made, 1_000);
    assert_eq!(
        first.state,
        State::Deleting {
            since: 1_000,
            until: 3_601_000
        }
    );
    assert_eq!(
        delete(&first, 50_000).state,
        first.state,
        "asked again it does not begin anew"
    );
    let again = decide(
        &id("a"),
        Some(&first),
        &Wish::Create(document()),
        &by(Match::Any, 2_000),
    );
    assert_eq!(again, Err(Refusal::Taken));
}

#[test]
fn a_change_needs_the_tag_of_what_it_changes() {
    let made = states()[1].clone().unwrap();
    let change =
        |of| decide(&id("a"), Some(&made), &Wish::Suspend, &by(of, 5)).map(|(t, _)| t.revision);
    assert_eq!(change(Match::Missing), Err(Refusal::MatchRequired));
    assert_eq!(change(Match::Revisions(vec![7])), Err(Refusal::Stale(1)));
    assert_eq!(change(Match::Revisions(vec![7, 1])), Ok(2));
    assert_eq!(change(Match::Any), Ok(2));
}

#[test]
fn a_tenants_own_administrator_changes_no_agreement() {
    let made = states()[1].clone().unwrap();
    let own = By {
        who: "adm",
        agrees: false,
        of: Match::Any,
        now: 5,
    };
    let patch =
        |patch| decide(&id("a"), Some(&made), &Wish::Patch(patch), &own).map(|(t, _)| t.terms);
    assert_eq!(
        patch(json!({ "display_name": "B" })).unwrap().display_name,
        "B"
    );
    let more = json!({ "share": 5.0, "limits": { "sessions": 10 } });
    assert_eq!(patch(more), Err(Refusal::Agreed(vec!["share", "limits"])));
}

#[test]
fn a_merge_patch_removes_what_is_null_and_replaces_lists_whole() {
    let mut full = document();
    full["titles"] = json!({ "x": { "home": 1, "spread": 3 }, "y": { "home": 2, "spread": 3 } });
    full["fleet"] = json!({ "own": [1, 2, 3] });
    let made = decide(&id("a"), None, &Wish::Create(full), &by(Match::Missing, 1))
        .unwrap()
        .0;
    let patch = json!({ "titles": { "x": null }, "fleet": { "own": [9] } });
    let after = decide(
        &id("a"),
        Some(&made),
        &Wish::Patch(patch),
        &by(Match::Any, 2),
    )
    .unwrap()
    .0;
    assert_eq!(after.terms.titles.keys().collect::<Vec<_>>(), ["y"]);
    assert_eq!(
        serde_json::to_value(&after.terms.fleet).unwrap(),
        json!({ "own": [9] })
    );
}

#[test]
fn a_history_replayed_comes_to_the_tenant_and_a_hole_in_it_to_nothing() {
    let (mut tenant, mut history): (Option<Tenant>, Vec<Entry>) = (None, Vec::new());
    let wishes = [
        Wish::Create(document()),
        Wish::Patch(json!({ "share": 2.5 })),
        Wish::Suspend,
        Wish::Resume,
        Wish::Replace(document()),
        Wish::Delete,
        Wish::Bury,
        Wish::Create(document()),
        Wish::Patch(json!({ "display_name": "Second" })),
    ];
    for (now, wish) in wishes.iter().enumerate() {
        let (after, entry) =
            decide(&id("a"), tenant.as_ref(), wish, &by(Match::Any, now as u64)).unwrap();
        history.push(entry);
        assert_eq!(replay(&history).as_ref(), Some(&after), "after {wish:?}");
        tenant = Some(after);
    }
    for hole in 1..history.len() - 1 {
        let mut torn = history.clone();
        torn.remove(hole);
        assert_eq!(replay(&torn), None, "without entry {hole}");
    }
}

#[test]
fn the_schema_refuses_with_the_place() {
    assert!(terms(&document()).is_ok());
    assert_eq!(schema()["type"], "object");
    let cases = [
        (json!({ "share": -1 }), "/share"),
        (json!({ "display_name": "" }), "/display_name"),
        (json!({ "classes": {} }), "/classes"),
        (json!({ "colour": "red" }), ""),
        (
            json!({ "classes": { "a/b": { "paid": false, "aim_ms": 9, "give_up_ms": 5, "worth": 1 } } }),
            "/classes/a~1b/aim_ms",
        ),
        (
            json!({ "limits": { "head_bytes": 1 } }),
            "/limits/head_bytes",
        ),
    ];
    for (patch, pointer) in cases {
        let mut wrong = document();
        json_patch::merge(&mut wrong, &patch);
        if patch["classes"]
            .as_object()
            .is_some_and(serde_json::Map::is_empty)
        {
            wrong["classes"] = json!({});
        }
        let faults = terms(&wrong).expect_err(pointer);
        assert!(
            faults.iter().any(|w| w.pointer == pointer),
            "{pointer}: {faults:?}"
        );
    }
    for wrong in ["", "A", "1a", "a_b", "a/b", &"a".repeat(64)] {
        assert!(TenantId::try_from(wrong.to_string()).is_err(), "{wrong}");
    }
}

#[test]
fn who_may_do_what_to_whom() {
    use Access::{Forbidden, Granted, Hidden};
    let (own, other) = (id("own"), id("other"));
    let acts = [
        Act::Directory,
        Act::Read,
        Act::Change,
        Act::Agree,
        Act::Tokens,
        Act::Follow,
    ];
    let table = [
        (Role::Operator, [Granted; 6], [Granted; 6]),
        (
            Role::Front,
            [Hidden, Hidden, Hidden, Hidden, Hidden, Granted],
            [Hidden, Hidden, Hidden, Hidden, Hidden, Granted],
        ),
        (
            Role::Admin(own.clone()),
            [Forbidden, Granted, Granted, Forbidden, Forbidden, Forbidden],
            [Hidden; 6],
        ),
        (
            Role::Reader(own.clone()),
            [
                Forbidden, Granted, Forbidden, Forbidden, Forbidden, Forbidden,
            ],
            [Hidden; 6],
        ),
    ];
    for (role, to_own, to_other) in table {
        assert_eq!(acts.map(|a| role.may(a, Some(&own))), to_own, "{role:?}");
        assert_eq!(
            acts.map(|a| role.may(a, Some(&other))),
            to_other,
            "{role:?}"
        );
    }
    assert_eq!(Role::Admin(own).may(Act::Read, None), Forbidden);
}

#[test]
fn a_token_opens_until_it_is_revoked_and_its_hash_does_not() {
    let (mut token, text) = Token::new(Role::Operator, [7; 8], [9; 32], 1);
    let (shown, secret) = parts(&text).unwrap();
    assert_eq!(shown, token.id);
    assert_eq!(role(Some(&token), secret), Some(Role::Operator));
    assert_eq!(role(Some(&token), &secret.replace('9', "8")), None);
    assert_eq!(role(None, secret), None);
    let kept = serde_json::to_string(&token).unwrap();
    assert!(!kept.contains(secret));
    token.revoked = Some(2);
    assert_eq!(role(Some(&token), secret), None);
    assert!(
        ["", "swt.", "swt.a.b", "x"]
            .iter()
            .all(|t| parts(t).is_none())
    );
}
