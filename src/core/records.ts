/** The records that are persisted in the state store, and their codec. */
import { RangeSet } from './jobs/range_set.js';
import type { ImageName, JobId, JobSpec, MachineId, MachineTypeName, WallClockTime, ZoneName } from './types.js';

/*
 * No other state survives a restart of the process. During a rolling upgrade, earlier and later releases read the
 * stored names and versions. They must therefore stay the same when names in the code change.
 */

/** The key of the leader's record. It is attached to the leader's lease and exists as long as the lease. */
export const LEADER_KEY = 'leader';
export const TERM_KEY = 'term';
/** Prefix of the keys of job records. */
export const JOB_PREFIX = 'j/';
/** Prefix of the keys of the machine registry's pages. */
export const MACHINE_PREFIX = 'm/';
export const jobKey = (id: JobId): string => JOB_PREFIX + id;
/** Returns the key of a page of the machine registry. Pages are numbered from 0. */
export const pageKey = (index: number): string => MACHINE_PREFIX + index;

const JOB_RECORD_VERSION = 1;
const PAGE_VERSION = 2;
/** Margin below the size limit of a value, because the state store may count bytes slightly differently. */
const SPARE_BYTES = 48;

/** The persisted state of a job. Whether it is running is not persisted. */
export type JobState = 'accepted' | 'done' | 'cancelled';
const JOB_STATES: readonly unknown[] = ['accepted', 'done', 'cancelled'] satisfies JobState[];

/** The persisted record of a job. */
export interface JobRecord {
  readonly spec: JobSpec;
  readonly submittedAt: WallClockTime;
  readonly state: JobState;
  /** The term in which the leader first permitted a start of its tasks. 0 if none was permitted yet. */
  readonly startTerm: number;
  readonly startZone: ZoneName | null;
  /** The zones in which tasks may have been started (src/recovery/start_zones.ts). Null if they are not recorded. */
  readonly startZones: readonly ZoneName[] | null;
  /** Indices of the completed tasks. */
  readonly done: RangeSet;
}

/** The persisted record of a machine. */
export interface MachineRecord {
  readonly id: MachineId;
  readonly address: string;
  readonly type: MachineTypeName;
  readonly zone: ZoneName;
  readonly spot: boolean;
  /** Images known to be cached on the machine. This is a hint, so that a new leader need not discover them again. */
  readonly images: readonly ImageName[];
  /** Image pull speed relative to the nominal speed of the machine type. This is a hint, too. */
  readonly imagePullSpeed: number;
}

/** The record of the current leader, its lease and its term. */
export interface LeaderRecord {
  readonly node: string;
  readonly incarnation: string;
  readonly lease: string;
  readonly term: number;
}

/** The machines of a registry page that could be decoded. */
export interface DecodedMachinePage {
  readonly machines: readonly MachineRecord[];
  /** False if the page also contains entries that could not be decoded. Such a page must not be overwritten. */
  readonly complete: boolean;
}

/** Returns the size of a value as the state store counts it: the bytes of its JSON form in UTF-8. */
export const storedBytes = (value: unknown): number => Buffer.byteLength(JSON.stringify(value));

/** A stored value whose fields have yet to be checked. */
type StoredFields = Record<string, unknown>;

/** The stored form of a job record. */
interface StoredJob extends StoredFields {
  readonly spec: StoredFields;
  readonly done: [number, number][];
}

const isFields = (value: unknown): value is StoredFields =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

/** Maps the field names of `JobSpec` to the names under which the fields are stored. */
const STORED_SPEC_NAMES = {
  id: 'id',
  jobClass: 'jobClass',
  team: 'team',
  kind: 'shape',
  priorityLevel: 'rank',
  taskCount: 'tasks',
  cpus: 'cpus',
  gpus: 'gpus',
  memoryGb: 'memGb',
  image: 'image',
  imageGb: 'imageGb',
  allowedMachineTypes: 'types',
  zone: 'zone',
  singleZone: 'sameZone',
  zoneSpread: 'spread',
  toleratesSpot: 'spotOk',
  estimatedRuntimeSeconds: 'estimateS',
  checkpointIntervalSeconds: 'checkpointS',
  checkpointDurationSeconds: 'saveS',
  deadlineSeconds: 'deadlineS',
} as const satisfies { readonly [Name in keyof JobSpec]: string };

