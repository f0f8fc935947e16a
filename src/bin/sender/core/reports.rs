//! Reports to the old process of an upgrade, which has to know what binds it if it goes on alone.
use super::Core;
use crate::ended_messages::EndedMessage;
use crate::handover::{NamedRoute, Report, ReportWriter};
use crate::process_state::{NumberedCatalogue, NumberedEndpoint};
use catalogue::Catalogue;
use sender::api::{EndpointId, Ns};
use sender::policy::{LearnedRoute, RouteId};
use std::time::Duration;
use store::file_system::FileSystem;
use tokio::time::Instant;

/// How often routes without a sign of trouble are reported.
const ROUTES_INTERVAL: Duration = Duration::from_secs(1);

/// What is yet to be reported.
pub(super) struct Reports {
    writer: ReportWriter,
    /// Whether the old process has the same settings.
    same_settings: bool,
    ended: Vec<EndedMessage>,
    routes_at: Instant,
}

impl<F: FileSystem> Core<F> {
    /// Begins to report to the old process of an upgrade.
    pub fn report_to(&mut self, writer: ReportWriter, same_settings: bool) {
        self.policy.track_route_changes(true);
        let routes_at = Instant::now();
        self.reports = Some(Reports { writer, same_settings, ended: Vec::new(), routes_at });
    }

    /// Notes that a message has ended.
    pub(super) fn note_ended(&mut self, trace_id: &str) {
        if let Some(reports) = &mut self.reports {
            reports.ended.extend(self.ended.to_handover(trace_id));
        }
    }

    /// Reports a list that has just been put in force.
    pub(super) fn report_list(&mut self, before: &Catalogue, changed: &[EndpointId], whole: bool) {
        if self.reports.is_none() {
            return;
        }
        let report = if whole {
            let known = self.policy.known_endpoints();
            Report::ListReplaced(NumberedCatalogue::from_catalogue(&self.directory.catalogue(), known))
        } else {
            let catalogue = self.directory.catalogue();
            let listed = |&id: &EndpointId| Some(NumberedEndpoint::new(id, &catalogue.get(id)?));
            let removed = |&id: &EndpointId| match catalogue.get(id) {
                Some(_) => None,
                None => Some(before.get(id)?.name.to_string()),
            };
            Report::ListChanged {
                generation: catalogue.generation(),
                listed: changed.iter().filter_map(listed).collect(),
                removed: changed.iter().filter_map(removed).collect(),
            }
        };
        self.report(&report);
    }

    /// Reports what a round has brought, at `now` on the policy's clock.
    pub(super) fn report_round(&mut self, now: Ns) {
        let Some(reports) = &mut self.reports else { return };
        let ended = std::mem::take(&mut reports.ended);
        let all_routes = reports.routes_at.elapsed() >= ROUTES_INTERVAL;
        let same_settings = reports.same_settings;
        if all_routes {
            reports.routes_at = Instant::now();
        }
        if !ended.is_empty() {
            self.report(&Report::MessagesEnded { next_id: self.next_id, messages: ended });
        }
        let changed = self.policy.take_changed_routes(all_routes);
        if !changed.is_empty() {
            let routes = changed.into_iter().filter_map(|(id, learned)| self.named_route(id, learned));
            let routes = routes.collect();
            self.report(&Report::Routes { now, same_settings, routes });
        }
    }

    /// Returns a route by the name of its endpoint. None if the endpoint is not listed any more.
    fn named_route(&self, (destination, endpoint): RouteId, learned: LearnedRoute) -> Option<NamedRoute> {
        let endpoint = match endpoint {
            EndpointId::MAX => None,
            id => Some(self.directory.catalogue().get(id)?.name.to_string()),
        };
        Some(NamedRoute { destination, endpoint, learned })
    }

    fn report(&mut self, report: &Report) {
        let Some(reports) = &self.reports else { return };
        if reports.writer.send(report).is_err() {
            self.reports = None;
            self.policy.track_route_changes(false);
        }
    }
}
