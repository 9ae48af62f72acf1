/**
 * Determines which recorded start zones of jobs can be trusted. A job's record lists the zones in which the job may
 * have been started. The list is stored before the first start in each zone, so that after a failover the job does not
 * have to wait for machines in other zones. Some releases do not maintain the list and start tasks without adding to
 * it. A list is therefore trusted only if every leader since the job's first start has maintained it. The term counter,
 * which each leader writes when it is elected, tells since which term that is the case. A leader that does not know
 * this field omits it, and the next leader that knows the field sets it to its own term.
 */
import type { ZoneName } from '../core/types.js';

/** The term counter. */
export interface TermRecord {
  readonly term: number;
  /**
   * The term since which every leader has recorded start zones. Undefined if this term's leader does not record them.
   */
  readonly startZonesRecordedSince?: number;
}

const isTerm = (value: unknown): value is number => Number.isSafeInteger(value) && (value as number) > 0;

/** Returns the counter that the leader of a new term writes. `stored` is the stored counter, written by any release. */
export function nextTermRecord(stored: unknown, recordsStartZones: boolean): TermRecord {
  const { n, zones } = (stored ?? {}) as { n?: unknown; zones?: unknown };
  const term = Number(n ?? 0) + 1;
  if (!recordsStartZones) return { term };
  return { term, startZonesRecordedSince: isTerm(zones) && zones < term ? zones : term };
}

/** Returns the stored form of the counter. Its field names never change. */
export function encodeTerm({ term, startZonesRecordedSince }: TermRecord): Readonly<Record<string, number>> {
  return startZonesRecordedSince === undefined ? { n: term } : { n: term, zones: startZonesRecordedSince };
}

/** The term since which every leader has recorded start zones. Null if this leader trusts no recorded zones. */
export type StartZonesRecordedSince = number | null;

/**
 * Returns the zones in which tasks of a job may be, or null if they may be in any zone. The latter applies to a record
 * without start zones and to one that cannot be trusted.
 */
export function trustedStartZones(
  startTerm: number,
  startZones: readonly ZoneName[] | null,
  recordedSince: StartZonesRecordedSince,
): readonly ZoneName[] | null {
  return recordedSince !== null && startTerm >= recordedSince ? startZones : null;
}
