//! Tokens issued outside the API: the first one of a store, and those of a service that is set up by a program.

use crate::serve::unix_time_millis;
use rand::RngExt;
use shalewall_store::{Store, StoreError};
use shalewall_tenancy::access::Role;
use shalewall_tenancy::token::Token;

/// Draws a token for a role and puts it into the store. Returns the text that its holder has to show; the store keeps
/// no more than its digest, so it can't be read again.
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
