//! The routes in force, and what brings a peer's routes up to date.

use std::sync::Arc;

use anyhow::{Context, Result, bail};

use crate::config::{Routing, Team};
use crate::decide::catalog::{Catalog, OfferOutcome, Record, RecordKind};
use crate::decide::matching::Routes;
use crate::decide::routes_change::{RoutesChange, RoutesDigest, RoutesUpdate};
use crate::decide::stored;
use crate::decide::teams::{Keys, TeamTable};
use crate::node::Node;
use crate::peer::deflate;

/// A change of the routes, as a peer has sent it.
pub(super) struct RoutesStep {
    /// The digest of the routes that it makes.
    digest: RoutesDigest,
    encoded: Arc<[u8]>,
}

impl Node {
    /// Applies a change of the routes, as `peer` has sent it, and puts the result into force if it is
    /// newer. Peers that lack the change get it as it came.
    ///
    /// # Errors
    ///
    /// Returns an error if the change can't be read, is of other routes than those in force, or makes
    /// routes with faults.
    pub(crate) fn offer_routes_change(&self, peer: Option<Arc<str>>, encoded: &[u8]) -> Result<()> {
        let change: RoutesChange = serde_json::from_slice(&deflate::decode(encoded)?)?;
        let mut catalog = self.catalog.lock();
        let base = self.routes_history.lock().digest().cloned().context("no routes in force")?;
        let earlier = catalog.routing().cloned().context("no routes in force")?;
        let (record, digest) = change.apply(&base, &earlier)?;
        if let Some(fault) = stored::faults(&record).into_iter().next() {
            bail!("{fault}");
        }
        let step = RoutesStep { digest, encoded: encoded.into() };
        let outcome = self.offer_one(&mut catalog, &record, peer.as_ref(), true, Some(step));
        if outcome == OfferOutcome::InForce {
            self.rebuild_routes(&catalog);
        }
        Ok(())
    }

    /// Returns the fingerprint of the routes in force, by which peers tell what this host lacks; 0 if
    /// there are none.
    pub(crate) fn routes_fingerprint(&self) -> u64 {
        self.routes_history.lock().digest().map_or(0, RoutesDigest::fingerprint)
    }

    /// Returns what brings a peer up to date that holds the routes with the fingerprint `held`. `None`
    /// if this host has no routes.
    pub(crate) fn routes_update_from(&self, held: u64) -> Option<RoutesUpdate> {
        let catalog = self.catalog.lock();
        let record = catalog.records().iter().find(|r| r.kind() == RecordKind::Routing)?;
        let encode = || Some(deflate::encode(&serde_json::to_vec(record).ok()?).into());
        self.routes_history.lock().update_from(held, encode)
    }

    /// Builds the routes anew from the records in force.
    pub(super) fn rebuild_routes(&self, catalog: &Catalog) {
        let mut routes = Routes::new(&catalog.services(), &catalog.profiles());
        if let Some(routing) = catalog.routing() {
            let may_lack_teams = catalog.routing_record().is_some_and(Record::may_lack_teams);
            let keys = match &routing.teams {
                Some(teams) => Keys::Needed(self.team_table(teams)),
                None if may_lack_teams && self.settings.registry.is_some() => Keys::Unclear,
                None => Keys::NotNeeded,
            };
            routes = routes.with_routing(routing, rand::random()).with_keys(keys);
            self.allowances.set_routing(routing, routing_version(catalog));
        }
        *self.routes.write() = Arc::new(routes);
    }

    /// Returns the table of the teams in a routing record, which is built once for each version.
    fn team_table(&self, teams: &[Arc<Team>]) -> Arc<TeamTable> {
        let routes = self.routes();
        match routes.keys().teams().filter(|current| current.is_of(teams)) {
            Some(current) => current.clone(),
            None => Arc::new(TeamTable::new(teams, rand::random())),
        }
    }

    /// Returns the routes in force.
    pub(crate) fn routes(&self) -> Arc<Routes> {
        self.routes.read().clone()
    }

    /// Returns the version of the routes that the platform's store holds; 0 if there are none.
    pub(crate) fn routes_version(&self) -> u64 {
        routing_version(&self.catalog.lock())
    }

    /// Records that routes came into force, and the change from the `earlier` ones for peers that hold
    /// those.
    pub(super) fn record_routes(
        &self,
        record: &Record,
        earlier: Option<&Routing>,
        step: Option<RoutesStep>,
    ) {
        let mut history = self.routes_history.lock();
        if let Some(step) = step {
            return history.advance(step.digest, Some(step.encoded));
        }
        let Some(digest) = RoutesDigest::of(record) else { return };
        let change = history
            .digest()
            .zip(earlier)
            .and_then(|(base, earlier)| RoutesChange::between(base, earlier, &digest, record));
        let json = change.and_then(|c| serde_json::to_vec(&c).ok());
        history.advance(digest, json.map(|json| deflate::encode(&json).into()));
    }
}

/// Returns the version of the routes in a catalog; 0 if there are none.
fn routing_version(catalog: &Catalog) -> u64 {
    let record = catalog.records().iter().find(|r| r.kind() == RecordKind::Routing);
    record.map_or(0, |r| r.version)
}
