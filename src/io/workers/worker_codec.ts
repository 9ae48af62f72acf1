import type { CommandPush, CommandPushResult, HeartbeatResponse } from '../../core/messages.js';
import type {
  AgentEpoch,
  Attempt,
  Command,
  ExitReason,
  FencingToken,
  Heartbeat,
  MachineId,
  MachineTypeName,
  SequenceNumber,
  TaskPhase,
  TaskStatus,
  ZoneName,
} from '../../core/types.js';
import {
  booleanField,
  enumField,
  expectMap,
  listField,
  optionalAmountField,
  textField,
  uint64Field,
  type WireMap,
} from '../wire/fields.js';
import { parseJobId } from '../wire/job_id.js';
import { WireError } from '../wire/wire_error.js';

/** Workers' reports, the answers to them, and direct commands, by the names that they have on the wire. */
const TASK_PHASES: Readonly<Record<string, TaskPhase>> = {
  pulling: 'pulling',
  gathering: 'gathering',
  running: 'running',
  flushing: 'checkpointing',
  exited: 'exited',
};
const EXIT_REASONS: Readonly<Record<string, ExitReason>> = {
  done: 'done',
  stopped: 'stopped',
  mates_gone: 'gang_member_lost',
  alone: 'gang_incomplete',
  error: 'error',
  full: 'no_capacity',
  in_use: 'busy',
  no_such: 'unknown',
};
const TASK_NUMBER = /^\d{1,6}$/;

/** Where workers send heartbeats. */
export const HEARTBEAT_PATH = '/agent/beat';
/** Where workers take pushed commands. */
export const COMMANDS_PATH = '/commands';

function decodeTaskStatus(raw: unknown): TaskStatus {
  const fields = expectMap(raw, 'chick');
  const phase = enumField(fields, 'mood', TASK_PHASES);
  const name = textField(fields, 'chick');
  const slash = name.lastIndexOf('/');
  const job = parseJobId(name.slice(0, slash));
  const number = name.slice(slash + 1);
  if (!job || !TASK_NUMBER.test(number)) throw new WireError('chick is not a task');
  // Written out field by field: spreading an object into this one took eight of ten microseconds of reading a report.
  return {
    job,
    index: Number(number),
    attempt: uint64Field(fields, 'hop') as Attempt,
    phase,
    exitReason: phase === 'exited' ? enumField(fields, 'cause', EXIT_REASONS) : null,
    checkpointSaved: fields.kept === true,
  };
}

/** The same start twice in one list is no list: which of the two holds can't be told. */
function rejectDuplicateTasks(tasks: readonly TaskStatus[]): void {
  if (tasks.length < 2) return;
  const seen = new Set(tasks.map(({ job, index, attempt }) => `${job}/${index}/${attempt}`));
  if (seen.size < tasks.length) throw new WireError('chicks names a task twice');
}

/** Reads a worker's report; throws `WireError`, naming the field, where it is malformed. */
export function decodeHeartbeat(raw: unknown): Heartbeat {
  const fields = expectMap(raw, 'report');
  const tasks = listField(fields, 'chicks').map(decodeTaskStatus);
  rejectDuplicateTasks(tasks);
  return {
    machine: textField(fields, 'perch') as MachineId,
    address: textField(fields, 'addr'),
    type: textField(fields, 'breed') as MachineTypeName,
    zone: textField(fields, 'grove') as ZoneName,
    spot: booleanField(fields, 'loaners'),
    agentEpoch: uint64Field(fields, 'roost') as AgentEpoch,
    sequence: uint64Field(fields, 'chirp') as SequenceNumber,
    fencingToken: uint64Field(fields, 'crest') as FencingToken,
    interruptionNoticeSeconds: optionalAmountField(fields, 'warning_s'),
    tasks,
  };
}

function encodeCommand(command: Command): WireMap {
  const chick = `${command.job}/${command.index}`;
  if (command.op === 'start') return { call: 'run', chick, hop: command.attempt };
  if (command.op === 'acknowledge') return { call: 'reap', chick, hop: command.attempt };
  return { call: 'stop', chick, hop: command.attempt, settle_s: command.gracePeriodSeconds };
}

export function encodeHeartbeatResponse(answer: HeartbeatResponse): WireMap {
  if (answer.status === 200) return { crest: answer.fencingToken, calls: answer.commands.map(encodeCommand) };
  if (answer.status === 421 && answer.redirectTo !== null) return { nest: answer.redirectTo };
  return {};
}

export function encodePushedCommands(call: CommandPush): WireMap {
  return { crest: call.fencingToken, roost: call.agentEpoch, calls: call.commands.map(encodeCommand) };
}

/** The answer to direct commands: the worker's report, whether or not it executed them. */
export function decodePushedCommandsResponse(status: number, body: unknown): CommandPushResult {
  if (status !== 200 && status !== 409) return { ok: false, error: { code: 'invalidRequest' } };
  return { ok: true, value: { executed: status === 200, heartbeat: decodeHeartbeat(body) } };
}
