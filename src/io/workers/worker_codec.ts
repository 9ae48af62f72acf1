/** Translates heartbeats, their responses and pushed commands to and from the wire names of the workers' protocol. */
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

/** The path on the controller to which workers send heartbeats. */
export const HEARTBEAT_PATH = '/agent/beat';
/** The path on a worker to which the controller pushes commands. */
export const COMMANDS_PATH = '/commands';

function decodeTaskStatus(raw: unknown): TaskStatus {
  const fields = expectMap(raw, 'chick');
  const phase = enumField(fields, 'mood', TASK_PHASES);
  const name = textField(fields, 'chick');
  const slash = name.lastIndexOf('/');
  const job = parseJobId(name.slice(0, slash));
  const taskNumber = name.slice(slash + 1);
  if (!job || !TASK_NUMBER.test(taskNumber)) throw new WireError('chick is not a task');
  // The object is written out field by field. Spreading another object into it took 8 of the 10 µs of decoding a
  // heartbeat.
  return {
    job,
    index: Number(taskNumber),
    attempt: uint64Field(fields, 'hop'),
    phase,
    exitReason: phase === 'exited' ? enumField(fields, 'cause', EXIT_REASONS) : null,
    checkpointSaved: fields.kept === true,
  };
}

/**
 * Throws `WireError` if the list contains the same attempt of a task twice, because it is unknown which of the two
 * entries is right.
 */
function rejectDuplicateTasks(tasks: readonly TaskStatus[]): void {
  if (tasks.length < 2) return;
  const seen = new Set(tasks.map(({ job, index, attempt }) => `${job}/${index}/${attempt}`));
  if (seen.size < tasks.length) throw new WireError('chicks names a task twice');
}

/** Decodes a heartbeat. Throws `WireError`, which names the field, if the heartbeat is malformed. */
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

/** Returns the body of the response to a heartbeat. */
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

/** Returns the body of the request that pushes commands to a worker. */
export function encodePushedCommands({ fencingToken, agentEpoch, commands }: CommandPush): WireMap {
  return { crest: fencingToken, roost: agentEpoch, calls: commands.map(encodeCommand) };
}

/**
 * Decodes the response to pushed commands. Status 200 means that the worker executed them, and status 409 that it did
 * not. In both cases the body is the worker's heartbeat. Any other status gives `invalidRequest`. Throws `WireError` if
 * the heartbeat is malformed.
 */
export function decodePushedCommandsResponse(status: number, body: unknown): CommandPushResult {
  if (status !== 200 && status !== 409) return { ok: false, error: { code: 'invalidRequest' } };
  return { ok: true, value: { executed: status === 200, heartbeat: decodeHeartbeat(body) } };
}
