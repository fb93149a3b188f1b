//! Issues tokens without the API: the first token of a store, or tokens for a service that a program sets up.

use crate::serve::unix_time_millis;
use rand::RngExt;
use shalewall_store::{Store, StoreError};
use shalewall_tenancy::access::Role;
use shalewall_tenancy::token::Token;

/// Generates a token for a role and stores it. Returns the bearer token's text. The store keeps only its digest, so the
/// text can't be retrieved later.
pub fn issue_token(store: &Store, role: Role) -> Result<String, StoreError> {
    let issued = Token::issue(
        role,
        rand::rng().random(),
        rand::rng().random(),
        unix_time_millis(),
    );
    store.put_token(&issued.token)?;
    Ok(issued.text)
}
