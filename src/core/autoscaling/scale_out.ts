/** Provisions machines: requests to the cloud, and the pools that lately had no capacity. */
import { type CapacityPool, capacityPoolKey } from '../machines/capacity_pool.js';
import { Machine } from '../machines/machine.js';
import type { Cluster } from '../state/cluster.js';
import type { MachineId, MonotonicTime } from '../types.js';

/** What the cloud takes in one request. */
const MAX_MACHINES_PER_REQUEST = 50;
/** So many requests are pending at once; more would only wait for tokens of the rate limit. */
const MAX_PENDING_REQUESTS = 12;
const PROVISION_PRIORITY = 1;
/** A request without an answer is repeated for so long; its id makes that safe. */
const RETRY_WINDOW_MS = 20_000;
const BACKOFF_FACTOR = 1.5;
const MAX_BACKOFF_STEPS = 4;

/** A request for machines that has yet to be answered. Its id makes it idempotent: it can be sent again. */
interface ProvisioningRequest {
  readonly pool: CapacityPool;
  readonly requestId: string;
  readonly count: number;
  readonly requestedAt: MonotonicTime;
}

/** A pool that lately had no capacity: it is asked again after `until`. */
interface CapacityBackoff {
  readonly until: MonotonicTime;
  readonly refusalCount: number;
}

/** Requests to provision machines, and the pools that lately had none. */
export class ScaleOut {
  private readonly pending = new Map<string, ProvisioningRequest>();
  private readonly backoffs = new Map<string, CapacityBackoff>();
  private requestCount = 0;

  /** `register` is told of each machine that was provisioned: it has to be put on record before it is used. */
  constructor(
    private readonly cluster: Cluster,
    private readonly register: (machine: Machine) => void,
  ) {}

  /** Returns the requests that have yet to be answered. */
  pendingRequests(): Iterable<ProvisioningRequest> {
    return this.pending.values();
  }

  /** Whether any request has yet to be answered. */
  hasPendingRequests(): boolean {
    return this.pending.size > 0;
  }

  /** Whether the pool lately had no machine, so that it is not asked now. */
  isBackedOff(pool: CapacityPool): boolean {
    const backoff = this.backoffs.get(capacityPoolKey(pool));
    return backoff !== undefined && backoff.until > this.cluster.context.now.monotonic;
  }

  /** Requests so many machines, in as many requests as it takes; what is left over is requested in a later round. */
  provision(pool: CapacityPool, count: number): void {
    for (let left = count; left > 0 && this.pending.size < MAX_PENDING_REQUESTS; left -= MAX_MACHINES_PER_REQUEST) {
      this.startRequest(pool, Math.min(left, MAX_MACHINES_PER_REQUEST));
    }
  }

  private startRequest(pool: CapacityPool, count: number): void {
    this.requestCount += 1;
    // The term makes the id unique among all leaders; an id is never used for a second request.
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

  /** Each refusal in a row makes the pause before the next request longer. */
  private backOff(pool: CapacityPool): void {
    const key = capacityPoolKey(pool);
    const refusalCount = Math.min(MAX_BACKOFF_STEPS, (this.backoffs.get(key)?.refusalCount ?? 0) + 1);
    const { refused_backoff_s } = this.cluster.context.tuning.machines;
    const pauseMs = refused_backoff_s * 1000 * BACKOFF_FACTOR ** (refusalCount - 1);
    this.backoffs.set(key, { until: this.cluster.context.after(pauseMs), refusalCount });
  }
}
