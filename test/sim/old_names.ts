/**
 * Translates inputs, outputs, settings and records between the names of the present core and those of the builds that
 * test/old_versions.txt marks with `names-2`. Only objects in memory were renamed. Bytes on the wire and stored values
 * are the same in both.
 */
import type {
  CloudResult,
  CommandPushResult,
  Input,
  Output,
  PeerMessage,
  StateStoreResult,
} from '../../src/core/messages.js';
import type { JobRecord, MachineRecord } from '../../src/core/records.js';
import type { Settings } from '../../src/core/settings.js';
import type { ClockReading, TeamQuota } from '../../src/core/types.js';

/** New names by the names that they replace. */
type NameMap = Readonly<Record<string, string>>;

/**
 * The renamed fields of an object, with old names as keys and present ones as values. `words` holds the renamed string
 * values of a field, by the old name of the field.
 */
interface Renaming {
  readonly fields: NameMap;
  readonly words?: Readonly<Record<string, NameMap>>;
}

type PlainObject = Readonly<Record<string, unknown>>;

const SPEC: Renaming = {
  fields: {
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
  },
};
const HEARTBEAT: Renaming = {
  fields: {
    addr: 'address',
    session: 'agentEpoch',
    seq: 'sequence',
    token: 'fencingToken',
    noticeS: 'interruptionNoticeSeconds',
  },
};
const TASK: Renaming = {
  fields: { reason: 'exitReason', saved: 'checkpointSaved' },
  words: {
    phase: { fetching: 'pulling', waiting: 'gathering', saving: 'checkpointing' },
    reason: { peers_gone: 'gang_member_lost', alone: 'gang_incomplete', no_room: 'no_capacity' },
  },
};
const RESPONSE: Renaming = {
  fields: { token: 'fencingToken', reportTo: 'redirectTo', retryAfterS: 'retryAfterSeconds' },
};
const COMMAND: Renaming = {
  fields: { graceS: 'gracePeriodSeconds' },
  words: { op: { forget: 'acknowledge' } },
};
const PUSH: Renaming = {
  fields: { addr: 'address', token: 'fencingToken', session: 'agentEpoch' },
};
const STATUS: Renaming = {
  fields: {
    leading: 'isLeader',
    storeOk: 'stateStoreReachable',
    workersHeardMs: 'sinceLastHeartbeatMs',
    reportsPerS: 'heartbeatsPerSecond',
    takesReports: 'prefersDirectHeartbeats',
  },
};
const MACHINE_TYPE: Renaming = {
  fields: {
    memGb: 'memoryGb',
    cacheGb: 'imageCacheGb',
    fetchGbPerS: 'imagePullGbPerSecond',
    price: 'pricePerHour',
    spotPrice: 'spotPricePerHour',
    bootS: 'bootSeconds',
  },
};
const CLOUD_MACHINE: Renaming = {
  fields: { addr: 'address', ageS: 'ageSeconds' },
};
const CLOUD_RESPONSE: Renaming = {
  fields: { types: 'machineTypes', rented: 'provisioned' },
};
const CLOUD_CALL: Renaming = {
  fields: { request: 'idempotencyKey', type: 'machineType' },
  words: { op: { rent: 'provision', delete: 'terminate' } },
};
const INPUT: Renaming = {
  fields: { req: 'requestId', call: 'callId', report: 'heartbeat', from: 'sender' },
  words: {
    kind: {
      user: 'userRequest',
      report: 'heartbeat',
      storeReply: 'stateStoreReply',
      workerReply: 'commandPushReply',
      peer: 'peerMessage',
    },
  },
};
const OUTPUT: Renaming = {
  fields: {
    req: 'requestId',
    call: 'callId',
    op: 'operation',
    answer: 'response',
    to: 'recipient',
    text: 'event',
    notAfter: 'expiresAt',
  },
  words: {
    kind: {
      answerUser: 'userResponse',
      answerWorker: 'heartbeatResponse',
      store: 'stateStoreCall',
      cloud: 'cloudCall',
      worker: 'commandPush',
      peer: 'peerMessage',
    },
  },
};
const MESSAGE: Renaming = {
  fields: { node: 'sender', report: 'heartbeat', answer: 'response' },
  words: { kind: { requestAnswer: 'requestResponse', report: 'heartbeat', reportAnswer: 'heartbeatResponse' } },
};
const SETTINGS: Renaming = {
  fields: {
    node: 'controller',
    nodes: 'controllerCount',
    skewMs: 'clockSkewMs',
    teams: 'teamQuotas',
    store: 'stateStore',
  },
};
const OBJECTIVE: Renaming = {
  fields: { withinS: 'withinSeconds', times: 'deadlineFactor' },
};
const LIMITS: Renaming = {
  fields: { connections: 'maxConnections' },
};
const WORKERS: Renaming = {
  fields: {
    reportMs: 'heartbeatIntervalMs',
    gangWaitMs: 'gangBarrierTimeoutMs',
    gangPeerMs: 'gangPeerTimeoutMs',
    cancelMs: 'cancellationTimeoutMs',
  },
};
const RATES: Renaming = {
  fields: {
    rps: 'requestsPerSecond',
    writeRps: 'writesPerSecond',
    nextRps: 'announcedRequestsPerSecond',
    nextWriteRps: 'announcedWritesPerSecond',
    valueBytes: 'maxValueBytes',
    txnOps: 'maxChangesPerTransaction',
    listLagMs: 'listStalenessMs',
  },
};
const MACHINE_RECORD: Renaming = {
  fields: { addr: 'address', fetchSpeed: 'imagePullSpeed' },
};
const REQUEST: Renaming = { fields: {}, words: { op: { poll: 'query' } } };
const STATE_STORE_CALL: Renaming = { fields: {}, words: { op: { txn: 'compareAndSwap' } } };
const CLOCK_READING: Renaming = {
  fields: { steady: 'monotonic', wall: 'wallClock' },
};

