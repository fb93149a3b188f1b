//! The administration API: tenants, their histories, usage and tokens over HTTP.
//!
//! [`routes`] is the table of operations. Requests are found by it and the OpenAPI document ([`openapi`]) is made
//! from it, so the two can't differ. [`api`] answers one request from the store, without sockets and without a
//! clock; its operations are in `service_operations` and `tenant_operations`, what it reads of a request in
//! `request`, and what it refuses in [`error`]. [`serve`] puts it on a socket. [`tokens`]
//! issues tokens without the API.
//!
//! This crate knows HTTP messages, the store and roles. It knows nothing of sessions and nodes, and does not decide
//! what a change does to a tenant: [`shalewall_tenancy`] does.

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
