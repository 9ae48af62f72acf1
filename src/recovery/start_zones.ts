import type { ZoneName } from '../core/types.js';

/*
 * A job's record names the zones in which it may have been started, and is written before the first start in each. After a
 * change of leader a job needn't wait for machines in other zones. Releases that don't keep the list start tasks without
 * adding to it, so a list is believed only if every leader since the job's first start kept it: the counter of terms, which
 * each leader writes as it takes the lead, says since which term that holds. A leader that doesn't know the field leaves it
 * out, and the next one that does begins anew.
 */

/** The counter of terms: `n` is the term, `zones` the first of an unbroken row of terms that kept zones. */
export interface TermRecord {
  readonly n: number;
  readonly zones?: number;
}

const isTerm = (value: unknown): value is number => Number.isSafeInteger(value) && (value as number) > 0;

/** The counter as the leader of a new term writes it. */
export function nextTermRecord(stored: unknown, recordsStartZones: boolean): TermRecord {
  const { n, zones } = (stored ?? {}) as { n?: unknown; zones?: unknown };
  const term = Number(n ?? 0) + 1;
  if (!recordsStartZones) return { n: term };
  return { n: term, zones: isTerm(zones) && zones < term ? zones : term };
}

/** The counter as it is stored, under names that never change. */
export function encodeTerm({ n, zones }: TermRecord): Readonly<Record<string, number>> {
  return zones === undefined ? { n } : { n, zones };
}

/** Since which term every leader has kept the zones of jobs; null: this leader doesn't believe any list. */
export type StartZonesRecordedSince = number | null;

/** The zones in which tasks of a job can be, as far as its record may be believed; null: any. */
export function trustedStartZones(
  startTerm: number,
  startZones: readonly ZoneName[] | null,
  keptSince: StartZonesRecordedSince,
): readonly ZoneName[] | null {
  return keptSince !== null && startTerm >= keptSince ? startZones : null;
}
