/** Follows which images one machine holds, and how fast it pulls them. */
import type { ImageName, JobSpec, MachineType, MonotonicTime } from '../types.js';

/** Bounds of what is believed of a machine's pull speed, and the weight of each new observation. */
const MIN_PULL_SPEED = 0.5;
const MAX_PULL_SPEED = 1.6;
const OBSERVATION_WEIGHT = 0.6;
/** A shorter pull tells nothing: it was mostly waiting for heartbeats. */
const MIN_OBSERVED_PULL_SECONDS = 2;
/** What is left of a pull that should be over. */
const MIN_REMAINING_PULL_SECONDS = 1;
/** No rate is taken to be lower. */
const MIN_PULL_GB_PER_SECOND = 0.01;

/** An image on a machine, whole or on its way. */
interface CachedImage {
  readonly sizeGb: number;
  lastUsedAt: MonotonicTime;
  /** While it is being pulled: since when; null: it is there whole. */
  pullingSince: MonotonicTime | null;
  /** Whether the pull was seen from its beginning. */
  pullObserved: boolean;
}

/** Returns the seconds that a whole pull takes at a rate. */
export const pullSeconds = (sizeGb: number, gbPerSecond: number): number =>
  sizeGb / Math.max(MIN_PULL_GB_PER_SECOND, gbPerSecond);

/** The images that a machine holds or pulls, as far as its statuses tell, and how fast it pulls. */
export class ImageCache {
  private hasUnwrittenChanges = false;
  private speed = 1;
  private readonly images = new Map<ImageName, CachedImage>();

  constructor(private readonly type: MachineType) {}

  /** Whether the images that are there whole have changed since they were last written. */
  get isDirty(): boolean {
    return this.hasUnwrittenChanges;
  }

  /** The images go to the state store as they are now. */
  markWritten(): void {
    this.hasUnwrittenChanges = false;
  }

  /** How fast the machine pulls: 1 is the nominal rate of its type. */
  get pullSpeed(): number {
    return this.speed;
  }

  /** Returns the seconds until the image would be there if a task asked for it now. */
  remainingPullSeconds(image: ImageName, gb: number, now: MonotonicTime): number {
    const full = pullSeconds(gb, this.type.imagePullGbPerSecond * this.speed);
    const cached = this.images.get(image);
    if (!cached) return full;
    if (cached.pullingSince === null) return 0;
    return Math.max(MIN_REMAINING_PULL_SECONDS, full - (now - cached.pullingSince) / 1000);
  }

  /** Whether the whole image is there. */
  has(image: ImageName): boolean {
    return this.images.get(image)?.pullingSince === null;
  }

  /** Yields the images that are there whole, in no order. */
  *presentImages(): Iterable<ImageName> {
    for (const [name, { pullingSince }] of this.images) if (pullingSince === null) yield name;
  }

  /** Returns the images that are there whole, those used last at the end. */
  presentImagesByLastUse(): ImageName[] {
    const present = [...this.images].filter(([, image]) => image.pullingSince === null);
    return present.sort((a, b) => a[1].lastUsedAt - b[1].lastUsedAt).map(([name]) => name);
  }

  /** Takes over what a previous leader has written. Images whose size is not in `sizesGb` are left out. */
  restore(
    names: readonly ImageName[],
    speed: number,
    sizesGb: ReadonlyMap<ImageName, number>,
    now: MonotonicTime,
  ): void {
    this.speed = speed;
    for (const name of names) {
      const sizeGb = sizesGb.get(name);
      if (sizeGb === undefined || this.images.has(name)) continue;
      this.images.set(name, { sizeGb, lastUsedAt: now, pullingSince: null, pullObserved: false });
    }
  }

  /** A task waits for its image. `observed`: its start was seen just before, so the pull begins now. */
  onPulling({ image, imageGb: sizeGb }: JobSpec, observed: boolean, now: MonotonicTime): void {
    if (this.images.has(image)) return;
    this.images.set(image, { sizeGb, lastUsedAt: now, pullingSince: now, pullObserved: observed });
  }

  /** A task has its image. */
  onPresent({ image, imageGb: sizeGb }: JobSpec, now: MonotonicTime): void {
    const cached = this.images.get(image);
    if (!cached) {
      this.images.set(image, { sizeGb, lastUsedAt: now, pullingSince: null, pullObserved: false });
      this.hasUnwrittenChanges = true;
    } else {
      if (cached.pullingSince !== null) this.onPulled(cached, now);
      cached.lastUsedAt = now;
    }
    if (this.hasUnwrittenChanges) this.evict();
  }

  private onPulled(cached: CachedImage, now: MonotonicTime): void {
    const since = cached.pullingSince ?? now;
    if (cached.pullObserved) this.observePull(cached.sizeGb, (now - since) / 1000);
    cached.pullingSince = null;
    this.hasUnwrittenChanges = true;
  }

  /** A pull seen from beginning to end tells how fast this machine is; one among several tells nothing. */
  private observePull(sizeGb: number, tookSeconds: number): void {
    let pulling = 0;
    for (const image of this.images.values()) if (image.pullingSince !== null) pulling += 1;
    if (pulling > 1 || tookSeconds < MIN_OBSERVED_PULL_SECONDS) return;
    const observed = sizeGb / this.type.imagePullGbPerSecond / tookSeconds;
    const smoothed = (1 - OBSERVATION_WEIGHT) * this.speed + OBSERVATION_WEIGHT * observed;
    this.speed = Math.min(MAX_PULL_SPEED, Math.max(MIN_PULL_SPEED, smoothed));
  }

  /** The worker gives up a pull once no task waits for it. */
  dropAbandonedPulls(isWanted: (image: ImageName) => boolean): void {
    for (const [name, image] of this.images) {
      if (image.pullingSince !== null && !isWanted(name)) this.images.delete(name);
    }
  }

  /** Assumes what the worker does: it keeps the most recently used images that fit. */
  private evict(): void {
    let totalGb = 0;
    for (const image of this.images.values()) totalGb += image.sizeGb;
    while (totalGb > this.type.imageCacheGb && this.images.size > 1) {
      const oldest = this.leastRecentlyUsed();
      if (oldest === null) return;
      totalGb -= this.images.get(oldest)?.sizeGb ?? 0;
      this.images.delete(oldest);
    }
  }

  private leastRecentlyUsed(): ImageName | null {
    let oldest: ImageName | null = null;
    let oldestUse = Number.POSITIVE_INFINITY;
    for (const [name, { pullingSince, lastUsedAt }] of this.images) {
      if (pullingSince !== null || lastUsedAt >= oldestUse) continue;
      oldestUse = lastUsedAt;
      oldest = name;
    }
    return oldest;
  }
}
