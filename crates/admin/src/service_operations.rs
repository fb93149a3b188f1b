//! Operations on the service as a whole: the list of tenants, the feed of changes, directors' usage reports and tokens.

use crate::api::{Api, Call};
use crate::error::ApiError;
use crate::openapi;
use crate::request::{content, idempotency_key, page_rows, query_number};
use crate::routes::ServiceOperation;
use crate::tenant_operations::tenant_reply;
use serde::Deserialize;
use serde_json::{Value, json};
use shalewall_http::server::Reply;
use shalewall_store::IdempotencyKey;
use shalewall_tenancy::access::Role;
use shalewall_tenancy::change::{Change, ChangeContext, Precondition};
use shalewall_tenancy::schema::{ValidationError, terms_schema};
use shalewall_tenancy::tenant::TenantId;
use shalewall_tenancy::token::{IssuedToken, Token};
use shalewall_tenancy::usage::{TooManyDirectors, UsageReport};

/// Content of a request to create a tenant.
#[derive(Deserialize)]
struct NewTenant {
    id: String,
    terms: Value,
}

/// Content of a request to create a token.
#[derive(Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
struct NewToken {
    role: String,
    tenant: Option<String>,
}

fn json_reply(content: Value) -> Result<Reply, ApiError> {
    Ok(Reply::json(200, content.to_string()))
}

impl Api {
    /// Executes an operation. `id` is the id in the path, or empty if the path has none.
    pub(crate) fn execute_service_operation(
        &self,
        operation: ServiceOperation,
        id: &str,
        call: &Call<'_>,
    ) -> Result<Reply, ApiError> {
        match operation {
            ServiceOperation::OpenApi => json_reply(openapi::document()),
            ServiceOperation::TermsSchema => json_reply(terms_schema().clone()),
            ServiceOperation::ListTenants => self.list_tenants(call),
            ServiceOperation::CreateTenant => self.create_tenant(call),
            ServiceOperation::Changes => self.read_changes(call),
            ServiceOperation::ReportUsage => self.report_usage(call),
            ServiceOperation::ListTokens => self.list_tokens(),
            ServiceOperation::CreateToken => self.create_token(call),
            ServiceOperation::RevokeToken => self.revoke_token(id, call),
        }
    }

    fn list_tenants(&self, call: &Call<'_>) -> Result<Reply, ApiError> {
        let after = call.request.head.query("after");
        let after = after
            .map(|id| TenantId::try_from(id.to_string()))
            .transpose()
            .map_err(ApiError::InvalidAfter)?;
        let rows = page_rows(call.request)?;
        let tenants = self.store.list_tenants(after.as_ref(), rows)?;
        let last_of_full_page = tenants.last().filter(|_| tenants.len() == rows);
        let next = last_of_full_page.map(|tenant| tenant.id.to_string());
        json_reply(json!({ "tenants": tenants, "next": next }))
    }

    fn create_tenant(&self, call: &Call<'_>) -> Result<Reply, ApiError> {
        let new: NewTenant = content(call.request, "id and terms are needed")?;
        let id = TenantId::try_from(new.id).map_err(|error| {
            ApiError::InvalidTerms(vec![ValidationError {
                pointer: "/id".to_string(),
                detail: error.to_string(),
            }])
        })?;
        // The key is prefixed with the caller's name, so that callers can't use each other's keys.
        let key = idempotency_key(call.request)?.map(|key| format!("{} {key}", call.caller.name));
        let request = new.terms.to_string();
        let key = key.as_deref().map(|key| IdempotencyKey {
            key,
            request: &request,
        });
        let context = ChangeContext {
            actor: &call.caller.name,
            may_edit_agreement: true,
            precondition: Precondition::Missing,
            now: call.now,
        };
        let change = Change::Create(new.terms);
        let outcome = self.store.change_tenant(&id, &change, &context, key)?;
        let status = match outcome.change_number {
            Some(_) => 201,
            None => 200,
        };
        Ok(tenant_reply(status, &outcome.tenant).with_field("Location", format!("/tenants/{id}")))
    }

    fn read_changes(&self, call: &Call<'_>) -> Result<Reply, ApiError> {
        let after = query_number(call.request, "after", 0)?;
        let changed = self.store.changed_since(after)?;
        json_reply(json!({ "number": changed.last_change_number, "tenants": changed.tenants }))
    }

    fn report_usage(&self, call: &Call<'_>) -> Result<Reply, ApiError> {
        let report: UsageReport = content(call.request, "front, number and held are needed")?;
        let requested = self.usage.borrow_mut().record(call.now, report);
        let requested = requested.map_err(|TooManyDirectors| ApiError::TooManyDirectors)?;
        json_reply(json!({ "sessions_of": requested }))
    }

    fn list_tokens(&self) -> Result<Reply, ApiError> {
        let tokens: Vec<_> = self
            .store
            .tokens()?
            .into_iter()
            .map(|token| {
                json!({ "id": token.id, "role": token.role, "made": token.created_at, "revoked": token.revoked_at })
            })
            .collect();
        json_reply(json!({ "tokens": tokens }))
    }

    /// Creates a token. Only this answer contains the token's text.
    fn create_token(&self, call: &Call<'_>) -> Result<Reply, ApiError> {
        let new: NewToken = content(call.request, "role and tenant")?;
        let role = Role::from_name(&new.role, new.tenant).map_err(ApiError::InvalidRole)?;
        let IssuedToken { token, text } =
            Token::issue(role, call.seed.id, call.seed.secret, call.now);
        self.store.put_token(&token)?;
        let content = json!({ "id": token.id, "token": text });
        Ok(Reply::json(201, content.to_string()))
    }

    fn revoke_token(&self, id: &str, call: &Call<'_>) -> Result<Reply, ApiError> {
        if !self.store.revoke_token(id, call.now)? {
            return Err(ApiError::NotFound);
        }
        Ok(Reply::new(204))
    }
}
