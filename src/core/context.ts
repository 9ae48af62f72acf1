import { type CallPriority, CallQueue, type QueuedCall } from './calls/call_queue.js';
import { TokenBucket } from './calls/token_bucket.js';
import { ALL_OFF, type Features } from './features.js';
import type {
  CallId,
  CloudOp,
  CloudValue,
  LogFields,
  LogLevel,
  Output,
  PeerMessage,
  RequestId,
  Result,
  StoreOp,
  StoreValue,
  UserAnswer,
  WorkerAnswer,
  WorkerOp,
  WorkerValue,
} from './messages.js';
import type { Settings, Tuning } from './settings.js';
import { Timers } from './timers.js';
import { type NodeName, type Now, type Steady, steadyPlus } from './types.js';

export type TimerName =
  | 'election'
  | 'renew'
  | 'peerStatus'
  | 'jobCache'
  | 'pollConfirmation'
  | 'round'
  | 'recordFlush'
  | 'heldReports'
  | 'healthChecks'
  | 'catalog'
  | 'workerCommands'
  | 'loadState'
  | 'cancellationNotices'
  | 'servicePlacement'
  | 'reportBacklog'
  | 'reconciliation'
  | 'storeQueue'
  | 'cloudQueue';

type OnResult<T> = (result: Result<T>) => void;

/** How a call to an outside service may wait. */
export interface CallOptions {
  /** For an answer, once it is sent. */
  readonly timeoutMs?: number;
  /** For tokens, before it is sent; what has to wait longer is refused. */
  readonly maxQueueMs?: number;
  /** Somebody waits for the answer: what surely has to wait longer than that is refused at once. */
  readonly refuseEarly?: boolean;
  /** Called at the moment it is sent. */
  readonly onSend?: (at: Steady) => void;
}

interface OpenStoreCall {
  readonly onResult: OnResult<StoreValue>;
  readonly writes: boolean;
}

/** The leader's part of the state service's limits, and what the followers share: together somewhat over the whole. */
const LEADER_PART = 0.65;
const FOLLOWERS_PART = 0.7;
const CLOUD_RATE_PART = 0.8;
const STORE_TIMEOUT_MS = 1500;
const STORE_QUEUE_MS = 3000;
const CLOUD_QUEUE_MS = 5000;
/** Pause after a call that the state service refused. */
const REFUSED_PAUSE_MS = 100;
/** What is said of a job that isn't over leaves within this time, or not at all. */
const OPEN_ANSWER_MS = 250;
/** With less of the burst left than this, writes that can wait should. */
const SPARE_WRITES_LEVEL = 0.5;

const REFUSED = { ok: false, why: 'refused' } as const;

const isWrite = (op: StoreOp): boolean => op.op === 'txn' && op.changes.length > 0;

/**
 * What a step has in common for all parts of a node: the time, the outputs gathered so far, timers, and calls to outside
 * services that have yet to be sent or answered.
 */
export class Context {
  now: Now;
  readonly timers = new Timers<TimerName>();
  /** Until when no other node can lead, if this one does (election.ts). */
  leadershipValidUntil = 0 as Steady;
  /** Since when the state service has only refused this node or not answered; null: it answers. */
  storeFailingSince: Steady | null = null;

  private outputs: Output[] = [];
  private leading = false;
  /** Whether the lower rates that were announced have come into force, as far as this process has seen. */
  private loweredRates = false;
  private lastCall: CallId = 0;
  private readonly storeCalls = new Map<CallId, OpenStoreCall>();
  private readonly cloudCalls = new Map<CallId, OnResult<CloudValue>>();
  private readonly workerCalls = new Map<CallId, OnResult<WorkerValue>>();
  private readonly storeCallTokens: TokenBucket;
  private readonly storeWriteTokens: TokenBucket;
  private readonly storeQueue: CallQueue;
  private readonly cloudQueue: CallQueue;

