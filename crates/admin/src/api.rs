//! One request answered from the store.

use crate::routes::{Call, Found, Route, find, openapi};
use serde::Deserialize;
use serde_json::{Map, Value, json};
use shalewall_http::server::{Reply, Request};
use shalewall_store::{IdempotencyKey, Store, StoreError};
use shalewall_tenancy::Millis;
use shalewall_tenancy::access::{self, Access, Role, Token};
use shalewall_tenancy::change::{By, Match, Refusal, Wish};
use shalewall_tenancy::model::{State, Tenant, TenantId, Wrong, schema};
use shalewall_tenancy::usage::{Fronts, Told};
use std::cell::RefCell;
use std::collections::BTreeMap;

/// Rows of a page, where none is asked for and at most.
const PAGE: usize = 100;
const LONGEST_PAGE: usize = 1000;
/// Calls a minute of a tenant's administrators, where its terms say nothing.
const CALLS_PER_MIN: u32 = 600;
/// An idempotency key is so long at most.
const KEY: usize = 128;

/// What is needed for an answer beside the request.
pub struct Api {
    pub store: Store,
    /// Calls of this minute by tenant, for their limits: which minute, how many.
    calls: RefCell<BTreeMap<TenantId, (Millis, u32)>>,
    fronts: RefCell<Fronts>,
}

/// Who calls, as the history names it.
struct Caller {
    role: Role,
    name: String,
}

type Answer = Result<Reply, Reply>;

fn problem(status: u16, detail: &str) -> Reply {
    Reply::problem(status, detail)
}

/// The same for what is hidden and for what is not there.
fn nothing() -> Reply {
    problem(404, "there is no such thing here")
}

fn failed(e: StoreError) -> Reply {
    match e {
        StoreError::Rejected(why) => refused(why),
        StoreError::IdempotencyKeyReused => {
            problem(422, "the idempotency key was used for another request")
        }
        StoreError::NewerFormat { .. } | StoreError::Corrupt(_) | StoreError::Unavailable(_) => {
            // What is wrong with the disk is for the operators' log, not for callers.
            tracing::error!(error = %e, "the store failed");
            problem(503, "the store can't do this now; nothing was changed")
                .with("Retry-After", "5")
        }
    }
}

fn refused(why: Refusal) -> Reply {
    match why {
        Refusal::NotFound => nothing(),
        Refusal::Taken => problem(
            409,
            "the id is in use, or what was called so has not ended yet",
        ),
        Refusal::MatchRequired => {
            problem(428, "name the revision that the change is for in If-Match")
        }
        Refusal::Stale(now) => problem(412, "another change came first; read it again")
            .with("ETag", format!("\"{now}\"")),
        Refusal::State(what) => problem(409, &format!("the tenant {what}")),
        Refusal::Agreed(fields) => problem(
            403,
            &format!(
                "agreed with the operators, and theirs to change: {}",
                fields.join(", ")
            ),
        ),
        Refusal::Invalid(wrong) => invalid(&wrong),
    }
}

fn invalid(wrong: &[Wrong]) -> Reply {
    let mut members = Map::new();
    members.insert("errors".into(), json!(wrong));
    Reply::problem_with(422, "the terms are not in order", members)
}

/// Every read and change answers with the tag that the next change has to name.
fn tenant(status: u16, t: &Tenant) -> Reply {
    Reply::json(status, json!(t).to_string()).with("ETag", format!("\"{}\"", t.revision))
}

/// `If-Match`: `*`, or tags of our own form; weak ones never match (RFC 9110, section 13.1.1).
fn matching(request: &Request) -> Match {
    let mut tags = Vec::new();
    let mut seen = false;
    for value in request.head.fields.all("if-match") {
        seen = true;
        let value = String::from_utf8_lossy(value);
        for tag in value.split(',').map(str::trim) {
            if tag == "*" {
                return Match::Any;
            }
            let plain = tag.strip_prefix('"').and_then(|t| t.strip_suffix('"'));
            tags.extend(plain.and_then(|t| t.parse::<u64>().ok()));
        }
    }
    if seen {
        Match::Revisions(tags)
    } else {
        Match::Missing
    }
}

