//! The administration API: tenants, their histories, usage and tokens over HTTP.
//!
//! [`routes`] is the table of operations. Both request routing and the OpenAPI document ([`openapi`]) use it, so they
//! can't differ. [`api`] answers one request from the store, without sockets or a clock. Its operations are in
//! `service_operations` and `tenant_operations`, request parsing is in `request`, and the errors are in [`error`].
//! [`serve`] runs it on a socket. [`tokens`] issues tokens without the API.
//!
//! This crate handles HTTP messages, the store and roles. It knows nothing of sessions and nodes; the effect of a
//! change on a tenant is defined in [`shalewall_tenancy`].

#![deny(missing_docs)]

pub mod api;
pub mod error;
pub mod openapi;
mod rate_limit;
mod request;
pub mod routes;
pub mod serve;
mod service_operations;
mod tenant_operations;
pub mod tokens;
