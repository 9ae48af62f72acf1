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

/** Machines provisioned before `until` take so many times as long to come up, and that share of them never does. */
export interface BootFault {
  readonly factor: number;
  readonly neverBootsShare: number;
  readonly until: number;
  /** Null: in all zones. */
  readonly zone: string | null;
}

/** What a world is told of its machines. */
export interface CloudEvents {
  onBooted(id: MachineId, type: MachineType, zone: ZoneName, spot: boolean): void;
  onGone(id: MachineId): void;
  /** A machine is about to be deleted because it was asked for. */
  onTermination(id: MachineId): void;
}

/** A cloud by its protocol: idempotent provisioning, lists that lag and go backwards, machines that never boot. */
export class SimulatedCloud {
  /** What is provisioned at present. */
  readonly machines = new Map<MachineId, ProvisionedMachine>();
  private readonly provisionedByRequest = new Map<string, MachineId[]>();
  private listHistory: { at: number; currentList: CloudMachine[] }[] = [];
  private lastMachineNumber = 0;
  /** Whether every call is refused. */
  isDown = false;
  /** So many of the next machines that are provisioned never boot. */
  neverBootCount = 0;
  private bootFaults: BootFault[] = [];
  /** Machines that were provisioned on request. */
  provisionedCount = 0;

  constructor(
    private readonly clock: Clock,
    private readonly types: readonly MachineType[],
    private readonly capacity: number,
    private readonly listLagMs: number,
    private readonly events: CloudEvents,
  ) {
    const tick = (): void => {
      this.listHistory.push({ at: clock.now, currentList: this.currentList() });
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

  /** Adds a machine that boots in so many milliseconds; null: never. */
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

  /** Takes a machine back, without notice. */
  interrupt(id: MachineId): void {
    if (this.machines.delete(id)) this.events.onGone(id);
  }

  /** Lets a machine stop; it is listed as failed until it is terminated. */
  failMachine(id: MachineId): void {
    const machine = this.machines.get(id);
    if (!machine) return;
    machine.phase = 'failed';
    this.events.onGone(id);
  }

  /** Executes a call after a random latency. */
  serve(op: CloudOperation, reply: (result: CloudResult) => void): void {
    this.clock.schedule(this.clock.randomBetween(50, 250), () => reply(this.execute(op)));
  }

  /** The list as it was some time ago. */
  private staleList(after: MachineId | null): CloudResult {
    const lag = this.clock.randomBetween(0.2, 2) * this.listLagMs;
    let list: CloudMachine[] = [];
    for (const entry of this.listHistory) if (entry.at <= this.clock.now - lag) list = entry.currentList;
    return { ok: true, value: { machines: list.filter(({ id }) => after === null || id > after), more: false } };
  }

  private terminate(id: MachineId): void {
    this.events.onTermination(id);
    if (this.machines.delete(id)) this.events.onGone(id);
  }

  /** Machines provisioned from now on are subject to the fault. */
  addBootFault(fault: BootFault): void {
    this.bootFaults.push(fault);
  }

  /** How long a machine takes to come up; null: for ever. */
  private bootMs(type: MachineType, zone: ZoneName): number | null {
    const usual = type.bootSeconds * 1000 * this.clock.randomBetween(0.6, 1.5);
    const fault = this.bootFaults.find(
      (each) => this.clock.now < each.until && (each.zone === null || each.zone === zone),
    );
    if (!fault) return usual;
    return this.clock.randomBetween(0, 1) < fault.neverBootsShare ? null : usual * fault.factor;
  }

  private provision(op: Extract<CloudOperation, { op: 'provision' }>): CloudResult {
    const before = this.provisionedByRequest.get(op.idempotencyKey);
    if (before) return { ok: true, value: { provisioned: before } };
    const type = this.types.find(({ name }) => name === op.machineType);
    const free = this.capacity - this.machines.size;
    if (!type || free <= 0) return { ok: false, error: { code: 'noCapacity' } };
    const ids: MachineId[] = [];
    for (let i = 0; i < Math.min(free, op.count); i++) {
      const never = this.neverBootCount > 0;
      if (never) this.neverBootCount -= 1;
      ids.push(this.addMachine(type, op.zone, op.spot, never ? null : this.bootMs(type, op.zone)));
      this.provisionedCount += 1;
    }
    this.provisionedByRequest.set(op.idempotencyKey, ids);
    return { ok: true, value: { provisioned: ids } };
  }

  private execute(op: CloudOperation): CloudResult {
    if (this.isDown) return { ok: false, error: { code: 'unavailable' } };
    switch (op.op) {
      case 'types':
        return { ok: true, value: { machineTypes: this.types.map((type) => ({ ...type })) } };
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
