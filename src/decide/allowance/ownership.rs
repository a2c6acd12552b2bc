//! Which host keeps an allowance, and the allowances that this host keeps.

use std::sync::Arc;
use std::time::Duration;

use twox_hash::XxHash64;

use crate::config::Team;
use crate::decide::allowance::bucket::Bucket;
use crate::decide::allowance::{Limit, Reply};
use crate::time::Time;

/// The number of hosts among which owners are chosen. Bounds the connections of each host.
const CANDIDATES_MAX: usize = 8;
/// The time for which a host that has just become an owner asks the one that may have been it before.
const HANDOVER_TIME: Duration = Duration::from_millis(1_000);
/// The time for which a host counts as no owner after it has said so.
const NOT_OWNER_TIME: Duration = Duration::from_millis(300);
/// The number of hosts that are tried to find out whether another has ended.
const WITNESSES_MAX: usize = 24;
/// The time after which a host that refuses connections is looked into again.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// The time for which a host counts as ended after it has refused a connection.
const REFUSED_TIME: Duration = Duration::from_millis(1_000);

/// The time after a host has become able to own allowances in which others that started with it may not
/// be yet. It takes over nothing in their place.
const SETTLED_LATELY: Duration = Duration::from_millis(500);

/// The time for which a host keeps the state of an allowance that it may own again in a moment.
const LAPSE_MAX: Duration = Duration::from_secs(2);
/// The time in which hosts beyond a cut may not all be known to be there.
const CAUTION_TIME: Duration = Duration::from_secs(5);
/// The part of an allowance that is granted in that time.
const CAUTIOUS_PART: f64 = 0.5;

/// What a host knows of the fleet.
#[derive(Clone, Debug, Default)]
pub(crate) struct FleetView {
    /// The hosts that are alive, this one included, each with the incarnation of its process.
    pub(crate) alive: Vec<(u64, Arc<str>)>,
    /// The hosts that have said that they are ending.
    pub(crate) ended: Vec<Arc<str>>,
    /// The number of known hosts, whether alive or not.
    pub(crate) known: usize,
    /// Whether this host may own allowances: it has settled, is current and is not leaving.
    pub(crate) may_own: bool,
    /// Whether no other host has been heard of for a moment, though this one knows some: others may
    /// take it for ended before it takes them for dead.
    pub(crate) is_isolated: bool,
    /// The number of pauses of this process.
    pub(crate) pauses: u64,
}

/// What a host is to an allowance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Role {
    /// It keeps the allowance.
    Owner,
    /// It begins to keep it, and asks the named host first, which may still do so.
    Successor(Arc<str>),
    /// The named host keeps it.
    Other(Arc<str>),
    /// No owner is known.
    None,
}

/// An allowance that this host keeps.
#[derive(Debug)]
struct Owned {
    team: Arc<str>,
    bucket: Bucket,
    /// Until when the owner before is asked.
    handover_until: Time,
    /// Until when this host grants no more than [`CAUTIOUS_PART`], since the owner before may be alive
    /// beyond a cut.
    cautious_until: Time,
    /// Since when this host is not the owner, if that may be for a moment.
    lapsed: Option<Time>,
}

/// The choice of the owners, and the allowances that this host keeps.
///
/// Owners are chosen among the hosts that have run the longest, so that neither a host that joins nor
/// one that restarts takes an allowance over.
#[derive(Debug)]
pub(crate) struct Ownership {
    host: Arc<str>,
    view: FleetView,
    /// The hosts that are alive, from the one that has run the longest.
    elders: Vec<Arc<str>>,
    /// Hosts that are no owners at present, and until when.
    excluded: Vec<(Arc<str>, Time)>,
    /// Hosts that may be alive although they refuse connections, and until when they aren't looked
    /// into again.
    doubted: Vec<(Arc<str>, Time)>,
    /// Since when this host may own allowances.
    settled: Option<Time>,
    /// When an owner was last found dead without a sign that its process has ended.
    lost: Option<Time>,
    /// Sorted by team.
    owned: Vec<Owned>,
}

impl Ownership {
    /// Creates the state of a host that knows no fleet yet.
    pub(crate) fn new(host: Arc<str>) -> Ownership {
        Ownership {
            host,
            view: FleetView::default(),
            elders: Vec::new(),
            excluded: Vec::new(),
            doubted: Vec::new(),
            settled: None,
            lost: None,
            owned: Vec::new(),
        }
    }

