//! Probes: a node is asked for its report, which is a test as well.

use crate::HexId;
use crate::director_protocol::{DirectorProtocol, Due};
use crate::links::{Item, LinkId, ProbeId};
use crate::rtsp;
use shalewall::{Event, LoadReport, Outcome, ServerId};

/// A probe that is out.
pub(crate) struct Probe {
    server: ServerId,
    link: LinkId,
}

impl DirectorProtocol {
    pub(crate) fn probe(&mut self, server: ServerId) {
        let link = self.link_for(server);
        self.next += 1;
        let id = ProbeId(self.next);
        let Some(link) =
            link.filter(|l| self.queue(*l, Item::Bytes(rtsp::probe(HexId::from_value(id.0)))))
        else {
            let (outcome, load) = (Outcome::NotSent, LoadReport::default());
            return self.events.push_back(Event::HealthCheckFinished {
                server,
                outcome,
                load_report: load,
            });
        };
        self.probes.insert(id, Probe { server, link });
        if let Some(link) = self.links.get(link) {
            link.probes.insert(id);
        }
        self.timers
            .set(self.now + self.connect_within(), Due::Probe(id));
    }

    /// A probe has its answer, or will have none. `from`: the connection that the answer came by.
    pub(crate) fn probed(
        &mut self,
        id: ProbeId,
        from: Option<LinkId>,
        outcome: Outcome,
        load: LoadReport,
    ) {
        if from.is_some_and(|from| self.probes.get(&id).is_some_and(|p| p.link != from)) {
            return;
        }
        let Some(Probe { server, link }) = self.probes.remove(&id) else {
            return;
        };
        if let Some(link) = self.links.get(link) {
            link.probes.remove(&id);
            link.doubt |= outcome == Outcome::TimedOut;
        }
        self.events.push_back(Event::HealthCheckFinished {
            server,
            outcome,
            load_report: load,
        });
    }
}
