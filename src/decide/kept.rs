//! The keys that a host keeps in the registry, each under a lease of its own.
//!
//! A key can be lost in several ways: its lease expires, the registry returns from a copy that
//! lacks it, or a write that was late replaces it. So a host puts its keys again when the
//! registry's era changes, and looks from time to time whether they are there. A lease of an
//! earlier era is never renewed or ended, since its number may have been given to another host.

use std::time::Duration;

use crate::time::Time;

/// A lease is renewed after its time to live divided by this number.
const RENEWAL_DIVISOR: u32 = 3;
/// The time between two looks at the keys in the registry.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// The age that a read of the registry may have.
const READ_AGE_MAX: Duration = Duration::from_secs(5);

/// A key that a host wants in the registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct WantedKey {
    pub(crate) key: String,
    pub(crate) value: Vec<u8>,
    /// Whether this host has to see to it. Otherwise, the key stays until its lease expires.
    pub(crate) is_owned: bool,
}

/// The number of a lease.
pub(crate) type Lease = u64;

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// End a lease, and call [`KeptKeys::on_ended`].
    End(Lease),
    /// Renew a lease, and call [`KeptKeys::on_renewed`].
    Renew(Lease),
    /// Put a key, under its present lease or a new one, and call [`KeptKeys::on_put`].
    Put(WantedKey, Option<Lease>),
    /// List the keys, and call [`KeptKeys::on_listed`].
    List,
}

/// A key that this host has put.
#[derive(Clone, Debug)]
struct KeptKey {
    key: String,
    value: Vec<u8>,
    lease: Lease,
    /// The era of the registry in which the lease was granted.
    era: u32,
    put: Time,
    renewed: Time,
}

/// The keys that a host keeps, sorted.
#[derive(Debug)]
pub(crate) struct KeptKeys {
    ttl: Duration,
    keys: Vec<KeptKey>,
    listed: Time,
}

impl KeptKeys {
    /// Creates the state of a host that keeps no keys. Their leases will have a time to live of
    /// `ttl`.
    pub(crate) fn new(ttl: Duration) -> KeptKeys {
        KeptKeys { ttl, keys: Vec::new(), listed: Time::ZERO }
    }

    /// Returns the time to live of the leases.
    pub(crate) fn ttl(&self) -> Duration {
        self.ttl
    }

    /// Returns the value of a key as this host last put it, and when.
    pub(crate) fn get(&self, key: &str) -> Option<(&[u8], Time)> {
        self.find(key).ok().map(|at| (&*self.keys[at].value, self.keys[at].put))
    }

    /// Returns the next step that brings the registry, which is in `era`, to the `wanted` keys,
    /// which are sorted. `None` if there is nothing to do.
    pub(crate) fn next(&mut self, wanted: &[WantedKey], era: u32, now: Time) -> Option<Step> {
        self.keys.retain(|k| k.era == era);
        let is_wanted = |k: &&KeptKey| wanted.binary_search_by(|w| w.key.cmp(&k.key)).is_ok();
        if let Some(unwanted) = self.keys.iter().find(|k| !is_wanted(k)) {
            return Some(Step::End(unwanted.lease));
        }
        for wanted in wanted.iter().filter(|w| w.is_owned) {
            let Ok(at) = self.find(&wanted.key) else {
                return Some(Step::Put(wanted.clone(), None));
            };
            let kept = &self.keys[at];
            if now.since(kept.renewed) >= self.ttl / RENEWAL_DIVISOR {
                return Some(Step::Renew(kept.lease));
            }
            if kept.value != wanted.value {
                return Some(Step::Put(wanted.clone(), Some(kept.lease)));
            }
        }
        let is_check_due = !self.keys.is_empty() && now.since(self.listed) >= CHECK_INTERVAL;
        is_check_due.then_some(Step::List)
    }

    /// Records that a key was put under a lease that was granted in `era`.
    pub(crate) fn on_put(&mut self, wanted: &WantedKey, lease: Lease, era: u32, now: Time) {
        let WantedKey { key, value, .. } = wanted.clone();
        let renewed = match self.find(&key) {
            Ok(at) if self.keys[at].lease == lease => self.keys[at].renewed,
            _ => now,
        };
        let kept = KeptKey { key, value, lease, era, put: now, renewed };
        match self.find(&wanted.key) {
            Ok(at) => self.keys[at] = kept,
            Err(at) => self.keys.insert(at, kept),
        }
    }

    /// Records that a lease was renewed, or that it no longer exists.
    pub(crate) fn on_renewed(&mut self, lease: Lease, exists: bool, now: Time) {
        if !exists {
            return self.on_ended(lease);
        }
        if let Some(kept) = self.keys.iter_mut().find(|k| k.lease == lease) {
            kept.renewed = now;
        }
    }

    /// Records that a lease has ended.
    pub(crate) fn on_ended(&mut self, lease: Lease) {
        self.keys.retain(|k| k.lease != lease);
    }

    /// Records what the registry listed at `now`, or a few seconds before: keys and their leases. A
    /// key that isn't there as this host has put it is put again.
    pub(crate) fn on_listed<'a>(
        &mut self,
        listed: impl IntoIterator<Item = (&'a str, Option<Lease>)>,
        now: Time,
    ) {
        self.listed = now;
        let listed: Vec<(&str, Option<Lease>)> = listed.into_iter().collect();
        let is_there = |k: &KeptKey| listed.contains(&(&*k.key, Some(k.lease)));
        self.keys.retain(|k| now.since(k.put) < READ_AGE_MAX || is_there(k));
    }

    fn find(&self, key: &str) -> Result<usize, usize> {
        self.keys.binary_search_by(|k| (*k.key).cmp(key))
    }
}

/// Returns the keys of facts, which are sorted. Each fact has one owner at a time, but two hosts
/// may take themselves for it, as on the two sides of a cut. So each has a key of its own, which no
/// lease of the other removes, and a host that is no longer the owner leaves its key to expire: the
/// next one may not have put any yet.
pub(crate) fn keys_of_facts(
    prefix: &str,
    facts: impl Iterator<Item = String>,
    host: &str,
    is_owner: impl Fn(&str) -> bool,
) -> Vec<WantedKey> {
    let key = |fact: String| WantedKey {
        key: format!("{prefix}{fact}/{host}"),
        value: b"{}".to_vec(),
        is_owned: is_owner(&fact),
    };
    facts.map(key).collect()
}

#[cfg(test)]
mod tests;
