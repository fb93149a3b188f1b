//! One request answered from the store: the caller is authenticated, the operation found, the call limited and
//! authorized, and then carried out.

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

/// Calls a minute of a tenant's administrators, where its terms name no limit.
const DEFAULT_CALLS_PER_MINUTE: u32 = 600;
/// So few calls a minute are not worth a look at the terms.
const UNLIMITED_CALLS_PER_MINUTE: u32 = 10;

/// The API's state: the store, and what is known of callers and directors since the process began.
pub struct Api {
    /// The tenants, their histories and the tokens.
    pub store: Store,
    pub(crate) usage: RefCell<UsageTracker>,
    calls: RefCell<CallCounter>,
}

/// Random bytes for a new token.
#[derive(Clone, Copy)]
pub struct TokenSeed {
    /// Of the token's id.
    pub id: [u8; 8],
    /// Of the token's secret.
    pub secret: [u8; 32],
}

/// Who calls.
pub(crate) struct Caller {
    pub role: Role,
    /// As the history names it.
    pub name: String,
}

/// A call that may be carried out.
pub(crate) struct Call<'a> {
    pub request: &'a Request,
    pub caller: Caller,
    /// The wall clock.
    pub now: UnixMillis,
    pub seed: TokenSeed,
}

impl Api {
    /// `now`: since when directors are heard; one that is silent for `director_expiry_ms` is taken for
    /// gone, with its sessions.
    pub fn new(store: Store, now: UnixMillis, director_expiry_ms: u64) -> Api {
        Api {
            store,
            usage: RefCell::new(UsageTracker::new(now, director_expiry_ms)),
            calls: RefCell::default(),
        }
    }

    /// Answers a request. `now`: the wall clock; `seed`: fresh random bytes.
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
                self.serve_service(operation, id, &call)
            }
            Operation::Tenant(operation) => {
                // No tenant can have such an id, so there is none.
                let id = TenantId::try_from(id.to_string()).map_err(|_| ApiError::NotFound)?;
                self.authorize(route, &call.caller, Some(&id))?;
                self.serve_tenant(operation, &id, &call)
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

    /// Limits the calls of one tenant's administrators and readers, so that they can't keep the API from others.
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
                // The same work as for a tenant that does not exist, so that the time of the answer tells nothing.
                let _ = tenant.map(|id| self.store.tenant(id));
                Err(ApiError::NotFound)
            }
        }
    }

    /// Removes deleted tenants of which no director holds a session any more, and returns how many; to be called
    /// every second or so.
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

    /// Whether a tenant is being deleted and its last session is over, as of a change.
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
