import type { Input, Output, PeerMessage } from '../../src/core/messages.js';
import type { JobRecord, MachineRecord } from '../../src/core/records.js';
import type { Settings } from '../../src/core/settings.js';
import type { ClockReading } from '../../src/core/types.js';

/**
 * Translates between the names of the present core and those of the builds that test/old_versions.txt marks with
 * `names-2`. Bytes on the wire and stored values are the same in both: only objects in memory were renamed.
 */

type Names = Readonly<Record<string, string>>;
type Plain = Readonly<Record<string, unknown>>;

/** The old name of each field, and its present one. */
const SPEC: Names = {
  shape: 'kind',
  rank: 'priorityLevel',
  tasks: 'taskCount',
  types: 'allowedMachineTypes',
  memGb: 'memoryGb',
  sameZone: 'singleZone',
  spread: 'zoneSpread',
  spotOk: 'toleratesSpot',
  estimateS: 'estimatedRuntimeSeconds',
  checkpointS: 'checkpointIntervalSeconds',
  saveS: 'checkpointDurationSeconds',
  deadlineS: 'deadlineSeconds',
};
const HEARTBEAT: Names = {
  addr: 'address',
  session: 'agentEpoch',
  seq: 'sequence',
  token: 'fencingToken',
  noticeS: 'interruptionNoticeSeconds',
};
const TASK: Names = { reason: 'exitReason', saved: 'checkpointSaved' };
const RESPONSE: Names = { token: 'fencingToken', reportTo: 'redirectTo', retryAfterS: 'retryAfterSeconds' };
const COMMAND: Names = { graceS: 'gracePeriodSeconds' };
const PUSH: Names = { addr: 'address', token: 'fencingToken', session: 'agentEpoch' };
const STATUS: Names = {
  leading: 'isLeader',
  storeOk: 'stateStoreReachable',
  workersHeardMs: 'sinceLastHeartbeatMs',
  reportsPerS: 'heartbeatsPerSecond',
  takesReports: 'prefersDirectHeartbeats',
};
const MACHINE_TYPE: Names = {
  memGb: 'memoryGb',
  cacheGb: 'imageCacheGb',
  fetchGbPerS: 'imagePullGbPerSecond',
  price: 'pricePerHour',
  spotPrice: 'spotPricePerHour',
  bootS: 'bootSeconds',
};
const CLOUD_MACHINE: Names = { addr: 'address', ageS: 'ageSeconds' };
const CLOUD_RESPONSE: Names = { types: 'machineTypes', rented: 'provisioned' };
const PROVISIONING: Names = { request: 'idempotencyKey', type: 'machineType' };
const INPUT: Names = { req: 'requestId', call: 'callId', report: 'heartbeat', from: 'sender' };
const OUTPUT: Names = {
  req: 'requestId',
  call: 'callId',
  op: 'operation',
  answer: 'response',
  to: 'recipient',
  text: 'event',
  notAfter: 'expiresAt',
};
const MESSAGE: Names = { report: 'heartbeat', answer: 'response' };
const SETTINGS: Names = {
  node: 'controller',
  nodes: 'controllerCount',
  skewMs: 'clockSkewMs',
  teams: 'teamQuotas',
  store: 'stateStore',
};
const TEAM: Names = { cpus: 'guaranteedCpus', gpus: 'guaranteedGpus', cpusMax: 'cpuLimit', gpusMax: 'gpuLimit' };
const OBJECTIVE: Names = { withinS: 'withinSeconds', times: 'deadlineFactor' };
const LIMITS: Names = { connections: 'maxConnections' };
const WORKERS: Names = {
  reportMs: 'heartbeatIntervalMs',
  gangWaitMs: 'gangBarrierTimeoutMs',
  gangPeerMs: 'gangPeerTimeoutMs',
  cancelMs: 'cancellationTimeoutMs',
};
const RATES: Names = {
  rps: 'requestsPerSecond',
  writeRps: 'writesPerSecond',
  nextRps: 'announcedRequestsPerSecond',
  nextWriteRps: 'announcedWritesPerSecond',
  valueBytes: 'maxValueBytes',
  txnOps: 'maxChangesPerTransaction',
  listLagMs: 'listStalenessMs',
};
const MACHINE_RECORD: Names = { addr: 'address', fetchSpeed: 'imagePullSpeed' };
const CLOCK: Names = { steady: 'monotonic', wall: 'wallClock' };

const swapped = (names: Names): Names =>
  Object.fromEntries(Object.entries(names).map(([old, present]) => [present, old]));

type Rename = (value: unknown, names: Names) => Plain;

/** Renames the fields of one object, none below it; each stays in its place. */
const toPresent: Rename = (value, names) =>
  Object.fromEntries(Object.entries(value as Plain).map(([key, field]) => [names[key] ?? key, field]));
const toOld: Rename = (value, names) => toPresent(value, swapped(names));

