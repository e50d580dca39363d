//! Pools that organisations share: logs, metrics, and what cells tell each other.

use super::Control;
use crate::shared::Shared;
use magnoliawinch::cells::Cell;
use magnoliawinch::names::{OrganisationName, ServiceName};
use magnoliawinch::pool::{OrganisationStanding, ReturnFigures, SharingFigures};
use magnoliawinch::shares::{OrganisationUse, UseAboveShare};
use magnoliawinch::time::Time;
use magnoliawinch_peer::CellOf;

impl Control {
    /// Use above share in the cells whose primary owner is this daemon; empty in an undivided system,
    /// whose owner knows all runs.
    pub(super) fn own_use_above_share(&self, now: Time) -> Vec<magnoliawinch_peer::UseAboveShare> {
        if self.cells.layout.is_undivided() {
            return Vec::new();
        }
        let own = self.pools.by_key.iter().filter(|(key, _)| self.is_primary_of(key.cell));
        let above = own.filter_map(|(key, pool)| {
            let uses = pool.use_above_share(now)?;
            Some(uses_to_proto(&key.service, Some(key.cell), &uses))
        });
        above.collect()
    }

    /// Keeps what the owners of cells tell a reader of the list.
    pub(super) fn record_use_above_share(
        &mut self,
        now: Time,
        told: &[magnoliawinch_peer::UseAboveShare],
    ) {
        if self.shared.settings.sharing.is_none() || self.cells.layout.is_undivided() {
            return;
        }
        let own = self.own_use_above_share(now);
        for known in told.iter().chain(&own) {
            if let Some(cell) = known.cell.as_ref().and_then(CellOf::cell) {
                let service = ServiceName::new(&known.service);
                self.cell_figures.record(now, service, cell, uses_from_proto(known));
            }
        }
        let totals = self.total_use_above_share(now);
        self.apply_use_above_share(now, &totals);
    }

    /// Sums over all cells, for replies to the owners.
    pub(super) fn total_use_above_share(
        &self,
        now: Time,
    ) -> Vec<magnoliawinch_peer::UseAboveShare> {
        let totals = self.cell_figures.totals(now);
        totals.iter().map(|(service, uses)| uses_to_proto(service, None, uses)).collect()
    }

    /// Applies such sums to the pools of this daemon.
    pub(super) fn apply_use_above_share(
        &mut self,
        now: Time,
        totals: &[magnoliawinch_peer::UseAboveShare],
    ) {
        for total in totals {
            let uses = uses_from_proto(total);
            let of_service = |service: &ServiceName| service.as_str() == total.service;
            let pools = self.pools.by_key.iter_mut().filter(|(key, _)| of_service(&key.service));
            pools.for_each(|(_, pool)| pool.set_use_in_all_cells(now, uses.clone()));
        }
    }
}

fn uses_to_proto(
    service: &ServiceName,
    cell: Option<Cell>,
    uses: &UseAboveShare,
) -> magnoliawinch_peer::UseAboveShare {
    let uses = uses.uses().iter().map(|known| magnoliawinch_peer::OrganisationUse {
        organisation: known.organisation.to_string(),
        tokens: known.tokens,
    });
    magnoliawinch_peer::UseAboveShare {
        service: service.to_string(),
        cell: cell.map(Into::into),
        uses: uses.collect(),
    }
}

fn uses_from_proto(message: &magnoliawinch_peer::UseAboveShare) -> UseAboveShare {
    let uses = message.uses.iter().map(|known| OrganisationUse {
        organisation: OrganisationName::new(&known.organisation),
        tokens: known.tokens,
    });
    UseAboveShare::new(uses.collect())
}

impl Shared {
    /// Logs and counts what an owner decided for a shared pool since the last call.
    pub(super) fn note_sharing(&self, service: &str, cell: u32, figures: &SharingFigures) {
        let ReturnFigures { given, not_given, kept, broken, missed, early } = figures.returns;
        let counts = [
            ("given", given),
            ("not_given", not_given),
            ("kept", kept),
            ("broken", broken),
            ("missed", missed),
            ("early", early),
        ];
        for (tag, count) in counts.into_iter().filter(|(_, count)| *count > 0) {
            self.metrics.add("return_promise", tag, count);
        }
        if figures.refused_early > 0 {
            self.metrics.add("refused_early", service, figures.refused_early);
        }
        let worst = figures.worst.first();
        let excess = worst.map_or(0, |worst| worst.used * 100 / worst.share.max(1));
        self.metrics.set("worst_share_percent", service, excess);
        let has_news = figures.refused_early > 0 || counts.iter().any(|(_, count)| *count > 0);
        if figures.worst.is_empty() && !has_news {
            return;
        }
        let worst: Vec<_> = figures.worst.iter().map(describe).collect();
        log::info!(
            service,
            cell,
            over = worst.join(" "),
            given,
            not_given,
            kept,
            broken,
            missed,
            early,
            refused_early = figures.refused_early;
            "organisations share a pool"
        );
    }
}

/// An organisation with its use and share, in tokens.
fn describe(standing: &OrganisationStanding) -> String {
    format!("{}={}/{}", standing.organisation, standing.used, standing.share)
}
