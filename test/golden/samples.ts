/** Sample values of the core's types for the golden files. Each field of a value differs from the others. */
import { RangeSet } from '../../src/core/jobs/range_set.js';
import type { JobRecord, MachineRecord } from '../../src/core/records.js';
import type {
  AgentEpoch,
  Attempt,
  ExitReason,
  FencingToken,
  Heartbeat,
  ImageName,
  JobId,
  JobKind,
  JobSpec,
  MachineId,
  MachineTypeName,
  PriorityLevel,
  SequenceNumber,
  TaskPhase,
  TaskStatus,
  TeamName,
  WallClockTime,
  ZoneName,
} from '../../src/core/types.js';
import { decodeJobSpec } from '../../src/io/users/user_codec.js';
import { wireJob } from '../support/sample_messages.js';

export const gangSpec: JobSpec = {
  id: 'job-17' as JobId,
  jobClass: 'train',
  team: 'vision' as TeamName,
  kind: 'gang',
  priorityLevel: 2,
  taskCount: 16,
  cpus: 8.5,
  gpus: 1,
  memoryGb: 64.25,
  image: 'img-07' as ImageName,
  imageGb: 6.2,
  allowedMachineTypes: ['g8', 'g4'] as MachineTypeName[],
  zone: 'a' as ZoneName,
  singleZone: true,
  zoneSpread: false,
  toleratesSpot: true,
  estimatedRuntimeSeconds: 240,
  checkpointIntervalSeconds: 30,
  checkpointDurationSeconds: 4,
  deadlineSeconds: 900,
};
const arraySpec: JobSpec = {
  ...gangSpec,
  id: 'job-18' as JobId,
  kind: 'array',
  priorityLevel: 0,
  taskCount: 100_000,
  allowedMachineTypes: null,
  zone: null,
  singleZone: false,
  zoneSpread: true,
  toleratesSpot: false,
  deadlineSeconds: null,
};
const serviceSpec: JobSpec = {
  ...arraySpec,
  id: 'job-00019' as JobId,
  kind: 'service',
  priorityLevel: 3,
  taskCount: 3,
  allowedMachineTypes: [],
  estimatedRuntimeSeconds: 0,
  checkpointIntervalSeconds: 0,
};
/** A specification decoded from a submission, with its fields in another order. */
const submittedSpec: JobSpec = decodeJobSpec(wireJob);

const jobKinds: JobKind[] = ['array', 'gang', 'service'];
const priorityLevels: PriorityLevel[] = [0, 1, 2, 3];
const booleans = [false, true];

// The return types are explicit, so that a rename of a field by the compiler also renames it here.
const gangWith = (kind: JobKind, priorityLevel: PriorityLevel): JobSpec => ({ ...gangSpec, kind, priorityLevel });
const arrayWithFlags = (singleZone: boolean, zoneSpread: boolean, toleratesSpot: boolean): JobSpec => ({
  ...arraySpec,
  singleZone,
  zoneSpread,
  toleratesSpot,
});

/** Specifications with every value of each enumeration and flag. */
export const specs: Readonly<Record<string, JobSpec>> = {
  gang: gangSpec,
  array: arraySpec,
  service: serviceSpec,
  submitted: submittedSpec,
  ...Object.fromEntries(
    jobKinds.flatMap((shape) => priorityLevels.map((rank) => [`${shape} of rank ${rank}`, gangWith(shape, rank)])),
  ),
  ...Object.fromEntries(
    [0, 1, 2, 3, 4, 5, 6, 7].map((bits) => [
      `flags ${bits}`,
      arrayWithFlags((bits & 4) !== 0, (bits & 2) !== 0, (bits & 1) !== 0),
    ]),
  ),
};

const ranges = (...pairs: [number, number][]): RangeSet => RangeSet.from(pairs);
const freshRecord: Omit<JobRecord, 'spec'> = {
  submittedAt: 1_790_000_000_123 as WallClockTime,
  state: 'accepted',
  startTerm: 0,
  startZone: null,
  startZones: null,
  done: ranges(),
};
const fresh = (spec: JobSpec): JobRecord => ({ ...freshRecord, spec });
const zones = ['a', 'b'] as ZoneName[];

