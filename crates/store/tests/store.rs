//! The store: changes that race, a process killed while it writes, earlier and later versions, full round trips.

use redb::TableDefinition;
use serde_json::json;
use shalewall_store::{Error, Store, VERSION};
use shalewall_tenancy::access::{Role, Token};
use shalewall_tenancy::change::{By, Match, Refusal, Wish, replay};
use shalewall_tenancy::model::{State, TenantId};
use std::path::Path;
use std::process::{Command, Stdio};

fn id(name: &str) -> TenantId {
    TenantId::try_from(name.to_string()).unwrap()
}

fn document(name: &str) -> serde_json::Value {
    json!({ "display_name": name, "share": 1.0,
        "classes": { "report": { "paid": true, "aim_ms": 1000, "give_up_ms": 4000, "worth": 2.0 } } })
}

fn by(of: Match) -> By<'static> {
    By {
        who: "test",
        agrees: true,
        of,
        now: 5,
    }
}

fn create(store: &Store, name: &str) {
    store
        .change(
            &id(name),
            &Wish::Create(document(name)),
            &by(Match::Missing),
            None,
        )
        .unwrap();
}

#[test]
fn a_thousand_racing_changes_lose_none_and_the_history_replays_to_the_state() {
    let dir = tempfile::tempdir().unwrap();
    let store = Store::open(&dir.path().join("t.redb")).unwrap();
    create(&store, "a");
    let accepted: usize = std::thread::scope(|scope| {
        let administrators: Vec<_> = (0..16)
            .map(|who| {
                let store = &store;
                scope.spawn(move || {
                    let mut accepted = 0;
                    while accepted < 63 {
                        // Reads, changes what it read, and reads again where another was first.
                        let seen = store.tenant(&id("a")).unwrap().unwrap();
                        let name = format!("{who}-{accepted}");
                        let wish = Wish::Patch(json!({ "display_name": name }));
                        let of = Match::Revisions(vec![seen.revision]);
                        match store.change(&id("a"), &wish, &by(of), None) {
                            Ok(_) => accepted += 1,
                            Err(Error::Refused(Refusal::Stale(now))) => {
                                assert!(now > seen.revision)
                            }
                            Err(e) => panic!("{e}"),
                        }
                    }
                    accepted
                })
            })
            .collect();
        administrators.into_iter().map(|a| a.join().unwrap()).sum()
    });
    assert_eq!(accepted, 1008);
    let history = store.history(&id("a"), 0, usize::MAX).unwrap();
    assert_eq!(
        history.len(),
        1 + accepted,
        "every accepted change is there, and no other"
    );
    assert_eq!(replay(&history), store.tenant(&id("a")).unwrap());
    let mut names: Vec<_> = history
        .iter()
        .map(|e| e.to.as_ref().unwrap().display_name.clone())
        .collect();
    names.sort();
    names.dedup();
    assert_eq!(names.len(), 1 + accepted);
    store.check().unwrap();
}

/// The child of the test below: changes tenants until it is killed, telling each change that was made.
#[test]
fn churn_until_killed() {
    let Ok(path) = std::env::var("CHURN_STORE") else {
        return;
    };
    let store = Store::open(Path::new(&path)).unwrap();
    for i in 0u64.. {
        let name = format!("t{}", i % 7);
        let wish = match store.tenant(&id(&name)).unwrap().map(|t| t.state) {
            None | Some(State::Gone { .. }) => Wish::Create(document(&name)),
            Some(State::Deleting { .. }) => Wish::Bury,
            _ if i % 11 == 0 => Wish::Delete,
            _ => Wish::Patch(json!({ "display_name": format!("{i}") })),
        };
        let number = store
            .change(&id(&name), &wish, &by(Match::Any), None)
            .unwrap()
            .number;
        println!("made {}", number.unwrap());
    }
}

#[test]
fn killed_two_hundred_times_while_it_writes_it_is_whole_each_time() {
    use std::io::{BufRead, BufReader};
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("t.redb");
    let mut made = 0;
    for kill in 0..200u64 {
        let mut child = Command::new(std::env::current_exe().unwrap())
            .args(["--exact", "churn_until_killed", "--nocapture"])
            .env("CHURN_STORE", &path)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let mut told = BufReader::new(child.stdout.take().unwrap()).lines();
        // Killed after a few changes, at a point within the next that is another each time.
        for _ in 0..1 + kill % 4 {
            let line = told
                .by_ref()
                .map(Result::unwrap)
                .find(|l| l.contains("made "))
                .expect("it writes");
            made = line.rsplit(' ').next().unwrap().parse().unwrap();
        }
        std::thread::sleep(std::time::Duration::from_micros(kill * 37 % 3000));
        child.kill().unwrap();
        child.wait().unwrap();
        for line in told.map_while(Result::ok).filter(|l| l.contains("made ")) {
            made = line.rsplit(' ').next().unwrap().parse().unwrap_or(made);
        }
        let store = Store::open(&path).unwrap();
        store
            .check()
            .unwrap_or_else(|e| panic!("after kill {kill}: {e}"));
        // What it told was there to stay; at most the one change under way came on top.
        let last = store.last().unwrap();
        assert!(
            last == made || last == made + 1,
            "after kill {kill}: {made} told, {last} there"
        );
        made = last;
    }
    assert!(made > 400, "it has to have written: {made}");
}

