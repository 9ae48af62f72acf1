import { RangeSet } from './jobs/range_set.js';
import type { ImageName, JobId, JobSpec, MachineId, TypeName, Wall, ZoneName } from './types.js';

/** What the state service holds. Nothing else survives a process. */
export const LEADER_KEY = 'leader';
export const TERM_KEY = 'term';
export const JOB_PREFIX = 'j/';
export const MACHINE_PREFIX = 'm/';
export const jobKey = (id: JobId): string => JOB_PREFIX + id;
export const pageKey = (no: number): string => MACHINE_PREFIX + no;

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
  readonly images: readonly ImageName[];
  readonly fetchSpeed: number;
}

export interface LeaderRecord {
  readonly node: string;
  readonly incarnation: string;
  readonly lease: string;
  readonly term: number;
}

/** The service may count a value's text somewhat otherwise than we do. */
const SPARE_BYTES = 48;

type Fields = Record<string, unknown>;
const isFields = (v: unknown): v is Fields => typeof v === 'object' && v !== null && !Array.isArray(v);

/** A job's record in `valueBytes` at most: results that find no room in it stay with the workers that have them. */
export function encodeJob(record: JobRecord, valueBytes: number): Fields & { done: [number, number][] } {
  const { spec, submittedAt: at, state, startTerm: term, startZone: zone } = record;
  const value = { v: 1, spec, at, state, term, zone, done: [] as [number, number][] };
  if (record.done.count > 0)
    value.done = record.done.pairs(valueBytes - SPARE_BYTES - Buffer.byteLength(JSON.stringify(value)));
  return value;
}

/** Null for a value that isn't a job record: it is skipped, not believed. */
export function decodeJob(value: unknown): JobRecord | null {
  if (!isFields(value) || value.v !== 1 || !isFields(value.spec) || !Array.isArray(value.done)) return null;
  const state = value.state;
  if (state !== 'accepted' && state !== 'done' && state !== 'cancelled') return null;
  const spec = value.spec as unknown as JobSpec;
  // A service is never done. A leader of a version that knows no services may have put it on record as such when its
  // replicas ended (upgrade-service-old-leader.txt).
  const service = spec.shape === 'service';
  return {
    spec,
    submittedAt: Number(value.at) as Wall,
    state: service && state === 'done' ? 'accepted' : state,
    startTerm: Number(value.term),
    startZone: (value.zone ?? null) as ZoneName | null,
    done: service ? new RangeSet() : RangeSet.from(value.done as [number, number][]),
  };
}

/** A page of the registry: each machine as a short list, since a page holds many. */
export function encodePage(machines: readonly MachineRecord[], mostImages: number): Fields {
  return {
    v: 2,
    machines: machines.map((record) => [
      record.id,
      record.addr,
      record.type,
      record.zone,
      record.spot ? 1 : 0,
      Math.round(record.fetchSpeed * 100) / 100,
      mostImages > 0 ? record.images.slice(-mostImages) : [],
    ]),
  };
}

/** Null for a value that isn't a page. */
export function decodePage(value: unknown): MachineRecord[] | null {
  if (!isFields(value) || value.v !== 2 || !Array.isArray(value.machines)) return null;
  const found: MachineRecord[] = [];
  for (const raw of value.machines as unknown[]) {
    if (!Array.isArray(raw)) continue;
    const [id, addr, type, zone, spot, speed, images] = raw as unknown[];
    if (typeof id !== 'string' || id === '') continue;
    found.push({
      id: id as MachineId,
      addr: String(addr ?? ''),
      type: String(type) as TypeName,
      zone: String(zone) as ZoneName,
      spot: spot === 1,
      images: Array.isArray(images) ? (images as ImageName[]) : [],
      fetchSpeed: typeof speed === 'number' && speed > 0 ? speed : 1,
    });
  }
  return found;
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
