//! Requests under which upstreams have ended, and which are blocked.
//!
//! A request that ends each upstream that runs it comes again and again, at any host. What hosts see
//! is shared, so that its upstreams are counted across the fleet.
//!
//! Harmless requests are lost with the upstreams too, all at once if many end for another reason. An
//! answer to a copy shows that the request was not the cause. So that a blocked request can be
//! answered, a copy is sent on trial twice, after increasing times.
//!
//! The same words may end upstreams when one caller sends them and do no harm when another does, so
//! that a copy is one of the same caller, as far as hosts can tell callers apart.

use std::hash::Hasher;
use std::net::IpAddr;
use std::time::Duration;

use derive_more::Display;
use http::uri::PathAndQuery;
use twox_hash::XxHash64;

use crate::time::Time;

/// The number of upstreams that must have ended under a request, one after another, before it is
/// blocked.
const CRASH_THRESHOLD: usize = 3;
/// The time after which an upstream's end no longer counts, and for which a request is blocked after
/// it last came.
pub const SUSPICION_PERIOD: Duration = Duration::from_secs(600);
/// The time in which no upstream that has ended is back under its name. Hosts tell each other of an end
/// with small errors of its time.
const RESTART_TIME_MIN: Duration = Duration::from_millis(250);
/// The ends of upstreams that are remembered for a request.
const CRASHES_KEPT: usize = 32;
/// The shortest time between the ends of two upstreams that count as two episodes.
const EPISODE_GAP: Duration = Duration::from_secs(5);
/// The time after the last episode at which a copy of a blocked request is sent on trial, by the
/// number of episodes. There is no trial after more.
const TRIAL_DELAYS: [Duration; 2] = [Duration::from_secs(10), Duration::from_secs(60)];
/// The number of suspects that are kept: for two requests of each of a thousand teams.
const SUSPECTS_MAX: usize = 2_048;

/// A hash by which copies of a request are recognised.
#[derive(Clone, Copy, Debug, Display, Default, PartialEq, Eq, PartialOrd, Ord)]
#[display("{_0:016x}")]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Returns the fingerprint of those copies that bear a mark.
    fn marked(self, mark: Mark, value: &[u8]) -> Fingerprint {
        let mut hasher = XxHash64::with_seed(self.0);
        hasher.write(&[mark as u8]);
        hasher.write(value);
        Fingerprint(hasher.finish())
    }
}

/// What a host knows of the caller of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Caller<'a> {
    /// The team whose key the request bears.
    Team(&'a str),
    /// There are teams, but the request bears no key of theirs, since its route is public.
    Keyless(Option<IpAddr>),
    /// There are no teams. The address is unknown if an earlier release has passed the request on.
    Nameless(Option<IpAddr>),
}

/// What tells some copies of a request from others.
#[derive(Clone, Copy, Debug)]
enum Mark {
    Team = 1,
    Keyless = 2,
    Address = 3,
    NoQuery = 4,
}

/// The fingerprints of a request: by its whole path, and by its path without the query, as the copies
/// of a request may differ there.
///
/// Without a team, one caller may come from several addresses, and several callers from one. So the
/// copies from all addresses are counted together, and those from one address by themselves besides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fingerprints {
    /// Over method, host, path, query or the lack of one, and body, and over the team if there are
    /// teams.
    pub exact: Fingerprint,
    /// The same for any query or none.
    pub any_query: Fingerprint,
    /// Both for the copies from one address. `None` if a team sends them.
    of_address: Option<[Fingerprint; 2]>,
    /// Both as earlier releases have them, which don't tell callers apart. `None` if there are no teams,
    /// where this release counts under those too.
    of_earlier_release: Option<[Fingerprint; 2]>,
}

impl Fingerprints {
    /// Returns the fingerprints of a request.
    pub fn new(
        caller: Caller<'_>,
        method: &str,
        host: &str,
        path: &PathAndQuery,
        body: &[u8],
    ) -> Fingerprints {
        let of = |path: &str| {
            let mut hasher = XxHash64::default();
            for part in [method.as_bytes(), host.as_bytes(), path.as_bytes(), body] {
                hasher.write(&part.len().to_le_bytes());
                hasher.write(part);
            }
            Fingerprint(hasher.finish())
        };
        let any_query = of(path.path());
        let with_query = path.query().map(|_| of(path.as_str()));
        let exact = with_query.unwrap_or_else(|| any_query.marked(Mark::NoQuery, &[]));
        let of_anyone = [exact, any_query];
        let marked = |mark, value: &[u8]| of_anyone.map(|f| f.marked(mark, value));
        let (of_callers, address) = match caller {
            Caller::Team(name) => (marked(Mark::Team, name.as_bytes()), None),
            Caller::Keyless(address) => (marked(Mark::Keyless, &[]), address),
            Caller::Nameless(address) => (of_anyone, address),
        };
        let address = address.map(|a| a.to_canonical().to_string());
        let of_earlier_release = [with_query.unwrap_or(any_query), any_query];
        Fingerprints {
            exact: of_callers[0],
            any_query: of_callers[1],
            of_address: address.map(|a| marked(Mark::Address, a.as_bytes())),
            of_earlier_release: (of_callers != of_anyone).then_some(of_earlier_release),
        }
    }