fn body(request: &Request) -> Result<Value, Reply> {
    serde_json::from_slice(&request.body)
        .map_err(|e| problem(400, &format!("the content is not JSON: {e}")))
}

/// A number in the query.
fn number(request: &Request, name: &str, usual: u64) -> Result<u64, Reply> {
    let wrong = |_| problem(400, &format!("{name} has to be a number"));
    request
        .head
        .query(name)
        .map_or(Ok(usual), |text| text.parse().map_err(wrong))
}

fn page(request: &Request) -> Result<usize, Reply> {
    Ok((number(request, "limit", PAGE as u64)? as usize).clamp(1, LONGEST_PAGE))
}

#[derive(Deserialize)]
struct New {
    id: String,
    terms: Value,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
struct NewToken {
    role: String,
    tenant: Option<String>,
}

impl Api {
    /// `forget`: a front that is not heard of for so long is taken for gone.
    pub fn new(store: Store, now: Millis, forget: Millis) -> Api {
        Api {
            store,
            calls: RefCell::default(),
            fronts: RefCell::new(Fronts::new(now, forget)),
        }
    }

    /// Buries deleted tenants of which no front holds a session any more. Returns how many; call it every second
    /// or so.
    pub fn bury(&self, now: Millis) -> Result<usize, StoreError> {
        let number = self.store.last_change_number()?;
        let (mut after, mut buried) = (None, 0);
        loop {
            let page = self.store.list_tenants(after.as_ref(), LONGEST_PAGE)?;
            for t in page
                .iter()
                .filter(|t| matches!(t.state, State::Deleting { .. }))
            {
                if self.fronts.borrow().empty(now, &t.id, number) {
                    let by = By {
                        who: "service",
                        agrees: true,
                        of: Match::Revisions(vec![t.revision]),
                        now,
                    };
                    self.store.change_tenant(&t.id, &Wish::Bury, &by, None)?;
                    buried += 1;
                }
            }
            match page.last() {
                Some(last) if page.len() == LONGEST_PAGE => after = Some(last.id.clone()),
                _ => return Ok(buried),
            }
        }
    }

    /// Answers a request. `random`: as many fresh bytes as a token needs; `now`: the wall clock.
    pub fn answer(&self, request: &Request, now: Millis, random: [u8; 40]) -> Reply {
        self.answered(request, now, random)
            .unwrap_or_else(|reply| reply)
    }

    fn answered(&self, request: &Request, now: Millis, random: [u8; 40]) -> Answer {
        let caller = self.caller(request)?;
        let (route, id) = match find(&request.head.method, request.head.path()) {
            Found::Nothing => return Err(nothing()),
            Found::Methods(known) => {
                return Err(problem(405, "not this method").with("Allow", known.join(", ")));
            }
            Found::Call(route, id) => (route, id),
        };
        self.within(&caller, now)?;
        let public = matches!(route.call, Call::Openapi | Call::Schema);
        // A name that no tenant can have is looked for like any other: in vain.
        let about = route
            .path
            .starts_with("/tenants/")
            .then(|| TenantId::try_from(id.to_string()));
        let about = match about {
            None => None,
            Some(Ok(id)) => Some(id),
            Some(Err(_)) => return Err(nothing()),
        };
        let access = if public {
            Access::Granted
        } else {
            caller.role.may(route.act, about.as_ref())
        };
        match access {
            Access::Granted => {}
            Access::Forbidden => return Err(problem(403, "not for this role")),
            Access::Hidden => {
                // The same work as for one that is not there, so that time tells nothing either.
                let _ = about.as_ref().map(|id| self.store.tenant(id));
                return Err(nothing());
            }
        }
        match about {
            Some(id) => self.about(route, &id, &caller, request, now),
            None => self.whole(route, id, &caller, request, now, random),
        }
    }

    fn caller(&self, request: &Request) -> Result<Caller, Reply> {
        let unknown =
            || problem(401, "a bearer token is needed").with("WWW-Authenticate", "Bearer");
        let text = request.head.fields.get("authorization").unwrap_or_default();
        let text = text
            .strip_prefix("Bearer ")
            .or_else(|| text.strip_prefix("bearer "))
            .unwrap_or_default();
        let (id, secret) = access::parts(text.trim()).ok_or_else(unknown)?;
        let kept = self.store.token(id).map_err(failed)?;
        let role = access::role(kept.as_ref(), secret).ok_or_else(unknown)?;
        Ok(Caller {
            role,
            name: format!("token {id}"),
        })
    }