const invertNames = (names: NameMap): NameMap =>
  Object.fromEntries(Object.entries(names).map(([old, present]) => [present, old]));

const invertRenaming = ({ fields, words = {} }: Renaming): Renaming => ({
  fields: invertNames(fields),
  words: Object.fromEntries(Object.entries(words).map(([key, names]) => [fields[key] ?? key, invertNames(names)])),
});

type Rename = (value: unknown, names: Renaming) => PlainObject;

/** Renames the fields of an object, but not those of nested objects. The order of the fields stays the same. */
const toPresent: Rename = (value, { fields, words }) =>
  Object.fromEntries(
    Object.entries(value as PlainObject).map(([key, field]) => {
      const word = typeof field === 'string' ? words?.[key]?.[field] : undefined;
      return [fields[key] ?? key, word ?? field];
    }),
  );
const toOld: Rename = (value, names) => toPresent(value, invertRenaming(names));

const mapEach = (values: unknown, change: (value: unknown) => unknown): unknown => (values as unknown[]).map(change);

/** Applies a change to each named field that the object has, unless the field is null. */
function mapFields(value: object, changes: Readonly<Record<string, (field: unknown) => unknown>>): PlainObject {
  return Object.fromEntries(
    Object.entries(value).map(([key, field]) => [key, field === null ? field : (changes[key]?.(field) ?? field)]),
  );
}

const heartbeat = (value: unknown, rename: Rename): PlainObject =>
  mapFields(rename(value, HEARTBEAT), { tasks: (tasks) => mapEach(tasks, (task) => rename(task, TASK)) });

const withCommands = (value: unknown, names: Renaming, rename: Rename): PlainObject =>
  mapFields(rename(value, names), { commands: (commands) => mapEach(commands, (command) => rename(command, COMMAND)) });

const request = (value: unknown, rename: Rename): PlainObject =>
  mapFields(rename(value, REQUEST), { spec: (spec) => rename(spec, SPEC) });

function message<T extends PlainObject>(value: T, rename: Rename): T {
  return mapFields(rename(value, MESSAGE), {
    status: (status) => rename(status, STATUS),
    request: (asked) => request(asked, rename),
    report: (report) => heartbeat(report, rename),
    heartbeat: (report) => heartbeat(report, rename),
    answer: (answer) => withCommands(answer, RESPONSE, rename),
    response: (answer) => withCommands(answer, RESPONSE, rename),
  }) as T;
}

/** Returns a frame or message between controllers with its old names. */
export const oldMessage = <T extends PlainObject>(present: T): T => message(present, toOld);
/** Returns a message of an old build with its present names. */
export const presentMessage = (old: PeerMessage): PeerMessage => message(old, toPresent);

