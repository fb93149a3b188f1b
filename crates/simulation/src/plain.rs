//! D(C0) as the paper has it, with one lower rung: the asked rung while a link is under the mark, else the
//! class's lowest under the full line, else refusal; the holder with the least account. None of the module's
//! exceptions, no evidence but what nodes report, no care for cold nodes. A baseline, not a decider for service.

use shalewall::{
    Action, Endpoint, EndpointState, EndpointUpdate, Event, Idempotency, Notification, Outcome,
    Request, ServerId, SessionId, Settings, Timestamp,
};
use shalewall_engine::DecisionPolicy;
use std::collections::BTreeMap;

/// The design's defaults.
const MARK: f64 = 0.85;
const FULL_LINE: f64 = 0.93;

#[derive(Default)]
struct Link {
    kb: f64,
    share: f64,
}

impl Link {
    fn with(&self, kb: f64) -> f64 {
        self.share + self.part(kb)
    }

    fn part(&self, kb: f64) -> f64 {
        if self.kb > 0.0 { kb / self.kb } else { 0.0 }
    }
}

/// A request that is out: where, at which rate, and where it was tried.
struct Out {
    req: Request,
    at: Option<(ServerId, f64)>,
    plays: bool,
    tried: Vec<ServerId>,
}

pub struct Plain {
    set: Settings,
    listed: BTreeMap<ServerId, Endpoint>,
    links: BTreeMap<ServerId, Link>,
    uplinks: BTreeMap<u64, Link>,
    out: BTreeMap<SessionId, Out>,
}

impl Plain {
    pub fn new(set: Settings) -> Plain {
        let uplink = |rack| {
            (
                rack,
                Link {
                    kb: set.rack_uplink_kb_s,
                    share: 0.0,
                },
            )
        };
        let uplinks = (0..set.rack_count).map(uplink).collect();
        Plain {
            set,
            listed: BTreeMap::new(),
            links: BTreeMap::new(),
            uplinks,
            out: BTreeMap::new(),
        }
    }

    fn rack(&self, server: ServerId) -> Option<u64> {
        self.listed
            .get(&server)?
            .cell
            .checked_rem(self.set.rack_count)
    }

    fn charge(&mut self, server: ServerId, kb: f64) {
        let rack = self.rack(server);
        let links = [
            self.links.get_mut(&server),
            rack.and_then(|r| self.uplinks.get_mut(&r)),
        ];
        links
            .into_iter()
            .flatten()
            .for_each(|l| l.share = l.with(kb).max(0.0));
    }

    fn fits(&self, server: ServerId, kb: f64, line: f64) -> bool {
        let uplink = self.rack(server).and_then(|r| self.uplinks.get(&r));
        let links = [self.links.get(&server), uplink];
        links.into_iter().flatten().all(|l| l.with(kb) <= line)
    }

    fn holders(&self, out: &Out) -> Vec<ServerId> {
        let (req, cells) = (&out.req, self.set.cell_count.max(1));
        let mut holders: Vec<ServerId> = self
            .listed
            .values()
            .filter(|l| l.state == EndpointState::Ready && !out.tried.contains(&l.server))
            .filter(|l| (l.cell + cells - req.first_cell % cells) % cells < req.replica_cells)
            .map(|l| l.server)
            .collect();
        let account = |s: &ServerId| {
            let uplink = self
                .rack(*s)
                .and_then(|r| self.uplinks.get(&r))
                .map_or(0.0, |l| l.share);
            self.links.get(s).map_or(0.0, |l| l.share) + uplink
        };
        holders.sort_by(|a, b| account(a).total_cmp(&account(b)));
        holders
    }