    /// A tenant's own calls are limited, so that one that hammers the API does not keep it from others.
    fn within(&self, caller: &Caller, now: Millis) -> Result<(), Reply> {
        let (Role::Admin(id) | Role::Reader(id)) = &caller.role else {
            return Ok(());
        };
        let mut calls = self.calls.borrow_mut();
        let minute = now / 60_000;
        calls.retain(|_, (at, _)| *at == minute);
        let (_, count) = calls.entry(id.clone()).or_insert((minute, 0));
        *count += 1;
        if *count <= CALLS_PER_MIN.min(10) {
            return Ok(()); // few calls are not worth a look at the terms
        }
        let terms = self
            .store
            .tenant(id)
            .map_err(failed)?
            .map(|t| t.terms.limits);
        let most = terms
            .and_then(|l| l.admin_calls_per_min)
            .unwrap_or(CALLS_PER_MIN);
        if *count <= most {
            return Ok(());
        }
        let wait = 60 - now / 1000 % 60;
        Err(problem(429, "more calls a minute than agreed").with("Retry-After", wait.to_string()))
    }

    /// Calls about one tenant.
    fn about(
        &self,
        route: &Route,
        id: &TenantId,
        caller: &Caller,
        request: &Request,
        now: Millis,
    ) -> Answer {
        let wish = match route.call {
            Call::Read => {
                let found = self.store.tenant(id).map_err(failed)?;
                // One that is gone has a history still, which the operators may read.
                let found = found.filter(|t| !matches!(t.state, State::Gone { .. }));
                return found.map(|t| tenant(200, &t)).ok_or_else(nothing);
            }
            Call::History => {
                let from = number(request, "from", 0)?;
                let entries = self
                    .store
                    .history(id, from, page(request)?)
                    .map_err(failed)?;
                if entries.is_empty() && from == 0 {
                    return Err(nothing());
                }
                let next = entries.last().map(|e| e.revision + 1);
                return Ok(Reply::json(
                    200,
                    json!({ "entries": entries, "next": next }).to_string(),
                ));
            }
            Call::Usage => {
                let found = self.store.tenant(id).map_err(failed)?.ok_or_else(nothing)?;
                let rows = self.fronts.borrow().held(now, id);
                let fronts: Vec<_> = rows
                    .iter()
                    .map(|(front, held, age)| json!({ "front": front, "sessions": held, "age_ms": age }))
                    .collect();
                let all: u64 = rows.iter().map(|(_, held, _)| held).sum();
                let usage = json!({ "tenant": found.id, "sessions": all, "fronts": fronts });
                return Ok(Reply::json(200, usage.to_string()));
            }
            Call::Sessions => {
                let found = self.store.tenant(id).map_err(failed)?.ok_or_else(nothing)?;
                let parts = self.fronts.borrow_mut().sessions(now, id);
                // Fronts are asked with their next reports.
                let asked = parts.iter().all(|p| p.sessions.is_some());
                let reply = Reply::json(
                    200,
                    json!({ "tenant": found.id, "fronts": parts }).to_string(),
                );
                return Ok(if asked {
                    reply
                } else {
                    reply.with("Retry-After", "2")
                });
            }
            Call::Replace => Wish::Replace(body(request)?),
            Call::Patch => {
                let kind = request.head.fields.get("content-type").unwrap_or_default();
                if !kind.starts_with("application/merge-patch+json") {
                    return Err(problem(415, "has to be application/merge-patch+json"));
                }
                Wish::Patch(body(request)?)
            }
            Call::Suspend => Wish::Suspend,
            Call::Resume => Wish::Resume,
            Call::Delete => Wish::Delete,
            _ => return Err(nothing()),
        };
        let agrees = caller.role == Role::Operator;
        let by = By {
            who: &caller.name,
            agrees,
            of: matching(request),
            now,
        };
        let done = self
            .store
            .change_tenant(id, &wish, &by, None)
            .map_err(failed)?;
        Ok(tenant(
            if wish == Wish::Delete { 202 } else { 200 },
            &done.tenant,
        ))
    }

