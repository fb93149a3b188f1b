//! Reports and notifications of servers, taken into the estimates of their links.

use super::Director;
use crate::interface::{LoadReport, Notification, ServerId, SessionId};
use crate::state::records::{ReportSource, ReportTrust};

impl Director {
    /// Takes what a server tells of a session.
    pub(super) fn record_notification(
        &mut self,
        session: SessionId,
        server: ServerId,
        notification: Notification,
    ) {
        match notification {
            Notification::DeliveredFraction(delivered) => self.record_delivery(server, delivered),
            Notification::CurrentRung(rung) => self.apply_rung(session, rung),
            Notification::LinkUtilization(_) | Notification::UplinkUtilization(_) => {
                self.record_utilization(session, server, notification);
            }
        }
    }

    /// Takes a session's notification of how full its link or uplink is.
    pub(crate) fn record_utilization(&mut self, id: SessionId, server: ServerId, notification: Notification) {
        let mut report = LoadReport::default();
        match notification {
            Notification::LinkUtilization(utilization) => report.link_utilization = Some(utilization),
            Notification::UplinkUtilization(utilization) => report.uplink_utilization = Some(utilization),
            Notification::DeliveredFraction(_) | Notification::CurrentRung(_) => return,
        }
        let first_until = self.settings.notification_interval / 2;
        let is_first = self.sessions.get(id).is_some_and(|s| self.now - s.sent_at < first_until);
        let later = ReportSource::LaterNotification;
        self.record_load(server, report, if is_first { ReportSource::FirstNotification } else { later });
    }

    /// Takes a load report on a server's link and uplink.
    pub(crate) fn record_load(&mut self, server: ServerId, report: LoadReport, source: ReportSource) {
        let ReportTrust { age, weight } = self.report_trust(source);
        let now = self.now;
        let [link, uplink] = self.estimates_mut(server);
        if let (Some(link), Some(utilization)) = (link, report.link_utilization) {
            link.record_report(now, age, utilization, weight);
        }
        if let (Some(uplink), Some(utilization)) = (uplink, report.uplink_utilization) {
            uplink.record_report(now, age, utilization, weight);
        }
    }
}
