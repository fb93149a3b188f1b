//! Roles and their permissions.

use crate::tenant::{InvalidTenantId, TenantId};
use serde::{Deserialize, Serialize};

/// The role of a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Runs the service: has all permissions for all tenants.
    Operator,
    /// A director: may follow changes of tenants and report usage, and nothing else.
    #[serde(rename = "front")]
    Director,
    /// Administers one tenant: its display name, classes, titles and state, but not the fields agreed with operators.
    Admin(TenantId),
    /// May read one tenant.
    Reader(TenantId),
}

/// Why a name and a tenant are not a valid role.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RoleError {
    /// The tenant's id is invalid.
    #[error("tenant {0}")]
    Tenant(#[from] InvalidTenantId),
    /// There is no such role, or it lacks a tenant, or it must not have one.
    #[error("operator or front alone, or admin or reader of a tenant")]
    Unknown,
}

/// A permission that an operation requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permission {
    /// List all tenants, or create one.
    ManageTenants,
    /// Read a tenant.
    ReadTenant,
    /// Change the fields that belong to the tenant itself.
    EditTenant,
    /// Change the fields that are agreed with the operators (share, fleet, limits), or delete the tenant.
    EditAgreement,
    /// Create and revoke tokens.
    ManageTokens,
    /// Follow all changes, and report usage.
    FollowChanges,
}

/// The result of an access check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// Access is granted.
    Granted,
    /// The caller may see the tenant, but lacks the permission.
    Forbidden,
    /// The tenant must appear not to exist to the caller, whether it exists or not.
    Hidden,
}

impl Role {
    /// Creates a role from its name, and its tenant if the role requires one.
    pub fn from_name(name: &str, tenant: Option<String>) -> Result<Role, RoleError> {
        let tenant = tenant.map(TenantId::try_from).transpose()?;
        match (name, tenant) {
            ("operator", None) => Ok(Role::Operator),
            ("front", None) => Ok(Role::Director),
            ("admin", Some(id)) => Ok(Role::Admin(id)),
            ("reader", Some(id)) => Ok(Role::Reader(id)),
            _ => Err(RoleError::Unknown),
        }
    }

    /// Checks a permission of this role for a tenant or, if `tenant` is `None`, for the service as a whole.
    pub fn access(&self, permission: Permission, tenant: Option<&TenantId>) -> Access {
        match self {
            Role::Operator => Access::Granted,
            Role::Director if permission == Permission::FollowChanges => Access::Granted,
            // Hidden rather than forbidden, so that the answer does not reveal which tenants exist.
            Role::Director if tenant.is_some() => Access::Hidden,
            Role::Director => Access::Forbidden,
            Role::Admin(own) => own_tenant_access(own, true, permission, tenant),
            Role::Reader(own) => own_tenant_access(own, false, permission, tenant),
        }
    }
}

/// Access of a role that is bound to one tenant.
fn own_tenant_access(
    own: &TenantId,
    may_edit: bool,
    permission: Permission,
    tenant: Option<&TenantId>,
) -> Access {
    let Some(tenant) = tenant else {
        return Access::Forbidden;
    };
    if tenant != own {
        return Access::Hidden;
    }
    match permission {
        Permission::ReadTenant => Access::Granted,
        Permission::EditTenant if may_edit => Access::Granted,
        Permission::EditTenant
        | Permission::EditAgreement
        | Permission::ManageTenants
        | Permission::ManageTokens
        | Permission::FollowChanges => Access::Forbidden,
    }
}
