//! Operations on one tenant.

use crate::api::{Api, Call};
use crate::error::{ApiError, entity_tag};
use crate::request::{if_match, json, merge_patch, page_rows, query_number};
use crate::routes::TenantOperation;
use serde_json::json;
use shalewall_http::server::Reply;
use shalewall_tenancy::access::Role;
use shalewall_tenancy::change::{Change, ChangeContext};
use shalewall_tenancy::tenant::{Tenant, TenantId, TenantState};

/// `Retry-After` in seconds while directors have not reported the requested sessions yet.
const SESSIONS_RETRY_AFTER_S: &str = "2";

/// A tenant, with the entity tag for `If-Match` of the next change.
pub(crate) fn tenant_reply(status: u16, tenant: &Tenant) -> Reply {
    Reply::json(status, json!(tenant).to_string()).with_field("ETag", entity_tag(tenant.revision))
}

impl Api {
    pub(crate) fn execute_tenant_operation(
        &self,
        operation: TenantOperation,
        id: &TenantId,
        call: &Call<'_>,
    ) -> Result<Reply, ApiError> {
        match operation {
            TenantOperation::Read => self.read_tenant(id),
            TenantOperation::History => self.read_history(id, call),
            TenantOperation::Usage => self.read_usage(id, call),
            TenantOperation::Sessions => self.read_sessions(id, call),
            TenantOperation::Replace => self.change(id, Change::Replace(json(call.request)?), call),
            TenantOperation::Patch => {
                let patch = merge_patch(call.request)?;
                self.change(id, Change::Patch(patch), call)
            }
            TenantOperation::Suspend => self.change(id, Change::Suspend, call),
            TenantOperation::Resume => self.change(id, Change::Resume, call),
            TenantOperation::Delete => self.change(id, Change::Delete, call),
        }
    }

    fn find_tenant(&self, id: &TenantId) -> Result<Tenant, ApiError> {
        self.store.tenant(id)?.ok_or(ApiError::NotFound)
    }

    /// Answers 404 for a deleted tenant, although its history is still available.
    fn read_tenant(&self, id: &TenantId) -> Result<Reply, ApiError> {
        let tenant = self.find_tenant(id)?;
        match tenant.state {
            TenantState::Deleted { .. } => Err(ApiError::NotFound),
            _ => Ok(tenant_reply(200, &tenant)),
        }
    }

    fn read_history(&self, id: &TenantId, call: &Call<'_>) -> Result<Reply, ApiError> {
        let from = query_number(call.request, "from", 0)?;
        let rows = page_rows(call.request)?;
        let entries = self.store.history(id, from, rows)?;
        if entries.is_empty() && from == 0 {
            return Err(ApiError::NotFound);
        }
        let next = entries.last().map(|entry| entry.revision + 1);
        let content = json!({ "entries": entries, "next": next });
        Ok(Reply::json(200, content.to_string()))
    }

    fn read_usage(&self, id: &TenantId, call: &Call<'_>) -> Result<Reply, ApiError> {
        let tenant = self.find_tenant(id)?;
        let directors = self.usage.borrow().usage_by_director(call.now, id);
        let sessions: u64 = directors
            .iter()
            .map(|director| director.session_count)
            .sum();
        let content = json!({ "tenant": tenant.id, "sessions": sessions, "fronts": directors });
        Ok(Reply::json(200, content.to_string()))
    }

    /// Directors report a tenant's sessions only on request. Until all directors have done so, the answer has a
    /// `Retry-After` field.
    fn read_sessions(&self, id: &TenantId, call: &Call<'_>) -> Result<Reply, ApiError> {
        let tenant = self.find_tenant(id)?;
        let directors = self.usage.borrow_mut().sessions_by_director(call.now, id);
        let content = json!({ "tenant": tenant.id, "fronts": directors });
        let reply = Reply::json(200, content.to_string());
        if directors.iter().all(|director| director.sessions.is_some()) {
            return Ok(reply);
        }
        Ok(reply.with_field("Retry-After", SESSIONS_RETRY_AFTER_S))
    }

    fn change(&self, id: &TenantId, change: Change, call: &Call<'_>) -> Result<Reply, ApiError> {
        let context = ChangeContext {
            actor: &call.caller.name,
            may_edit_agreement: call.caller.role == Role::Operator,
            precondition: if_match(call.request),
            now: call.now,
        };
        let outcome = self.store.change_tenant(id, &change, &context, None)?;
        let status = if change == Change::Delete { 202 } else { 200 };
        Ok(tenant_reply(status, &outcome.tenant))
    }
}