/** A job spec under its stored field names. A record of another release may lack fields or have additional ones. */
type StoredSpec = {
  readonly [Name in keyof typeof STORED_SPEC_NAMES as (typeof STORED_SPEC_NAMES)[Name]]: JobSpec[Name];
};

/**
 * The stored form of each job spec. A spec that was read is written back unchanged. Fields that a later release added
 * are preserved, and missing fields are not added.
 */
const storedSpecs = new WeakMap<JobSpec, StoredFields>();

/** Returns the stored form of a spec: the one that was read, or else its fields in the order of the spec. */
function encodeSpec(spec: JobSpec): StoredFields {
  const known = storedSpecs.get(spec);
  if (known) return known;
  const stored: StoredFields = {};
  for (const [name, value] of Object.entries(spec)) {
    stored[STORED_SPEC_NAMES[name as keyof JobSpec]] = value;
  }
  storedSpecs.set(spec, stored);
  return stored;
}

/**
 * Decodes a stored job spec without validating it, since specs are validated once, when the job is submitted. The
 * fields are assigned one by one because a loop over the names takes ten times as long, and every controller decodes
 * every record that is written.
 */
function decodeSpec(stored: StoredFields): JobSpec {
  const fields = stored as StoredFields & StoredSpec;
  const spec: JobSpec = {
    id: fields.id,
    jobClass: fields.jobClass,
    team: fields.team,
    kind: fields.shape,
    priorityLevel: fields.rank,
    taskCount: fields.tasks,
    cpus: fields.cpus,
    gpus: fields.gpus,
    memoryGb: fields.memGb,
    image: fields.image,
    imageGb: fields.imageGb,
    allowedMachineTypes: fields.types,
    zone: fields.zone,
    singleZone: fields.sameZone,
    zoneSpread: fields.spread,
    toleratesSpot: fields.spotOk,
    estimatedRuntimeSeconds: fields.estimateS,
    checkpointIntervalSeconds: fields.checkpointS,
    checkpointDurationSeconds: fields.saveS,
    deadlineSeconds: fields.deadlineS,
  };
  storedSpecs.set(spec, stored);
  return spec;
}

/**
 * Returns the stored form of a job record, limited to `valueBytes`. Completed tasks that do not fit are left out. Their
 * results stay with the workers that hold them. If a job has ended and its record does not fit, because a smaller limit
 * has come into force, the texts of its spec are left out, so that its end can be stored.
 */
export function encodeJob(record: JobRecord, valueBytes: number): StoredJob {
  const { state, done } = record;
  const value = encodeWithoutDone(record, encodeSpec(record.spec));
  if (state === 'accepted' && done.count === 0) return value;
  const bytesLeft = valueBytes - SPARE_BYTES - storedBytes(value);
  if (state === 'accepted' || bytesLeft >= 0) return { ...value, done: done.pairs(bytesLeft) };
  const shortened = encodeWithoutDone(record, withoutTexts(value.spec));
  return { ...shortened, done: done.pairs(valueBytes - SPARE_BYTES - storedBytes(shortened)) };
}

function encodeWithoutDone(record: JobRecord, spec: StoredFields): StoredJob {
  const { submittedAt: at, state, startTerm: term, startZone: zone, startZones: zones } = record;
  const zonesField = zones === null ? {} : { zones };
  return { v: JOB_RECORD_VERSION, spec, at, state, term, zone, ...zonesField, done: [] };
}

/** Returns a stored spec without the texts that may be long, and that no job needs after its end. */
const withoutTexts = (spec: StoredFields): StoredFields => ({ ...spec, jobClass: '', image: '', types: null });

