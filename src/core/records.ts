/** The forms in which the state store holds what has to outlast a process, and their codec. */
import { RangeSet } from './jobs/range_set.js';
import type { ImageName, JobId, JobSpec, MachineId, MachineTypeName, WallClockTime, ZoneName } from './types.js';

/*
 * Nothing else survives a process. The stored names and versions are read by earlier and later releases while a deployment
 * is renewed: they don't change with names in the code.
 */

/** Holds who leads; it is there as long as the leader's lease. */
export const LEADER_KEY = 'leader';
/** Holds the counter of terms. */
export const TERM_KEY = 'term';
/** Jobs' records are under keys that begin so. */
export const JOB_PREFIX = 'j/';
/** Pages of the machine registry are under keys that begin so. */
export const MACHINE_PREFIX = 'm/';
/** Returns the key of a job's record. */
export const jobKey = (id: JobId): string => JOB_PREFIX + id;
/** Returns the key of a page of the machine registry; pages are numbered from 0. */
export const pageKey = (index: number): string => MACHINE_PREFIX + index;

const JOB_RECORD_VERSION = 1;
const PAGE_VERSION = 2;
/** The state store may count the bytes of a value somewhat otherwise than they are counted here. */
const SPARE_BYTES = 48;

/** What is durable of a job's progress; that it runs is not. */
export type JobState = 'accepted' | 'done' | 'cancelled';
const JOB_STATES: readonly unknown[] = ['accepted', 'done', 'cancelled'] satisfies JobState[];

/** What is durable of a job. */
export interface JobRecord {
  readonly spec: JobSpec;
  readonly submittedAt: WallClockTime;
  readonly state: JobState;
  /** The term in which its first start was allowed, 0 before. */
  readonly startTerm: number;
  readonly startZone: ZoneName | null;
  /** Zones in which it may have been started (src/recovery/start_zones.ts); null: not kept. */
  readonly startZones: readonly ZoneName[] | null;
  /** Numbers of the tasks that are complete. */
  readonly done: RangeSet;
}

/** What is durable of a machine. */
export interface MachineRecord {
  readonly id: MachineId;
  readonly address: string;
  readonly type: MachineTypeName;
  readonly zone: ZoneName;
  readonly spot: boolean;
  /** Images that it is known to hold: a hint that saves a new leader from finding out again. */
  readonly images: readonly ImageName[];
  /** How fast it pulls images, relative to its type's nominal speed: a hint too. */
  readonly imagePullSpeed: number;
}

/** Who leads, on which lease, in which term. */
export interface LeaderRecord {
  readonly node: string;
  readonly incarnation: string;
  readonly lease: string;
  readonly term: number;
}

/** A page of the registry as far as it is understood. */
export interface DecodedMachinePage {
  readonly machines: readonly MachineRecord[];
  /** False where it holds something else too: then it must not be written over. */
  readonly complete: boolean;
}

/** A stored value whose fields have yet to be checked. */
type StoredFields = Record<string, unknown>;

const isFields = (value: unknown): value is StoredFields =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

/** The names under which the fields of a job's description are stored, by their names in the code. */
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

/** A job's description by its stored names; a record of another release may lack fields, or have more. */
type StoredSpec = {
  readonly [Name in keyof typeof STORED_SPEC_NAMES as (typeof STORED_SPEC_NAMES)[Name]]: JobSpec[Name];
};

/**
 * The stored form of each description: one that was read is written again as it was, with the fields that a later release
 * has added, and without those that were missing.
 */
const storedSpecs = new WeakMap<JobSpec, StoredFields>();

/** A job's description as it is stored: as it was read, or its fields in their order. */
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
 * Nothing is checked: a description is checked once, when the job is submitted. Written out field by field: a loop over the
 * names takes ten times as long, and every controller reads every record that is written.
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

/** A job's record in `valueBytes` at most: results that find no room in it stay with the workers that have them. */
export function encodeJob(record: JobRecord, valueBytes: number): StoredFields & { done: [number, number][] } {
  const { spec, submittedAt: at, state, startTerm: term, startZone: zone, startZones: zones, done } = record;
  const kept = zones === null ? {} : { zones };
  const fields = { v: JOB_RECORD_VERSION, spec: encodeSpec(spec), at, state, term, zone, ...kept };
  const value = { ...fields, done: [] as [number, number][] };
  if (done.count === 0) return value;
  const bytesLeft = valueBytes - SPARE_BYTES - Buffer.byteLength(JSON.stringify(value));
  return { ...value, done: done.pairs(bytesLeft) };
}

/** Whether a job's record has room for the names of these zones. Earlier releases leave none when they accept a job. */
export function fitsWithStartZones(
  record: Omit<JobRecord, 'startZones' | 'done'>,
  zones: readonly ZoneName[],
  valueBytes: number,
): boolean {
  const { spec, submittedAt, state, startTerm, startZone } = record;
  const done = new RangeSet();
  const value = encodeJob({ spec, submittedAt, state, startTerm, startZone, startZones: zones, done }, valueBytes);
  return Buffer.byteLength(JSON.stringify(value)) <= valueBytes - SPARE_BYTES;
}

/** Null for a value that isn't a job record: it is passed over, not believed. */
export function decodeJob(value: unknown): JobRecord | null {
  if (!isFields(value) || value.v !== JOB_RECORD_VERSION) return null;
  if (!isFields(value.spec) || !Array.isArray(value.done) || !JOB_STATES.includes(value.state)) return null;
  const spec = decodeSpec(value.spec);
  const state = value.state as JobState;
  // A service is never done. A leader of a release that knows no services may have put it on record as such when its
  // replicas ended (upgrade-service-old-leader.txt).
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

/** A page of the registry: each machine as a short list, since a page holds many; with so many images at most. */
export function encodePage(machines: readonly MachineRecord[], maxImages: number): StoredFields {
  return { v: PAGE_VERSION, machines: machines.map((record) => encodeMachine(record, maxImages)) };
}

function encodeMachine(record: MachineRecord, maxImages: number): unknown[] {
  const { id, address, type, zone, spot, imagePullSpeed, images } = record;
  const roundedSpeed = Math.round(imagePullSpeed * 100) / 100;
  return [id, address, type, zone, spot ? 1 : 0, roundedSpeed, maxImages > 0 ? images.slice(-maxImages) : []];
}

/** Null for a value that isn't a page. */
export function decodePage(value: unknown): DecodedMachinePage | null {
  if (!isFields(value) || value.v !== PAGE_VERSION || !Array.isArray(value.machines)) return null;
  const machines = value.machines.map(decodeMachine);
  const understood = machines.filter((record) => record !== null);
  return { machines: understood, complete: understood.length === machines.length };
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

/** Returns the stored form of a leader's record. */
export function encodeLeader({ node, incarnation, lease, term }: LeaderRecord): StoredFields {
  return { node, incarnation, lease, term };
}

/** Null for a value that isn't a leader's record. */
export function decodeLeader(value: unknown): LeaderRecord | null {
  if (!isFields(value)) return null;
  return {
    node: String(value.node),
    incarnation: String(value.incarnation),
    lease: String(value.lease),
    term: Number(value.term),
  };
}
