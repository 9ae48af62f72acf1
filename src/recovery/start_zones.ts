/**
 * Which start zones of jobs can be trusted. A job's record names the zones in which it may have been started, and is written
 * before the first start in each, so that after a failover the job needn't wait for machines in other zones. Releases that
 * don't keep the list start tasks without adding to it. So a list is trusted only if every leader since the job's first start
 * kept it: the counter of terms, which each leader writes with its election, says since which term that holds. A leader that
 * doesn't know the field leaves it out, and the next one that does begins anew.
 */
import type { ZoneName } from '../core/types.js';

/** The counter of terms. */
export interface TermRecord {
  readonly term: number;
  /** The first of an unbroken row of terms that put start zones on record; missing where this term doesn't. */
  readonly startZonesRecordedSince?: number;
}

const isTerm = (value: unknown): value is number => Number.isSafeInteger(value) && (value as number) > 0;

/** Returns the counter as the leader of a new term writes it. `stored`: the counter as it is stored, of any release. */
export function nextTermRecord(stored: unknown, recordsStartZones: boolean): TermRecord {
  const { n, zones } = (stored ?? {}) as { n?: unknown; zones?: unknown };
  const term = Number(n ?? 0) + 1;
  if (!recordsStartZones) return { term };
  return { term, startZonesRecordedSince: isTerm(zones) && zones < term ? zones : term };
}

/** Returns the counter as it is stored, under names that never change. */
export function encodeTerm({ term, startZonesRecordedSince }: TermRecord): Readonly<Record<string, number>> {
  return startZonesRecordedSince === undefined ? { n: term } : { n: term, zones: startZonesRecordedSince };
}

/** Since which term every leader has put start zones on record; null: this leader trusts none. */
export type StartZonesRecordedSince = number | null;

/** Returns the zones in which tasks of a job can be, as far as its record may be trusted; null: any. */
export function trustedStartZones(
  startTerm: number,
  startZones: readonly ZoneName[] | null,
  recordedSince: StartZonesRecordedSince,
): readonly ZoneName[] | null {
  return recordedSince !== null && startTerm >= recordedSince ? startZones : null;
}
