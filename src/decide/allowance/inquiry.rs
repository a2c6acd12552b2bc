//! The way of a question to the owner of an allowance.

use std::sync::Arc;

use crate::decide::allowance::ownership::{Ownership, Role};
use crate::decide::allowance::{Limit, Reply};
use crate::time::Time;

/// The number of times that a question may be passed on. One that has been passed on so often is
/// answered by the host that gets it.
pub(crate) const HOPS_MAX: u8 = 2;
/// The number of hosts that one host asks for one question.
const TRIES_MAX: u32 = 8;
/// The number of hosts that are asked to pass a question on.
const DETOURS_MAX: usize = 2;

/// The reason why a host gave no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AskError {
    /// It refuses connections: its process has ended, or a cut lies between.
    Refused,
    /// It hasn't replied in time, or can't be reached.
    Silent,
}

/// The next step of an inquiry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// Ask a host, with this number of hops.
    Ask(Arc<str>, u8),
    /// Try to connect to these hosts, and call [`Inquiry::on_check`].
    Check(Vec<Arc<str>>),
    /// The inquiry is finished.
    Done(Reply),
}

/// The host that was asked last.
#[derive(Clone, Debug)]
enum Asked {
    /// The one that may have kept the allowance before this host.
    Predecessor(Arc<str>),
    Owner(Arc<str>),
    /// One that is to pass the question on to the owner.
    Intermediary,
    /// Others than the named host, which refuses connections.
    Witnesses {
        host: Arc<str>,
        is_predecessor: bool,
    },
}

/// A question about an allowance, on its way to the owner.
#[derive(Debug)]
pub(crate) struct Inquiry {
    team: Arc<str>,
    limit: Limit,
    wanted: u32,
    hops: u8,
    tries: u32,
    asked: Option<Asked>,
    /// The hosts that may yet be asked to pass it on.
    detours: Vec<Arc<str>>,
}

impl Inquiry {
    /// Creates an inquiry for `wanted` tokens that has been passed on `hops` times. `limit` is the
    /// allowance as this host knows it.
    pub(crate) fn new(team: Arc<str>, limit: Limit, wanted: u32, hops: u8) -> Inquiry {
        Inquiry { team, limit, wanted, hops, tries: 0, asked: None, detours: Vec::new() }
    }

    /// Returns the first step, or the next one after what a host has replied changes who the owner
    /// is.
    pub(crate) fn next(&mut self, ownership: &mut Ownership, now: Time) -> Step {
        self.tries += 1;
        let may_ask = self.hops < HOPS_MAX && self.tries <= TRIES_MAX;
        match ownership.role(&self.team, self.limit, now) {
            Role::Owner => Step::Done(ownership.grant(&self.team, self.limit, self.wanted, now)),
            Role::Successor(before) if may_ask => {
                self.asked = Some(Asked::Predecessor(before.clone()));
                Step::Ask(before, HOPS_MAX)
            }
            Role::Other(owner) if may_ask => {
                self.asked = Some(Asked::Owner(owner.clone()));
                Step::Ask(owner, self.hops + 1)
            }
            // A successor is the owner in a moment.
            Role::Other(_) | Role::Successor(_) => Step::Done(Reply::Unreachable),
            Role::None => Step::Done(Reply::NotOwner),
        }
    }

    /// Returns the next step after a host has replied, or hasn't.
    pub(crate) fn on_reply(
        &mut self,
        reply: Result<Reply, AskError>,
        ownership: &mut Ownership,
        now: Time,
    ) -> Step {
        if let Ok(Reply::Granted(grant)) = reply {
            return Step::Done(Reply::Granted(grant));
        }
        match self.asked.take() {
            None | Some(Asked::Witnesses { .. }) => Step::Done(Reply::Unreachable),
            Some(Asked::Predecessor(before)) => match reply {
                // It may be granting to others.
                Err(AskError::Silent) => Step::Done(Reply::Unreachable),
                Err(AskError::Refused) => self.check(before, true, ownership, now),
                Ok(_) => {
                    ownership.end_handover(&self.team, now);
                    self.next(ownership, now)
                }
            },
            Some(Asked::Owner(owner)) => match reply {
                Err(AskError::Refused) if ownership.is_heir(&self.team, &owner, now) => {
                    self.check(owner, false, ownership, now)
                }
                // The host that is to keep the allowance next finds out for itself.
                Err(AskError::Refused) => {
                    ownership.set_ended(&owner, now);
                    self.next(ownership, now)
                }
                // It will be, a moment later than this host.
                Ok(Reply::NotOwner) if ownership.is_settled_lately(now) => {
                    Step::Done(Reply::Unreachable)
                }
                Ok(Reply::NotOwner) => {
                    ownership.set_not_owner(&owner, now);
                    self.next(ownership, now)
                }
                Err(AskError::Silent) => self.pass_on(&owner, ownership, now),
                _ => Step::Done(Reply::Unreachable),
            },
            Some(Asked::Intermediary) => self.next_detour(),
        }
    }

    /// Returns the next step before this host takes an allowance over from one that refuses
    /// connections: whether others accept them tells the end of a process from a cut.
    fn check(
        &mut self,
        host: Arc<str>,
        is_predecessor: bool,
        ownership: &mut Ownership,
        now: Time,
    ) -> Step {
        let Some(witnesses) = ownership.begin_check(&host, now) else {
            return self.on_doubt(&host, is_predecessor, ownership, now);
        };
        self.asked = Some(Asked::Witnesses { host, is_predecessor });
        Step::Check(witnesses)
    }

    /// Returns the next step after the hosts of [`Step::Check`] were tried; `all_accept` says whether
    /// each of them has accepted a connection.
    pub(crate) fn on_check(
        &mut self,
        all_accept: bool,
        ownership: &mut Ownership,
        now: Time,
    ) -> Step {
        let Some(Asked::Witnesses { host, is_predecessor }) = self.asked.take() else {
            return Step::Done(Reply::Unreachable);
        };
        // Beyond a cut there would be others.
        if !all_accept {
            return self.on_doubt(&host, is_predecessor, ownership, now);
        }
        ownership.set_ended(&host, now);
        if is_predecessor {
            ownership.end_handover(&self.team, now);
        }
        self.next(ownership, now)
    }

    /// Returns the next step if a host that refuses connections may be alive beyond a cut.
    fn on_doubt(
        &mut self,
        host: &str,
        is_predecessor: bool,
        ownership: &Ownership,
        now: Time,
    ) -> Step {
        match is_predecessor {
            true => Step::Done(Reply::Unreachable),
            false => self.pass_on(host, ownership, now),
        }
    }

    /// Returns the next step if this host can't reach the owner: others may.
    fn pass_on(&mut self, owner: &str, ownership: &Ownership, now: Time) -> Step {
        if self.hops > 0 {
            return Step::Done(Reply::Unreachable);
        }
        self.detours = ownership.intermediaries(owner, now);
        self.detours.truncate(DETOURS_MAX);
        self.next_detour()
    }

    fn next_detour(&mut self) -> Step {
        let Some(host) = self.detours.pop() else { return Step::Done(Reply::Unreachable) };
        self.asked = Some(Asked::Intermediary);
        Step::Ask(host, 1)
    }
}
