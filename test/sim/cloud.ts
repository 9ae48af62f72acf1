/** A simulated cloud that provisions and terminates machines. */
import type { CloudOperation, CloudResult } from '../../src/core/messages.js';
import type { CloudMachine, MachineId, MachineType, ZoneName } from '../../src/core/types.js';
import type { Clock } from './clock.js';

interface ProvisionedMachine {
  readonly id: MachineId;
  readonly type: MachineType;
  readonly zone: ZoneName;
  readonly spot: boolean;
  readonly provisionedAt: number;
  phase: 'booting' | 'running' | 'failed';
}

/**
 * Machines provisioned before `until` take `factor` times as long to boot, and the share `neverBootsShare` never boots.
 */
export interface BootFault {
  readonly factor: number;
  readonly neverBootsShare: number;
  readonly until: number;
  /** The zone affected; null for all zones. */
  readonly zone: string | null;
}

/** Callbacks on changes of a machine's state. */
export interface CloudEvents {
  onBooted(id: MachineId, type: MachineType, zone: ZoneName, spot: boolean): void;
  /** Called when a machine was terminated or interrupted, or has failed. */
  onRemoved(id: MachineId): void;
  /** Called before a machine is terminated on request. */
  onTermination(id: MachineId): void;
}

/**
 * Implements the cloud's protocol with its faults. Provisioning is idempotent, lists are stale by varying times so that
 * a later one may be older, and some machines never boot.
 */
export class SimulatedCloud {
  /** The machines that are provisioned at present, including failed ones. */
  readonly machines = new Map<MachineId, ProvisionedMachine>();
  private readonly machinesByIdempotencyKey = new Map<string, MachineId[]>();
  private listHistory: { at: number; machines: CloudMachine[] }[] = [];
  private lastMachineNumber = 0;
  /** Whether every call is refused as unavailable. */
  isDown = false;
  /** Machine types that are missing from the list of types. Machines of these types run on. */
  readonly unlistedTypes = new Set<string>();
  /** The number of machines, of those provisioned next, that never boot. */
  neverBootCount = 0;
  private bootFaults: BootFault[] = [];
  /** The number of machines that were provisioned on request. */
  provisionedCount = 0;

  constructor(
    private readonly clock: Clock,
    private readonly types: readonly MachineType[],
    private readonly capacity: number,
    private readonly listStalenessMs: number,
    private readonly events: CloudEvents,
  ) {
    const tick = (): void => {
      this.listHistory.push({ at: clock.now, machines: this.currentList() });
      if (this.listHistory.length > 200) this.listHistory.shift();
      clock.schedule(500, tick);
    };
    tick();
  }

  private currentList(): CloudMachine[] {
    return [...this.machines.values()]
      .map((machine) => ({
        id: machine.id,
        address: machine.phase === 'booting' ? '' : machine.id,
        type: machine.type.name,
        zone: machine.zone,
        spot: machine.spot,
        phase: machine.phase,
        ageSeconds: (this.clock.now - machine.provisionedAt) / 1000,
      }))
      .sort((a, b) => (a.id < b.id ? -1 : 1));
  }

  /** Adds a machine that boots after `bootMs` milliseconds; null: it never boots. */
  addMachine(type: MachineType, zone: ZoneName, spot: boolean, bootMs: number | null): MachineId {
    const id = `i-${String(this.lastMachineNumber++).padStart(6, '0')}` as MachineId;
    const machine: ProvisionedMachine = { id, type, zone, spot, provisionedAt: this.clock.now, phase: 'booting' };
    this.machines.set(id, machine);
    if (bootMs !== null) {
      this.clock.schedule(bootMs, () => {
        if (this.machines.get(id) !== machine || machine.phase !== 'booting') return;
        machine.phase = 'running';
        this.events.onBooted(id, type, zone, spot);
      });
    }
    return id;
  }

  /** Removes a machine without notice, as when a spot machine is reclaimed. */
  interrupt(id: MachineId): void {
    if (this.machines.delete(id)) this.events.onRemoved(id);
  }

  /** Makes a machine fail; it is listed as failed until it is terminated. */
  failMachine(id: MachineId): void {
    const machine = this.machines.get(id);
    if (!machine) return;
    machine.phase = 'failed';
    this.events.onRemoved(id);
  }

  /** Executes a call after a random latency. */
  serve(op: CloudOperation, reply: (result: CloudResult) => void): void {
    this.clock.schedule(this.clock.randomBetween(50, 250), () => reply(this.execute(op)));
  }

  /** The machines after `after` as they were some time ago: a random 0.2 to 2 times the configured staleness. */
  private staleList(after: MachineId | null): CloudResult {
    const stalenessMs = this.clock.randomBetween(0.2, 2) * this.listStalenessMs;
    let list: CloudMachine[] = [];
    for (const entry of this.listHistory) if (entry.at <= this.clock.now - stalenessMs) list = entry.machines;
    return { ok: true, value: { machines: list.filter(({ id }) => after === null || id > after), more: false } };
  }

  private terminate(id: MachineId): void {
    this.events.onTermination(id);
    if (this.machines.delete(id)) this.events.onRemoved(id);
  }

  /** Adds a fault that applies to machines provisioned from now on. */
  addBootFault(fault: BootFault): void {
    this.bootFaults.push(fault);
  }

  /** The boot time of a new machine, in milliseconds; null if it never boots. */
  private bootMs(type: MachineType, zone: ZoneName): number | null {
    const normalBootMs = type.bootSeconds * 1000 * this.clock.randomBetween(0.6, 1.5);
    const fault = this.bootFaults.find(
      (each) => this.clock.now < each.until && (each.zone === null || each.zone === zone),
    );
    if (!fault) return normalBootMs;
    return this.clock.randomBetween(0, 1) < fault.neverBootsShare ? null : normalBootMs * fault.factor;
  }

  private provision(op: Extract<CloudOperation, { op: 'provision' }>): CloudResult {
    const earlierMachines = this.machinesByIdempotencyKey.get(op.idempotencyKey);
    if (earlierMachines) return { ok: true, value: { provisioned: earlierMachines } };
    const type = this.types.find(({ name }) => name === op.machineType);
    const free = this.capacity - this.machines.size;
    if (!type || free <= 0) return { ok: false, error: { code: 'noCapacity' } };
    const ids: MachineId[] = [];
    for (let i = 0; i < Math.min(free, op.count); i++) {
      const neverBoots = this.neverBootCount > 0;
      if (neverBoots) this.neverBootCount -= 1;
      ids.push(this.addMachine(type, op.zone, op.spot, neverBoots ? null : this.bootMs(type, op.zone)));
      this.provisionedCount += 1;
    }
    this.machinesByIdempotencyKey.set(op.idempotencyKey, ids);
    return { ok: true, value: { provisioned: ids } };
  }

  private listedTypes(): MachineType[] {
    return this.types.filter(({ name }) => !this.unlistedTypes.has(name)).map((type) => ({ ...type }));
  }

  private execute(op: CloudOperation): CloudResult {
    if (this.isDown) return { ok: false, error: { code: 'unavailable' } };
    switch (op.op) {
      case 'types':
        return { ok: true, value: { machineTypes: this.listedTypes() } };
      case 'list':
        return this.staleList(op.after);
      case 'provision':
        return this.provision(op);
      case 'terminate':
        for (const id of op.machines) this.terminate(id);
        return { ok: true, value: {} };
    }
  }
}