  constructor(
    readonly settings: Settings,
    readonly tuning: Tuning,
    start: Now,
    readonly features: Features = ALL_OFF,
  ) {
    this.now = start;
    const { store, cloud } = settings;
    this.storeCallTokens = new TokenBucket(store.rps, store.rps, start.steady);
    this.storeWriteTokens = new TokenBucket(store.writeRps, store.writeRps, start.steady);
    this.storeQueue = new CallQueue(this.storeCallTokens, this.storeWriteTokens);
    this.cloudQueue = new CallQueue(new TokenBucket(cloud.rps * CLOUD_RATE_PART, cloud.rps, start.steady), null);
    this.setLeading(false);
  }

  beginStep(now: Now): void {
    this.now = now;
    this.outputs = [];
  }

  /** Lets queued calls out as far as the token buckets allow, and returns all outputs of the step. */
  endStep(): Output[] {
    this.pump(this.storeQueue, 'storeQueue');
    this.pump(this.cloudQueue, 'cloudQueue');
    return this.outputs;
  }

  private pump(queue: CallQueue, timer: 'storeQueue' | 'cloudQueue'): void {
    const next = queue.pump(this.now.steady);
    if (next === null) this.timers.clear(timer);
    else this.timers.set(timer, next);
  }

  get isLeading(): boolean {
    return this.leading;
  }

  /** The instant so many milliseconds from now. */
  after(ms: number): Steady {
    return steadyPlus(this.now.steady, ms);
  }

  /**
   * The nodes share the limits of the state service without talking about it. Most of what is written comes from the
   * leader, so it takes the larger part and the others share the rest; a refusal makes a node pause.
   */
  setLeading(leading: boolean): void {
    this.leading = leading;
    const { nodes, store } = this.settings;
    const followerPart = Math.min(LEADER_PART, FOLLOWERS_PART / (nodes - 1));
    const part = nodes === 1 ? 1 : leading ? LEADER_PART : followerPart;
    const { steady } = this.now;
    const rps = (this.loweredRates ? store.nextRps : store.rps) * part;
    const writeRps = (this.loweredRates ? store.nextWriteRps : store.writeRps) * part;
    this.storeCallTokens.resize(rps, rps, steady);
    this.storeWriteTokens.resize(writeRps, Math.max(store.txnOps, writeRps), steady);
  }

  /** Whether the state service takes more writes than what must be written now needs. */
  hasSpareWrites(): boolean {
    return this.storeWriteTokens.fullness(this.now.steady) > SPARE_WRITES_LEVEL;
  }

  log(level: LogLevel, text: string, fields: LogFields = {}): void {
    this.outputs.push({ kind: 'log', level, text, fields });
  }

  store(op: StoreOp, priority: CallPriority, onResult: OnResult<StoreValue>, options: CallOptions = {}): void {
    const { timeoutMs = STORE_TIMEOUT_MS, maxQueueMs = STORE_QUEUE_MS, refuseEarly = false, onSend } = options;
    const queued: QueuedCall = {
      writes: op.op === 'txn' ? op.changes.length : 0,
      expiresAt: this.after(maxQueueMs),
      send: () => {
        const call = this.nextCall();
        this.storeCalls.set(call, { onResult, writes: isWrite(op) });
        onSend?.(this.now.steady);
        this.outputs.push({ kind: 'store', call, op, timeoutMs });
      },
      giveUp: () => onResult(REFUSED),
    };
    if (refuseEarly) this.storeQueue.addIfInTime(priority, queued, this.now.steady);
    else this.storeQueue.add(priority, queued);
  }

  cloud(op: CloudOp, priority: CallPriority, onResult: OnResult<CloudValue>): void {
    this.cloudQueue.add(priority, {
      writes: 0,
      expiresAt: this.after(CLOUD_QUEUE_MS),
      send: () => this.sendToCloud(op, onResult),
      giveUp: () => onResult(REFUSED),
    });
  }

  /** What changes anything there goes out only while this node leads: the cloud has no token that would refuse it later. */
  private sendToCloud(op: CloudOp, onResult: OnResult<CloudValue>): void {
    const changes = op.op === 'rent' || op.op === 'delete';
    if (changes && this.now.steady >= this.leadershipValidUntil) {
      onResult(REFUSED);
      return;
    }
    const call = this.nextCall();
    this.cloudCalls.set(call, onResult);
    this.outputs.push(changes ? { kind: 'cloud', call, op, ...this.whileLeading() } : { kind: 'cloud', call, op });
  }

