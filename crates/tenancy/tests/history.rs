//! Replaying a tenant from its history.

mod support;

use serde_json::json;
use shalewall_tenancy::change::Change;
use shalewall_tenancy::history::{HistoryEntry, replay};
use shalewall_tenancy::tenant::Tenant;
use support::{change, document};

#[test]
fn a_complete_history_replays_the_tenant_and_one_with_a_gap_is_rejected() {
    let mut tenant: Option<Tenant> = None;
    let mut history: Vec<HistoryEntry> = Vec::new();
    let changes = [
        Change::Create(document()),
        Change::Patch(json!({ "share": 2.5 })),
        Change::Suspend,
        Change::Resume,
        Change::Replace(document()),
        Change::Delete,
        Change::FinishDeletion,
        Change::Create(document()),
        Change::Patch(json!({ "display_name": "Second" })),
    ];
    for (now, made) in changes.iter().enumerate() {
        let applied = change(tenant.as_ref(), made, now as u64).unwrap();
        history.push(applied.entry);
        assert_eq!(
            replay(&history).as_ref(),
            Some(&applied.tenant),
            "after {made:?}"
        );
        tenant = Some(applied.tenant);
    }
    for gap in 1..history.len() - 1 {
        let mut incomplete = history.clone();
        incomplete.remove(gap);
        assert_eq!(replay(&incomplete), None, "without entry {gap}");
    }
}