function oldCloudResponse(value: unknown): unknown {
  return mapFields(toOld(value, CLOUD_RESPONSE), {
    types: (types) => mapEach(types, (type) => toOld(type, MACHINE_TYPE)),
    machines: (machines) => mapEach(machines, (machine) => toOld(machine, CLOUD_MACHINE)),
  });
}

const oldPushResponse = (value: unknown): unknown =>
  mapFields(toOld(value, INPUT), { report: (report) => heartbeat(report, toOld) });

const OLD_FAILURES: Readonly<Record<string, string>> = {
  throttled: 'refused',
  unavailable: 'refused',
  outcomeUnknown: 'unknown',
  noCapacity: 'no_capacity',
  invalidRequest: 'rejected',
};

/** Returns a result with its old names; `change` translates the value of a successful one. */
function oldResult(
  result: StateStoreResult | CloudResult | CommandPushResult,
  change: (value: unknown) => unknown,
): PlainObject {
  if (result.ok) return { ok: true, value: change(result.value) };
  const { code, ...details } = result.error;
  return {
    ok: false,
    why: OLD_FAILURES[code] ?? code,
    ...details,
    ...(code === 'throttled' ? { throttled: true } : {}),
  };
}

/** Translates an input for the core of an old build. Messages from peers stay: its own codec decoded them. */
export function oldInput(input: Input): unknown {
  const old = toOld(input, INPUT);
  switch (input.kind) {
    case 'userRequest':
      return { ...old, request: request(input.request, toOld) };
    case 'heartbeat':
      return { ...old, report: heartbeat(input.heartbeat, toOld) };
    case 'stateStoreReply':
      return { ...old, result: oldResult(input.result, (value) => value) };
    case 'cloudReply':
      return { ...old, result: oldResult(input.result, oldCloudResponse) };
    case 'commandPushReply':
      return { ...old, result: oldResult(input.result, oldPushResponse) };
    case 'start':
    case 'timer':
    case 'peerMessage':
      return old;
  }
}

/** Returns an output of an old build's core with its present names; `changeMessage` translates messages to peers. */
export function presentOutput(
  old: { readonly kind: string },
  changeMessage: (old: PeerMessage) => PeerMessage,
): Output {
  const output = toPresent(old, OUTPUT) as unknown as Output;
  switch (output.kind) {
    case 'userResponse':
    case 'heartbeatResponse':
      return mapFields(output, { response: (answer) => withCommands(answer, RESPONSE, toPresent) }) as Output;
    case 'cloudCall':
      return mapFields(output, { operation: (call) => toPresent(call, CLOUD_CALL) }) as Output;
    case 'commandPush':
      return mapFields(output, { operation: (push) => withCommands(push, PUSH, toPresent) }) as Output;
    case 'peerMessage':
      return { ...output, message: changeMessage(output.message) };
    case 'stateStoreCall':
      return mapFields(output, { operation: (call) => toPresent(call, STATE_STORE_CALL) }) as Output;
    case 'log':
      return output;
  }
}

const oldTeam = ({ name, guaranteed, limit }: TeamQuota): unknown => ({
  name,
  cpus: guaranteed.cpus,
  gpus: guaranteed.gpus,
  cpusMax: limit.cpus,
  gpusMax: limit.gpus,
});

/** Returns settings with the names and structure that an old build's core expects. */
export const oldSettings = (settings: Settings): unknown =>
  mapFields(toOld(settings, SETTINGS), {
    teams: (teams) => (teams as readonly TeamQuota[]).map(oldTeam),
    objectives: (objectives) => mapEach(objectives, (objective) => toOld(objective, OBJECTIVE)),
    limits: (limits) => toOld(limits, LIMITS),
    workers: (workers) => toOld(workers, WORKERS),
    store: (limits) => toOld(limits, RATES),
    cloud: (limits) => toOld(limits, RATES),
  });

/** Returns a clock reading with its old names. */
export const oldClockReading = (now: ClockReading): unknown => toOld(now, CLOCK_READING);

/** Returns a job's record in memory with its old names. */
export const oldJobRecord = <T extends Pick<JobRecord, 'spec'>>(record: T): T => ({
  ...record,
  spec: toOld(record.spec, SPEC) as unknown as T['spec'],
});

/** Returns a machine's record in memory with its old names. */
export const oldMachineRecord = (record: MachineRecord): MachineRecord =>
  toOld(record, MACHINE_RECORD) as unknown as MachineRecord;
