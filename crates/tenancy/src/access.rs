//! Roles, and what each may see and do.

use crate::tenant::{InvalidTenantId, TenantId};
use serde::{Deserialize, Serialize};

/// What a caller is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Runs the service: all tenants.
    Operator,
    /// A director: follows the tenants and reports what it holds, and nothing else.
    #[serde(rename = "front")]
    Director,
    /// Administers one tenant: its names, classes, titles and state, not what is agreed with the operators.
    Admin(TenantId),
    /// Reads one tenant.
    Reader(TenantId),
}

/// Why a name and a tenant make no role.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RoleError {
    /// The tenant's id is not one.
    #[error("tenant {0}")]
    Tenant(#[from] InvalidTenantId),
    /// There is no such role, it lacks a tenant, or has one too many.
    #[error("operator or front alone, or admin or reader of a tenant")]
    Unknown,
}

/// What an operation needs its caller to be allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permission {
    /// To list all tenants, or create one.
    ManageTenants,
    /// To read a tenant.
    ReadTenant,
    /// To change what is the tenant's own.
    EditTenant,
    /// To change what is agreed with the operators (share, fleet, limits), or to delete the tenant.
    EditAgreement,
    /// To create and revoke tokens.
    ManageTokens,
    /// To follow all changes, and report usage.
    FollowChanges,
}

/// Whether a caller is allowed something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// It is.
    Granted,
    /// The tenant is the caller's own, but this is not the caller's to do.
    Forbidden,
    /// To the caller the tenant does not exist, whether it does or not.
    Hidden,
}

impl Role {
    /// A role by its name, and its tenant where it is a role of one.
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

    /// Whether this role has a permission for a tenant, or, without one, for the service as a whole.
    pub fn access(&self, permission: Permission, tenant: Option<&TenantId>) -> Access {
        match self {
            Role::Operator => Access::Granted,
            Role::Director if permission == Permission::FollowChanges => Access::Granted,
            // A director is not told which tenants exist by what it may not do to them.
            Role::Director if tenant.is_some() => Access::Hidden,
            Role::Director => Access::Forbidden,
            Role::Admin(own) => own_tenant_access(own, true, permission, tenant),
            Role::Reader(own) => own_tenant_access(own, false, permission, tenant),
        }
    }
}

/// What a role of one tenant may do.
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
