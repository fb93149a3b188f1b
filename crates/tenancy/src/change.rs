//! What becomes of a tenant when someone changes it. The store calls [`decide`] within one transaction, so two
//! who change the same tenant at once come one after the other, and the second finds its tag stale.

use crate::Millis;
use crate::model::{State, Tenant, TenantId, Terms, Wrong, terms};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// What is wished.
#[derive(Clone, Debug, PartialEq)]
pub enum Wish {
    Create(Value),
    Replace(Value),
    /// A merge patch (RFC 7396) of the terms.
    Patch(Value),
    Suspend,
    Resume,
    Delete,
    /// No front holds a session of it any more, or its time is over. Wished by the service alone.
    Bury,
}

impl Wish {
    fn name(&self) -> &'static str {
        match self {
            Wish::Create(_) => "create",
            Wish::Replace(_) => "replace",
            Wish::Patch(_) => "patch",
            Wish::Suspend => "suspend",
            Wish::Resume => "resume",
            Wish::Delete => "delete",
            Wish::Bury => "bury",
        }
    }
}

/// The revision that a change is meant for (`If-Match`).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Match {
    /// None was named.
    Missing,
    /// `*`: whichever there is.
    Any,
    Revisions(Vec<u64>),
}

/// Why a change was not made. Nothing has changed then.
#[derive(Clone, Debug, PartialEq)]
pub enum Refusal {
    NotFound,
    /// The id is in use, or not free yet.
    Taken,
    /// A change has to name the revision that it is meant for.
    MatchRequired,
    /// It is at this revision.
    Stale(u64),
    /// What is agreed with the operators would change: these fields.
    Agreed(Vec<&'static str>),
    /// The tenant's state does not allow it.
    State(&'static str),
    Invalid(Vec<Wrong>),
}

/// One change, as the history keeps it: enough to replay it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    pub tenant: TenantId,
    /// The revision that it made.
    pub revision: u64,
    pub when: Millis,
    pub who: String,
    pub what: String,
    pub state: State,
    /// Terms before and after, where they changed.
    pub from: Option<Terms>,
    pub to: Option<Terms>,
}

/// Whom a change is made by, and for which revision.
#[derive(Clone, Debug)]
pub struct By<'a> {
    pub who: &'a str,
    /// May change what is agreed with the operators.
    pub agrees: bool,
    pub of: Match,
    pub now: Millis,
}

/// The tenant after a change, and its entry in the history.
pub fn decide(
    id: &TenantId,
    before: Option<&Tenant>,
    wish: &Wish,
    by: &By<'_>,
) -> Result<(Tenant, Entry), Refusal> {
    let living = before.filter(|t| !matches!(t.state, State::Gone { .. }));
    let next = before.map_or(1, |t| t.revision + 1);
    let mut after = match (wish, living) {
        (Wish::Create(_), Some(_)) => return Err(Refusal::Taken),
        (Wish::Create(document), None) => Tenant {
            id: id.clone(),
            revision: next,
            state: State::Active,
            terms: terms(document).map_err(Refusal::Invalid)?,
            created: by.now,
            changed: by.now,
        },
        (_, None) => return Err(Refusal::NotFound),
        (_, Some(living)) => Tenant {
            revision: next,
            changed: by.now,
            ..living.clone()
        },
    };
    if let Some(living) = living {
        match &by.of {
            Match::Missing if *wish != Wish::Bury => return Err(Refusal::MatchRequired),
            Match::Revisions(of) if !of.contains(&living.revision) => {
                return Err(Refusal::Stale(living.revision));
            }
            Match::Missing | Match::Any | Match::Revisions(_) => {}
        }
        (after.state, after.terms) = changed(living, wish, by.now)?;
        let agreed = agreed(&living.terms, &after.terms);
        if !by.agrees && !agreed.is_empty() {
            return Err(Refusal::Agreed(agreed));
        }
    }
    let from = living
        .map(|t| t.terms.clone())
        .filter(|t| *t != after.terms);
    let to = (living.is_none() || from.is_some()).then(|| after.terms.clone());
    let entry = Entry {
        tenant: id.clone(),
        revision: after.revision,
        when: by.now,
        who: by.who.to_string(),
        what: wish.name().to_string(),
        state: after.state,
        from,
        to,
    };
    Ok((after, entry))
}

/// State and terms after a wish that the tenant's state allows.
fn changed(of: &Tenant, wish: &Wish, now: Millis) -> Result<(State, Terms), Refusal> {
    let kept = |state| Ok((state, of.terms.clone()));
    match (wish, of.state) {
        (Wish::Bury, State::Deleting { .. }) => kept(State::Gone { since: now }),
        (Wish::Bury, _) => Err(Refusal::State("is not being deleted")),
        // A deletion that crosses a suspension stands; nothing brings the tenant back.
        (Wish::Delete, state @ State::Deleting { .. }) => kept(state),
        (_, State::Deleting { .. }) => Err(Refusal::State("is being deleted")),
        (Wish::Delete, _) => {
            let until = now + u64::from(of.terms.ends_within_s) * 1000;
            kept(State::Deleting { since: now, until })
        }
        (Wish::Suspend, _) => kept(State::Suspended),
        (Wish::Resume, _) => kept(State::Active),
        (Wish::Replace(document), state) => Ok((state, terms(document).map_err(Refusal::Invalid)?)),
        (Wish::Patch(patch), state) => {
            let mut document = serde_json::to_value(&of.terms).unwrap_or_default();
            json_patch::merge(&mut document, patch);
            Ok((state, terms(&document).map_err(Refusal::Invalid)?))
        }
        (Wish::Create(_), _) => Err(Refusal::Taken),
    }
}

/// Fields that differ and are agreed with the operators.
fn agreed(a: &Terms, b: &Terms) -> Vec<&'static str> {
    let differ = [
        ("share", a.share != b.share),
        ("fleet", a.fleet != b.fleet),
        ("limits", a.limits != b.limits),
        ("ends_within_s", a.ends_within_s != b.ends_within_s),
    ];
    differ
        .into_iter()
        .filter(|(_, differ)| *differ)
        .map(|(name, _)| name)
        .collect()
}

/// The tenant that a history comes to. None: the entries are not one tenant's history in order.
pub fn replay(history: &[Entry]) -> Option<Tenant> {
    let mut tenant: Option<Tenant> = None;
    for entry in history {
        let living = tenant
            .take()
            .filter(|t| !matches!(t.state, State::Gone { .. }) || entry.what != "create");
        let (created, terms) = match (&living, &entry.to) {
            (None, Some(terms)) if entry.what == "create" => (entry.when, terms.clone()),
            (Some(t), Some(terms)) if Some(&t.terms) == entry.from.as_ref() => {
                (t.created, terms.clone())
            }
            (Some(t), None) => (t.created, t.terms.clone()),
            _ => return None,
        };
        if living
            .as_ref()
            .is_some_and(|t| entry.revision != t.revision + 1)
        {
            return None;
        }
        let (id, revision, state, changed) = (
            entry.tenant.clone(),
            entry.revision,
            entry.state,
            entry.when,
        );
        tenant = Some(Tenant {
            id,
            revision,
            state,
            terms,
            created,
            changed,
        });
    }
    tenant
}
