//! A store checked, written out as JSON lines, and read in again.

use crate::format::{CHANGES, HISTORY, META, TENANTS, TOKENS};
use crate::{Error, Store, VERSION, fault, read, written};
use redb::ReadableTable;
use serde::{Deserialize, Serialize};
use shalewall_tenancy::access::Token;
use shalewall_tenancy::change::{Entry, replay};
use shalewall_tenancy::model::Tenant;
use std::collections::BTreeMap;
use std::io::{BufRead, Write};

/// What a check found in order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Found {
    pub tenants: usize,
    pub changes: usize,
    pub tokens: usize,
}

/// A line of an export. Entries come in the order in which they were made: tenants follow from them.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Line {
    Store { version: u64 },
    Entry(Box<Entry>),
    Token(Token),
}

impl Store {
    /// Reads everything: each tenant has to be what its history comes to, and each change to be in both orders.
    pub fn check(&self) -> Result<Found, Error> {
        let txn = self.kept.read()?;
        let wrong = |what: String| Err(Error::Corrupt(what));
        let mut histories: BTreeMap<String, Vec<Entry>> = BTreeMap::new();
        let mut found = Found::default();
        for row in txn
            .open_table(HISTORY)
            .map_err(fault)?
            .iter()
            .map_err(fault)?
        {
            let (key, entry) = row.map_err(fault)?;
            let entry: Entry = read(entry.value())?;
            let (tenant, revision) = key.value();
            if (entry.tenant.as_str(), entry.revision) != (tenant, revision) {
                return wrong(format!("entry {revision} of {tenant} says it is another's"));
            }
            histories.entry(tenant.to_string()).or_default().push(entry);
            found.changes += 1;
        }
        let mut counted: BTreeMap<String, usize> = BTreeMap::new();
        for row in txn
            .open_table(CHANGES)
            .map_err(fault)?
            .iter()
            .map_err(fault)?
        {
            *counted
                .entry(row.map_err(fault)?.1.value().to_string())
                .or_default() += 1;
        }
        for row in txn
            .open_table(TENANTS)
            .map_err(fault)?
            .iter()
            .map_err(fault)?
        {
            let tenant: Tenant = read(row.map_err(fault)?.1.value())?;
            let id = tenant.id.to_string();
            let history = histories.remove(&id).unwrap_or_default();
            if counted.remove(&id) != Some(history.len()) {
                return wrong(format!("changes of {id} and its history differ in number"));
            }
            if replay(&history).as_ref() != Some(&tenant) {
                return wrong(format!("{id} is not what its history comes to"));
            }
            found.tenants += 1;
        }
        if let Some(id) = histories.keys().chain(counted.keys()).next() {
            return wrong(format!("there is a history of {id}, and no such tenant"));
        }
        found.tokens = self.tokens()?.len();
        Ok(found)
    }

    /// Writes everything as JSON lines. Tokens are hashes there too.
    pub fn export(&self, out: &mut impl Write) -> Result<Found, Error> {
        let io = |e: std::io::Error| Error::Unable(e.to_string());
        let mut put = |line: &Line| {
            out.write_all(&written(line)?).map_err(io)?;
            out.write_all(b"\n").map_err(io)
        };
        put(&Line::Store { version: VERSION })?;
        let txn = self.kept.read()?;
        let history = txn.open_table(HISTORY).map_err(fault)?;
        let mut next: BTreeMap<String, u64> = BTreeMap::new();
        let mut found = Found::default();
        for row in txn
            .open_table(CHANGES)
            .map_err(fault)?
            .iter()
            .map_err(fault)?
        {
            let (_, id) = row.map_err(fault)?;
            let revision = next.entry(id.value().to_string()).or_insert(0);
            *revision += 1;
            let entry = history.get((id.value(), *revision)).map_err(fault)?;
            let entry =
                entry.ok_or_else(|| Error::Corrupt(format!("{} lacks {revision}", id.value())))?;
            put(&Line::Entry(Box::new(read(entry.value())?)))?;
            found.changes += 1;
        }
        for token in self.tokens()? {
            put(&Line::Token(token))?;
            found.tokens += 1;
        }
        found.tenants = next.len();
        Ok(found)
    }

    /// Reads an export into an empty store, whole or not at all.
    pub fn import(&self, lines: impl BufRead) -> Result<Found, Error> {
        if self.last()? > 0 {
            return Err(Error::Unable("only an empty store can be filled".into()));
        }
        let txn = self.kept.write()?;
        {
            let mut history = txn.open_table(HISTORY).map_err(fault)?;
            let mut changes = txn.open_table(CHANGES).map_err(fault)?;
            let mut tokens = txn.open_table(TOKENS).map_err(fault)?;
            let mut entries: BTreeMap<String, Vec<Entry>> = BTreeMap::new();
            let mut number = 0;
            for (at, line) in lines.lines().enumerate() {
                let line = line.map_err(|e| Error::Unable(e.to_string()))?;
                let wrong = |what: String| Error::Corrupt(format!("line {}: {what}", at + 1));
                match serde_json::from_str(&line).map_err(|e| wrong(e.to_string()))? {
                    Line::Store { version } if version > VERSION => {
                        return Err(Error::Newer(version));
                    }
                    Line::Store { .. } => {}
                    Line::Entry(entry) => {
                        number += 1;
                        let key = (entry.tenant.as_str(), entry.revision);
                        history
                            .insert(key, written(&*entry)?.as_slice())
                            .map_err(fault)?;
                        changes
                            .insert(number, entry.tenant.as_str())
                            .map_err(fault)?;
                        entries
                            .entry(entry.tenant.to_string())
                            .or_default()
                            .push(*entry);
                    }
                    Line::Token(token) => {
                        tokens
                            .insert(token.id.as_str(), written(&token)?.as_slice())
                            .map_err(fault)?;
                    }
                }
            }
            let mut tenants = txn.open_table(TENANTS).map_err(fault)?;
            for (id, entries) in entries {
                let whole = replay(&entries);
                let tenant = whole
                    .ok_or_else(|| Error::Corrupt(format!("{id}: its entries are not whole")))?;
                tenants
                    .insert(id.as_str(), written(&tenant)?.as_slice())
                    .map_err(fault)?;
            }
            txn.open_table(META)
                .map_err(fault)?
                .insert("version", VERSION)
                .map_err(fault)?;
        }
        txn.commit().map_err(fault)?;
        self.check()
    }
}
