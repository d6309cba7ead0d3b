//! Batches of commands fit into one message, with the kills first and none of them repeated before its turn.

use super::*;
use model::{Attempt, JobId, TaskId};
use std::collections::BTreeSet;

const KILLS: u32 = 2_000;

fn due(index: u32, command: impl Fn(String) -> Command) -> DueCommand {
    let task = TaskId {
        job: JobId(1),
        index,
    };
    DueCommand {
        id: TaskAttempt {
            task,
            attempt: Attempt(1),
        },
        command: command(task.to_string()),
        is_overdue: false,
    }
}

fn launch(index: u32) -> DueCommand {
    due(index, |task| Command::Launch { task, attempt: 1 })
}

fn kill(index: u32) -> DueCommand {
    due(index, |task| Command::Stop {
        task,
        attempt: 1,
        grace_s: 0.0,
    })
}

fn ids(batch: &CommandBatch) -> BTreeSet<TaskAttempt> {
    batch.commands.iter().map(|due| due.id).collect()
}

/// Guards against kills that wait for ever because each message carries the same first ones.
#[test]
fn unanswered_batches_of_kills_cover_all_tasks_in_turn() {
    let mut delivery = StopDelivery::default();
    let all = || -> Vec<DueCommand> {
        let launches = (KILLS..KILLS + 10).map(launch);
        launches.chain((0..KILLS).map(kill)).collect()
    };
    let mut sent = BTreeSet::new();
    for round in 0..3 {
        let batch = delivery.next_batch(all(), usize::MAX / 2, Timestamp::from_millis(round));
        let bytes: usize = batch
            .commands
            .iter()
            .map(|due| command_bytes(&due.command))
            .sum();
        assert!(bytes <= MAX_COMMANDS_BYTES && !batch.is_complete);
        let first = batch.commands.first().map(DueCommand::class);
        assert_eq!(first, Some(CommandClass::Kill));
        sent.extend(ids(&batch));
    }
    assert!((0..KILLS).all(|index| sent.contains(&kill(index).id)));
}

/// Guards against a heartbeat that is too long because more tasks exit than it has room for.
#[test]
fn kills_wait_for_room_in_the_heartbeat_unless_they_are_overdue() {
    let room = 10 * KILLED_ENTRY_GROWTH_BYTES;
    let now = Timestamp::from_millis(1);
    let mut delivery = StopDelivery::default();
    let first = delivery.next_batch((0..30).map(kill).collect(), room, now);
    assert_eq!(first.commands.len(), 10);
    // The first ten may be on their way, so there is no room for others yet.
    let second = delivery.next_batch((0..30).map(kill).collect(), room, now);
    assert_eq!(ids(&second), ids(&first));
    let overdue = (0..30).map(|index| DueCommand {
        is_overdue: true,
        ..kill(index)
    });
    let third = delivery.next_batch(overdue.collect(), room, now);
    assert_eq!(third.commands.len(), 30);
}

/// Guards against kills that wait for ever because those before them are sent again and again in vain.
#[test]
fn kills_without_effect_give_way_to_others() {
    let room = 10 * KILLED_ENTRY_GROWTH_BYTES;
    let mut delivery = StopDelivery::default();
    let mut sent = BTreeSet::new();
    for round in 0..40 {
        let now = Timestamp::from_millis(round * 500);
        sent.extend(ids(&delivery.next_batch(
            (0..30).map(kill).collect(),
            room,
            now,
        )));
    }
    assert_eq!(sent.len(), 30);
}
