//! The administration API.
//!
//! [`routes`] is the table of calls: the server finds them by it, and the published OpenAPI document is made from
//! it, so that the two can't part. [`api`] answers one request from the store, without sockets or clock. [`serve`]
//! puts it on a socket of its own.
//!
//! What this crate may know: HTTP messages, the store, roles. What it must not: sessions, nodes, how changes are
//! decided ([`shalewall_tenancy`] does).

pub mod api;
pub mod routes;
pub mod serve;