#[test]
fn an_export_read_in_again_is_the_same_store() {
    let dir = tempfile::tempdir().unwrap();
    let store = Store::open(&dir.path().join("a.redb")).unwrap();
    for name in ["b", "a", "c"] {
        create(&store, name);
    }
    store
        .change(&id("b"), &Wish::Delete, &by(Match::Any), None)
        .unwrap();
    store
        .change(&id("b"), &Wish::Bury, &by(Match::Missing), None)
        .unwrap();
    create(&store, "b");
    let (token, text) = Token::new(Role::Reader(id("a")), [1; 8], [2; 32], 3);
    store.keep_token(&token).unwrap();
    let mut out = Vec::new();
    let found = store.export(&mut out).unwrap();
    assert_eq!((found.tenants, found.changes, found.tokens), (3, 6, 1));
    assert!(
        !String::from_utf8(out.clone())
            .unwrap()
            .contains(text.rsplit('.').next().unwrap())
    );
    let other = Store::open(&dir.path().join("b.redb")).unwrap();
    assert_eq!(other.import(out.as_slice()).unwrap(), found);
    assert_eq!(other.list(None, 10).unwrap(), store.list(None, 10).unwrap());
    assert_eq!(other.since(0).unwrap(), store.since(0).unwrap());
    assert!(
        matches!(other.import(out.as_slice()), Err(Error::Unable(_))),
        "only into an empty one"
    );
    // A line that is missing in the middle leaves nothing behind.
    let text = String::from_utf8(out).unwrap();
    let torn: String = text
        .lines()
        .enumerate()
        .filter(|(i, _)| *i != 4)
        .map(|(_, l)| format!("{l}\n"))
        .collect();
    let third = Store::open(&dir.path().join("c.redb")).unwrap();
    assert!(matches!(
        third.import(torn.as_bytes()),
        Err(Error::Corrupt(_))
    ));
    assert_eq!(third.last().unwrap(), 0);
}

#[test]
fn the_same_key_makes_one_tenant_and_another_request_under_it_none() {
    let dir = tempfile::tempdir().unwrap();
    let store = Store::open(&dir.path().join("t.redb")).unwrap();
    let wish = Wish::Create(document("a"));
    let ask = |name: &str, request| {
        store.change(&id(name), &wish, &by(Match::Missing), Some(("k1", request)))
    };
    assert_eq!(ask("a", "r1").unwrap().number, Some(1));
    let again = ask("a", "r1").unwrap();
    assert_eq!((again.number, again.tenant.revision), (None, 1));
    assert!(matches!(ask("a", "r2"), Err(Error::KeyReused)));
    assert!(matches!(ask("b", "r1"), Err(Error::KeyReused)));
    assert_eq!(store.last().unwrap(), 1);
}

#[test]
fn pages_and_changes_since_a_number() {
    let dir = tempfile::tempdir().unwrap();
    let store = Store::open(&dir.path().join("t.redb")).unwrap();
    for i in 0..10 {
        create(&store, &format!("t{i}"));
    }
    let page = store.list(Some(&id("t3")), 4).unwrap();
    assert_eq!(
        page.iter().map(|t| t.id.as_str()).collect::<Vec<_>>(),
        ["t4", "t5", "t6", "t7"]
    );
    store
        .change(&id("t2"), &Wish::Suspend, &by(Match::Any), None)
        .unwrap();
    store
        .change(&id("t2"), &Wish::Resume, &by(Match::Any), None)
        .unwrap();
    let (number, changed) = store.since(9).unwrap();
    assert_eq!(
        (number, changed.len()),
        (12, 2),
        "t9, and t2 once as it is now"
    );
    assert_eq!(store.since(12).unwrap(), (12, vec![]));
}

#[test]
fn an_earlier_version_is_moved_forward_and_a_later_one_refused_untouched() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("t.redb");
    let store = Store::open(&path).unwrap();
    create(&store, "a");
    create(&store, "b");
    store
        .change(&id("a"), &Wish::Suspend, &by(Match::Any), None)
        .unwrap();
    drop(store);
    const META: TableDefinition<'_, &str, u64> = TableDefinition::new("meta");
    const CHANGES: TableDefinition<'_, u64, &str> = TableDefinition::new("changes");
    let write = |version: u64| {
        let db = redb::Database::open(&path).unwrap();
        let txn = db.begin_write().unwrap();
        txn.open_table(META)
            .unwrap()
            .insert("version", version)
            .unwrap();
        if version == 1 {
            txn.delete_table(CHANGES).unwrap();
        }
        txn.commit().unwrap();
    };
    write(1);
    let store = Store::open(&path).unwrap();
    assert_eq!(
        (store.version().unwrap(), store.last().unwrap()),
        (VERSION, 3)
    );
    store.check().unwrap();
    drop(store);
    write(VERSION + 1);
    assert!(matches!(Store::open(&path), Err(Error::Newer(v)) if v == VERSION + 1));
    // The program of that version finds it as it left it.
    write(VERSION);
    let store = Store::open(&path).unwrap();
    assert_eq!(
        (store.last().unwrap(), store.check().unwrap().tenants),
        (3, 2)
    );
}

#[test]
fn what_is_no_store_is_said_to_be_none() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("t.redb");
    std::fs::write(&path, vec![b'x'; 9000]).unwrap();
    assert!(Store::open(&path).is_err());
    assert_eq!(
        std::fs::read(&path).unwrap(),
        vec![b'x'; 9000],
        "and left as it is"
    );
}
