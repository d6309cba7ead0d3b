//! Routing of the state service's replies to the components that made the calls.

use super::call_kind::{JobCall, LeadershipCall, LogCall, ReadCall, RecordCall};
use super::{CallKind, Controller};
use crate::rejections::{MessageFault, MessageSource};
use model::{CallId, Timestamp};
use wire::state::StateReply;

impl Controller {
    /// Handles a reply of the state service. A reply to a call that is not pending is only counted.
    pub(super) fn handle_state_reply(&mut self, call: CallId, reply: StateReply) {
        let sent_at = self.state_client.complete(call).unwrap_or(self.now);
        let Some(kind) = self.calls.complete(call) else {
            self.counters
                .rejections
                .add(MessageSource::State, MessageFault::Stale);
            return;
        };
        if let StateReply::Refused { throttled } = reply {
            self.counters.state_refused += 1;
            if throttled {
                self.state_client
                    .handle_throttled(self.now, kind.throttled_budget());
            }
        }
        match kind {
            CallKind::Sync(call) => self.handle_sync_reply(call, reply, sent_at),
            CallKind::Lease(call) => self.handle_lease_reply(call, &reply, sent_at),
            CallKind::Registration => self.registration.handle_write_reply(),
            CallKind::Read(call) => self.handle_read_reply(call, reply, sent_at),
            CallKind::Leadership(call) => self.handle_leadership_reply(call, reply),
            CallKind::Log(call) => self.handle_log_reply(call, reply),
            CallKind::Job(call) => self.handle_job_reply(call, reply),
            CallKind::Record(call) => self.handle_record_reply(call, reply),
            // Calls to the cloud and to workers are not answered by the state service.
            CallKind::Fleet(_) | CallKind::Worker(_) => {}
        }
    }

    fn handle_read_reply(&mut self, call: ReadCall, reply: StateReply, sent_at: Timestamp) {
        match call {
            ReadCall::Changes(requests) => self.handle_changes_reply(requests, reply, sent_at),
            ReadCall::TerminalStates(requests) => {
                self.handle_terminal_states_check_reply(requests, reply)
            }
            ReadCall::TerminalRecord { request } => {
                self.handle_terminal_state_reply(request, reply)
            }
        }
    }

    fn handle_leadership_reply(&mut self, call: LeadershipCall, reply: StateReply) {
        match call {
            LeadershipCall::Acquire(partition) => self.handle_acquisition_reply(partition, &reply),
            LeadershipCall::Transfer { partition, to } => {
                self.handle_transfer_reply(partition, to, reply)
            }
            LeadershipCall::RaiseToken {
                partition,
                term,
                token,
            } => self.handle_token_raised(partition, term, token, reply),
            LeadershipCall::Reclaim => self.leader_election.finish_reclaim_write(),
            LeadershipCall::Resign(partition) => self.handle_resignation_reply(partition, reply),
        }
    }

    fn handle_log_reply(&mut self, call: LogCall, reply: StateReply) {
        match call {
            LogCall::ReadPage { partition, term } => self.handle_log_page(partition, term, reply),
            LogCall::Commit { partition, term } => self.handle_commit_reply(partition, term, reply),
            LogCall::VerifyCommit {
                partition,
                term,
                id,
            } => self.handle_commit_verification(partition, term, id, reply),
        }
    }

    fn handle_job_reply(&mut self, call: JobCall, reply: StateReply) {
        match call {
            JobCall::Accept => self.handle_admission_reply(reply),
            JobCall::Cancel => self.handle_cancellation_reply(reply),
            JobCall::Archive { partition, term } => {
                self.handle_terminal_jobs_written(partition, term, reply)
            }
        }
    }

    fn handle_record_reply(&mut self, call: RecordCall, reply: StateReply) {
        match call {
            // The state cache shows whether the write was applied.
            RecordCall::Demand => {}
            RecordCall::Machines => self.handle_machine_records_written(reply),
            RecordCall::MachineTypes => self.fleet_planner.finish_machine_types_write(),
            RecordCall::Tuning { ticket } => self.handle_settings_reply(ticket, reply),
        }
    }
}
