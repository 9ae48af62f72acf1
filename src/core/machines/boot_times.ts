import type { MachineType, MonotonicTime, ZoneName } from '../types.js';

/** The nominal boot time counts as so many boots seen. */
const PRIOR_BOOTS = 2;
/** How long what was seen counts: troubles of the cloud pass within minutes. */
const MEMORY_MS = 120_000;
/** One boot counts as no more than so many times too long or too short. */
const MAX_LOG_RATIO = Math.log(8);
const MIN_LOG_RATIO = -Math.log(30);
/** A machine is expected a little after the usual time, and counts as overdue after so many times that. */
const EXPECTED_FACTOR = 1.05;
const OVERDUE_FACTOR = 1.6;
/** One that isn't up when it should be is expected soon, and later the longer it takes. */
const SOON_SHARE = 0.15;
const LATE_SHARE = 0.5;
/** The least time that a boot is expected to take. */
const MIN_BOOT_S = 1;
/** With each machine given up in a row, rented after the one before, the next is given so many times as long. */
const PATIENCE_FACTOR = 1.5;
const MAX_PATIENCE = 4;

/** What was seen of machines of one type in one zone. */
class BootHistory {
  private boots = 0;
  private logRatios = 0;
  private failures = 0;
  private updatedAt: MonotonicTime;
  /** How many times as long machines are given that were rented since, or before, the last one that was given up. */
  private patience = 1;
  private patienceBefore = 1;
  private lastGivenUpAt = Number.NEGATIVE_INFINITY as MonotonicTime;

  constructor(now: MonotonicTime) {
    this.updatedAt = now;
  }

  private fade(now: MonotonicTime): void {
    const keep = Math.exp(-(now - this.updatedAt) / MEMORY_MS);
    this.boots *= keep;
    this.logRatios *= keep;
    this.failures *= keep;
    this.updatedAt = now;
  }

  noteUp(ratio: number, now: MonotonicTime): void {
    this.fade(now);
    this.boots += 1;
    this.logRatios += Math.min(MAX_LOG_RATIO, Math.max(MIN_LOG_RATIO, Math.log(ratio)));
    this.patience = 1;
  }

  noteOverdue(now: MonotonicTime): void {
    this.fade(now);
    this.failures += 1;
  }

  noteGivenUp(rentedAt: MonotonicTime, now: MonotonicTime): void {
    if (rentedAt < this.lastGivenUpAt) return;
    this.lastGivenUpAt = now;
    this.patienceBefore = this.patience;
    this.patience = Math.min(MAX_PATIENCE, this.patience * PATIENCE_FACTOR);
  }

  /** How many times the nominal time a boot takes lately. */
  ratio(now: MonotonicTime): number {
    this.fade(now);
    return Math.exp(this.logRatios / (this.boots + PRIOR_BOOTS));
  }

  /** The part of the machines seen lately that were overdue. */
  overdueShare(now: MonotonicTime): number {
    this.fade(now);
    return this.failures / (this.boots + this.failures + PRIOR_BOOTS);
  }

  patienceWith(rentedAt: MonotonicTime): number {
    return rentedAt < this.lastGivenUpAt ? this.patienceBefore : this.patience;
  }
}

/** How long machines take to come up, by type and zone, as seen lately: late ones are replaced, and some never come. */
export class BootTimes {
  private readonly histories = new Map<string, BootHistory>();

  private history(type: MachineType, zone: ZoneName, now: MonotonicTime): BootHistory {
    const key = `${type.name}|${zone}`;
    let history = this.histories.get(key);
    if (!history) {
      history = new BootHistory(now);
      this.histories.set(key, history);
    }
    return history;
  }

  /** A machine is up, so long after it was rented. */
  noteUp(type: MachineType, zone: ZoneName, seconds: number, now: MonotonicTime): void {
    this.history(type, zone, now).noteUp(Math.max(MIN_BOOT_S, seconds) / type.bootSeconds, now);
  }

  /** A machine has become overdue. */
  noteOverdue(type: MachineType, zone: ZoneName, now: MonotonicTime): void {
    this.history(type, zone, now).noteOverdue(now);
  }

  /** A machine is returned because it did not come up. */
  noteGivenUp(type: MachineType, zone: ZoneName, rentedAt: MonotonicTime, now: MonotonicTime): void {
    this.history(type, zone, now).noteGivenUp(rentedAt, now);
  }

  /** Seconds that a machine rented now is expected to take. */
  expectedS(type: MachineType, zone: ZoneName, now: MonotonicTime): number {
    return Math.max(MIN_BOOT_S, type.bootSeconds * this.history(type, zone, now).ratio(now) * EXPECTED_FACTOR);
  }

  /** Seconds after which a machine is overdue. Where boots are quick lately, one rented before may take the usual time. */
  private overdueAfterS(type: MachineType, zone: ZoneName, now: MonotonicTime): number {
    return OVERDUE_FACTOR * Math.max(type.bootSeconds, this.expectedS(type, zone, now));
  }

  isOverdue(type: MachineType, zone: ZoneName, ageS: number, now: MonotonicTime): boolean {
    return ageS > this.overdueAfterS(type, zone, now);
  }

  /** Seconds until a machine of that age is expected to be up. */
  remainingS(type: MachineType, zone: ZoneName, ageS: number, now: MonotonicTime): number {
    const expectedS = this.expectedS(type, zone, now);
    const usualS =
      ageS > OVERDUE_FACTOR * expectedS ? Math.max(type.bootSeconds * EXPECTED_FACTOR, expectedS) : expectedS;
    if (ageS < usualS * (1 - SOON_SHARE)) return usualS - ageS;
    const lateS = Math.max(0, ageS - usualS);
    const overdueS = ageS - this.overdueAfterS(type, zone, now);
    // Beyond what is usual a machine rented now would be up sooner.
    return overdueS > 0 ? usualS + overdueS : usualS * SOON_SHARE + lateS * LATE_SHARE;
  }

  /** How many times as long as usual a machine may take before it is given up. */
  patience(type: MachineType, zone: ZoneName, rentedAt: MonotonicTime, now: MonotonicTime): number {
    const history = this.history(type, zone, now);
    return Math.max(1, history.ratio(now)) * history.patienceWith(rentedAt);
  }

  /** The part of the machines rented lately that did not come up in time. */
  overdueShare(type: MachineType, zone: ZoneName, now: MonotonicTime): number {
    return this.history(type, zone, now).overdueShare(now);
  }
}
