//! The table of operations, and the routing of requests.

use shalewall_tenancy::access::Permission;

/// An operation on the service as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceOperation {
    /// Reads the API's OpenAPI document.
    OpenApi,
    /// Reads the JSON Schema of a tenant's terms.
    TermsSchema,
    /// Lists tenants in pages.
    ListTenants,
    /// Creates a tenant.
    CreateTenant,
    /// Receives a director's usage report.
    ReportUsage,
    /// Reads the tenants that have changed after a change number.
    Changes,
    /// Lists tokens without their secrets.
    ListTokens,
    /// Creates a token.
    CreateToken,
    /// Revokes a token.
    RevokeToken,
}

/// An operation on one tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TenantOperation {
    /// Reads the tenant.
    Read,
    /// Replaces its terms.
    Replace,
    /// Applies a merge patch to its terms.
    Patch,
    /// Deletes the tenant: no new sessions; the tenant is removed after its last session has ended.
    Delete,
    /// Suspends the tenant: no new sessions.
    Suspend,
    /// Resumes a suspended tenant.
    Resume,
    /// Reads its changes.
    History,
    /// Reads its number of sessions by director.
    Usage,
    /// Reads its sessions by director.
    Sessions,
}

/// An operation of the API.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// An operation on the service as a whole.
    Service(ServiceOperation),
    /// An operation on the tenant in the path.
    Tenant(TenantOperation),
}

impl Operation {
    /// Whether every role may call it, because its answer describes only the API and contains no tenant's data.
    pub fn is_public(self) -> bool {
        matches!(
            self,
            Operation::Service(ServiceOperation::OpenApi | ServiceOperation::TermsSchema)
        )
    }
}

/// A row of the table of operations.
#[derive(Debug)]
pub struct Route {
    /// The operation.
    pub operation: Operation,
    /// The operation's name in the published document. It must not change, because clients are generated from it.
    pub operation_id: &'static str,
    /// The HTTP method.
    pub method: &'static str,
    /// The path, with `{}` as the placeholder for an id.
    pub path: &'static str,
    /// The permission that the caller's role needs.
    pub permission: Permission,
    /// The statuses of its answers, in addition to [`COMMON_STATUSES`].
    pub statuses: &'static [u16],
    /// The summary in the published document.
    pub summary: &'static str,
}

/// Statuses of every operation: unauthenticated, forbidden, not found, method not allowed, rate limited, and store
/// failure.
pub const COMMON_STATUSES: [u16; 6] = [401, 403, 404, 405, 429, 503];

const TENANT_PATH: &str = "/tenants/{}";