const each = (values: unknown, change: (value: unknown) => unknown): unknown => (values as unknown[]).map(change);

/** Replaces those of an object's fields that are there and not null. */
function changed(value: object, changes: Readonly<Record<string, (field: unknown) => unknown>>): Plain {
  return Object.fromEntries(
    Object.entries(value).map(([key, field]) => [key, field === null ? field : (changes[key]?.(field) ?? field)]),
  );
}

const heartbeat = (value: unknown, rename: Rename): Plain =>
  changed(rename(value, HEARTBEAT), { tasks: (tasks) => each(tasks, (task) => rename(task, TASK)) });

const withCommands = (value: unknown, names: Names, rename: Rename): Plain =>
  changed(rename(value, names), { commands: (commands) => each(commands, (command) => rename(command, COMMAND)) });

const request = (value: unknown, rename: Rename): Plain =>
  changed(value as object, { spec: (spec) => rename(spec, SPEC) });

function message<T extends Plain>(value: T, rename: Rename): T {
  return changed(rename(value, MESSAGE), {
    status: (status) => rename(status, STATUS),
    request: (asked) => request(asked, rename),
    report: (report) => heartbeat(report, rename),
    heartbeat: (report) => heartbeat(report, rename),
    answer: (answer) => withCommands(answer, RESPONSE, rename),
    response: (answer) => withCommands(answer, RESPONSE, rename),
  }) as T;
}

/** A frame or message between controllers, with its old names. */
export const oldMessage = <T extends Plain>(present: T): T => message(present, toOld);
/** A message of an old build, with its present names. */
export const presentMessage = (old: PeerMessage): PeerMessage => message(old, toPresent);

function oldCloudResult(value: unknown): unknown {
  return changed(toOld(value, CLOUD_RESPONSE), {
    types: (types) => each(types, (type) => toOld(type, MACHINE_TYPE)),
    machines: (machines) => each(machines, (machine) => toOld(machine, CLOUD_MACHINE)),
  });
}

const oldPushResult = (value: unknown): unknown =>
  changed(toOld(value, INPUT), { report: (report) => heartbeat(report, toOld) });

const withValue = (result: unknown, change: (value: unknown) => unknown): unknown =>
  changed(result as object, { value: change });

/** An input as the core of an old build takes it; messages of peers come from its own codec and stay. */
export function oldInput(input: Input): unknown {
  const old = toOld(input, INPUT);
  switch (input.kind) {
    case 'user':
      return { ...old, request: request(input.request, toOld) };
    case 'report':
      return { ...old, report: heartbeat(input.heartbeat, toOld) };
    case 'cloudReply':
      return { ...old, result: withValue(input.result, oldCloudResult) };
    case 'workerReply':
      return { ...old, result: withValue(input.result, oldPushResult) };
    case 'start':
    case 'timer':
    case 'storeReply':
    case 'peer':
      return old;
  }
}

/** An output of an old build's core with its present names; `changeMessage`: what becomes of messages to peers. */
export function presentOutput(
  old: { readonly kind: string },
  changeMessage: (old: PeerMessage) => PeerMessage,
): Output {
  const output = toPresent(old, OUTPUT) as unknown as Output;
  switch (output.kind) {
    case 'answerUser':
    case 'answerWorker':
      return changed(output, { response: (answer) => withCommands(answer, RESPONSE, toPresent) }) as Output;
    case 'cloud':
      return changed(output, { operation: (call) => toPresent(call, PROVISIONING) }) as Output;
    case 'worker':
      return changed(output, { operation: (push) => withCommands(push, PUSH, toPresent) }) as Output;
    case 'peer':
      return { ...output, message: changeMessage(output.message) };
    case 'store':
    case 'log':
      return output;
  }
}

/** Settings as an old build's core takes them. */
export const oldSettings = (settings: Settings): unknown =>
  changed(toOld(settings, SETTINGS), {
    teams: (teams) => each(teams, (team) => toOld(team, TEAM)),
    objectives: (objectives) => each(objectives, (objective) => toOld(objective, OBJECTIVE)),
    limits: (limits) => toOld(limits, LIMITS),
    workers: (workers) => toOld(workers, WORKERS),
    store: (limits) => toOld(limits, RATES),
    cloud: (limits) => toOld(limits, RATES),
  });

export const oldClockReading = (now: ClockReading): unknown => toOld(now, CLOCK);

/** A job's record in memory, with its old names. */
export const oldJobRecord = <T extends Pick<JobRecord, 'spec'>>(record: T): T => ({
  ...record,
  spec: toOld(record.spec, SPEC) as unknown as T['spec'],
});

/** A machine's record in memory, with its old names. */
export const oldMachineRecord = (record: MachineRecord): MachineRecord =>
  toOld(record, MACHINE_RECORD) as unknown as MachineRecord;
