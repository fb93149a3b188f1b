//! Export of a store as JSON lines, and import.
//!
//! An export contains the format version, then all history entries in the order of their changes (an import replays
//! them to restore the tenants), then the tokens, as hashes.

use crate::tables::{CHANGES, HISTORY, META, META_VERSION, TENANTS, TOKENS, decode, encode};
use crate::{Corruption, FORMAT_VERSION, Store, StoreError, StoreSummary, StoreUnavailable};
use redb::{ReadableTable, Table, WriteTransaction};
use serde::{Deserialize, Serialize};
use shalewall_tenancy::history::{HistoryEntry, replay};
use shalewall_tenancy::token::Token;
use std::collections::BTreeMap;
use std::io::{BufRead, Write};

/// A line of an export.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Line {
    Store { version: u64 },
    Entry(Box<HistoryEntry>),
    Token(Token),
}

impl Store {
    /// Writes the complete store except for idempotency keys.
    pub fn export(&self, out: &mut impl Write) -> Result<StoreSummary, StoreError> {
        let mut summary = StoreSummary::default();
        write_line(
            out,
            &Line::Store {
                version: FORMAT_VERSION,
            },
        )?;
        let transaction = self.database.begin_read()?;
        let history = transaction.open_table(HISTORY)?;
        let mut revisions: BTreeMap<String, u64> = BTreeMap::new();
        for row in transaction.open_table(CHANGES)?.iter()? {
            let (_, tenant) = row?;
            let tenant = tenant.value();
            let revision = revisions.entry(tenant.to_string()).or_insert(0);
            *revision += 1;
            let value =
                history
                    .get((tenant, *revision))?
                    .ok_or_else(|| Corruption::MissingEntry {
                        tenant: tenant.to_string(),
                        revision: *revision,
                    })?;
            write_line(out, &Line::Entry(Box::new(decode(value.value())?)))?;
            summary.changes += 1;
        }
        for token in self.tokens()? {
            write_line(out, &Line::Token(token))?;
            summary.tokens += 1;
        }
        summary.tenants = revisions.len();
        Ok(summary)
    }

    /// Imports an export into an empty store in one transaction, then checks the store.
    pub fn import(&self, lines: impl BufRead) -> Result<StoreSummary, StoreError> {
        if self.last_change_number()? > 0 {
            return Err(StoreError::Unavailable(StoreUnavailable::NotEmpty));
        }
        let transaction = self.database.begin_write()?;
        let mut import = Import::begin(&transaction)?;
        for (index, text) in lines.lines().enumerate() {
            let parsed = serde_json::from_str(&text?);
            let line = parsed.map_err(|error| Corruption::ExportLine {
                line: index + 1,
                error,
            })?;
            import.add(line)?;
        }
        import.finish()?;
        transaction.commit()?;
        self.check()
    }
}

fn write_line(out: &mut impl Write, line: &Line) -> Result<(), StoreError> {
    out.write_all(&encode(line)?)?;
    out.write_all(b"\n")?;
    Ok(())
}

/// An import in progress within one transaction.
struct Import<'t> {
    transaction: &'t WriteTransaction,
    history: Table<'t, (&'static str, u64), &'static [u8]>,
    changes: Table<'t, u64, &'static str>,
    tokens: Table<'t, &'static str, &'static [u8]>,
    /// History entries by tenant, which are replayed at the end.
    histories: BTreeMap<String, Vec<HistoryEntry>>,
    last_change_number: u64,
}

impl<'t> Import<'t> {
    fn begin(transaction: &'t WriteTransaction) -> Result<Import<'t>, StoreError> {
        Ok(Import {
            transaction,
            history: transaction.open_table(HISTORY)?,
            changes: transaction.open_table(CHANGES)?,
            tokens: transaction.open_table(TOKENS)?,
            histories: BTreeMap::new(),
            last_change_number: 0,
        })
    }

    fn add(&mut self, line: Line) -> Result<(), StoreError> {
        match line {
            Line::Store { version } if version > FORMAT_VERSION => {
                Err(StoreError::NewerFormat { found: version })
            }
            Line::Store { .. } => Ok(()),
            Line::Entry(entry) => self.add_entry(*entry),
            Line::Token(token) => {
                self.tokens
                    .insert(token.id.as_str(), encode(&token)?.as_slice())?;
                Ok(())
            }
        }
    }

    fn add_entry(&mut self, entry: HistoryEntry) -> Result<(), StoreError> {
        let id = entry.tenant.as_str();
        self.last_change_number += 1;
        self.history
            .insert((id, entry.revision), encode(&entry)?.as_slice())?;
        self.changes.insert(self.last_change_number, id)?;
        let entries = self.histories.entry(id.to_string()).or_default();
        entries.push(entry);
        Ok(())
    }

    /// Replays the history entries and writes the resulting tenants and the format version.
    fn finish(self) -> Result<(), StoreError> {
        let mut tenants = self.transaction.open_table(TENANTS)?;
        for (tenant, entries) in self.histories {
            let replayed = replay(&entries).ok_or(Corruption::IncompleteHistory {
                tenant: tenant.clone(),
            })?;
            tenants.insert(tenant.as_str(), encode(&replayed)?.as_slice())?;
        }
        self.transaction
            .open_table(META)?
            .insert(META_VERSION, FORMAT_VERSION)?;
        Ok(())
    }
}
