/** Estimates how long machines take to boot, from recent boots. */
import type { MachineType, MonotonicTime, ZoneName } from '../types.js';

/** Weight of the nominal boot time in estimates, as a number of observed boots. */
const PRIOR_BOOTS = 2;
/** Time constant, in milliseconds, with which observations lose weight. Problems of the cloud pass within minutes. */
const DECAY_MS = 120_000;
/** Bounds of one observation. A boot counts as at most 8 times slower or 30 times faster than the nominal time. */
const MAX_LOG_RATIO = Math.log(8);
const MIN_LOG_RATIO = -Math.log(30);
/** Ratio of the expected to the estimated boot time. A machine is expected slightly later than estimated. */
const EXPECTED_FACTOR = 1.05;
/** Multiple of the expected boot time after which a machine is overdue. */
const OVERDUE_FACTOR = 1.6;
/** Minimum remaining boot time of a machine that is not up yet, as a share of its expected boot time. */
const MIN_REMAINING_SHARE = 0.15;
/** Share of the time by which a machine is late that is added to its minimum remaining boot time. */
const LATENESS_SHARE = 0.5;
/** Lower bound of observed and expected boot times. */
const MIN_BOOT_SECONDS = 1;
/**
 * Factor by which the boot timeout grows with each consecutive machine whose boot times out. A machine that was
 * provisioned before the previous one timed out does not count.
 */
const TIMEOUT_BACKOFF_FACTOR = 1.5;
/** Upper bound of the factor by which consecutive failed boots extend the boot timeout. */
const MAX_TIMEOUT_FACTOR = 4;

/** Boot observations of machines of one type in one zone. */
class BootHistory {
  private bootCount = 0;
  private logRatioSum = 0;
  private overdueCount = 0;
  private updatedAt: MonotonicTime;
  /** Boot timeout factor for machines that were provisioned since the last boot timed out. */
  private timeoutFactor = 1;
  /** Boot timeout factor for machines that were provisioned before the last boot timed out. */
  private previousTimeoutFactor = 1;
  private lastTimeoutAt = Number.NEGATIVE_INFINITY as MonotonicTime;

  constructor(now: MonotonicTime) {
    this.updatedAt = now;
  }

  private decay(now: MonotonicTime): void {
    const decayFactor = Math.exp(-(now - this.updatedAt) / DECAY_MS);
    this.bootCount *= decayFactor;
    this.logRatioSum *= decayFactor;
    this.overdueCount *= decayFactor;
    this.updatedAt = now;
  }

  /** Records a completed boot. `ratio`: its duration divided by the nominal boot time. */
  recordBoot(ratio: number, now: MonotonicTime): void {
    this.decay(now);
    this.bootCount += 1;
    this.logRatioSum += Math.min(MAX_LOG_RATIO, Math.max(MIN_LOG_RATIO, Math.log(ratio)));
    this.timeoutFactor = 1;
  }

  /** Records that a machine's boot is overdue. */
  recordOverdue(now: MonotonicTime): void {
    this.decay(now);
    this.overdueCount += 1;
  }

  /** Records that a machine's boot timed out. Machines provisioned from now on get a longer boot timeout. */
  recordTimeout(provisionedAt: MonotonicTime, now: MonotonicTime): void {
    if (provisionedAt < this.lastTimeoutAt) return;
    this.lastTimeoutAt = now;
    this.previousTimeoutFactor = this.timeoutFactor;
    this.timeoutFactor = Math.min(MAX_TIMEOUT_FACTOR, this.timeoutFactor * TIMEOUT_BACKOFF_FACTOR);
  }

  /** Returns the estimated ratio of recent boot times to the nominal boot time. */
  bootTimeRatio(now: MonotonicTime): number {
    this.decay(now);
    return Math.exp(this.logRatioSum / (this.bootCount + PRIOR_BOOTS));
  }

  /** Returns the share of recently observed machines whose boot was overdue, 0 to 1. */
  overdueShare(now: MonotonicTime): number {
    this.decay(now);
    return this.overdueCount / (this.bootCount + this.overdueCount + PRIOR_BOOTS);
  }

