//! Tokens of the administration API. Only hashes of their secrets are stored.

use crate::tables::{TOKENS, decode, encode, get};
use crate::{Store, StoreError};
use redb::ReadableTable;
use shalewall_tenancy::UnixMillis;
use shalewall_tenancy::token::Token;

impl Store {
    /// Stores a token under its id.
    pub fn put_token(&self, token: &Token) -> Result<(), StoreError> {
        let transaction = self.database.begin_write()?;
        transaction
            .open_table(TOKENS)?
            .insert(token.id.as_str(), encode(token)?.as_slice())?;
        transaction.commit()?;
        Ok(())
    }

    /// A token by its id, including revoked ones.
    pub fn token(&self, id: &str) -> Result<Option<Token>, StoreError> {
        let transaction = self.database.begin_read()?;
        get(&transaction.open_table(TOKENS)?, id)
    }

    /// All tokens in the order of their ids. There are few, one for each person or program, so there is no paging.
    pub fn tokens(&self) -> Result<Vec<Token>, StoreError> {
        let transaction = self.database.begin_read()?;
        let tokens = transaction.open_table(TOKENS)?;
        let rows = tokens.iter()?;
        rows.map(|row| decode(row?.1.value())).collect()
    }

    /// Revokes a token. A token that is already revoked keeps its revocation time. Returns `false` if there is no token
    /// with this id.
    pub fn revoke_token(&self, id: &str, now: UnixMillis) -> Result<bool, StoreError> {
        let Some(mut token) = self.token(id)? else {
            return Ok(false);
        };
        token.revoked_at = token.revoked_at.or(Some(now));
        self.put_token(&token)?;
        Ok(true)
    }
}
