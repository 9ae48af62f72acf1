import type { CloudOperation, CloudResponse, Result } from '../../src/core/messages.js';
import type { CloudMachine, MachineId, MachineType, ZoneName } from '../../src/core/types.js';
import type { Clock } from './clock.js';

interface Rented {
  readonly id: MachineId;
  readonly type: MachineType;
  readonly zone: ZoneName;
  readonly spot: boolean;
  readonly since: number;
  phase: 'booting' | 'running' | 'failed';
}

/** Machines rented before `until` take so many times as long to come up, and that share of them never does. */
export interface BootTrouble {
  readonly factor: number;
  readonly neverShare: number;
  readonly until: number;
  /** Null: in all zones. */
  readonly zone: string | null;
}

export interface CloudEvents {
  boot(id: MachineId, type: MachineType, zone: ZoneName, spot: boolean): void;
  gone(id: MachineId): void;
  /** A machine is about to be deleted because it was asked for. */
  returned(id: MachineId): void;
}

/** Our stand-in for the cloud: rentals by request name, lists that lag and go backwards, machines that never come up. */
export class Cloud {
  readonly machines = new Map<MachineId, Rented>();
  private readonly answered = new Map<string, MachineId[]>();
  private history: { at: number; list: CloudMachine[] }[] = [];
  private count = 0;
  down = false;
  neverBoot = 0;
  private bootTroubles: BootTrouble[] = [];
  rentals = 0;

  constructor(
    private readonly clock: Clock,
    private readonly types: readonly MachineType[],
    private readonly capacity: number,
    private readonly listLagMs: number,
    private readonly events: CloudEvents,
  ) {
    const tick = (): void => {
      this.history.push({ at: clock.now, list: this.list() });
      if (this.history.length > 200) this.history.shift();
      clock.in(500, tick);
    };
    tick();
  }

  private list(): CloudMachine[] {
    return [...this.machines.values()]
      .map((machine) => ({
        id: machine.id,
        address: machine.phase === 'booting' ? '' : machine.id,
        type: machine.type.name,
        zone: machine.zone,
        spot: machine.spot,
        phase: machine.phase,
        ageSeconds: (this.clock.now - machine.since) / 1000,
      }))
      .sort((a, b) => (a.id < b.id ? -1 : 1));
  }

  add(type: MachineType, zone: ZoneName, spot: boolean, bootMs: number | null): MachineId {
    const id = `i-${String(this.count++).padStart(6, '0')}` as MachineId;
    const machine: Rented = { id, type, zone, spot, since: this.clock.now, phase: 'booting' };
    this.machines.set(id, machine);
    if (bootMs !== null) {
      this.clock.in(bootMs, () => {
        if (this.machines.get(id) !== machine || machine.phase !== 'booting') return;
        machine.phase = 'running';
        this.events.boot(id, type, zone, spot);
      });
    }
    return id;
  }

  take(id: MachineId): void {
    if (this.machines.delete(id)) this.events.gone(id);
  }

  fail(id: MachineId): void {
    const machine = this.machines.get(id);
    if (!machine) return;
    machine.phase = 'failed';
    this.events.gone(id);
  }

  serve(op: CloudOperation, reply: (result: Result<CloudResponse>) => void): void {
    this.clock.in(this.clock.between(50, 250), () => reply(this.run(op)));
  }

  /** The list as it was some time ago. */
  private lateList(after: MachineId | null): Result<CloudResponse> {
    const lag = this.clock.between(0.2, 2) * this.listLagMs;
    let list: CloudMachine[] = [];
    for (const entry of this.history) if (entry.at <= this.clock.now - lag) list = entry.list;
    return { ok: true, value: { machines: list.filter(({ id }) => after === null || id > after), more: false } };
  }

  private delete(id: MachineId): void {
    this.events.returned(id);
    if (this.machines.delete(id)) this.events.gone(id);
  }

  addBootTrouble(trouble: BootTrouble): void {
    this.bootTroubles.push(trouble);
  }

  /** How long a machine takes to come up; null: for ever. */
  private bootMs(type: MachineType, zone: ZoneName): number | null {
    const usual = type.bootSeconds * 1000 * this.clock.between(0.6, 1.5);
    const trouble = this.bootTroubles.find(
      (each) => this.clock.now < each.until && (each.zone === null || each.zone === zone),
    );
    if (!trouble) return usual;
    return this.clock.between(0, 1) < trouble.neverShare ? null : usual * trouble.factor;
  }

  private rent(op: Extract<CloudOperation, { op: 'rent' }>): Result<CloudResponse> {
    const before = this.answered.get(op.idempotencyKey);
    if (before) return { ok: true, value: { provisioned: before } };
    const type = this.types.find(({ name }) => name === op.machineType);
    const free = this.capacity - this.machines.size;
    if (!type || free <= 0) return { ok: false, why: 'no_capacity' };
    const ids: MachineId[] = [];
    for (let i = 0; i < Math.min(free, op.count); i++) {
      const never = this.neverBoot > 0;
      if (never) this.neverBoot -= 1;
      ids.push(this.add(type, op.zone, op.spot, never ? null : this.bootMs(type, op.zone)));
      this.rentals += 1;
    }
    this.answered.set(op.idempotencyKey, ids);
    return { ok: true, value: { provisioned: ids } };
  }

  private run(op: CloudOperation): Result<CloudResponse> {
    if (this.down) return { ok: false, why: 'refused' };
    switch (op.op) {
      case 'types':
        return { ok: true, value: { machineTypes: this.types.map((type) => ({ ...type })) } };
      case 'list':
        return this.lateList(op.after);
      case 'rent':
        return this.rent(op);
      case 'delete':
        for (const id of op.machines) this.delete(id);
        return { ok: true, value: {} };
    }
  }
}
