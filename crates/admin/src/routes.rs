//! The table of operations, and how a request finds its operation.

use shalewall_tenancy::access::Permission;

/// An operation on the service as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceOperation {
    /// The API's OpenAPI document.
    OpenApi,
    /// The JSON Schema of a tenant's terms.
    TermsSchema,
    /// Tenants in pages.
    ListTenants,
    /// A new tenant.
    CreateTenant,
    /// A director reports its sessions.
    ReportUsage,
    /// Tenants that have changed after a change number.
    Changes,
    /// Tokens without their secrets.
    ListTokens,
    /// A new token.
    CreateToken,
    /// The end of a token.
    RevokeToken,
}

/// An operation on one tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TenantOperation {
    /// The tenant as it is.
    Read,
    /// Other terms in place of its own.
    Replace,
    /// A merge patch of its terms.
    Patch,
    /// No new sessions; the tenant is removed when the last one is over.
    Delete,
    /// No new sessions.
    Suspend,
    /// New sessions again.
    Resume,
    /// Its changes.
    History,
    /// How many sessions directors hold of it.
    Usage,
    /// Its sessions, as directors report them.
    Sessions,
}

/// What a request is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// On the service as a whole.
    Service(ServiceOperation),
    /// On the tenant that the path names.
    Tenant(TenantOperation),
}

impl Operation {
    /// Whether every role may call it: it shows what the API is, and nothing of a tenant.
    pub fn is_public(self) -> bool {
        matches!(
            self,
            Operation::Service(ServiceOperation::OpenApi | ServiceOperation::TermsSchema)
        )
    }
}

/// A row of the table.
#[derive(Debug)]
pub struct Route {
    /// What it does.
    pub operation: Operation,
    /// Its name in the published document. Clients are generated from it, so it stays as it is.
    pub operation_id: &'static str,
    /// The HTTP method.
    pub method: &'static str,
    /// The path; `{}` stands for an id.
    pub path: &'static str,
    /// What a role has to be allowed.
    pub permission: Permission,
    /// The statuses of its answers, beside [`COMMON_STATUSES`].
    pub statuses: &'static [u16],
    /// One line for the published document.
    pub summary: &'static str,
}

/// Statuses that any operation may answer with: unknown caller, not allowed, not there, another method, too many
/// calls, a store that fails.
pub const COMMON_STATUSES: [u16; 6] = [401, 403, 404, 405, 429, 503];

const TENANT: &str = "/tenants/{}";

/// All operations. Those that change a tenant take `If-Match`: 428 without it, 412 where it is stale.
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
        path: TENANT,
        permission: Permission::ReadTenant,
        statuses: &[200],
        summary: "A tenant",
    },
    Route {
        operation: Operation::Tenant(TenantOperation::Replace),
        operation_id: "Replace",
        method: "PUT",
        path: TENANT,
        permission: Permission::EditTenant,
        statuses: &[200, 400, 409, 412, 422, 428],
        summary: "Replace its terms",
    },
    Route {
        operation: Operation::Tenant(TenantOperation::Patch),
        operation_id: "Patch",
        method: "PATCH",
        path: TENANT,
        permission: Permission::EditTenant,
        statuses: &[200, 400, 409, 412, 415, 422, 428],
        summary: "Merge into its terms",
    },
    Route {
        operation: Operation::Tenant(TenantOperation::Delete),
        operation_id: "Delete",
        method: "DELETE",
        path: TENANT,
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

/// Where a request leads.
#[derive(Debug)]
pub enum Resolution<'path> {
    /// To an operation.
    Found {
        /// Its row.
        route: &'static Route,
        /// The id as it stands in the path (ids need no escapes); empty where the path takes none.
        id: &'path str,
    },
    /// The path is known, for these methods.
    OtherMethods(Vec<&'static str>),
    /// There is no such path.
    UnknownPath,
}

/// Finds the operation of a method and a path.
pub fn resolve<'path>(method: &str, path: &'path str) -> Resolution<'path> {
    let of_path: Vec<(&'static Route, &str)> = ROUTES
        .iter()
        .filter_map(|route| Some((route, match_path(route.path, path)?)))
        .collect();
    if of_path.is_empty() {
        return Resolution::UnknownPath;
    }
    match of_path.iter().find(|(route, _)| route.method == method) {
        Some((route, id)) => Resolution::Found { route, id },
        None => Resolution::OtherMethods(of_path.iter().map(|(route, _)| route.method).collect()),
    }
}

/// The id that a path has in a pattern's place for it, empty where the pattern has none; none: it does not match.
fn match_path<'path>(pattern: &str, path: &'path str) -> Option<&'path str> {
    let Some((before, after)) = pattern.split_once("{}") else {
        return (pattern == path).then_some("");
    };
    let id = path.strip_prefix(before)?.strip_suffix(after)?;
    (!id.is_empty() && !id.contains('/')).then_some(id)
}
