//! Invariants after each step, and at the end.

use super::{CONNECT_TIMEOUT, Model};
use crate::steps::Step;
use proptest::prelude::*;
use shalewall_platform_proto::viewer_message::{Verb, ViewerMessage};
use shalewall_platform_proto::{ConnectionId, HexId, RuleViolations};

/// Number of rounds after which nothing may be pending.
const SETTLE_ROUNDS: usize = 60;

fn session_in(head: &str) -> Option<u64> {
    let at = head.find("Session: ")?;
    u64::from_str_radix(head.get(at + 9..at + 25)?, 16).ok()
}

/// Removes the first complete RTSP message.
fn next_rtsp_message(unparsed: &mut String) -> Option<String> {
    let head = unparsed.find("\r\n\r\n")?;
    let content = unparsed[..head]
        .rsplit("Content-Length: ")
        .next()
        .and_then(|length| length.parse::<usize>().ok());
    let end = head + 4 + content.unwrap_or(0);
    if unparsed.len() < end {
        return None;
    }
    Some(unparsed.drain(..end).collect())
}

impl Model {
    /// Parses what was written since the previous call, and checks it.
    pub fn check(&mut self) -> Result<(), TestCaseError> {
        for connection in self.node_connections() {
            let node = self.harness.node_of(connection);
            self.node_of.insert(connection, node);
        }
        // Set-ups on closed connections are cancelled; active sessions continue.
        let closed = &self.harness.closed;
        self.open_set_ups
            .retain(|connection, _| !closed.contains(connection));
        for (connection, written) in std::mem::take(&mut self.harness.written) {
            if self.harness.writing_partially.contains(&connection) {
                // The write is never completed.
                self.harness.written.insert(connection, String::new());
            }
            let unparsed = self.unparsed.entry(connection).or_default();
            unparsed.push_str(&written);
            match self.node_of.get(&connection).copied() {
                Some(node) => self.read_as_node(connection, node)?,
                None => self.read_as_viewer(connection)?,
            }
        }
        for (session, count) in &self.answer_counts {
            prop_assert!(*count <= 1, "{count} answers to session {session}");
        }
        let mut open: Vec<u64> = self.open_set_ups.values().flatten().copied().collect();
        let count = open.len();
        open.sort_unstable();
        open.dedup();
        prop_assert_eq!(
            open.len(),
            count,
            "two open attempts of one session: {:?}",
            &self.open_set_ups
        );
        Ok(())
    }

    fn read_as_node(&mut self, connection: ConnectionId, node: u64) -> Result<(), TestCaseError> {
        let Some(unparsed) = self.unparsed.get_mut(&connection) else {
            return Ok(());
        };
        while let Some(message) = next_rtsp_message(unparsed) {
            let Some(session) = session_in(&message) else {
                continue;
            };
            if message.starts_with("SETUP") {
                prop_assert!(
                    !self.withdrawn.contains(&session),
                    "set-up sent after withdrawal: {session}"
                );
                self.open_set_ups
                    .entry(connection)
                    .or_default()
                    .push(session);
            } else if message.starts_with("TEARDOWN") {
                for set_ups in self.open_set_ups.values_mut() {
                    set_ups.retain(|open| *open != session);
                }
                self.node_sessions.remove(&(node, session));
            }
        }
        Ok(())
    }

    fn read_as_viewer(&mut self, connection: ConnectionId) -> Result<(), TestCaseError> {
        let Some(unparsed) = self.unparsed.get_mut(&connection) else {
            return Ok(());
        };
        while let Some(end) = unparsed.find('\n') {
            let line: String = unparsed.drain(..=end).collect();
            let message: ViewerMessage = serde_json::from_str(&line).unwrap();
            let session = HexId::parse(&message.session).unwrap().value();
            let is_answer = match message.verb {
                Verb::Started => {
                    prop_assert!(self.started.insert(session), "answered twice: {session}");
                    true
                }
                Verb::Finish => !self.started.contains(&session),
                _ => false,
            };
            if is_answer {
                *self.answer_counts.entry(session).or_default() += 1;
                self.pending.remove(&session);
            }
        }
        Ok(())
    }

    /// Unblocks all sockets, answers all set-ups and lets time pass, after which nothing may be pending.
    pub fn settle(&mut self) -> Result<(), TestCaseError> {
        self.close_partially_written_connections();
        for _ in 0..SETTLE_ROUNDS {
            self.apply(&Step::SocketsUnblocked);
            self.connect_all_nodes();
            self.check()?;
            for connection in 0..8 {
                let status = 453;
                self.apply(&Step::NodeAnswers { connection, status });
            }
            self.harness.advance(CONNECT_TIMEOUT);
            self.check()?;
        }
        let violations = self.harness.protocol.status().violations;
        prop_assert_eq!(violations, RuleViolations::default());
        let protocol = &self.harness.protocol;
        prop_assert!(self.pending.is_empty(), "no answer to {:?}", self.pending);
        prop_assert_eq!(protocol.session_counts().pending_requests, 0);
        prop_assert!(!protocol.has_pending_writes());
        let unowned: Vec<_> = self
            .node_sessions
            .iter()
            .filter(|(_, session)| !self.started.contains(session))
            .collect();
        prop_assert!(unowned.is_empty(), "sessions without an owner: {unowned:?}");
        Ok(())
    }

    /// Closes the connections whose sockets accepted part of a message: what follows on them is not read.
    fn close_partially_written_connections(&mut self) {
        while let Some(connection) = self.harness.writing_partially.first().copied() {
            let viewer = self.viewers.iter().position(|viewer| *viewer == connection);
            if let Some(position) = viewer {
                self.viewers.remove(position);
                self.withdraw_all(connection);
            }
            self.open_set_ups.remove(&connection);
            self.harness.close(connection, false);
            self.harness.writing_partially.remove(&connection);
        }
    }
}
