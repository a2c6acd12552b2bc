//! The RPC methods that a host serves to its peers.

use std::rc::Rc;

use capnp::Error;

use crate::decide::digest::published_versions;
use crate::decide::routes_change::RoutesUpdate;
use crate::peer::peer_capnp::peer;
use crate::peer::session::Session;
use crate::peer::{allowance, codec};

/// The size limit of the records in one response, in bytes. A first record that alone is larger is
/// sent all the same.
const RECORDS_MAX_BYTES: usize = 256 << 10;

/// The server of a peer's calls on one connection.
pub(crate) struct Server(pub(crate) Rc<Session>);

impl peer::Server for Server {
    async fn exchange(
        self: Rc<Self>,
        params: peer::ExchangeParams,
        mut results: peer::ExchangeResults,
    ) -> Result<(), Error> {
        let node = &self.0.local.node;
        let digest = codec::read(params.get()?.get_digest()?)?;
        let pauses = node.pause_detector.lock().pause_count();
        self.0.apply(&digest, pauses, None)?;
        if let Some(host) = self.0.host() {
            self.0.local.record_incoming_exchange(&host, node.clock.now());
        }
        codec::write(&self.0.digest(), results.get().init_digest());
        Ok(())
    }

    async fn allowances(
        self: Rc<Self>,
        params: peer::AllowancesParams,
        mut results: peer::AllowancesResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let asks: Result<Vec<_>, Error> =
            params.get_asks()?.iter().map(allowance::read_ask).collect();
        self.0.record_ask();
        let replies = allowance::serve(&self.0.local, asks?, params.get_routes()).await;
        let mut out = results.get().init_grants(replies.len() as u32);
        for (i, reply) in replies.into_iter().enumerate() {
            allowance::write_reply(reply, out.reborrow().get(i as u32));
        }
        Ok(())
    }

    async fn nudge(
        self: Rc<Self>,
        _: peer::NudgeParams,
        _: peer::NudgeResults,
    ) -> Result<(), Error> {
        self.0.nudged.notify_one();
        Ok(())
    }

    async fn versions(
        self: Rc<Self>,
        _: peer::VersionsParams,
        mut results: peer::VersionsResults,
    ) -> Result<(), Error> {
        let versions = published_versions(&self.0.local.node.catalog.lock());
        codec::write_versions(&versions, results.get().init_versions(versions.len() as u32));
        Ok(())
    }

    async fn routes(
        self: Rc<Self>,
        params: peer::RoutesParams,
        mut results: peer::RoutesResults,
    ) -> Result<(), Error> {
        let held = params.get()?.get_held();
        match self.0.local.node.routes_update_from(held) {
            Some(RoutesUpdate::Changes(changes)) => {
                let mut out = results.get().init_changes(changes.len() as u32);
                for (i, change) in changes.iter().enumerate() {
                    out.set(i as u32, change);
                }
            }
            Some(RoutesUpdate::Whole(whole)) => results.get().set_whole(&whole),
            None => {}
        }
        Ok(())
    }

    async fn records(
        self: Rc<Self>,
        params: peer::RecordsParams,
        mut results: peer::RecordsResults,
    ) -> Result<(), Error> {
        let wanted = codec::read_versions(params.get()?.get_wanted()?)?;
        let mut records: Vec<Vec<u8>> = Vec::new();
        let mut bytes = 0;
        for version in &wanted {
            let catalog = self.0.local.node.catalog.lock();
            let record = catalog.get(version.kind, &version.name);
            let json = record.and_then(|r| serde_json::to_vec(r).ok()).unwrap_or_default();
            bytes += json.len();
            if bytes > RECORDS_MAX_BYTES && !records.is_empty() {
                break;
            }
            records.push(json);
        }
        let mut out = results.get().init_records(records.len() as u32);
        for (i, json) in records.iter().enumerate() {
            out.set(i as u32, json);
        }
        Ok(())
    }
}
