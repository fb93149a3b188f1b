//! The permissions of each role for its own tenant, for other tenants and for the service.

mod support;

use Access::{Forbidden, Granted, Hidden};
use shalewall_tenancy::access::{Access, Permission, Role, RoleError};
use support::id;

#[test]
fn each_role_has_the_access_in_the_table() {
    let own = id("own");
    let other = id("other");
    let permissions = [
        Permission::ManageTenants,
        Permission::ReadTenant,
        Permission::EditTenant,
        Permission::EditAgreement,
        Permission::ManageTokens,
        Permission::FollowChanges,
    ];
    // For each role: access to its own tenant, and to another one.
    let table = [
        (Role::Operator, [Granted; 6], [Granted; 6]),
        (
            Role::Director,
            [Hidden, Hidden, Hidden, Hidden, Hidden, Granted],
            [Hidden, Hidden, Hidden, Hidden, Hidden, Granted],
        ),
        (
            Role::Admin(own.clone()),
            [Forbidden, Granted, Granted, Forbidden, Forbidden, Forbidden],
            [Hidden; 6],
        ),
        (
            Role::Reader(own.clone()),
            [
                Forbidden, Granted, Forbidden, Forbidden, Forbidden, Forbidden,
            ],
            [Hidden; 6],
        ),
    ];
    for (role, to_own, to_other) in table {
        let access = |tenant| permissions.map(|permission| role.access(permission, Some(tenant)));
        assert_eq!(access(&own), to_own, "{role:?}");
        assert_eq!(access(&other), to_other, "{role:?}");
    }
    assert_eq!(
        Role::Admin(own).access(Permission::ReadTenant, None),
        Forbidden
    );
}

#[test]
fn a_role_name_requires_or_excludes_a_tenant() {
    let role = |name, tenant: Option<&str>| Role::from_name(name, tenant.map(str::to_string));
    assert_eq!(role("operator", None), Ok(Role::Operator));
    assert_eq!(role("front", None), Ok(Role::Director));
    assert_eq!(role("admin", Some("a")), Ok(Role::Admin(id("a"))));
    assert_eq!(role("reader", Some("a")), Ok(Role::Reader(id("a"))));
    for (name, tenant) in [
        ("operator", Some("a")),
        ("front", Some("a")),
        ("admin", None),
        ("reader", None),
        ("director", None),
    ] {
        assert_eq!(role(name, tenant), Err(RoleError::Unknown), "{name}");
    }
    let invalid = role("admin", Some("A")).unwrap_err();
    assert_eq!(
        invalid.to_string(),
        "tenant has to be 1 to 63 of a-z, 0-9 and '-', a letter first"
    );
}
