//! Controllers that crash as they are about to have an effect that others would see.

use std::collections::HashMap;

#[derive(Debug)]
struct CrashPoint {
    effects: u64,
    crash_at: u64,
}

/// Crash points by controller.
#[derive(Debug, Default)]
pub(super) struct CrashPoints(HashMap<usize, CrashPoint>);

impl CrashPoints {
    /// A controller is to crash before its nth visible effect from now on.
    pub(super) fn set(&mut self, controller: usize, nth: u64) {
        let point = CrashPoint {
            effects: 0,
            crash_at: nth,
        };
        self.0.insert(controller, point);
    }

    /// Whether a controller has a crash point.
    pub(super) fn is_set(&self, controller: usize) -> bool {
        self.0.contains_key(&controller)
    }

    /// Counts a visible effect of a controller. True if the controller crashes before it; the crash point is
    /// removed then.
    pub(super) fn reaches_crash(&mut self, controller: usize) -> bool {
        let Some(point) = self.0.get_mut(&controller) else {
            return false;
        };
        point.effects += 1;
        if point.effects < point.crash_at {
            return false;
        }
        self.0.remove(&controller);
        true
    }
}
