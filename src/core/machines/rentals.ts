import type { Cluster } from '../leadership/cluster.js';
import type { MachineId, MonotonicTime } from '../types.js';
import { Machine } from './machine.js';
import { kindKey, type MachineKind } from './machine_kind.js';

/** What the cloud takes in one request. */
const MAX_PER_REQUEST = 50;
/** So many requests are open at once; more would only wait for tokens. */
const MAX_PENDING = 12;
const RENT_PRIORITY = 1;
/** A request without an answer is repeated for so long; its name makes that safe. */
const REPEAT_MS = 20_000;
const BACKOFF_FACTOR = 1.5;
const MAX_BACKOFF_STEPS = 4;

/** A request for machines that has yet to be answered. */
export interface Rental {
  readonly kind: MachineKind;
  readonly request: string;
  readonly count: number;
  readonly since: MonotonicTime;
}

interface Refusal {
  readonly until: MonotonicTime;
  readonly times: number;
}

/** Requests to rent machines, and the kinds of which the cloud lately had none. */
export class Rentals {
  private readonly pending = new Map<string, Rental>();
  private readonly refusals = new Map<string, Refusal>();
  private requests = 0;

  constructor(
    private readonly cluster: Cluster,
    private readonly register: (machine: Machine) => void,
  ) {}

  underWay(): Iterable<Rental> {
    return this.pending.values();
  }

  anyUnderWay(): boolean {
    return this.pending.size > 0;
  }

  /** Whether the cloud lately had no machine of this kind. */
  isRefused(kind: MachineKind): boolean {
    const refusal = this.refusals.get(kindKey(kind));
    return refusal !== undefined && refusal.until > this.cluster.context.now.monotonic;
  }

  /** Asks for so many machines, in as many requests as it takes; what is left is asked for in the next round. */
  rent(kind: MachineKind, count: number): void {
    for (let left = count; left > 0 && this.pending.size < MAX_PENDING; left -= MAX_PER_REQUEST) {
      this.request(kind, Math.min(left, MAX_PER_REQUEST));
    }
  }

  private request(kind: MachineKind, count: number): void {
    this.requests += 1;
    // The term makes the name unique among all nodes; a name is never used for a second request.
    const request = `r-${this.cluster.term}-${this.requests}`;
    const since = this.cluster.context.now.monotonic;
    const rental: Rental = { kind, request, count, since };
    this.pending.set(request, rental);
    this.send(rental);
  }

  private send(rental: Rental): void {
    const { kind, request, count, since } = rental;
    const { context } = this.cluster;
    const op = {
      op: 'rent',
      idempotencyKey: request,
      machineType: kind.type.name,
      zone: kind.zone,
      spot: kind.spot,
      count,
    } as const;
    context.callCloud(op, RENT_PRIORITY, (result) => {
      if (result.ok) return this.onRented(rental, result.value.provisioned ?? []);
      if (result.why === 'unknown' && context.now.monotonic - since < REPEAT_MS) return this.send(rental);
      this.pending.delete(request);
      if (result.why === 'no_capacity') this.noteRefusal(kind);
    });
  }

  private onRented({ kind, request, count, since }: Rental, ids: readonly MachineId[]): void {
    const { type, zone, spot } = kind;
    this.pending.delete(request);
    if (ids.length < count) this.noteRefusal(kind);
    else this.refusals.delete(kindKey(kind));
    this.cluster.context.log('info', 'rented', { type: type.name, zone, spot, asked: count, got: ids.length });
    for (const id of ids) {
      if (this.cluster.machines.has(id) || this.cluster.removedMachines.has(id)) continue;
      const known = { id, type, zone, spot, addr: '', reconciled: true, phase: 'booting', rentedHere: true } as const;
      const machine = new Machine({ ...known, now: since });
      this.cluster.machines.set(id, machine);
      this.register(machine);
    }
  }

  /** Each refusal in a row makes the pause before the next request longer. */
  private noteRefusal(kind: MachineKind): void {
    const key = kindKey(kind);
    const times = Math.min(MAX_BACKOFF_STEPS, (this.refusals.get(key)?.times ?? 0) + 1);
    const { refused_backoff_s } = this.cluster.context.tuning.machines;
    const pauseMs = refused_backoff_s * 1000 * BACKOFF_FACTOR ** (times - 1);
    this.refusals.set(key, { until: this.cluster.context.after(pauseMs), times });
  }
}