/**
 * Returns whether the names of these zones fit into a job's record. Earlier releases reserve no space for them when
 * they accept a job.
 */
export function fitsWithStartZones(
  record: Omit<JobRecord, 'startZones' | 'done'>,
  zones: readonly ZoneName[],
  valueBytes: number,
): boolean {
  const { spec, submittedAt, state, startTerm, startZone } = record;
  const done = new RangeSet();
  const value = encodeJob({ spec, submittedAt, state, startTerm, startZone, startZones: zones, done }, valueBytes);
  return storedBytes(value) <= valueBytes - SPARE_BYTES;
}

/** Returns null if the value is not a valid job record of this version. Callers ignore such a value. */
export function decodeJob(value: unknown): JobRecord | null {
  if (!isFields(value) || value.v !== JOB_RECORD_VERSION) return null;
  if (!isFields(value.spec) || !Array.isArray(value.done) || !JOB_STATES.includes(value.state)) return null;
  const spec = decodeSpec(value.spec);
  const state = value.state as JobState;
  // A service is never done. A leader of a release without support for services may have stored it as done when its
  // replicas exited (upgrade-service-old-leader.txt).
  const isService = spec.kind === 'service';
  return {
    spec,
    submittedAt: Number(value.at) as WallClockTime,
    state: isService && state === 'done' ? 'accepted' : state,
    startTerm: Number(value.term),
    startZone: (value.zone ?? null) as ZoneName | null,
    startZones: decodeZones(value.zones),
    done: isService ? new RangeSet() : RangeSet.from(value.done as [number, number][]),
  };
}

function decodeZones(value: unknown): readonly ZoneName[] | null {
  const isList = Array.isArray(value) && value.every((zone) => typeof zone === 'string');
  return isList ? (value as ZoneName[]) : null;
}

/**
 * Returns the stored form of a registry page. Each machine is stored as an array without field names, since a page
 * holds many. At most `maxImages` images are stored for each machine.
 */
export function encodePage(machines: readonly MachineRecord[], maxImages: number): StoredFields {
  return { v: PAGE_VERSION, machines: machines.map((record) => encodeMachine(record, maxImages)) };
}

function encodeMachine(record: MachineRecord, maxImages: number): unknown[] {
  const { id, address, type, zone, spot, imagePullSpeed, images } = record;
  const roundedSpeed = Math.round(imagePullSpeed * 100) / 100;
  return [id, address, type, zone, spot ? 1 : 0, roundedSpeed, maxImages > 0 ? images.slice(-maxImages) : []];
}

/** Returns null if the value is not a registry page of this version. */
export function decodePage(value: unknown): DecodedMachinePage | null {
  if (!isFields(value) || value.v !== PAGE_VERSION || !Array.isArray(value.machines)) return null;
  const machines = value.machines.map(decodeMachine);
  const decoded = machines.filter((record) => record !== null);
  return { machines: decoded, complete: decoded.length === machines.length };
}

function decodeMachine(raw: unknown): MachineRecord | null {
  if (!Array.isArray(raw)) return null;
  const [id, addr, type, zone, spot, speed, images] = raw as unknown[];
  if (typeof id !== 'string' || id === '') return null;
  return {
    id: id as MachineId,
    address: String(addr ?? ''),
    type: String(type) as MachineTypeName,
    zone: String(zone) as ZoneName,
    spot: spot === 1,
    images: Array.isArray(images) ? (images as ImageName[]) : [],
    imagePullSpeed: typeof speed === 'number' && speed > 0 ? speed : 1,
  };
}

export function encodeLeader({ node, incarnation, lease, term }: LeaderRecord): StoredFields {
  return { node, incarnation, lease, term };
}

/** Returns null if the value is not a leader's record. */
export function decodeLeader(value: unknown): LeaderRecord | null {
  if (!isFields(value)) return null;
  return {
    node: String(value.node),
    incarnation: String(value.incarnation),
    lease: String(value.lease),
    term: Number(value.term),
  };
}