  /** For outputs that only the leader may make. */
  private whileLeading(): { notAfter: Steady } {
    return { notAfter: this.leadershipValidUntil };
  }

  /** A direct call to a worker: it is sent at once. */
  worker(op: WorkerOp, onResult: OnResult<WorkerValue>): void {
    const call = this.nextCall();
    this.workerCalls.set(call, onResult);
    this.outputs.push({ kind: 'worker', call, op, ...this.whileLeading() });
  }

  /** Direct calls without an answer so far: each holds a socket, and one to a silent machine for seconds. */
  get openWorkerCalls(): number {
    return this.workerCalls.size;
  }

  peer(to: NodeName, message: PeerMessage): void {
    this.outputs.push({ kind: 'peer', to, message, ...this.expiryOf(message) });
  }

  private expiryOf(message: PeerMessage): { notAfter: Steady } | null {
    if (message.kind === 'requestAnswer') return this.whileFresh(message.answer);
    const renewsLease = message.kind === 'reportAnswer' && message.answer.status === 200;
    return renewsLease ? this.whileLeading() : null;
  }

  /** `deadline`: when the user no longer waits for the answer. */
  answerUser(req: RequestId, answer: UserAnswer, deadline: Steady): void {
    const fresh = this.whileFresh(answer);
    const notAfter = fresh && (Math.min(fresh.notAfter, deadline) as Steady);
    this.outputs.push({ kind: 'answerUser', req, answer, ...(notAfter ? { notAfter } : {}) });
  }

  /** What isn't final is true of the moment at which it was confirmed: another node may be cancelling the job. */
  private whileFresh(answer: UserAnswer): { notAfter: Steady } | null {
    const isOpen = 'jobStatus' in answer && (answer.jobStatus === 'queued' || answer.jobStatus === 'running');
    return isOpen ? { notAfter: this.after(OPEN_ANSWER_MS) } : null;
  }

  answerWorker(req: RequestId, answer: WorkerAnswer): void {
    // A node that doesn't lead hands on the leader's answer as it came.
    const renewsLease = answer.status === 200 && this.leading;
    this.outputs.push({ kind: 'answerWorker', req, answer, ...(renewsLease ? this.whileLeading() : {}) });
  }

  private nextCall(): CallId {
    this.lastCall += 1;
    return this.lastCall;
  }

  onStoreReply(call: CallId, result: Result<StoreValue>): void {
    const sent = this.storeCalls.get(call);
    if (!sent) return;
    this.storeCalls.delete(call);
    if (!result.ok && result.throttled) this.onThrottled(sent.writes);
    this.noteStoreHealth(result);
    sent.onResult(result);
  }

  private noteStoreHealth(result: Result<StoreValue>): void {
    if (result.ok || (result.why !== 'refused' && result.why !== 'unknown')) {
      this.storeFailingSince = null;
      return;
    }
    this.storeFailingSince ??= this.now.steady;
    if (result.why === 'refused') this.storeQueue.pause(this.after(REFUSED_PAUSE_MS));
  }

  /**
   * The service said that calls come too often. Where lower rates are announced this is the only sign that they have come
   * into force; taken too early it costs some pace, and sizes have kept to both limits from the start.
   */
  private onThrottled(writes: boolean): void {
    const { store } = this.settings;
    const announced = writes ? store.nextWriteRps < store.writeRps : store.nextRps < store.rps;
    if (this.loweredRates || !announced) return;
    this.loweredRates = true;
    this.log('info', 'state service takes fewer calls: keeping to the announced limits', {
      rps: store.nextRps,
      writeRps: store.nextWriteRps,
    });
    this.setLeading(this.leading);
  }

  onCloudReply(call: CallId, result: Result<CloudValue>): void {
    const onResult = this.cloudCalls.get(call);
    this.cloudCalls.delete(call);
    onResult?.(result);
  }

  onWorkerReply(call: CallId, result: Result<WorkerValue>): void {
    const onResult = this.workerCalls.get(call);
    this.workerCalls.delete(call);
    onResult?.(result);
  }
}