    fn place(&mut self, now: Timestamp, mut out: Out, actions: &mut Vec<Action>) {
        let (session, class) = (out.req.session, out.req.class);
        let terms = self.set.classes[class];
        let top = out
            .req
            .highest_rung
            .min(terms.highest_rung)
            .min(self.set.ladder.len() - 1);
        let held = self
            .out
            .values()
            .filter(|o| (o.req.title, o.req.class) == (out.req.title, class));
        let seated = terms.session_limit_per_title > 0
            && held.count() >= terms.session_limit_per_title as usize;
        let late = now + self.set.limits.min_batch_interval >= out.req.deadline;
        let spent = out.tried.len() as u32 >= self.set.limits.max_attempts.max(1);
        let found = self.holders(&out).into_iter().find_map(|s| {
            let asked = self
                .fits(s, self.set.rate(class, top), MARK)
                .then_some((s, top));
            let least = || self.fits(s, self.set.rate(class, terms.lowest_rung), FULL_LINE);
            asked.or_else(|| least().then_some((s, terms.lowest_rung)))
        });
        let Some((server, rung)) = found.filter(|_| !seated && !late && !spent) else {
            let come_back = Some(self.set.limits.max_retry_after);
            return actions.push(Action::Reject {
                session,
                retry_after: come_back,
            });
        };
        let kb = self.set.rate(class, rung);
        self.charge(server, kb);
        out.tried.push(server);
        out.at = Some((server, kb));
        self.out.insert(session, out);
        actions.push(Action::SetRung { session, rung });
        actions.push(Action::StartAttempt {
            session,
            server,
            attempt_timeout: None,
        });
    }

    fn note(&mut self, server: ServerId, note: Notification) {
        let rack = self.rack(server);
        let (link, share) = match note {
            Notification::LinkUtilization(x) => (self.links.get_mut(&server), x),
            Notification::UplinkUtilization(x) => (rack.and_then(|r| self.uplinks.get_mut(&r)), x),
            Notification::DeliveredFraction(_) | Notification::CurrentRung(_) => return,
        };
        link.into_iter().for_each(|l| l.share = share);
    }

    fn list(&mut self, news: EndpointUpdate, lines: Vec<Endpoint>) {
        if matches!(news, EndpointUpdate::Full | EndpointUpdate::Cached) {
            self.listed.clear();
        }
        for line in lines {
            let kb = self.set.link_kb_s_per_weight * line.weight;
            self.links.entry(line.server).or_default().kb = kb;
            self.listed.insert(line.server, line);
        }
    }
}

impl DecisionPolicy for Plain {
    fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointsUpdated {
                update: news,
                endpoints: lines,
            } => self.list(news, lines),
            Event::RequestReceived(req) => {
                let after = req.deadline - self.set.limits.min_batch_interval - now;
                actions.push(Action::SetTimer {
                    after,
                    token: req.session.0,
                });
                self.place(
                    now,
                    Out {
                        req,
                        at: None,
                        plays: false,
                        tried: Vec::new(),
                    },
                    actions,
                );
            }
            Event::SessionStarted { session, .. } => {
                self.out
                    .get_mut(&session)
                    .into_iter()
                    .for_each(|o| o.plays = true);
            }
            Event::AttemptFinished {
                session,
                outcome,
                is_answered: closed,
                ..
            } => {
                let Some(out) = self.out.remove(&session) else {
                    return;
                };
                out.at
                    .into_iter()
                    .for_each(|(server, kb)| self.charge(server, -kb));
                let never_ran = matches!(
                    outcome,
                    Outcome::Rejected | Outcome::ConnectionFailed | Outcome::NotSent
                );
                if closed || out.plays || outcome == Outcome::Success {
                } else if never_ran
                    || self.set.classes[out.req.class].idempotency == Idempotency::Idempotent
                {
                    self.place(now, out, actions);
                } else {
                    actions.push(Action::Fail { session });
                }
            }
            Event::Notified {
                server,
                notification: note,
                ..
            } => self.note(server, note),
            Event::TimerFired(token) => {
                let waits = self.out.get(&SessionId(token)).filter(|o| !o.plays);
                if let Some(out) = waits {
                    actions.push(Action::CancelAttempt {
                        session: out.req.session,
                        attempt: out.tried.len() as u32 - 1,
                    });
                    actions.push(Action::Fail {
                        session: out.req.session,
                    });
                }
            }
            Event::SettingsUpdated { classes, tenants } => {
                (self.set.classes, self.set.tenants) = (classes, tenants)
            }
            // Baselines hand nothing over.
            Event::SessionTransferred(..)
            | Event::RequestWithdrawn(_)
            | Event::HealthCheckFinished { .. }
            | Event::PeerMessage { .. } => {}
            Event::MigrationRequested(_)
            | Event::MigrationFinished { .. }
            | Event::ServerSilent(_) => {}
        }
    }
}
