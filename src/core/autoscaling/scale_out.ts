/** Sends provisioning requests to the cloud, and backs off from pools that recently had no capacity. */
import { type CapacityPool, capacityPoolKey } from '../machines/capacity_pool.js';
import { Machine } from '../machines/machine.js';
import type { Cluster } from '../state/cluster.js';
import type { MachineId, MonotonicTime } from '../types.js';

/** Maximum number of machines that the cloud accepts in one provisioning request. */
const MAX_MACHINES_PER_REQUEST = 50;
/** Maximum number of pending requests. More would only wait for tokens of the rate limit. */
const MAX_PENDING_REQUESTS = 12;
const PROVISION_PRIORITY = 1;
/**
 * Time during which a request with an unknown outcome is retried, in milliseconds. Its idempotency key makes this safe.
 */
const RETRY_WINDOW_MS = 20_000;
/** Factor by which the backoff grows with each consecutive refusal. */
const BACKOFF_FACTOR = 1.5;
/** Number of consecutive refusals after which the backoff no longer grows. */
const MAX_BACKOFF_STEPS = 4;

/** A pending request for machines. `requestId` is its idempotency key, so that it can be sent again. */
interface ProvisioningRequest {
  readonly pool: CapacityPool;
  readonly requestId: string;
  readonly count: number;
  readonly requestedAt: MonotonicTime;
}

/** Backoff of a pool that recently had no capacity. No machines are requested from the pool before `until`. */
interface CapacityBackoff {
  readonly until: MonotonicTime;
  readonly refusalCount: number;
}

/** Pending provisioning requests, and the backoffs of pools that recently had no capacity. */
export class ScaleOut {
  private readonly pending = new Map<string, ProvisioningRequest>();
  private readonly backoffs = new Map<string, CapacityBackoff>();
  private requestCount = 0;

  /** `register` is called for each provisioned machine, whose record must be stored before tasks are started on it. */
  constructor(
    private readonly cluster: Cluster,
    private readonly register: (machine: Machine) => void,
  ) {}

  /** Returns the requests whose outcome is not known yet. */
  pendingRequests(): Iterable<ProvisioningRequest> {
    return this.pending.values();
  }

  /** Returns whether the outcome of any request is not known yet. */
  hasPendingRequests(): boolean {
    return this.pending.size > 0;
  }

  /** Returns whether the pool recently had no capacity, so that no machines are requested from it now. */
  isBackedOff(pool: CapacityPool): boolean {
    const backoff = this.backoffs.get(capacityPoolKey(pool));
    return backoff !== undefined && backoff.until > this.cluster.context.now.monotonic;
  }

  /**
   * Requests machines, in several requests if necessary. Machines that would exceed the limit of pending requests are
   * left to a later planning round.
   */
  provision(pool: CapacityPool, count: number): void {
    for (
      let remaining = count;
      remaining > 0 && this.pending.size < MAX_PENDING_REQUESTS;
      remaining -= MAX_MACHINES_PER_REQUEST
    ) {
      this.startRequest(pool, Math.min(remaining, MAX_MACHINES_PER_REQUEST));
    }
  }

  private startRequest(pool: CapacityPool, count: number): void {
    this.requestCount += 1;
    // The term makes the id unique among all leaders. An id is never reused for another request.
    const requestId = `r-${this.cluster.term}-${this.requestCount}`;
    const requestedAt = this.cluster.context.now.monotonic;
    const request: ProvisioningRequest = { pool, requestId, count, requestedAt };
    this.pending.set(requestId, request);
    this.send(request);
  }

  private send(request: ProvisioningRequest): void {
    const { pool, requestId, count, requestedAt } = request;
    const { context } = this.cluster;
    const op = {
      op: 'provision',
      idempotencyKey: requestId,
      machineType: pool.type.name,
      zone: pool.zone,
      spot: pool.spot,
      count,
    } as const;
    context.cloud.call(op, PROVISION_PRIORITY, (result) => {
      if (result.ok) return this.onProvisioned(request, result.value.provisioned);
      if (result.error.code === 'outcomeUnknown' && context.now.monotonic - requestedAt < RETRY_WINDOW_MS)
        return this.send(request);
      this.pending.delete(requestId);
      if (result.error.code === 'noCapacity') this.backOff(pool);
    });
  }

  private onProvisioned({ pool, requestId, count, requestedAt }: ProvisioningRequest, ids: readonly MachineId[]): void {
    const { type, zone, spot } = pool;
    this.pending.delete(requestId);
    if (ids.length < count) this.backOff(pool);
    else this.backoffs.delete(capacityPoolKey(pool));
    this.cluster.context.log('machines provisioned', {
      type: type.name,
      zone,
      spot,
      requested: count,
      provisioned: ids.length,
    });
    for (const id of ids) {
      if (this.cluster.machines.has(id) || this.cluster.machines.wasRemoved(id)) continue;
      const known = {
        id,
        type,
        zone,
        spot,
        address: '',
        reconciled: true,
        phase: 'booting',
        provisionedByThisLeader: true,
      } as const;
      const machine = new Machine({ ...known, now: requestedAt });
      this.cluster.machines.add(machine);
      this.register(machine);
    }
  }

  /** Starts or extends the backoff of a pool. It grows with each consecutive refusal. */
  private backOff(pool: CapacityPool): void {
    const key = capacityPoolKey(pool);
    const refusalCount = Math.min(MAX_BACKOFF_STEPS, (this.backoffs.get(key)?.refusalCount ?? 0) + 1);
    const { refused_backoff_s } = this.cluster.context.tuning.machines;
    const pauseMs = refused_backoff_s * 1000 * BACKOFF_FACTOR ** (refusalCount - 1);
    this.backoffs.set(key, { until: this.cluster.context.after(pauseMs), refusalCount });
  }
}