  /** Returns the factor by which earlier timeouts extend the timeout of a machine provisioned at the given time. */
  timeoutFactorFor(provisionedAt: MonotonicTime): number {
    return provisionedAt < this.lastTimeoutAt ? this.previousTimeoutFactor : this.timeoutFactor;
  }
}

/**
 * Recent boot times of machines, by type and zone. Overdue boots and boot timeouts are recorded too, because overdue
 * machines are replaced and some machines never come up.
 */
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

  /** Records that a machine came up. `seconds`: the time since it was provisioned. */
  recordBoot(type: MachineType, zone: ZoneName, seconds: number, now: MonotonicTime): void {
    this.history(type, zone, now).recordBoot(Math.max(MIN_BOOT_SECONDS, seconds) / type.bootSeconds, now);
  }

  /** Records that a machine's boot has become overdue. */
  recordOverdue(type: MachineType, zone: ZoneName, now: MonotonicTime): void {
    this.history(type, zone, now).recordOverdue(now);
  }

  /** Records that a machine is terminated because its boot timed out. */
  recordTimeout(type: MachineType, zone: ZoneName, provisionedAt: MonotonicTime, now: MonotonicTime): void {
    this.history(type, zone, now).recordTimeout(provisionedAt, now);
  }

  /** Returns the expected boot time, in seconds, of a machine provisioned now. */
  expectedSeconds(type: MachineType, zone: ZoneName, now: MonotonicTime): number {
    return Math.max(
      MIN_BOOT_SECONDS,
      type.bootSeconds * this.history(type, zone, now).bootTimeRatio(now) * EXPECTED_FACTOR,
    );
  }

  /**
   * Returns the seconds after which a machine's boot is overdue. The nominal boot time is a lower bound of the expected
   * time here, because a machine that was provisioned before recent fast boots may still take the nominal time.
   */
  private overdueAfterSeconds(type: MachineType, zone: ZoneName, now: MonotonicTime): number {
    return OVERDUE_FACTOR * Math.max(type.bootSeconds, this.expectedSeconds(type, zone, now));
  }

  /** Returns whether the boot of a machine of the given age is overdue. */
  isOverdue(type: MachineType, zone: ZoneName, ageSeconds: number, now: MonotonicTime): boolean {
    return ageSeconds > this.overdueAfterSeconds(type, zone, now);
  }

  /** Returns the seconds until a booting machine of the given age is expected to be up. */
  remainingSeconds(type: MachineType, zone: ZoneName, ageSeconds: number, now: MonotonicTime): number {
    const expectedSeconds = this.expectedSeconds(type, zone, now);
    const usualSeconds =
      ageSeconds > OVERDUE_FACTOR * expectedSeconds
        ? Math.max(type.bootSeconds * EXPECTED_FACTOR, expectedSeconds)
        : expectedSeconds;
    if (ageSeconds < usualSeconds * (1 - MIN_REMAINING_SHARE)) return usualSeconds - ageSeconds;
    const lateSeconds = Math.max(0, ageSeconds - usualSeconds);
    const overdueSeconds = ageSeconds - this.overdueAfterSeconds(type, zone, now);
    // A machine that is overdue is expected later than one that is provisioned now.
    return overdueSeconds > 0
      ? usualSeconds + overdueSeconds
      : usualSeconds * MIN_REMAINING_SHARE + lateSeconds * LATENESS_SHARE;
  }

  /** Returns the factor, at least 1, by which slow recent boots and earlier timeouts extend the boot timeout. */
  timeoutFactor(type: MachineType, zone: ZoneName, provisionedAt: MonotonicTime, now: MonotonicTime): number {
    const history = this.history(type, zone, now);
    return Math.max(1, history.bootTimeRatio(now)) * history.timeoutFactorFor(provisionedAt);
  }

  /** Returns the share, 0 to 1, of recently provisioned machines whose boot was overdue. */
  overdueShare(type: MachineType, zone: ZoneName, now: MonotonicTime): number {
    return this.history(type, zone, now).overdueShare(now);
  }
}
