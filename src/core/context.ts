import { type CallPriority, CallQueue, TokenBucket } from './calls/call_queue.js';
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
  | 'storeQueue'
  | 'cloudQueue';

type Reply<T> = (result: Result<T>) => void;

const LEADER_PART = 0.65;
const FOLLOWERS_PART = 0.7;

const REFUSED = { ok: false, why: 'refused' } as const;

/** The step in progress: the time, the outputs gathered, and the calls still without an answer. */
export class Context {
  now: Now = { steady: 0 as Steady, wall: 0 as Now['wall'] };
  outputs: Output[] = [];
  readonly timers = new Timers<TimerName>();
  /** Since when the state service has only refused this node or not answered; null: it answers. */
  storeFailingSince: Steady | null = null;

  private isLeading = false;
  /** The lower rates that were announced have come into force, as far as this process has seen. */
  private lowered = false;
  private lastCall: CallId = 0;
  private readonly storeCalls = new Map<CallId, { readonly reply: Reply<StoreValue>; readonly writes: boolean }>();
  private readonly cloudCalls = new Map<CallId, Reply<CloudValue>>();
  private readonly workerCalls = new Map<CallId, Reply<WorkerValue>>();
  private readonly storeQueue: CallQueue<StoreOp>;
  private readonly storeCallsBucket: TokenBucket;
  private readonly storeWrites: TokenBucket;
  private readonly cloudQueue: CallQueue<CloudOp>;

  constructor(
    readonly settings: Settings,
    readonly tuning: Tuning,
    start: Now,
  ) {
    this.now = start;
    const s = settings.store;
    this.storeCallsBucket = new TokenBucket(s.rps, s.rps, start.steady);
    this.storeWrites = new TokenBucket(s.writeRps, s.writeRps, start.steady);
    this.storeQueue = new CallQueue(this.storeCallsBucket, this.storeWrites);
    this.leading(false);
    this.cloudQueue = new CallQueue(new TokenBucket(settings.cloud.rps * 0.8, settings.cloud.rps, start.steady), null);
  }

  /**
   * The nodes share the service's limits without talking about it. Most of what is written comes from the leader, so it
   * takes the larger part and the others share the rest; together somewhat over the whole, and a refusal makes a node
   * pause.
   */
  leading(yes: boolean): void {
    const { nodes, store } = this.settings;
    this.isLeading = yes;
    const part = nodes === 1 ? 1 : yes ? LEADER_PART : Math.min(LEADER_PART, FOLLOWERS_PART / (nodes - 1));
    const { steady } = this.now;
    const rps = (this.lowered ? store.nextRps : store.rps) * part;
    const writeRps = (this.lowered ? store.nextWriteRps : store.writeRps) * part;
    this.storeCallsBucket.resize(rps, rps, steady);
    this.storeWrites.resize(writeRps, Math.max(store.txnOps, writeRps), steady);
  }

  /** Whether the state service takes more writes than what must be written now needs. */
  writesToSpare(): boolean {
    return this.storeWrites.fullness(this.now.steady) > 0.5;
  }

  log(level: LogLevel, text: string, fields: LogFields = {}): void {
    this.outputs.push({ kind: 'log', level, text, fields });
  }

  store(
    op: StoreOp,
    priority: CallPriority,
    reply: Reply<StoreValue>,
    timeoutMs = 1500,
    waitAtMostMs = 3000,
    onSend?: (at: Steady) => void,
  ): void {
    this.storeQueue.add(priority, {
      op,
      cost: 1,
      writes: op.op === 'txn' ? op.changes.length : 0,
      expires: steadyPlus(this.now.steady, waitAtMostMs),
      send: () => {
        const call = ++this.lastCall;
        this.storeCalls.set(call, { reply, writes: op.op === 'txn' && op.changes.length > 0 });
        onSend?.(this.now.steady);
        this.outputs.push({ kind: 'store', call, op, timeoutMs });
      },
      giveUp: () => reply(REFUSED),
    });
  }

  cloud(op: CloudOp, priority: CallPriority, reply: Reply<CloudValue>, waitAtMostMs = 5000): void {
    this.cloudQueue.add(priority, {
      op,
      cost: 1,
      writes: 0,
      expires: steadyPlus(this.now.steady, waitAtMostMs),
      send: () => {
        const call = ++this.lastCall;
        this.cloudCalls.set(call, reply);
        this.outputs.push({ kind: 'cloud', call, op });
      },
      giveUp: () => reply(REFUSED),
    });
  }

  worker(op: WorkerOp, reply: Reply<WorkerValue>): void {
    const call = ++this.lastCall;
    this.workerCalls.set(call, reply);
    this.outputs.push({ kind: 'worker', call, op });
  }

  /** Direct calls without an answer so far: each holds a socket, and one to a silent machine for seconds. */
  get workerCallsOpen(): number {
    return this.workerCalls.size;
  }

  peer(to: NodeName, message: PeerMessage): void {
    this.outputs.push({ kind: 'peer', to, message });
  }

  answerUser(req: RequestId, answer: UserAnswer): void {
    this.outputs.push({ kind: 'answerUser', req, answer });
  }

  answerWorker(req: RequestId, answer: WorkerAnswer): void {
    this.outputs.push({ kind: 'answerWorker', req, answer });
  }

  onStoreReply(call: CallId, result: Result<StoreValue>): void {
    const sent = this.storeCalls.get(call);
    if (!sent) return;
    this.storeCalls.delete(call);
    if (!result.ok && result.throttled) this.onThrottled(sent.writes);
    if (result.ok || (result.why !== 'refused' && result.why !== 'unknown')) {
      this.storeFailingSince = null;
    } else {
      this.storeFailingSince ??= this.now.steady;
      if (result.why === 'refused') this.storeQueue.pause(steadyPlus(this.now.steady, 100));
    }
    sent.reply(result);
  }

  /**
   * The service said that we come too often. Where lower rates are announced this is the only sign that they have come into
   * force; taken too early it costs some pace, and sizes have kept to both limits from the start.
   */
  private onThrottled(writes: boolean): void {
    const { store } = this.settings;
    const lower = writes ? store.nextWriteRps < store.writeRps : store.nextRps < store.rps;
    if (this.lowered || !lower) return;
    this.lowered = true;
    this.log('info', 'the state service takes fewer calls: keeping to the limits announced for later', {
      rps: store.nextRps,
      writeRps: store.nextWriteRps,
    });
    this.leading(this.isLeading);
  }

  onCloudReply(call: CallId, result: Result<CloudValue>): void {
    const reply = this.cloudCalls.get(call);
    if (!reply) return;
    this.cloudCalls.delete(call);
    reply(result);
  }

  onWorkerReply(call: CallId, result: Result<WorkerValue>): void {
    const reply = this.workerCalls.get(call);
    if (!reply) return;
    this.workerCalls.delete(call);
    reply(result);
  }

  /** Lets queued calls out as far as the buckets allow. */
  pump(): void {
    const store = this.storeQueue.pump(this.now.steady);
    if (store === null) this.timers.clear('storeQueue');
    else this.timers.set('storeQueue', store);
    const cloud = this.cloudQueue.pump(this.now.steady);
    if (cloud === null) this.timers.clear('cloudQueue');
    else this.timers.set('cloudQueue', cloud);
  }
}
