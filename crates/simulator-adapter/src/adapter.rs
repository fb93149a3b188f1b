//! The directors of one process, and the reader of their batches.

use crate::encode::write_action;
use crate::endpoint_list::EndpointLists;
use crate::events::EventKind;
use crate::fields::Fields;
use crate::{WireError, WireProblem};
use shalewall::{Action, Director, Timestamp};
use shalewall_director_config::{DirectorConfig, Names};
use std::collections::BTreeMap;

/// A director, with the names of its settings.
struct Instance {
    director: Director,
    names: Names,
}

/// Reads lines and returns the reply of each batch.
#[derive(Default)]
pub struct SimulatorAdapter {
    /// Number of the last line read, from 1.
    line: u64,
    /// Time of the current batch; `None` between batches.
    batch_time: Option<Timestamp>,
    lists: EndpointLists,
    instances: BTreeMap<String, Instance>,
    /// Empty; used in place of the names of an unknown director.
    no_names: Names,
    actions: Vec<Action>,
    /// Reply lines of the current batch.
    reply: String,
}

impl SimulatorAdapter {
    /// Creates an error for a field of the last line.
    pub fn error(&self, field: &str, problem: impl Into<WireProblem>) -> WireError {
        WireError::new(self.line, field, problem)
    }

    /// Counts a line that is not valid UTF-8 and returns its error.
    pub fn reject_line(&mut self) -> WireError {
        self.line += 1;
        self.error("line", WireProblem::NotUtf8)
    }

    /// Ends the input. An unfinished batch is an error.
    pub fn finish(&self) -> Result<(), WireError> {
        match self.batch_time {
            None => Ok(()),
            Some(_) => Err(self.error("COMMIT", WireProblem::UnfinishedBatch)),
        }
    }

    /// Reads one line. If it ends a batch, appends the complete reply to `reply` and returns true.
    pub fn read_line(&mut self, line: &str, reply: &mut String) -> Result<bool, WireError> {
        self.line += 1;
        if line.trim().is_empty() {
            return Ok(false);
        }
        let mut fields = Fields::new(self.line, line);
        let message = fields.text("message")?;
        if self.lists.is_incomplete() {
            self.lists.add_line(message, &mut fields)?;
            return Ok(false);
        }
        if message == "SYNC" {
            self.begin_batch(&mut fields)?;
            return Ok(false);
        }
        let Some(now) = self.batch_time else {
            let problem = WireProblem::OutsideBatch(message.to_string());
            return Err(self.error("message", problem));
        };
        match message {
            "COMMIT" => {
                self.commit_batch(reply);
                return Ok(true);
            }
            "LIST" => self.lists.begin(&mut fields)?,
            "BEGIN" => self.begin_director(now, fields)?,
            "RETIRE" => {
                self.instances.remove(fields.text("Director")?);
            }
            _ => self.handle_event(message, now, fields)?,
        }
        Ok(false)
    }

    fn begin_batch(&mut self, fields: &mut Fields) -> Result<(), WireError> {
        if self.batch_time.is_some() {
            return Err(self.error("message", WireProblem::BatchInsideBatch));
        }
        self.batch_time = Some(fields.timestamp("clock")?);
        Ok(())
    }

    fn commit_batch(&mut self, reply: &mut String) {
        self.batch_time = None;
        reply.push_str(&std::mem::take(&mut self.reply));
        reply.push_str("ACK\n");
    }

    fn begin_director(&mut self, now: Timestamp, mut fields: Fields) -> Result<(), WireError> {
        let name = fields.text("Director")?;
        let seed = fields.seed("Seed")?;
        let json = serde_json::from_str(&fields.remainder())
            .map_err(|error| self.error("Setup", error))?;
        let config = DirectorConfig::from_json(&json)
            .map_err(|error| WireError::from_setting(self.line, error))?;
        let instance = Instance {
            director: Director::new(seed, config.settings, now),
            names: config.names,
        };
        self.instances.insert(name.to_string(), instance);
        Ok(())
    }

    /// Passes an event to its director. An event for an unknown director is parsed and then ignored.
    fn handle_event(
        &mut self,
        message: &str,
        now: Timestamp,
        mut fields: Fields,
    ) -> Result<(), WireError> {
        let Some(kind) = EventKind::from_message(message) else {
            let problem = WireProblem::UnknownMessage(message.to_string());
            return Err(self.error("message", problem));
        };
        let name = fields.text("Director")?;
        let mut instance = self.instances.get_mut(name);
        let names = instance.as_ref().map_or(&self.no_names, |i| &i.names);
        let event = kind.read(&mut fields, names, &self.lists)?;
        if let (Some(event), Some(instance)) = (event, instance.as_mut()) {
            self.actions.clear();
            instance.director.handle(now, event, &mut self.actions);
            for action in &self.actions {
                write_action(name, action, &mut self.reply);
            }
        }
        Ok(())
    }
}
