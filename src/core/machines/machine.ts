import type { Job, Placement } from '../jobs/job.js';
import type {
  Attempt,
  ImageName,
  JobId,
  MachineId,
  MachineType,
  Resources,
  Seq,
  Session,
  Steady,
  TypeName,
  ZoneName,
} from '../types.js';
import { Slowness } from './slowness.js';

export type TaskKey = string;
export const taskKey = (job: JobId, index: number): TaskKey => `${job}/${index}`;

/** One start: a task and its attempt. */
export const startKey = (s: { readonly job: JobId | Job; readonly index: number; readonly attempt: Attempt }): string =>
  `${typeof s.job === 'string' ? s.job : s.job.id}/${s.index}/${s.attempt}`;

export interface ExitedTask {
  readonly job: JobId;
  readonly index: number;
  readonly attempt: Attempt;
  readonly done: boolean;
}

interface CachedImage {
  readonly gb: number;
  lastUsedAt: Steady;
  /** While it is being fetched: since when. */
  fetchingSince: Steady | null;
  /** Whether the fetch was seen from its beginning. */
  fetchObserved: boolean;
}

/** After so many report periods without a word a machine gets no new work. */
export const MISSED_REPORTS_UNTIL_SILENT = 2.5;
/** What we say wasn't heeded so often in a row: hearing a machine doesn't mean reaching it. */
export const UNRESPONSIVE_AFTER_IGNORED = 2;

export class Machine {
  addr: string;
  phase: 'booting' | 'up' | 'leaving';
  /** Known to the store: before that, no command goes to it. */
  registered = false;
  /** False while it may hold tasks we don't know of: it was registered by an earlier leader and hasn't shown us its list. */
  reconciled: boolean;
  session: Session | null = null;
  seq: Seq | null = null;
  /** Highest token the worker has shown. */
  tokenSeen = 0n;
  /** The last sign of life: a report newer than any before, or an answer to a direct command. */
  lastSeenAt: Steady;
  /** When its lease may last have begun anew: by a report that was answered, or a new session; it bounds its tasks' time. */
  leaseRenewedAt: Steady;
  /** Its last report, not counting answers to direct calls. */
  lastReportAt: Steady;
  /** The newest report of the present session; answers to direct commands are numbered in the same row. */
  lastReportSeq: Seq | null = null;
  /** Known only from a list or a report that may be a late copy, until it shows that what we say reaches it. */
  confirmed: boolean;
  /** Reports answered in this term that still carried an earlier leader's token. */
  staleTokenReports = 0;
  /** How often in a row what we told it was not heeded; from DEAF_AFTER on it is set aside. */
  ignoredAnswers = 0;
  unresponsiveSince: Steady | null = null;
  nextProbeAt = 0 as Steady;
  firstReportAt: Steady | null = null;
  rentedAt: Steady;
  interruptionAt: Steady | null = null;
  /** Out of use for a reason: no new work, and returned once empty. */
  draining: string | null = null;
  consecutiveErrors = 0;
  readonly slowness = new Slowness();
  suspectUntil = 0 as Steady;
  idleSince: Steady;
  /** A deletion is under way; and: one was asked for, whose outcome may be unknown. */
  deletionInFlight = false;
  deletionRequested = false;
  interruptionCounted = false;
  commandInFlight = false;
  /** Starts sent by direct calls that were not answered: they may come as long as the session lasts. */
  readonly unconfirmedStarts = new Set<string>();
  /** It left a direct command without an answer: no other before this time. */
  nextCommandAt = 0 as Steady;
  /** Kept for a moment for a job that is on its way here. */
  reserved: { readonly job: JobId; readonly until: Steady } | null = null;
  readonly placements = new Map<TaskKey, Placement>();
  exitedTasks: ExitedTask[] = [];
  readonly images = new Map<ImageName, CachedImage>();
  /** How fast it fetches, against its type's nominal rate, as seen so far. */
  fetchSpeed = 1;
  /** Which images it holds has changed since they were last written down. */
  imagesChanged = false;
  usedCpus = 0;
  usedGpus = 0;
  usedMemGb = 0;

  constructor(
    readonly id: MachineId,
    readonly type: MachineType,
    readonly zone: ZoneName,
    readonly spot: boolean,
    addr: string,
    accounted: boolean,
    phase: 'booting' | 'up',
    now: Steady,
  ) {
    this.addr = addr;
    this.reconciled = accounted;
    this.phase = phase;
    this.lastSeenAt = now;
    this.leaseRenewedAt = now;
    this.lastReportAt = now;
    this.confirmed = accounted && phase === 'booting';
    this.rentedAt = now;
    this.idleSince = now;
  }

  /** Something we said has reached it. Returns whether it had been set aside as deaf. */
  confirmReachable(): boolean {
    this.ignoredAnswers = 0;
    this.confirmed = true;
    const was = this.unresponsiveSince !== null;
    this.unresponsiveSince = null;
    return was;
  }

  get typeName(): TypeName {
    return this.type.name;
  }