    /// Returns those under which this release counts the copies.
    pub fn iter(self) -> impl Iterator<Item = Fingerprint> {
        let exact = (self.exact != self.any_query).then_some(self.exact);
        let of_address = self.of_address.into_iter().flatten();
        std::iter::once(self.any_query).chain(exact).chain(of_address)
    }
}

impl From<Fingerprint> for Fingerprints {
    /// Returns the fingerprints of a request of which only one is known.
    fn from(fingerprint: Fingerprint) -> Fingerprints {
        Fingerprints {
            exact: fingerprint,
            any_query: fingerprint,
            of_address: None,
            of_earlier_release: None,
        }
    }
}

/// What a host has seen of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestEvent {
    /// An upstream has ended under a copy of it, see [`crash_hash`].
    UpstreamCrashed(u64),
    /// An upstream has answered it.
    Answered,
    /// The host has blocked it.
    Blocked,
}

/// A [`RequestEvent`] with its request and its time, as hosts tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestReport {
    /// The request.
    pub fingerprint: Fingerprint,
    /// What was seen of it.
    pub event: RequestEvent,
    /// When the copy was sent.
    pub sent: Time,
    /// When its upstream ended or answered.
    pub at: Time,
}

/// The decision on a request that has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BlockDecision {
    /// It is not blocked.
    Allow,
    /// It is blocked, and is not sent.
    Refuse,
    /// It is blocked, and is sent once to see whether it is answered.
    Trial,
}

/// The end of an upstream under a request.
#[derive(Clone, Copy, Debug)]
struct Crash {
    /// A hash of the upstream's name and the copy, see [`crash_hash`].
    hash: u64,
    /// When the copy was sent.
    sent: Time,
    at: Time,
    /// The number of the report.
    number: u64,
}

impl Crash {
    /// Returns whether the copy was sent after the upstream of another one had ended.
    fn is_after(&self, other: &Crash) -> bool {
        let is_same_upstream = self.hash as u32 == other.hash as u32;
        let from = if is_same_upstream { other.at + RESTART_TIME_MIN } else { other.at };
        self.sent >= from
    }
}

/// A request under which upstreams have ended.
#[derive(Clone, Debug)]
struct Suspect {
    fingerprint: Fingerprint,
    /// The upstreams that have ended, at most [`CRASHES_KEPT`].
    crashes: Vec<Crash>,
    /// When an upstream last answered it, with the number of the report.
    answered: Option<(Time, u64)>,
    /// When another host had blocked it, as a peer or the registry first told, with the number of
    /// the report.
    listed: Option<(Time, u64)>,
    /// When it last came to this host while it was blocked.
    refused: Option<Time>,
    /// When this host last sent a copy on trial.
    tried: Option<Time>,
    /// The copies that this host has sent on trial since the last answer.
    trials: usize,
}

impl Suspect {
    fn is_over_threshold(&self) -> bool {
        self.listed.is_some() || self.crashes_in_turn() >= CRASH_THRESHOLD
    }

    /// Returns the number of upstreams that have ended one after another: each copy that counts was
    /// sent after the upstream of the one before had ended. Copies in flight together are lost
    /// together, whichever request their upstreams end under. An upstream that has started again, under
    /// its name or another, may end again.
    fn crashes_in_turn(&self) -> usize {
        let mut last: Option<&Crash> = None;
        let mut count = 0;
        let mut crashes: Vec<&Crash> = self.crashes.iter().collect();
        crashes.sort_by_key(|c| c.at);
        for crash in crashes {
            if last.is_none_or(|last| crash.is_after(last)) {
                last = Some(crash);
                count += 1;
            }
        }
        count
    }

    /// Returns the time of the newest event; zero if there is none.
    fn last_seen(&self) -> Time {
        let crash = self.crashes.iter().map(|c| c.at).max();
        let answer = self.answered.map(|(at, _)| at);
        let listed = self.listed.map(|(at, _)| at);
        crash.max(answer).max(listed).max(self.refused).unwrap_or_default()
    }

    /// Returns whether a copy of a blocked request is to be sent on trial.
    fn is_trial_due(&self, now: Time) -> bool {
        let mut times: Vec<Time> = self.crashes.iter().map(|c| c.at).collect();
        times.sort_unstable();
        let gaps = times.windows(2).filter(|w| w[1].since(w[0]) >= EPISODE_GAP).count();
        let last = times.last().copied().max(self.tried);
        match (TRIAL_DELAYS.get(gaps.max(self.trials)), last) {
            (Some(delay), Some(last)) => now.since(last) >= *delay,
            _ => false,
        }
    }

