import { RangeSet } from './ranges.js';
import type { JobId, JobSpec, MachineId, TypeName, Wall, ZoneName } from './types.js';

/** What the state service holds. Nothing else survives a process. */
export const LEADER_KEY = 'leader';
export const TERM_KEY = 'term';
export const JOB_PREFIX = 'j/';
export const MACHINE_PREFIX = 'm/';
export const jobKey = (id: JobId): string => JOB_PREFIX + id;
export const machineKey = (id: MachineId): string => MACHINE_PREFIX + id;

export type JobState = 'accepted' | 'done' | 'cancelled';

export interface JobRecord {
  readonly spec: JobSpec;
  readonly submittedAt: Wall;
  readonly state: JobState;
  /** The term in which its first start was allowed, 0 before. */
  readonly startTerm: number;
  readonly startZone: ZoneName | null;
  readonly done: RangeSet;
}

export interface MachineRecord {
  readonly id: MachineId;
  readonly addr: string;
  readonly type: TypeName;
  readonly zone: ZoneName;
  readonly spot: boolean;
  /** Images it is known to hold, and how fast it fetches: hints that save a new leader from finding out again. */
  readonly images: readonly (readonly [string, number])[];
  readonly fetchSpeed: number;
}

export interface LeaderRecord {
  readonly node: string;
  readonly incarnation: string;
  readonly lease: string;
  readonly term: number;
}

/** Bounds a machine's record well below the store's limit for a value. */
const IMAGES_KEPT = 40;

type Fields = Record<string, unknown>;
const isFields = (v: unknown): v is Fields => typeof v === 'object' && v !== null && !Array.isArray(v);

export function encodeJob(r: JobRecord, mostRanges: number): Fields {
  return {
    v: 1,
    spec: r.spec,
    at: r.submittedAt,
    state: r.state,
    term: r.startTerm,
    zone: r.startZone,
    done: r.done.pairs(mostRanges),
  };
}

/** Null for a value that isn't a job record: it is skipped, not believed. */
export function decodeJob(value: unknown): JobRecord | null {
  if (!isFields(value) || value.v !== 1 || !isFields(value.spec) || !Array.isArray(value.done)) return null;
  const state = value.state;
  if (state !== 'accepted' && state !== 'done' && state !== 'cancelled') return null;
  return {
    spec: value.spec as unknown as JobSpec,
    submittedAt: Number(value.at) as Wall,
    state,
    startTerm: Number(value.term),
    startZone: (value.zone ?? null) as ZoneName | null,
    done: RangeSet.from(value.done as [number, number][]),
  };
}

export function encodeMachine(m: MachineRecord): Fields {
  return {
    v: 1,
    addr: m.addr,
    type: m.type,
    zone: m.zone,
    spot: m.spot,
    images: m.images.slice(0, IMAGES_KEPT),
    speed: m.fetchSpeed,
  };
}

export function decodeMachine(key: string, value: unknown): MachineRecord | null {
  if (!isFields(value) || value.v !== 1) return null;
  return {
    id: key.slice(MACHINE_PREFIX.length) as MachineId,
    addr: String(value.addr ?? ''),
    type: String(value.type) as TypeName,
    zone: String(value.zone) as ZoneName,
    spot: value.spot === true,
    images: Array.isArray(value.images) ? (value.images as [string, number][]) : [],
    fetchSpeed: typeof value.speed === 'number' && value.speed > 0 ? value.speed : 1,
  };
}

export function decodeLeader(value: unknown): LeaderRecord | null {
  if (!isFields(value)) return null;
  return {
    node: String(value.node),
    incarnation: String(value.incarnation),
    lease: String(value.lease),
    term: Number(value.term),
  };
}
