/** Estimates how long machines take to come up, from those seen lately. */
import type { MachineType, MonotonicTime, ZoneName } from '../types.js';

/** The nominal boot time counts as so many boots seen. */
const PRIOR_BOOTS = 2;
/** How long what was seen counts: troubles of the cloud pass within minutes. */
const DECAY_MS = 120_000;
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
const MIN_BOOT_SECONDS = 1;
/** With each machine given up in a row, provisioned after the one before, the next is given so many times as long. */
const TIMEOUT_BACKOFF_FACTOR = 1.5;
const MAX_TIMEOUT_FACTOR = 4;

/** What was seen of machines of one type in one zone. */
class BootHistory {
  private bootCount = 0;
  private logRatioSum = 0;
  private overdueCount = 0;
  private updatedAt: MonotonicTime;
  /** How many times as long machines are given that were provisioned since, or before, the last one that was given up. */
  private timeoutFactor = 1;
  private previousTimeoutFactor = 1;
  private lastAbandonedAt = Number.NEGATIVE_INFINITY as MonotonicTime;

  constructor(now: MonotonicTime) {
    this.updatedAt = now;
  }

  private decay(now: MonotonicTime): void {
    const keep = Math.exp(-(now - this.updatedAt) / DECAY_MS);
    this.bootCount *= keep;
    this.logRatioSum *= keep;
    this.overdueCount *= keep;
    this.updatedAt = now;
  }

  /** A boot took so many times the nominal time. */
  recordBoot(ratio: number, now: MonotonicTime): void {
    this.decay(now);
    this.bootCount += 1;
    this.logRatioSum += Math.min(MAX_LOG_RATIO, Math.max(MIN_LOG_RATIO, Math.log(ratio)));
    this.timeoutFactor = 1;
  }

  /** A machine did not come up in time. */
  recordOverdue(now: MonotonicTime): void {
    this.decay(now);
    this.overdueCount += 1;
  }

  /** A machine was given up: those provisioned after it are given longer. */
  recordAbandoned(provisionedAt: MonotonicTime, now: MonotonicTime): void {
    if (provisionedAt < this.lastAbandonedAt) return;
    this.lastAbandonedAt = now;
    this.previousTimeoutFactor = this.timeoutFactor;
    this.timeoutFactor = Math.min(MAX_TIMEOUT_FACTOR, this.timeoutFactor * TIMEOUT_BACKOFF_FACTOR);
  }

  /** How many times the nominal time a boot takes lately. */
  bootTimeRatio(now: MonotonicTime): number {
    this.decay(now);
    return Math.exp(this.logRatioSum / (this.bootCount + PRIOR_BOOTS));
  }

  /** The part of the machines seen lately that were overdue. */
  overdueShare(now: MonotonicTime): number {
    this.decay(now);
    return this.overdueCount / (this.bootCount + this.overdueCount + PRIOR_BOOTS);
  }

  /** Returns how many times as long as usual a machine is given that was provisioned then. */
  timeoutFactorFor(provisionedAt: MonotonicTime): number {
    return provisionedAt < this.lastAbandonedAt ? this.previousTimeoutFactor : this.timeoutFactor;
  }
}

/** How long machines take to come up, by type and zone, as seen lately: late ones are replaced, and some never come. */
export class BootTimeEstimator {
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

  /** A machine is up, so many seconds after it was provisioned. */
  recordBoot(type: MachineType, zone: ZoneName, seconds: number, now: MonotonicTime): void {
    this.history(type, zone, now).recordBoot(Math.max(MIN_BOOT_SECONDS, seconds) / type.bootSeconds, now);
  }

  /** A machine has become overdue. */
  recordOverdue(type: MachineType, zone: ZoneName, now: MonotonicTime): void {
    this.history(type, zone, now).recordOverdue(now);
  }

  /** A machine is given up because it did not come up. */
  recordAbandoned(type: MachineType, zone: ZoneName, provisionedAt: MonotonicTime, now: MonotonicTime): void {
    this.history(type, zone, now).recordAbandoned(provisionedAt, now);
  }

  /** Returns the seconds that a machine provisioned now is expected to take. */
  expectedSeconds(type: MachineType, zone: ZoneName, now: MonotonicTime): number {
    return Math.max(
      MIN_BOOT_SECONDS,
      type.bootSeconds * this.history(type, zone, now).bootTimeRatio(now) * EXPECTED_FACTOR,
    );
  }

  /** Seconds after which a machine is overdue. Where boots are quick lately, one provisioned before may still take the usual time. */
  private overdueAfterSeconds(type: MachineType, zone: ZoneName, now: MonotonicTime): number {
    return OVERDUE_FACTOR * Math.max(type.bootSeconds, this.expectedSeconds(type, zone, now));
  }

  /** Whether a machine of that age should have been up. */
  isOverdue(type: MachineType, zone: ZoneName, ageSeconds: number, now: MonotonicTime): boolean {
    return ageSeconds > this.overdueAfterSeconds(type, zone, now);
  }

  /** Returns the seconds until a machine of that age is expected to be up. */
  remainingSeconds(type: MachineType, zone: ZoneName, ageSeconds: number, now: MonotonicTime): number {
    const expectedSeconds = this.expectedSeconds(type, zone, now);
    const usualSeconds =
      ageSeconds > OVERDUE_FACTOR * expectedSeconds
        ? Math.max(type.bootSeconds * EXPECTED_FACTOR, expectedSeconds)
        : expectedSeconds;
    if (ageSeconds < usualSeconds * (1 - SOON_SHARE)) return usualSeconds - ageSeconds;
    const lateSeconds = Math.max(0, ageSeconds - usualSeconds);
    const overdueSeconds = ageSeconds - this.overdueAfterSeconds(type, zone, now);
    // Beyond what is usual a machine provisioned now would be up sooner.
    return overdueSeconds > 0 ? usualSeconds + overdueSeconds : usualSeconds * SOON_SHARE + lateSeconds * LATE_SHARE;
  }

  /** Returns how many times as long as usual a machine may take before it is given up. */
  timeoutFactor(type: MachineType, zone: ZoneName, provisionedAt: MonotonicTime, now: MonotonicTime): number {
    const history = this.history(type, zone, now);
    return Math.max(1, history.bootTimeRatio(now)) * history.timeoutFactorFor(provisionedAt);
  }

  /** Returns the part, 0 to 1, of the machines provisioned lately that did not come up in time. */
  overdueShare(type: MachineType, zone: ZoneName, now: MonotonicTime): number {
    return this.history(type, zone, now).overdueShare(now);
  }
}