    /// Updates what is known of the fleet, and takes up the allowances among `teams` that this host
    /// now owns; these are sorted by name. A host that was paused doesn't know what it has missed, and
    /// begins anew.
    pub(crate) fn update(&mut self, mut view: FleetView, teams: &[Arc<Team>], now: Time) {
        if !view.may_own || view.pauses != self.view.pauses {
            self.owned.clear();
        }
        if !view.may_own {
            self.settled = None;
        } else if self.settled.is_none() {
            self.settled = Some(now);
            self.excluded.clear();
        }
        self.excluded.retain(|(_, until)| *until > now);
        self.doubted.retain(|(_, until)| *until > now);
        view.alive.sort_unstable();
        let is_present =
            |h: &Arc<str>| view.ended.contains(h) || view.alive.iter().any(|(_, other)| other == h);
        if self.elders.iter().take(CANDIDATES_MAX).any(|h| !is_present(h)) {
            self.lost = Some(now);
        }
        self.elders = view.alive.iter().map(|(_, host)| host.clone()).collect();
        self.view = view;
        for team in teams {
            if let Some(limit) = Limit::of(team) {
                self.role(&team.name, limit, now);
            }
        }
        self.owned.retain(|o| teams.binary_search_by(|t| t.name.cmp(&o.team)).is_ok());
    }

    /// Returns the number of known hosts.
    pub(crate) fn known_hosts(&self) -> usize {
        self.view.known
    }

    /// Returns what this host is to the allowance of a team, and begins or ceases to keep it.
    pub(crate) fn role(&mut self, team: &str, limit: Limit, now: Time) -> Role {
        let owner = self.owner(team, &[], now).cloned();
        let found = self.owned.binary_search_by(|o| (*o.team).cmp(team));
        if !self.view.may_own || owner.as_ref() != Some(&self.host) {
            if let Ok(at) = found {
                let lapsed = *self.owned[at].lapsed.get_or_insert(now);
                if now.since(lapsed) > LAPSE_MAX {
                    self.owned.remove(at);
                }
            }
            return owner.filter(|o| *o != self.host).map_or(Role::None, Role::Other);
        }
        let at = found.unwrap_or_else(|at| {
            let mut bucket = Bucket::start(limit.scaled(self.part()), now);
            bucket.resume(now + HANDOVER_TIME);
            let is_doubtful = self.lost.is_some_and(|at| now.since(at) < CAUTION_TIME);
            let owned = Owned {
                team: team.into(),
                bucket,
                handover_until: now + HANDOVER_TIME,
                cautious_until: if is_doubtful { now + CAUTION_TIME } else { now },
                lapsed: None,
            };
            self.owned.insert(at, owned);
            at
        });
        let owned = &mut self.owned[at];
        if owned.lapsed.take().is_some() {
            owned.bucket.resume(now.max(owned.handover_until));
        }
        match self.owner(team, &[&self.host], now) {
            Some(before) if now < self.owned[at].handover_until => Role::Successor(before.clone()),
            Some(_) => Role::Owner,
            None => {
                self.end_handover(team, now);
                Role::Owner
            }
        }
    }

    /// Ends the handover of an allowance to this host.
    pub(crate) fn end_handover(&mut self, team: &str, now: Time) {
        if let Ok(at) = self.owned.binary_search_by(|o| (*o.team).cmp(team)) {
            let owned = &mut self.owned[at];
            if now < owned.handover_until {
                owned.handover_until = now;
                owned.bucket.resume(now);
            }
        }
    }

    /// Grants a part of an allowance, if this host keeps it.
    pub(crate) fn grant(&mut self, team: &str, limit: Limit, wanted: u32, now: Time) -> Reply {
        let part = self.part();
        let Ok(at) = self.owned.binary_search_by(|o| (*o.team).cmp(team)) else {
            return Reply::NotOwner;
        };
        let owned = &mut self.owned[at];
        let is_cautious = now < owned.cautious_until;
        let limit = limit.scaled(if is_cautious { part.min(CAUTIOUS_PART) } else { part });
        Reply::Granted(owned.bucket.grant(limit, wanted, now))
    }

