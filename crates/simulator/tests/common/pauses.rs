//! Pauses of controllers.

use simulator::Fault;

/// Controllers are paused for less and for more than a lease, one alone, two together, and a successor too.
pub fn pauses(seed: u64) -> Vec<(u64, Fault)> {
    let pause = |at: u64, controller: usize, ms: u64| {
        (
            at + seed * 13,
            Fault::PauseController {
                controller,
                duration_ms: ms,
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
