//! The cluster state, its leader and the members of two regions, step by step.

use super::{Course, Plan, BEFORE, FULL, STEP};
use crate::record::fault::Outcome;
use crate::record::names::{function_name, member_name};
use crate::record::state::retirement;
use stagehoist_cluster_state::{
    ClusterState, ClusterView, Command, CommandOutcome, Leader, LeaseHolder, Member, Micros, Report,
    RetirementMode, SessionResponse, TombstoneState,
};
use std::collections::BTreeMap;

pub(super) struct World {
    plan: Plan,
    record: ClusterState,
    lead: Leader,
    version: u64,
    pub(super) now: Micros,
    confirmed: Vec<(Member, u64, u64)>,
    near: LeaseHolder,
    far: LeaseHolder,
    pub(super) shown: u64,
    view: (u64, usize),
    asked: BTreeMap<String, (Micros, bool)>,
    pub(super) course: Course,
}

impl World {
    pub(super) fn new(plan: Plan) -> World {
        let (near, far) = (LeaseHolder::new(plan.terms), LeaseHolder::new(plan.terms));
        let mut world = World {
            plan,
            record: ClusterState::default(),
            lead: Leader::new(plan.terms, 0),
            version: 0,
            now: 0,
            confirmed: Vec::new(),
            near,
            far,
            shown: 0,
            view: (0, 0),
            asked: BTreeMap::new(),
            course: Course::default(),
        };
        for n in 0..plan.members {
            if let CommandOutcome::Joined(member) =
                world.apply(&Command::Join { name: member_name(n), at_least: 0 })
            {
                world.confirmed.push((member, 0, 0));
            }
        }
        world
    }

    pub(super) fn apply(&mut self, command: &Command) -> CommandOutcome {
        self.version += 1;
        self.record.apply(self.version, command)
    }

    pub(super) fn view_bytes(&mut self) -> Outcome<usize> {
        let view: &ClusterView = &self.record.view;
        if self.view.0 != view.version {
            self.view = (view.version, postcard::to_stdvec(&SessionResponse::View(view.clone()))?.len());
        }
        Ok(self.view.1)
    }

    /// Members of the two regions take turns; the first two are looked at as holders.
    fn is_near(at: usize) -> bool {
        at.is_multiple_of(2)
    }

    pub(super) fn step(&mut self, is_cut: bool) -> Outcome<()> {
        self.now += STEP;
        let now = self.now;
        let hears_majority = self.plan.majority || !is_cut;
        let acked = if hears_majority { now } else { BEFORE };
        let newest = self.record.view.version;
        for at in 0..self.confirmed.len() {
            let near = World::is_near(at);
            if is_cut && !near {
                continue;
            }
            let (member, confirmed, number) = &mut self.confirmed[at];
            *number += 1;
            let holder = match at {
                0 => Some(&mut self.near),
                1 => Some(&mut self.far),
                _ => None,
            };
            let mut report = Report { number: *number, confirmed: *confirmed, ..Report::default() };
            if let Some(holder) = holder {
                report.number = holder.begin_report(now);
                // What it is shown matters here by its number alone.
                holder.on_view(ClusterView { version: newest, ..ClusterView::default() });
                if let Some(grant) = self.lead.report(&self.record, member, &report, now, acked) {
                    holder.on_grant(grant);
                }
            } else {
                self.lead.report(&self.record, member, &report, now, acked);
            }
            // What it is shown with this answer it confirms with the next.
            *confirmed = newest;
        }
        if hears_majority {
            for command in self.lead.due_commands(&self.record, now) {
                self.apply(&command);
            }
        }
        self.look(is_cut)
    }

    fn look(&mut self, is_cut: bool) -> Outcome<()> {
        let seconds = STEP as f64 / 1e6;
        self.course.stale_s += if self.far.status().is_stale(self.now) { seconds } else { 0.0 };
        self.course.stale_near_s += if self.near.status().is_stale(self.now) { seconds } else { 0.0 };
        let bytes = self.view_bytes()?;
        if self.shown != self.record.view.version {
            self.shown = self.record.view.version;
            if is_cut {
                self.course.views_a_second += bytes as f64;
            }
        }
        for (function, (at, is_forced)) in &mut self.asked {
            let state = self.record.view.tombstones.get(function).map(|t| &t.state);
            if !*is_forced && matches!(state, Some(TombstoneState::InForce { .. })) {
                *is_forced = true;
                self.course.force_ms.push((self.now - *at) as f64 / 1000.0);
            }
        }
        Ok(())
    }

    pub(super) fn propose(&mut self, n: usize, mode: RetirementMode) -> Outcome<bool> {
        if self.plan.bounded && self.view_bytes()? > FULL {
            return Ok(false);
        }
        let retirement = retirement(n, mode);
        self.asked.insert(retirement.function.clone(), (self.now, false));
        Ok(!matches!(self.apply(&Command::Retire(retirement)), CommandOutcome::Rejected { .. }))
    }

    pub(super) fn forced(&self, functions: &[usize]) -> usize {
        let state = |n: &usize| self.record.view.tombstones.get(&function_name(*n));
        functions
            .iter()
            .filter(|n| state(n).is_some_and(|t| matches!(t.state, TombstoneState::InForce { .. })))
            .count()
    }

    pub(super) fn excepted(&self) -> usize {
        self.record.view.tombstones.values().map(|t| t.excepted().count()).sum()
    }
}
