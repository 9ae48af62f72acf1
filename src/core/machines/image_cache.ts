/** Tracks which images one machine holds, and estimates how fast it pulls them. */
import type { ImageName, JobSpec, MachineType, MonotonicTime } from '../types.js';

/** Bounds of a machine's estimated pull speed, relative to the nominal rate of its type. */
const MIN_PULL_SPEED = 0.5;
const MAX_PULL_SPEED = 1.6;
/** Weight of a new observation in the estimated pull speed. */
const OBSERVATION_WEIGHT = 0.6;
/** Shorter pulls are ignored, because most of their apparent duration is the wait for the next heartbeat. */
const MIN_OBSERVED_PULL_SECONDS = 2;
/** Minimum remaining time of a pull in progress, even if it should already have finished. */
const MIN_REMAINING_PULL_SECONDS = 1;
/** Lower bound of the pull rate from which pull times are calculated. */
const MIN_PULL_GB_PER_SECOND = 0.01;

/** An image that a machine holds or pulls. */
interface CachedImage {
  readonly sizeGb: number;
  lastUsedAt: MonotonicTime;
  /** The time since which the image has been pulled. Null once it is complete. */
  pullingSince: MonotonicTime | null;
  /** Whether the pull was observed from its beginning. */
  pullObserved: boolean;
}

/** Returns the seconds that the pull of an image takes at the given rate. */
export const pullSeconds = (sizeGb: number, gbPerSecond: number): number =>
  sizeGb / Math.max(MIN_PULL_GB_PER_SECOND, gbPerSecond);

/** The images that a machine holds or pulls according to its statuses, and its estimated pull speed. */
export class ImageCache {
  private hasUnwrittenChanges = false;
  private speed = 1;
  private readonly images = new Map<ImageName, CachedImage>();

  constructor(private readonly type: MachineType) {}

  /** Whether the set of complete images has changed since it was last written to the state store. */
  get isDirty(): boolean {
    return this.hasUnwrittenChanges;
  }

  /** Records that the current images are being written to the state store. */
  markWritten(): void {
    this.hasUnwrittenChanges = false;
  }

  /** Estimated pull speed relative to the nominal rate of the machine's type. */
  get pullSpeed(): number {
    return this.speed;
  }

  /** Returns the seconds until the image would be complete if a task requested it now. */
  remainingPullSeconds(image: ImageName, gb: number, now: MonotonicTime): number {
    const full = pullSeconds(gb, this.type.imagePullGbPerSecond * this.speed);
    const cached = this.images.get(image);
    if (!cached) return full;
    if (cached.pullingSince === null) return 0;
    return Math.max(MIN_REMAINING_PULL_SECONDS, full - (now - cached.pullingSince) / 1000);
  }

  /** Returns whether the complete image is on the machine. */
  has(image: ImageName): boolean {
    return this.images.get(image)?.pullingSince === null;
  }

  /** Yields the complete images in no particular order. */
  *presentImages(): Iterable<ImageName> {
    for (const [name, { pullingSince }] of this.images) if (pullingSince === null) yield name;
  }

  /** Returns the complete images, the most recently used last. */
  presentImagesByLastUse(): ImageName[] {
    const present = [...this.images].filter(([, image]) => image.pullingSince === null);
    return present.sort((a, b) => a[1].lastUsedAt - b[1].lastUsedAt).map(([name]) => name);
  }

  /** Restores the stored images and pull speed. Images whose size is unknown are left out. */
  restore(
    names: readonly ImageName[],
    speed: number,
    sizeGbOf: (name: ImageName) => number | undefined,
    now: MonotonicTime,
  ): void {
    this.speed = speed;
    for (const name of names) {
      const sizeGb = sizeGbOf(name);
      if (sizeGb === undefined || this.images.has(name)) continue;
      this.images.set(name, { sizeGb, lastUsedAt: now, pullingSince: null, pullObserved: false });
    }
  }

  /** Records that a task is waiting for its image. `observed`: the task was just started, so the pull begins now. */
  onPulling({ image, imageGb: sizeGb }: JobSpec, observed: boolean, now: MonotonicTime): void {
    if (this.images.has(image)) return;
    this.images.set(image, { sizeGb, lastUsedAt: now, pullingSince: now, pullObserved: observed });
  }

  /** Records that a task's image is complete. */
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

  /** Updates the pull speed from a pull that was observed in full. A pull among several concurrent ones is ignored. */
  private observePull(sizeGb: number, tookSeconds: number): void {
    let pulling = 0;
    for (const image of this.images.values()) if (image.pullingSince !== null) pulling += 1;
    if (pulling > 1 || tookSeconds < MIN_OBSERVED_PULL_SECONDS) return;
    const observed = sizeGb / this.type.imagePullGbPerSecond / tookSeconds;
    const smoothed = (1 - OBSERVATION_WEIGHT) * this.speed + OBSERVATION_WEIGHT * observed;
    this.speed = Math.min(MAX_PULL_SPEED, Math.max(MIN_PULL_SPEED, smoothed));
  }

  /** Removes pulls of images that are not wanted. The worker aborts a pull once no task waits for it. */
  dropAbandonedPulls(isWanted: (image: ImageName) => boolean): void {
    for (const [name, image] of this.images) {
      if (image.pullingSince !== null && !isWanted(name)) this.images.delete(name);
    }
  }

  /** Mirrors the worker's eviction, which retains the most recently used images that fit. */
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
