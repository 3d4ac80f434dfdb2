//! Bounds the age of the frames of one connection to the event bus, without I/O.
//!
//! No frame carries the time at which it was written, so a connection whose frames all arrive late looks like one whose
//! frames arrive in time. Two facts bound the age of a frame: the bus answers a request after it was written, and it
//! writes an empty frame each second. The first frame shows how late the connection was when it began; each empty frame
//! is then compared with the time at which it was due.

use stagehoist::Micros;

/// The bus writes an empty frame at this interval.
pub const HEARTBEAT_INTERVAL: Micros = 1_000_000;

/// The expected times of the empty frames of one connection.
#[derive(Clone, Copy, Debug)]
pub struct FrameSchedule {
    requested_at: Micros,
    /// Time from the request to the first frame, which bounds the lateness of that frame; `None` before it.
    response_time: Option<Micros>,
    /// When the last empty frame was written, at the latest time that is certain.
    written_at: Option<Micros>,
}

impl FrameSchedule {
    /// Begins the schedule of a connection on which the request is written at `now` or later.
    pub fn new(now: Micros) -> FrameSchedule {
        FrameSchedule { requested_at: now, response_time: None, written_at: None }
    }

    /// Whether a frame arrived on the connection.
    pub fn has_frames(&self) -> bool {
        self.response_time.is_some()
    }

    /// Records a frame with an event. Only the first frame of a connection tells anything, as events have no schedule.
    pub fn on_event(&mut self, arrived_at: Micros) {
        self.response_time.get_or_insert(arrived_at - self.requested_at);
    }

    /// Records an empty frame, which arrived at `arrived_at` or later and was read at `now`. Returns the time since which
    /// it was written.
    pub fn on_heartbeat(&mut self, arrived_at: Micros, now: Micros) -> Micros {
        let due_at = match (self.written_at, self.response_time) {
            (Some(previous), _) => previous + HEARTBEAT_INTERVAL,
            // The frame came at once, or as late as the first event: it is due within an interval of the request.
            (None, Some(response_time)) => {
                (arrived_at - response_time).min(self.requested_at + HEARTBEAT_INTERVAL)
            }
            // Nothing distinguishes a late connection from one whose first empty frame is due after the interval.
            (None, None) => self.requested_at,
        };
        self.on_event(arrived_at);
        // A bus whose interval is a little shorter is never ahead of the schedule.
        let written_at = due_at.min(now);
        self.written_at = Some(written_at);
        written_at.min(arrived_at)
    }
}

#[cfg(test)]
mod tests;
