//! Load reports and notifications of servers, which update the estimates of their links.

use super::Director;
use crate::interface::{LoadReport, Notification, ServerId, SessionId};
use crate::state::records::{ReportSource, ReportTrust};

impl Director {
    /// Applies a server's notification about a session.
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

    /// Records a notification of link or uplink utilization. The first one after a session's set-up is fresh;
    /// later ones come with the notification delay.
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

    /// Records a load report on a server's link and uplink, weighted by its source.
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
