/** The workers' protocol: heartbeats, responses and pushed commands, by the names that they have on the wire. */
import type { CommandPush, CommandPushResult, HeartbeatResponse } from '../../core/messages.js';
import type { Command, ExitReason, Heartbeat, TaskPhase, TaskStatus } from '../../core/types.js';
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
  // Written out field by field: spreading an object into this one took eight of ten microseconds of reading a heartbeat.
  return {
    job,
    index: Number(number),
    attempt: uint64Field(fields, 'hop'),
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

/** Reads a heartbeat; throws `WireError`, naming the field, where it is malformed. */
export function decodeHeartbeat(raw: unknown): Heartbeat {
  const fields = expectMap(raw, 'report');
  const tasks = listField(fields, 'chicks').map(decodeTaskStatus);
  rejectDuplicateTasks(tasks);
  return {
    machine: textField(fields, 'perch'),
    address: textField(fields, 'addr'),
    type: textField(fields, 'breed'),
    zone: textField(fields, 'grove'),
    spot: booleanField(fields, 'loaners'),
    agentEpoch: uint64Field(fields, 'roost'),
    sequence: uint64Field(fields, 'chirp'),
    fencingToken: uint64Field(fields, 'crest'),
    interruptionNoticeSeconds: optionalAmountField(fields, 'warning_s'),
    tasks,
  };
}

function encodeCommand(command: Command): WireMap {
  const chick = `${command.job}/${command.index}`;
  switch (command.op) {
    case 'start':
      return { call: 'run', chick, hop: command.attempt };
    case 'stop':
      return { call: 'stop', chick, hop: command.attempt, settle_s: command.gracePeriodSeconds };
    case 'acknowledge':
      return { call: 'reap', chick, hop: command.attempt };
  }
}

/** Returns the body of a response to a heartbeat. */
export function encodeHeartbeatResponse(response: HeartbeatResponse): WireMap {
  switch (response.status) {
    case 200:
      return { crest: response.fencingToken, calls: response.commands.map(encodeCommand) };
    case 421:
      return response.redirectTo === null ? {} : { nest: response.redirectTo };
    case 503:
      return {};
  }
}

/** Returns the body of a request that pushes commands. */
export function encodePushedCommands({ fencingToken, agentEpoch, commands }: CommandPush): WireMap {
  return { crest: fencingToken, roost: agentEpoch, calls: commands.map(encodeCommand) };
}

/**
 * Reads the response to pushed commands: the worker's heartbeat, whether or not it executed them. Throws `WireError` if that is
 * malformed.
 */
export function decodePushedCommandsResponse(status: number, body: unknown): CommandPushResult {
  if (status !== 200 && status !== 409) return { ok: false, error: { code: 'invalidRequest' } };
  return { ok: true, value: { executed: status === 200, heartbeat: decodeHeartbeat(body) } };
}
