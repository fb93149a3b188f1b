//! Answers requests from the store. A request is authenticated, routed, rate limited, authorized and then executed.

use crate::error::ApiError;
use crate::rate_limit::{CallCounter, seconds_to_next_minute};
use crate::request::{MAX_PAGE_ROWS, bearer_token};
use crate::routes::{Operation, Resolution, Route, resolve};
use shalewall_http::server::{Reply, Request};
use shalewall_store::{Store, StoreError};
use shalewall_tenancy::UnixMillis;
use shalewall_tenancy::access::{Access, Role};
use shalewall_tenancy::change::{Change, ChangeContext, Precondition};
use shalewall_tenancy::tenant::{Tenant, TenantId, TenantState};
use shalewall_tenancy::token::PresentedToken;
use shalewall_tenancy::usage::UsageTracker;
use std::cell::RefCell;

/// Limit of calls per minute of a tenant's users if the tenant's terms give none.
const DEFAULT_CALLS_PER_MINUTE: u32 = 600;
/// Up to this number of calls per minute, the limit is not looked up in the store.
const UNLIMITED_CALLS_PER_MINUTE: u32 = 10;

/// The API's state: the store, and in memory the directors' usage reports and the counts of calls.
pub struct Api {
    /// The tenants, their histories and the tokens.
    pub store: Store,
    pub(crate) usage: RefCell<UsageTracker>,
    calls: RefCell<CallCounter>,
}

/// Random bytes for a new token.
#[derive(Clone, Copy)]
pub struct TokenSeed {
    /// Bytes of the token's id.
    pub id: [u8; 8],
    /// Bytes of the token's secret.
    pub secret: [u8; 32],
}

/// An authenticated caller.
pub(crate) struct Caller {
    pub role: Role,
    /// The caller's name in histories.
    pub name: String,
}

/// An authenticated request with the inputs for its execution.
pub(crate) struct Call<'a> {
    pub request: &'a Request,
    pub caller: Caller,
    /// Time of the call.
    pub now: UnixMillis,
    pub seed: TokenSeed,
}

impl Api {
    /// Creates the API. Usage reports are received from `now` on. A director without reports for `director_expiry_ms`
    /// counts as gone, along with its sessions.
    pub fn new(store: Store, now: UnixMillis, director_expiry_ms: u64) -> Api {
        Api {
            store,
            usage: RefCell::new(UsageTracker::new(now, director_expiry_ms)),
            calls: RefCell::default(),
        }
    }

    /// Answers a request. `now` is the current time, and `seed` provides fresh random bytes.
    pub fn answer(&self, request: &Request, now: UnixMillis, seed: TokenSeed) -> Reply {
        self.try_answer(request, now, seed).unwrap_or_else(|error| {
            if let ApiError::StoreFailed(cause) = &error {
                tracing::error!(error = %cause, "store operation failed");
            }
            Reply::from(&error)
        })
    }

    fn try_answer(
        &self,
        request: &Request,
        now: UnixMillis,
        seed: TokenSeed,
    ) -> Result<Reply, ApiError> {
        let caller = self.authenticate(request)?;
        let (route, id) = match resolve(&request.head.method, request.head.path()) {
            Resolution::Found { route, id } => (route, id),
            Resolution::OtherMethods(allowed) => {
                return Err(ApiError::MethodNotAllowed { allowed });
            }
            Resolution::UnknownPath => return Err(ApiError::NotFound),
        };
        self.limit_calls(&caller, now)?;
        let call = Call {
            request,
            caller,
            now,
            seed,
        };
        match route.operation {
            Operation::Service(operation) => {
                self.authorize(route, &call.caller, None)?;
                self.execute_service_operation(operation, id, &call)
            }
            Operation::Tenant(operation) => {
                // No tenant can have an invalid id.
                let id = TenantId::try_from(id.to_string()).map_err(|_| ApiError::NotFound)?;
                self.authorize(route, &call.caller, Some(&id))?;
                self.execute_tenant_operation(operation, &id, &call)
            }
        }
    }

    fn authenticate(&self, request: &Request) -> Result<Caller, ApiError> {
        let token =
            PresentedToken::parse(bearer_token(request)).ok_or(ApiError::Unauthenticated)?;
        let stored = self.store.token(token.id)?;
        let role = token
            .authenticate(stored.as_ref())
            .ok_or(ApiError::Unauthenticated)?;
        let name = format!("token {}", token.id);
        Ok(Caller { role, name })
    }

    /// Limits the calls of each tenant's administrators and readers, so that they can't overload the API for others.
    fn limit_calls(&self, caller: &Caller, now: UnixMillis) -> Result<(), ApiError> {
        let (Role::Admin(id) | Role::Reader(id)) = &caller.role else {
            return Ok(());
        };
        let calls = self.calls.borrow_mut().count(id, now);
        if calls <= UNLIMITED_CALLS_PER_MINUTE {
            return Ok(());
        }
        let limits = self.store.tenant(id)?.map(|tenant| tenant.terms.limits);
        let limit = limits
            .and_then(|limits| limits.admin_calls_per_min)
            .unwrap_or(DEFAULT_CALLS_PER_MINUTE);
        if calls <= limit {
            return Ok(());
        }
        Err(ApiError::TooManyCalls {
            retry_after_s: seconds_to_next_minute(now),
        })
    }

    fn authorize(
        &self,
        route: &Route,
        caller: &Caller,
        tenant: Option<&TenantId>,
    ) -> Result<(), ApiError> {
        if route.operation.is_public() {
            return Ok(());
        }
        match caller.role.access(route.permission, tenant) {
            Access::Granted => Ok(()),
            Access::Forbidden => Err(ApiError::Forbidden),
            Access::Hidden => {
                // Does the same work as for a tenant that does not exist, so that the response time reveals nothing.
                let _ = tenant.map(|id| self.store.tenant(id));
                Err(ApiError::NotFound)
            }
        }
    }

    /// Completes the deletion of tenants without remaining sessions at any director. Returns their number. To be called
    /// about every second.
    pub fn purge_deleted_tenants(&self, now: UnixMillis) -> Result<usize, StoreError> {
        let change_number = self.store.last_change_number()?;
        let mut after = None;
        let mut purged = 0;
        loop {
            let page = self.store.list_tenants(after.as_ref(), MAX_PAGE_ROWS)?;
            for tenant in &page {
                if self.has_ended(tenant, change_number, now) {
                    self.purge(tenant, now)?;
                    purged += 1;
                }
            }
            match page.last() {
                Some(last) if page.len() == MAX_PAGE_ROWS => after = Some(last.id.clone()),
                _ => return Ok(purged),
            }
        }
    }

    /// Whether a tenant is being deleted and all directors that may be running have applied `change_number` and report
    /// no session of it.
    fn has_ended(&self, tenant: &Tenant, change_number: u64, now: UnixMillis) -> bool {
        matches!(tenant.state, TenantState::Deleting { .. })
            && self
                .usage
                .borrow()
                .is_drained(now, &tenant.id, change_number)
    }

    fn purge(&self, tenant: &Tenant, now: UnixMillis) -> Result<(), StoreError> {
        let context = ChangeContext {
            actor: "service",
            may_edit_agreement: true,
            precondition: Precondition::Revisions(vec![tenant.revision]),
            now,
        };
        self.store
            .change_tenant(&tenant.id, &Change::FinishDeletion, &context, None)?;
        Ok(())
    }
}