  /**
   * Whether new work may be given to it. One whose reports don't come may never take what it is given, and its lease ends
   * whatever it answers to direct calls (mute-machine.txt, property): those don't count here.
   */
  isSchedulable(now: Steady, reportMs: number): boolean {
    return (
      this.phase === 'up' &&
      now - this.lastReportAt < MISSED_REPORTS_UNTIL_SILENT * reportMs &&
      this.reconciled &&
      this.confirmed &&
      this.unresponsiveSince === null &&
      this.draining === null &&
      this.interruptionAt === null &&
      !this.deletionInFlight &&
      this.suspectUntil <= now
    );
  }

  hasRoomFor(resources: Resources): boolean {
    const eps = 1e-6;
    return (
      this.usedCpus + resources.cpus <= this.type.cpus + eps &&
      this.usedGpus + resources.gpus <= this.type.gpus + eps &&
      this.usedMemGb + resources.memGb <= this.type.memGb + eps
    );
  }

  addPlacement(placement: Placement): void {
    this.placements.set(taskKey(placement.job.id, placement.index), placement);
    this.usedCpus += placement.job.spec.cpus;
    this.usedGpus += placement.job.spec.gpus;
    this.usedMemGb += placement.job.spec.memGb;
  }

  removePlacement(placement: Placement, now: Steady): void {
    const key = taskKey(placement.job.id, placement.index);
    if (this.placements.get(key) !== placement) return;
    this.placements.delete(key);
    this.usedCpus -= placement.job.spec.cpus;
    this.usedGpus -= placement.job.spec.gpus;
    this.usedMemGb -= placement.job.spec.memGb;
    if (this.placements.size === 0) {
      this.usedCpus = 0;
      this.usedGpus = 0;
      this.usedMemGb = 0;
      this.idleSince = now;
    }
  }

  /** Seconds until `image` would be there if a task asked for it now. */
  fetchSeconds(image: ImageName, gb: number, now: Steady): number {
    const cached = this.images.get(image);
    const full = gb / Math.max(0.01, this.type.fetchGbPerS * this.fetchSpeed);
    if (!cached) return full;
    if (cached.fetchingSince === null) return 0;
    return Math.max(1, full - (now - cached.fetchingSince) / 1000);
  }

  recordImage(job: Job, fetching: boolean, now: Steady, fromStart = false): void {
    const { image, imageGb } = job.spec;
    const cached = this.images.get(image);
    if (fetching) {
      if (!cached)
        this.images.set(image, { gb: imageGb, lastUsedAt: now, fetchingSince: now, fetchObserved: fromStart });
      return;
    }
    if (cached) {
      if (cached.fetchingSince !== null && cached.fetchObserved)
        this.updateFetchSpeed(imageGb, (now - cached.fetchingSince) / 1000);
      if (cached.fetchingSince !== null) this.imagesChanged = true;
      cached.fetchingSince = null;
      cached.lastUsedAt = now;
      if (!this.imagesChanged) return;
    } else {
      this.images.set(image, { gb: imageGb, lastUsedAt: now, fetchingSince: null, fetchObserved: false });
      this.imagesChanged = true;
    }
    this.evict();
  }

  /** A fetch seen from beginning to end tells how fast this machine is; one among several tells nothing. */
  private updateFetchSpeed(gb: number, tookS: number): void {
    let fetching = 0;
    for (const c of this.images.values()) if (c.fetchingSince !== null) fetching += 1;
    if (fetching > 1 || tookS < 2) return;
    const speed = gb / this.type.fetchGbPerS / tookS;
    this.fetchSpeed = Math.min(1.6, Math.max(0.5, 0.4 * this.fetchSpeed + 0.6 * speed));
  }

  /** The images it holds, those used last at the end. */
  cachedImages(): ImageName[] {
    const held = [...this.images].filter(([, c]) => c.fetchingSince === null);
    return held.sort((a, b) => a[1].lastUsedAt - b[1].lastUsedAt).map(([name]) => name);
  }

  restoreImage(name: ImageName, gb: number, now: Steady): void {
    if (!this.images.has(name))
      this.images.set(name, { gb, lastUsedAt: now, fetchingSince: null, fetchObserved: false });
  }

  /** A fetch is given up once no task waits for it. */
  dropAbandonedFetches(): void {
    for (const [image, cached] of this.images) {
      if (cached.fetchingSince === null) continue;
      let wanted = false;
      for (const p of this.placements.values()) if (p.job.spec.image === image) wanted = true;
      if (!wanted) this.images.delete(image);
    }
  }

  private evict(): void {
    let total = 0;
    for (const c of this.images.values()) total += c.gb;
    while (total > this.type.cacheGb && this.images.size > 1) {
      let oldest: ImageName | null = null;
      let at = Number.POSITIVE_INFINITY;
      for (const [image, cached] of this.images) {
        if (cached.fetchingSince === null && cached.lastUsedAt < at) {
          at = cached.lastUsedAt;
          oldest = image;
        }
      }
      if (oldest === null) return;
      total -= this.images.get(oldest)?.gb ?? 0;
      this.images.delete(oldest);
    }
  }
}