    /// Calls about the service as a whole.
    fn whole(
        &self,
        route: &Route,
        id: &str,
        caller: &Caller,
        request: &Request,
        now: Millis,
        random: [u8; 40],
    ) -> Answer {
        let json = |status, value: Value| Ok(Reply::json(status, value.to_string()));
        match route.call {
            Call::Openapi => json(200, openapi()),
            Call::Schema => json(200, schema().clone()),
            Call::List => {
                let after = request
                    .head
                    .query("after")
                    .map(|t| TenantId::try_from(t.to_string()));
                let after = after
                    .transpose()
                    .map_err(|e| problem(400, &format!("after {e}")))?;
                let most = page(request)?;
                let tenants = self
                    .store
                    .list_tenants(after.as_ref(), most)
                    .map_err(failed)?;
                let next = tenants
                    .last()
                    .filter(|_| tenants.len() == most)
                    .map(|t| t.id.to_string());
                json(200, json!({ "tenants": tenants, "next": next }))
            }
            Call::Create => self.create(caller, request, now),
            Call::Changes => {
                let changed = self
                    .store
                    .changed_since(number(request, "after", 0)?)
                    .map_err(failed)?;
                json(
                    200,
                    json!({ "number": changed.last_change_number, "tenants": changed.tenants }),
                )
            }
            Call::Report => {
                let said: Told = serde_json::from_value(body(request)?).map_err(|e| {
                    problem(422, &format!("front, number and held are needed: {e}"))
                })?;
                let wished = self.fronts.borrow_mut().report(now, said);
                let wished = wished.ok_or_else(|| problem(422, "there are too many fronts"))?;
                json(200, json!({ "sessions_of": wished }))
            }
            Call::Tokens => {
                let shown = |t: Token| json!({ "id": t.id, "role": t.role, "made": t.made, "revoked": t.revoked });
                let tokens = self.store.tokens().map_err(failed)?;
                json(
                    200,
                    json!({ "tokens": tokens.into_iter().map(shown).collect::<Vec<_>>() }),
                )
            }
            Call::NewToken => {
                let new: NewToken = serde_json::from_value(body(request)?)
                    .map_err(|e| problem(422, &format!("role and tenant: {e}")))?;
                let role = Role::named(&new.role, new.tenant).map_err(|e| problem(422, &e))?;
                let (mut short, mut secret) = ([0; 8], [0; 32]);
                short.copy_from_slice(&random[..8]);
                secret.copy_from_slice(&random[8..]);
                let (token, text) = Token::new(role, short, secret, now);
                self.store.put_token(&token).map_err(failed)?;
                json(201, json!({ "id": token.id, "token": text }))
            }
            Call::Revoke => match self.store.revoke_token(id, now).map_err(failed)? {
                true => Ok(Reply::new(204)),
                false => Err(nothing()),
            },
            _ => Err(nothing()),
        }
    }

    fn create(&self, caller: &Caller, request: &Request, now: Millis) -> Answer {
        let new: New = serde_json::from_value(body(request)?)
            .map_err(|e| problem(422, &format!("id and terms are needed: {e}")))?;
        let at_id = |detail: &str| {
            invalid(&[Wrong {
                pointer: "/id".into(),
                detail: detail.into(),
            }])
        };
        let id = TenantId::try_from(new.id).map_err(at_id)?;
        let key = request.head.fields.get("idempotency-key");
        if key.is_some_and(|k| k.is_empty() || k.len() > KEY) {
            return Err(problem(400, "an idempotency key takes 1 to 128 bytes"));
        }
        // Keys are each caller's own.
        let key = key.map(|k| format!("{} {k}", caller.name));
        let text = new.terms.to_string();
        let by = By {
            who: &caller.name,
            agrees: true,
            of: Match::Missing,
            now,
        };
        let same = key.as_deref().map(|key| IdempotencyKey {
            key,
            request: &text,
        });
        let done = self
            .store
            .change_tenant(&id, &Wish::Create(new.terms), &by, same)
            .map_err(failed)?;
        let status = if done.change_number.is_some() {
            201
        } else {
            200
        };
        Ok(tenant(status, &done.tenant).with("Location", format!("/tenants/{id}")))
    }
}
