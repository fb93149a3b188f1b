//! Concurrent changes of one tenant by several administrators.

mod support;

use serde_json::json;
use shalewall_store::{Store, StoreError};
use shalewall_tenancy::change::{Change, ChangeError, Precondition};
use shalewall_tenancy::history::replay;
use support::{context, create, id, open};

const ADMINISTRATORS: usize = 16;
const CHANGES_EACH: usize = 63;

/// Changes the tenant with the revision that was read, and retries with a new read if another change came first.
fn change_until_accepted(store: &Store, administrator: usize) -> usize {
    let mut accepted = 0;
    while accepted < CHANGES_EACH {
        let seen = store.tenant(&id("a")).unwrap().unwrap();
        let name = format!("{administrator}-{accepted}");
        let change = Change::Patch(json!({ "display_name": name }));
        let revision = Precondition::Revisions(vec![seen.revision]);
        match store.change_tenant(&id("a"), &change, &context(revision), None) {
            Ok(_) => accepted += 1,
            Err(StoreError::Rejected(ChangeError::Stale { current_revision })) => {
                assert!(current_revision > seen.revision);
            }
            Err(error) => panic!("{error}"),
        }
    }
    accepted
}

#[test]
fn a_thousand_concurrent_changes_are_all_in_the_history() {
    let directory = tempfile::tempdir().unwrap();
    let store = open(directory.path(), "t.redb");
    create(&store, "a");
    let accepted: usize = std::thread::scope(|scope| {
        let store = &store;
        let threads: Vec<_> = (0..ADMINISTRATORS)
            .map(|administrator| scope.spawn(move || change_until_accepted(store, administrator)))
            .collect();
        threads.into_iter().map(|t| t.join().unwrap()).sum()
    });
    assert_eq!(accepted, 1008);
    let history = store.history(&id("a"), 0, usize::MAX).unwrap();
    assert_eq!(
        history.len(),
        1 + accepted,
        "the history has exactly the accepted changes"
    );
    assert_eq!(replay(&history), store.tenant(&id("a")).unwrap());
    let mut names: Vec<_> = history
        .iter()
        .map(|e| e.terms_after.as_ref().unwrap().display_name.clone())
        .collect();
    names.sort();
    names.dedup();
    assert_eq!(names.len(), 1 + accepted);
    store.check().unwrap();
}