    /// Returns whether this host has become able to own allowances only a moment ago.
    pub(crate) fn is_settled_lately(&self, now: Time) -> bool {
        self.settled.is_some_and(|at| now.since(at) < SETTLED_LATELY)
    }

    /// Records that a host has said to be no owner.
    pub(crate) fn set_not_owner(&mut self, host: &Arc<str>, now: Time) {
        self.excluded.push((host.clone(), now + NOT_OWNER_TIME));
    }

    /// Returns whether this host would keep an allowance if `owner` had ended.
    pub(crate) fn is_heir(&self, team: &str, owner: &Arc<str>, now: Time) -> bool {
        let others = self.present(now).filter(|h| *h != owner).take(CANDIDATES_MAX);
        best(others, team) == Some(&self.host)
    }

    /// Returns hosts that show whether one that refuses connections has ended: the elders, and others
    /// that differ from host to host. `None` if there are none or this was looked into a moment ago.
    pub(crate) fn begin_check(&mut self, host: &Arc<str>, now: Time) -> Option<Vec<Arc<str>>> {
        if self.doubted.iter().any(|(h, until)| h == host && *until > now) {
            return None;
        }
        self.doubted.push((host.clone(), now + CHECK_INTERVAL));
        let mut others: Vec<&Arc<str>> =
            self.elders.iter().filter(|h| **h != *host && **h != self.host).collect();
        let elders = others.len().min(CANDIDATES_MAX);
        let seed = XxHash64::oneshot(0, self.host.as_bytes());
        others[elders..].sort_by_cached_key(|h| XxHash64::oneshot(seed, h.as_bytes()));
        others.truncate(WITNESSES_MAX);
        (!others.is_empty()).then(|| others.into_iter().cloned().collect())
    }

    /// Records that a host's process has ended.
    pub(crate) fn set_ended(&mut self, host: &Arc<str>, now: Time) {
        self.doubted.retain(|(h, _)| h != host);
        self.excluded.push((host.clone(), now + REFUSED_TIME));
    }

    /// Returns whether this host keeps any allowance.
    pub(crate) fn keeps_any(&self) -> bool {
        self.owned.iter().any(|o| o.lapsed.is_none())
    }

    /// Returns the hosts that may reach the owner of an allowance where this host doesn't.
    pub(crate) fn intermediaries(&self, owner: &str, now: Time) -> Vec<Arc<str>> {
        let is_other = |h: &&Arc<str>| ***h != *owner && **h != self.host;
        self.candidates(now).filter(is_other).cloned().collect()
    }

    /// Returns the owner of an allowance, apart from some hosts, by rendezvous hashing.
    pub(super) fn owner(&self, team: &str, except: &[&Arc<str>], now: Time) -> Option<&Arc<str>> {
        best(self.candidates(now).filter(|h| !except.contains(h)), team)
    }

    fn candidates(&self, now: Time) -> impl Iterator<Item = &Arc<str>> {
        self.present(now).take(CANDIDATES_MAX)
    }

    /// Returns the hosts that may be owners at present, from the one that has run the longest.
    fn present(&self, now: Time) -> impl Iterator<Item = &Arc<str>> {
        let is_excluded =
            move |h: &Arc<str>| self.excluded.iter().any(|(e, until)| e == h && *until > now);
        self.elders.iter().filter(move |h| !is_excluded(h))
    }

    /// Returns the part of the fleet that can be asking this host: hosts that said they are ending ask
    /// nobody, others may have an owner of their own beyond a cut.
    fn part(&self) -> f64 {
        let present = match self.view.is_isolated {
            true => 1,
            false => self.view.alive.len() + self.view.ended.len(),
        };
        (present as f64 / self.view.known.max(1) as f64).min(1.0)
    }
}

/// Returns the first of some hosts for a team by rendezvous hashing.
fn best<'a>(hosts: impl Iterator<Item = &'a Arc<str>>, team: &str) -> Option<&'a Arc<str>> {
    let score =
        |host: &Arc<str>| XxHash64::oneshot(XxHash64::oneshot(0, host.as_bytes()), team.as_bytes());
    hosts.max_by_key(|host| (score(host), (*host).clone()))
}
