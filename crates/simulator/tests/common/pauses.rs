//! Pauses of controllers that several test files inject.

use simulator::Fault;

/// Pauses shorter and longer than a lease: of one controller, of two at the same time, and of the successor of a
/// paused leader.
pub fn controller_pauses(seed: u64) -> Vec<(u64, Fault)> {
    let pause = |at_ms: u64, controller: usize, duration_ms: u64| {
        (
            at_ms + seed * 13,
            Fault::PauseController {
                controller,
                duration_ms,
            },
        )
    };
    vec![
        pause(30_000, 0, 20_000),
        pause(36_000, 1, 5_000),
        pause(70_000, 2, 3_000),
        pause(90_000, 1, 14_000),
        pause(90_000, 2, 12_000),
        pause(120_000, 0, 800),
        pause(130_000, 0, 3_600),
    ]
}
