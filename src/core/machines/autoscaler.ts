import type { Cluster } from '../leadership/cluster.js';
import type { RoundResult } from '../scheduler/round.js';
import type { MachineType, MachineTypeName, MonotonicTime } from '../types.js';
import { Guarantees } from './guarantees.js';
import type { Machine } from './machine.js';
import { MachineList } from './machine_list.js';
import { MachineReturns } from './machine_returns.js';
import { RentalNeed } from './rental_need.js';
import { Rentals } from './rentals.js';

/** Losses of spot machines are reckoned over at most so many seconds at once. */
const MAX_OBSERVED_S = 5;
/** So much of a machine's worth of work on demand is worth a spot machine ... */
const MIN_SPOT_SHARE = 0.7;
/** ... where its price is at most this part of the other. */
const MAX_SPOT_PRICE_SHARE = 0.6;

/** Keeps the record of machines that the store holds. */
export interface MachineRecords {
  registerMachine(machine: Machine): void;
  unregisterMachine(machine: Machine): void;
}

/** Rents machines for planned need, returns those that are of no use, and keeps the list of machines true. */
export class Autoscaler {
  private readonly list: MachineList;
  private readonly rentals: Rentals;
  private readonly returns: MachineReturns;
  private readonly guarantees: Guarantees;
  private spotObservedAt: MonotonicTime;

  constructor(
    private readonly cluster: Cluster,
    records: MachineRecords,
  ) {
    this.rentals = new Rentals(cluster, (machine) => records.registerMachine(machine));
    this.guarantees = new Guarantees(cluster, this.rentals);
    this.returns = new MachineReturns(
      cluster,
      (machine) => records.unregisterMachine(machine),
      (machine) => this.countInterruption(machine),
    );
    this.list = new MachineList(
      cluster,
      (machine) => this.returns.request(machine, 'failed'),
      () => this.returns.send(),
    );
    this.spotObservedAt = cluster.context.now.monotonic;
  }

  listMachines(): void {
    this.list.read();
  }

  /** Once a second: returns machines that should go. */
  returnMachines(leadingSince: MonotonicTime): void {
    this.list.readIfDue();
    this.observeSpotMachines();
    this.returns.run(leadingSince, this.guarantees.missing());
  }

  /** Once a round: rents what would start waiting work sooner than the plan can. */
  rentForNeed(round: RoundResult): void {
    this.guarantees.noteWork();
    // Without the list, machines may be there that nobody knows of here.
    if (!this.list.readOnce) return;
    new RentalNeed(this.cluster, this.rentals, round).rent();
    this.guarantees.rentMissing();
    this.replaceWithSpot();
  }

  private countInterruption(machine: Machine): void {
    if (!machine.spot || machine.interruptionCounted) return;
    machine.interruptionCounted = true;
    this.cluster.spotInterruptions.lost();
  }

  private observeSpotMachines(): void {
    const now = this.cluster.context.now.monotonic;
    let machines = 0;
    for (const machine of this.cluster.machines.values()) {
      if (!machine.spot || machine.phase !== 'up') continue;
      machines += 1;
      if (machine.interruptionAt !== null) this.countInterruption(machine);
    }
    const seconds = Math.min(MAX_OBSERVED_S, (now - this.spotObservedAt) / 1000);
    this.spotObservedAt = now;
    this.cluster.spotInterruptions.pass(machines, seconds);
  }

  /**
   * Work that may run on spot machines but sits on others is paid several times over: while there is a machine's worth of
   * it, a spot machine is asked for. New work then prefers it, and the others fall idle and are returned.
   */
  private replaceWithSpot(): void {
    for (const [name, share] of this.spotWorkOnDemand()) {
      const type = this.cluster.types.get(name);
      if (!type || share < MIN_SPOT_SHARE || type.spotPricePerHour > MAX_SPOT_PRICE_SHARE * type.pricePerHour) continue;
      if (this.isSpotComing(type)) continue;
      const zone = type.zones.find((candidate) => !this.rentals.isRefused({ type, zone: candidate, spot: true }));
      if (zone) this.rentals.rent({ type, zone, spot: true }, 1);
    }
  }

  /** By type, how many machines' worth of work sits on machines on demand and might be on spot ones. */
  private spotWorkOnDemand(): Map<MachineTypeName, number> {
    const shares = new Map<MachineTypeName, number>();
    for (const machine of this.cluster.machines.values()) {
      if (machine.spot || machine.phase !== 'up') continue;
      const { cpus, gpus } = machine.type;
      let share = 0;
      for (const { job } of machine.placements.values()) {
        const { spec } = job;
        if (spec.toleratesSpot) share += Math.max(spec.gpus / Math.max(1, gpus), spec.cpus / cpus);
      }
      shares.set(machine.typeName, (shares.get(machine.typeName) ?? 0) + share);
    }
    return shares;
  }

  private isSpotComing(type: MachineType): boolean {
    for (const { kind } of this.rentals.underWay()) if (kind.spot && kind.type.name === type.name) return true;
    for (const { typeName, spot, phase } of this.cluster.machines.values()) {
      if (typeName === type.name && spot && phase === 'booting') return true;
    }
    return false;
  }
}