    /// Records that an upstream has ended. Returns whether this is news. If there are too many, only
    /// the first one of an episode is.
    fn record_crash(&mut self, crash: Crash) -> bool {
        let last = self.crashes.iter().map(|c| c.at).max().unwrap_or_default();
        let is_full = self.crashes.len() == CRASHES_KEPT;
        let is_news = self.answered.is_none_or(|(answered, _)| answered < crash.at)
            && self.crashes.iter().all(|c| c.hash != crash.hash)
            && (!is_full || crash.at.since(last) >= EPISODE_GAP);
        if !is_news {
            return false;
        }
        if is_full {
            self.crashes.sort_by_key(|c| c.at);
            self.crashes.remove(1);
        }
        self.crashes.push(crash);
        true
    }

    /// Records that another host had blocked the request at a time. Returns whether this is news.
    fn record_block(&mut self, at: Time, number: u64) -> bool {
        let is_news =
            self.listed.is_none() && self.answered.is_none_or(|(answered, _)| answered < at);
        if is_news {
            self.listed = Some((at, number));
        }
        is_news
    }

    /// Records that an upstream has answered. Returns whether this is news: whether it clears the
    /// request of something.
    fn record_answer(&mut self, at: Time, number: u64) -> bool {
        let is_news = self.crashes.iter().any(|c| c.at <= at)
            || self.listed.is_some_and(|(listed, _)| listed <= at);
        if is_news {
            self.answered = Some((at, number));
            self.trials = 0;
            self.crashes.retain(|c| c.at > at);
            self.listed = self.listed.filter(|(listed, _)| *listed > at);
        }
        is_news
    }

    fn is_blocked(&self, now: Time) -> bool {
        self.is_over_threshold() && now.since(self.last_seen()) < SUSPICION_PERIOD
    }
}

/// The requests under which upstreams have ended, sorted by fingerprint.
#[derive(Clone, Debug, Default)]
pub struct PoisonRequests {
    rows: Vec<Suspect>,
    /// The number of the newest report.
    newest: u64,
}

impl PoisonRequests {
    /// Records a report of this host or a peer. Returns whether it is news.
    ///
    /// An answer clears a request of everything that was seen of it before.
    pub fn record(&mut self, report: &RequestReport, now: Time) -> bool {
        let &RequestReport { fingerprint, event, sent, at } = report;
        if now.since(at) >= SUSPICION_PERIOD {
            return false;
        }
        let number = self.newest + 1;
        let is_news = match (event, self.find(fingerprint)) {
            (RequestEvent::Answered, Err(_)) => false,
            (RequestEvent::Answered, Ok(i)) => self.rows[i].record_answer(at, number),
            (RequestEvent::Blocked, _) => self.suspect(fingerprint).record_block(at, number),
            (RequestEvent::UpstreamCrashed(hash), _) => {
                self.suspect(fingerprint).record_crash(Crash { hash, sent, at, number })
            }
        };
        self.newest += u64::from(is_news);
        is_news
    }

    /// Decides on a request that has come. One that comes while it is blocked stays so for longer.
    /// `is_owner` returns whether this host is the one to send a copy on trial.
    pub fn decide(
        &mut self,
        fingerprints: Fingerprints,
        now: Time,
        is_owner: impl FnOnce() -> bool,
    ) -> BlockDecision {
        let rows = self.blocking_rows(fingerprints, now);
        if rows.is_empty() {
            return BlockDecision::Allow;
        }
        rows.iter().for_each(|&i| self.rows[i].refused = Some(now));
        if rows.iter().any(|&i| !self.rows[i].is_trial_due(now)) || !is_owner() {
            return BlockDecision::Refuse;
        }
        for &i in &rows {
            self.rows[i].tried = Some(now);
            self.rows[i].trials += 1;
        }
        BlockDecision::Trial
    }

    /// Returns the fingerprint under which a request is blocked, on trial or not. `None` if it is not
    /// blocked.
    pub fn blocking(&self, fingerprints: Fingerprints, now: Time) -> Option<Fingerprint> {
        let row = self.blocking_rows(fingerprints, now).into_iter().next();
        row.map(|i| self.rows[i].fingerprint)
    }

