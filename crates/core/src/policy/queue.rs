//! The queue of requests that wait for a worker, by required start and by group.

use super::call::{CallGroup, QueuePosition};
use super::{FrontEnd, SAFETY_MARGIN};
use crate::interface::*;
use std::collections::BTreeSet;
use std::ops::Bound::{Excluded, Unbounded};

/// Minimum number of groups that each batch considers.
const MIN_SWEEP: usize = 2;
/// All groups are considered this many times within the shortest latency objective.
pub(super) const SWEEPS_PER_OBJECTIVE: Micros = 16;

/// Progress of the sweep over the queue's groups.
#[derive(Default)]
pub(super) struct Sweep {
    last_group: CallGroup,
    pub at: Micros,
}

/// Why a request is queued.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum EnqueueReason {
    /// The request is new, or an attempt of it ended.
    CanMeetObjective,
    /// The request can't meet its objective any more, but may earn its late value.
    PastObjective,
}

impl FrontEnd {
    pub(super) fn enqueue(&mut self, id: RequestId, reason: EnqueueReason, now: Micros) {
        let Some(call) = self.pending.get_mut(&id) else { return };
        let objective_start = call.objective_at - call.base_run as Micros;
        let misses_objective = reason == EnqueueReason::PastObjective || objective_start < now;
        let required_start = if misses_objective {
            objective_start - call.objective_at + call.deadline
        } else {
            objective_start
        };
        // A request whose value per work is far below that of recently rejected ones is queued behind the others.
        // This also covers a surge of one tenant.
        let price = self.work_price.at(now, self.shortest_objective);
        let late = misses_objective || call.weight < SAFETY_MARGIN * price;
        let position = QueuePosition { late, required_start, request: id };
        call.queued = Some(position);
        let group = call.group();
        self.queue.insert(position);
        self.queued_by_group.entry(group).or_default().insert(position);
        if reason == EnqueueReason::CanMeetObjective {
            self.changed_groups.insert(group);
        }
    }

    pub(super) fn dequeue(&mut self, id: RequestId) {
        let Some(call) = self.pending.get_mut(&id) else { return };
        let group = call.group();
        let Some(position) = call.queued.take() else { return };
        self.queue.remove(&position);
        let positions = self.queued_by_group.entry(group).or_default();
        positions.remove(&position);
        if positions.is_empty() {
            self.queued_by_group.remove(&group);
        }
    }

    /// Returns the next few groups in turn, so that changes without an event are noticed in time.
    pub(super) fn sweep_groups(&mut self, now: Micros) -> BTreeSet<CallGroup> {
        let Sweep { last_group, at } = self.sweep;
        let interval = (self.shortest_objective / SWEEPS_PER_OBJECTIVE).max(1);
        let due_part = (now - at) as f64 / interval as f64;
        let count = MIN_SWEEP + (self.queued_by_group.len() as f64 * due_part.clamp(0.0, 1.0)) as usize;
        let after = self.queued_by_group.range((Excluded(last_group), Unbounded));
        let before = self.queued_by_group.range(..=last_group);
        let groups: Vec<CallGroup> = after.chain(before).take(count).map(|(group, _)| *group).collect();
        self.sweep = Sweep { last_group: groups.last().copied().unwrap_or(last_group), at: now };
        groups.into_iter().collect()
    }
}