/** Records of jobs in each state. */
export const jobRecords: Readonly<Record<string, JobRecord>> = {
  ...Object.fromEntries(Object.entries(specs).map(([name, spec]) => [name, fresh(spec)])),
  started: { ...freshRecord, spec: arraySpec, startTerm: 7, startZone: 'a' as ZoneName },
  'started in zones': {
    ...freshRecord,
    spec: gangSpec,
    startTerm: 7,
    startZone: 'b' as ZoneName,
    startZones: zones,
  },
  'started in no zone yet': { ...freshRecord, spec: gangSpec, startTerm: 7, startZones: [] },
  'partly done': { ...freshRecord, spec: arraySpec, startTerm: 2, done: ranges([0, 3], [8, 8], [20, 99_999]) },
  done: { ...freshRecord, spec: { ...arraySpec, taskCount: 100 }, state: 'done', startTerm: 3, done: ranges([0, 99]) },
  cancelled: { ...freshRecord, spec: submittedSpec, state: 'cancelled', startTerm: 3, done: ranges([1, 1]) },
  'cancelled service': { ...freshRecord, spec: serviceSpec, state: 'cancelled', startTerm: 4, startZones: zones },
};

/** An array with 400 separate ranges of done tasks, which are more than fit into most values. */
export const scatteredRecord: JobRecord = {
  ...freshRecord,
  spec: arraySpec,
  startTerm: 12,
  startZone: 'a' as ZoneName,
  startZones: zones,
  done: RangeSet.from(Array.from({ length: 400 }, (_, i) => [i * 3, i * 3 + (i % 2)])),
};

export const machineRecords: readonly MachineRecord[] = [
  {
    id: 'i-000231' as MachineId,
    address: '10.1.0.232:9000',
    type: 'g8' as MachineTypeName,
    zone: 'a' as ZoneName,
    spot: true,
    images: ['img-1', 'img-2', 'img-3'] as ImageName[],
    imagePullSpeed: 0.83,
  },
  {
    id: 'i-000232' as MachineId,
    address: '',
    type: 'c8' as MachineTypeName,
    zone: 'b' as ZoneName,
    spot: false,
    images: [],
    imagePullSpeed: 1,
  },
];

const phases: TaskPhase[] = ['pulling', 'gathering', 'running', 'checkpointing'];
const reasons: ExitReason[] = [
  'done',
  'stopped',
  'gang_member_lost',
  'gang_incomplete',
  'error',
  'no_capacity',
  'busy',
  'unknown',
];

function task(index: number, checkpointSaved: boolean, phase: TaskPhase, exitReason: ExitReason | null): TaskStatus {
  return {
    job: gangSpec.id,
    index,
    attempt: BigInt(checkpointSaved ? 5 : 6) as Attempt,
    phase,
    exitReason,
    checkpointSaved,
  };
}

/** Tasks in each phase and with each exit reason, with and without a saved checkpoint. */
const taskStatuses: readonly TaskStatus[] = booleans.flatMap((saved) => [
  ...phases.map((phase, i) => task(i, saved, phase, null)),
  ...reasons.map((reason, i) => task(10 + i, saved, 'exited', reason)),
]);

export const fullHeartbeat: Heartbeat = {
  machine: 'i-000231' as MachineId,
  address: '10.1.0.232:9000',
  type: 'g8' as MachineTypeName,
  zone: 'a' as ZoneName,
  spot: true,
  agentEpoch: 3n as AgentEpoch,
  sequence: ((1n << 53n) + 1n) as SequenceNumber,
  fencingToken: ((1n << 64n) - 1n) as FencingToken,
  interruptionNoticeSeconds: 7.5,
  tasks: taskStatuses,
};
export const emptyHeartbeat: Heartbeat = {
  ...fullHeartbeat,
  spot: false,
  agentEpoch: 0n as AgentEpoch,
  sequence: 1n as SequenceNumber,
  fencingToken: 41n as FencingToken,
  interruptionNoticeSeconds: null,
  tasks: [],
};