/// All operations. Those that change a tenant require `If-Match`: status 428 without it, 412 if the revision is stale.
pub const ROUTES: [Route; 18] = [
    Route {
        operation: Operation::Service(ServiceOperation::OpenApi),
        operation_id: "Openapi",
        method: "GET",
        path: "/openapi.json",
        permission: Permission::ReadTenant,
        statuses: &[200],
        summary: "This document",
    },
    Route {
        operation: Operation::Service(ServiceOperation::TermsSchema),
        operation_id: "Schema",
        method: "GET",
        path: "/schema/terms.json",
        permission: Permission::ReadTenant,
        statuses: &[200],
        summary: "The schema of a tenant's terms",
    },
    Route {
        operation: Operation::Service(ServiceOperation::ListTenants),
        operation_id: "List",
        method: "GET",
        path: "/tenants",
        permission: Permission::ManageTenants,
        statuses: &[200, 400],
        summary: "Tenants by id, in pages",
    },
    Route {
        operation: Operation::Service(ServiceOperation::CreateTenant),
        operation_id: "Create",
        method: "POST",
        path: "/tenants",
        permission: Permission::ManageTenants,
        statuses: &[200, 201, 400, 409, 422],
        summary: "Make a tenant",
    },
    Route {
        operation: Operation::Tenant(TenantOperation::Read),
        operation_id: "Read",
        method: "GET",
        path: TENANT_PATH,
        permission: Permission::ReadTenant,
        statuses: &[200],
        summary: "A tenant",
    },
    Route {
        operation: Operation::Tenant(TenantOperation::Replace),
        operation_id: "Replace",
        method: "PUT",
        path: TENANT_PATH,
        permission: Permission::EditTenant,
        statuses: &[200, 400, 409, 412, 422, 428],
        summary: "Replace its terms",
    },
    Route {
        operation: Operation::Tenant(TenantOperation::Patch),
        operation_id: "Patch",
        method: "PATCH",
        path: TENANT_PATH,
        permission: Permission::EditTenant,
        statuses: &[200, 400, 409, 412, 415, 422, 428],
        summary: "Merge into its terms",
    },
    Route {
        operation: Operation::Tenant(TenantOperation::Delete),
        operation_id: "Delete",
        method: "DELETE",
        path: TENANT_PATH,
        permission: Permission::EditAgreement,
        statuses: &[202, 412, 428],
        summary: "Delete it: nothing new, what plays ends",
    },
    Route {
        operation: Operation::Tenant(TenantOperation::Suspend),
        operation_id: "Suspend",
        method: "POST",
        path: "/tenants/{}/suspend",
        permission: Permission::EditAgreement,
        statuses: &[200, 409, 412, 428],
        summary: "Nothing new",
    },
    Route {
        operation: Operation::Tenant(TenantOperation::Resume),
        operation_id: "Resume",
        method: "POST",
        path: "/tenants/{}/resume",
        permission: Permission::EditAgreement,
        statuses: &[200, 409, 412, 428],
        summary: "New sessions again",
    },
    Route {
        operation: Operation::Tenant(TenantOperation::History),
        operation_id: "History",
        method: "GET",
        path: "/tenants/{}/history",
        permission: Permission::ReadTenant,
        statuses: &[200, 400],
        summary: "Its changes: who, when, from, to",
    },
    Route {
        operation: Operation::Tenant(TenantOperation::Usage),
        operation_id: "Usage",
        method: "GET",
        path: "/tenants/{}/usage",
        permission: Permission::ReadTenant,
        statuses: &[200],
        summary: "Sessions that fronts hold of it",
    },
    Route {
        operation: Operation::Tenant(TenantOperation::Sessions),
        operation_id: "Sessions",
        method: "GET",
        path: "/tenants/{}/sessions",
        permission: Permission::ReadTenant,
        statuses: &[200],
        summary: "Its sessions, by front",
    },
    Route {
        operation: Operation::Service(ServiceOperation::ReportUsage),
        operation_id: "Report",
        method: "POST",
        path: "/usage",
        permission: Permission::FollowChanges,
        statuses: &[200, 400, 422],
        summary: "A front tells what it holds",
    },
    Route {
        operation: Operation::Service(ServiceOperation::Changes),
        operation_id: "Changes",
        method: "GET",
        path: "/changes",
        permission: Permission::FollowChanges,
        statuses: &[200, 400],
        summary: "Tenants changed after a number",
    },
    Route {
        operation: Operation::Service(ServiceOperation::ListTokens),
        operation_id: "Tokens",
        method: "GET",
        path: "/tokens",
        permission: Permission::ManageTokens,
        statuses: &[200],
        summary: "Tokens, without their secrets",
    },
    Route {
        operation: Operation::Service(ServiceOperation::CreateToken),
        operation_id: "NewToken",
        method: "POST",
        path: "/tokens",
        permission: Permission::ManageTokens,
        statuses: &[201, 400, 422],
        summary: "Make a token; shown once",
    },
    Route {
        operation: Operation::Service(ServiceOperation::RevokeToken),
        operation_id: "Revoke",
        method: "DELETE",
        path: "/tokens/{}",
        permission: Permission::ManageTokens,
        statuses: &[204],
        summary: "Revoke a token",
    },
];

/// The result of routing a request.
#[derive(Debug)]
pub enum Resolution<'path> {
    /// The operation was found.
    Found {
        /// The operation's row in the table.
        route: &'static Route,
        /// The id in the path, or empty if the path has none. Ids contain no characters that need escaping.
        id: &'path str,
    },
    /// The path exists for these other methods.
    OtherMethods(Vec<&'static str>),
    /// There is no such path.
    UnknownPath,
}

/// Finds the operation of a method and a path.
pub fn resolve<'path>(method: &str, path: &'path str) -> Resolution<'path> {
    let path_matches: Vec<(&'static Route, &str)> = ROUTES
        .iter()
        .filter_map(|route| Some((route, match_path(route.path, path)?)))
        .collect();
    if path_matches.is_empty() {
        return Resolution::UnknownPath;
    }
    match path_matches
        .iter()
        .find(|(route, _)| route.method == method)
    {
        Some((route, id)) => Resolution::Found { route, id },
        None => {
            Resolution::OtherMethods(path_matches.iter().map(|(route, _)| route.method).collect())
        }
    }
}

/// Matches a path with a pattern. Returns the id at the pattern's placeholder (empty if it has none), or `None` if the
/// path does not match.
fn match_path<'path>(pattern: &str, path: &'path str) -> Option<&'path str> {
    let Some((before, after)) = pattern.split_once("{}") else {
        return (pattern == path).then_some("");
    };
    let id = path.strip_prefix(before)?.strip_suffix(after)?;
    (!id.is_empty() && !id.contains('/')).then_some(id)
}