    /// Returns the rows by which a request is blocked.
    ///
    /// What earlier releases report names no caller. So it blocks a request only if an upstream has
    /// ended under a copy of the same caller too.
    fn blocking_rows(&self, fingerprints: Fingerprints, now: Time) -> Vec<usize> {
        let is_blocked = |f: Fingerprint| self.is_blocked(f, now);
        let of_earlier_release = fingerprints.of_earlier_release.into_iter().flatten();
        let is_blocked_for_anyone = of_earlier_release.into_iter().any(is_blocked);
        let rows = fingerprints.iter().filter_map(|f| self.find(f).ok());
        let blocks = |i: &usize| {
            let suspect = &self.rows[*i];
            suspect.is_blocked(now) || is_blocked_for_anyone && !suspect.crashes.is_empty()
        };
        rows.filter(blocks).collect()
    }

    /// Returns whether the request with a fingerprint is blocked.
    pub fn is_blocked(&self, fingerprint: Fingerprint, now: Time) -> bool {
        self.find(fingerprint).is_ok_and(|i| self.rows[i].is_blocked(now))
    }

    /// Returns whether an upstream has ended under a request since it was last answered.
    pub fn contains(&self, fingerprint: Fingerprint) -> bool {
        let row = self.find(fingerprint).ok().map(|i| &self.rows[i]);
        row.is_some_and(|s| !s.crashes.is_empty() || s.listed.is_some())
    }

    /// Returns whether a request under which an upstream had ended has been answered since.
    pub fn is_cleared(&self, fingerprint: Fingerprint) -> bool {
        self.find(fingerprint).is_ok_and(|i| self.rows[i].answered.is_some())
    }

    /// Returns the blocked requests.
    pub fn blocked(&self, now: Time) -> impl Iterator<Item = Fingerprint> {
        self.rows.iter().filter(move |s| s.is_blocked(now)).map(|s| s.fingerprint)
    }

    /// Returns all reports with their numbers, which increase with each new one: those on the
    /// requests under which the most upstreams have ended come first.
    pub fn reports(&self) -> Vec<(u64, RequestReport)> {
        let mut rows: Vec<&Suspect> = self.rows.iter().collect();
        rows.sort_by_key(|s| std::cmp::Reverse(s.crashes.len()));
        let of_suspect = |s: &Suspect| {
            let fingerprint = s.fingerprint;
            let report = |event, sent, at| RequestReport { fingerprint, event, sent, at };
            let crashes = s.crashes.iter();
            let crashes = crashes
                .map(|c| (c.number, report(RequestEvent::UpstreamCrashed(c.hash), c.sent, c.at)));
            let answer = s.answered.map(|(at, n)| (n, report(RequestEvent::Answered, at, at)));
            let block = s.listed.map(|(at, n)| (n, report(RequestEvent::Blocked, at, at)));
            block.into_iter().chain(crashes).chain(answer).collect::<Vec<_>>()
        };
        rows.into_iter().flat_map(of_suspect).collect()
    }

    /// Returns the number of the newest report; 0 before the first.
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// Forgets reports that no longer count, and if there are too many suspects, those under which
    /// the fewest upstreams have ended, the oldest ones first.
    pub fn expire(&mut self, now: Time) {
        for suspect in self.rows.iter_mut().filter(|s| !s.is_over_threshold()) {
            suspect.crashes.retain(|c| now.since(c.at) < SUSPICION_PERIOD);
        }
        self.rows.retain(|s| now.since(s.last_seen()) < SUSPICION_PERIOD);
        if self.rows.len() <= SUSPECTS_MAX {
            return;
        }
        let order = |s: &Suspect| (s.is_over_threshold(), s.crashes_in_turn(), s.last_seen());
        self.rows.sort_by_cached_key(|s| std::cmp::Reverse(order(s)));
        self.rows.truncate(SUSPECTS_MAX);
        self.rows.sort_unstable_by_key(|s| s.fingerprint);
    }

    /// Returns the row of a request, and adds one if there is none.
    fn suspect(&mut self, fingerprint: Fingerprint) -> &mut Suspect {
        let i = self.find(fingerprint).unwrap_or_else(|i| {
            let row = Suspect {
                fingerprint,
                crashes: Vec::new(),
                answered: None,
                listed: None,
                refused: None,
                tried: None,
                trials: 0,
            };
            self.rows.insert(i, row);
            i
        });
        &mut self.rows[i]
    }

    fn find(&self, fingerprint: Fingerprint) -> Result<usize, usize> {
        self.rows.binary_search_by_key(&fingerprint, |s| s.fingerprint)
    }
}

/// Returns the hash by which reports name the end of an upstream under a copy of a request: the low half
/// tells the upstream, whose later processes may bear the same name, and the high half the copy. `copy`
/// differs for each copy and host.
pub fn crash_hash(service: &str, upstream: &str, copy: &str) -> u64 {
    let upstream = XxHash64::oneshot(XxHash64::oneshot(0, service.as_bytes()), upstream.as_bytes());
    XxHash64::oneshot(0, copy.as_bytes()) << 32 | u64::from(upstream as u32)
}
