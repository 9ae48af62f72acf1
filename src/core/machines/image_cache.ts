import type { ImageName, JobSpec, MachineType, MonotonicTime } from '../types.js';

/** Bounds of what is believed of a machine's fetch speed, and the weight of each new observation. */
const MIN_FETCH_SPEED = 0.5;
const MAX_FETCH_SPEED = 1.6;
const OBSERVATION_WEIGHT = 0.6;
/** A shorter fetch tells nothing: it was mostly waiting for reports. */
const MIN_OBSERVED_FETCH_S = 2;
/** What is left of a fetch that should be over. */
const MIN_FETCH_LEFT_S = 1;
const MIN_RATE_GB_PER_S = 0.01;

interface CachedImage {
  readonly gb: number;
  lastUsedAt: MonotonicTime;
  /** While it is being fetched: since when. */
  fetchingSince: MonotonicTime | null;
  /** Whether the fetch was seen from its beginning. */
  fetchObserved: boolean;
}

/** Seconds that a whole fetch takes at a rate. */
export const fetchTimeS = (gb: number, gbPerS: number): number => gb / Math.max(MIN_RATE_GB_PER_S, gbPerS);

/** The images that a machine holds or fetches, as far as its reports tell, and how fast it fetches. */
export class ImageCache {
  /** Whether the images held have changed since they were last written down. */
  changed = false;
  private speed = 1;
  private readonly images = new Map<ImageName, CachedImage>();

  constructor(private readonly type: MachineType) {}

  /** How fast the machine fetches, against the nominal rate of its type. */
  get fetchSpeed(): number {
    return this.speed;
  }

  /** Seconds until the image would be there if a task asked for it now. */
  fetchSeconds(image: ImageName, gb: number, now: MonotonicTime): number {
    const full = fetchTimeS(gb, this.type.imagePullGbPerSecond * this.speed);
    const cached = this.images.get(image);
    if (!cached) return full;
    if (cached.fetchingSince === null) return 0;
    return Math.max(MIN_FETCH_LEFT_S, full - (now - cached.fetchingSince) / 1000);
  }

  /** Whether the whole image is there. */
  holds(image: ImageName): boolean {
    return this.images.get(image)?.fetchingSince === null;
  }

  /** The images that are there whole, in no order. */
  *heldImages(): Iterable<ImageName> {
    for (const [name, { fetchingSince }] of this.images) if (fetchingSince === null) yield name;
  }

  /** The images that are there whole, those used last at the end. */
  heldByLastUse(): ImageName[] {
    const held = [...this.images].filter(([, image]) => image.fetchingSince === null);
    return held.sort((a, b) => a[1].lastUsedAt - b[1].lastUsedAt).map(([name]) => name);
  }

  /** Takes over what an earlier leader wrote down. */
  restore(names: readonly ImageName[], speed: number, gbOf: ReadonlyMap<ImageName, number>, now: MonotonicTime): void {
    this.speed = speed;
    for (const name of names) {
      const gb = gbOf.get(name);
      if (gb === undefined || this.images.has(name)) continue;
      this.images.set(name, { gb, lastUsedAt: now, fetchingSince: null, fetchObserved: false });
    }
  }

  /** A task waits for its image. `observed`: its start was seen just before, so the fetch begins now. */
  onFetching({ image, imageGb: gb }: JobSpec, observed: boolean, now: MonotonicTime): void {
    if (this.images.has(image)) return;
    this.images.set(image, { gb, lastUsedAt: now, fetchingSince: now, fetchObserved: observed });
  }

  /** A task has its image. */
  onHeld({ image, imageGb: gb }: JobSpec, now: MonotonicTime): void {
    const cached = this.images.get(image);
    if (!cached) {
      this.images.set(image, { gb, lastUsedAt: now, fetchingSince: null, fetchObserved: false });
      this.changed = true;
    } else {
      if (cached.fetchingSince !== null) this.onFetched(cached, now);
      cached.lastUsedAt = now;
    }
    if (this.changed) this.evict();
  }

  private onFetched(cached: CachedImage, now: MonotonicTime): void {
    const since = cached.fetchingSince ?? now;
    if (cached.fetchObserved) this.observeFetch(cached.gb, (now - since) / 1000);
    cached.fetchingSince = null;
    this.changed = true;
  }

  /** A fetch seen from beginning to end tells how fast this machine is; one among several tells nothing. */
  private observeFetch(gb: number, tookS: number): void {
    let fetching = 0;
    for (const image of this.images.values()) if (image.fetchingSince !== null) fetching += 1;
    if (fetching > 1 || tookS < MIN_OBSERVED_FETCH_S) return;
    const observed = gb / this.type.imagePullGbPerSecond / tookS;
    const smoothed = (1 - OBSERVATION_WEIGHT) * this.speed + OBSERVATION_WEIGHT * observed;
    this.speed = Math.min(MAX_FETCH_SPEED, Math.max(MIN_FETCH_SPEED, smoothed));
  }

  /** A fetch is given up once no task waits for it. */
  dropAbandonedFetches(isWanted: (image: ImageName) => boolean): void {
    for (const [name, image] of this.images) {
      if (image.fetchingSince !== null && !isWanted(name)) this.images.delete(name);
    }
  }

  /** Assumes what the worker does: it keeps the most recently used images that fit. */
  private evict(): void {
    let totalGb = 0;
    for (const image of this.images.values()) totalGb += image.gb;
    while (totalGb > this.type.imageCacheGb && this.images.size > 1) {
      const oldest = this.leastRecentlyUsed();
      if (oldest === null) return;
      totalGb -= this.images.get(oldest)?.gb ?? 0;
      this.images.delete(oldest);
    }
  }

  private leastRecentlyUsed(): ImageName | null {
    let oldest: ImageName | null = null;
    let oldestUse = Number.POSITIVE_INFINITY;
    for (const [name, { fetchingSince, lastUsedAt }] of this.images) {
      if (fetchingSince !== null || lastUsedAt >= oldestUse) continue;
      oldestUse = lastUsedAt;
      oldest = name;
    }
    return oldest;
  }
}
