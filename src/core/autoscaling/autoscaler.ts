/** Keeps as many machines as work and guarantees need: puts scale out, scale in and the list of machines together. */
import type { Machine } from '../machines/machine.js';
import type { RoundResult } from '../scheduler/round_result.js';
import type { Cluster } from '../state/cluster.js';
import type { MachineType, MachineTypeName, MonotonicTime } from '../types.js';
import { GuaranteedCapacity } from './guaranteed_capacity.js';
import { MachineList } from './machine_list.js';
import { ScaleIn } from './scale_in.js';
import { ScaleOut } from './scale_out.js';
import { ScaleOutDemand } from './scale_out_demand.js';

/** Interruptions of spot machines are reckoned over at most so many seconds at once. */
const MAX_OBSERVED_SECONDS = 5;
/** So many machines' worth of work that might run on spot machines is worth one of them ... */
const MIN_SPOT_ELIGIBLE_MACHINES = 0.7;
/** ... where its price is at most this part of the price on demand. */
const MAX_SPOT_PRICE_RATIO = 0.6;

/** Keeps the machines on record in the state store. */
interface MachineRegistrar {
  /** Puts a machine on record. */
  registerMachine(machine: Machine): void;
  /** Takes a machine off the record. */
  unregisterMachine(machine: Machine): void;
}

/** Provisions machines for planned work, terminates those that are of no use, and keeps the list of machines true. */
export class Autoscaler {
  private readonly machineList: MachineList;
  private readonly scaleOut: ScaleOut;
  private readonly scaleIn: ScaleIn;
  private readonly guaranteedCapacity: GuaranteedCapacity;
  private spotObservedAt: MonotonicTime;

  constructor(
    private readonly cluster: Cluster,
    records: MachineRegistrar,
  ) {
    this.scaleOut = new ScaleOut(cluster, (machine) => records.registerMachine(machine));
    this.guaranteedCapacity = new GuaranteedCapacity(cluster, this.scaleOut);
    this.scaleIn = new ScaleIn(
      cluster,
      (machine) => records.unregisterMachine(machine),
      (machine) => this.recordInterruption(machine),
    );
    this.machineList = new MachineList(
      cluster,
      (machine) => this.scaleIn.requestTermination(machine, 'stopped'),
      () => this.scaleIn.sendTerminations(),
    );
    this.spotObservedAt = cluster.context.now.monotonic;
  }

  /** Reads the cloud's list of machines now. */
  listMachines(): void {
    this.machineList.read();
  }

  /** Once a second: terminates machines that should go. */
  runScaleIn(leadingSince: MonotonicTime): void {
    this.machineList.readIfDue();
    this.observeSpotMachines();
    this.scaleIn.run(leadingSince, this.guaranteedCapacity.deficit());
  }

  /** Once a round: provisions what would start waiting work sooner than the plan can. */
  runScaleOut(round: RoundResult): void {
    this.guaranteedCapacity.noteActiveWork();
    // Without the list, machines may be there that nobody knows of here.
    if (!this.machineList.isComplete) return;
    new ScaleOutDemand(this.cluster, this.scaleOut, round).provision();
    this.guaranteedCapacity.provisionDeficit();
    this.provisionSpotReplacements();
  }

  /** Counts the loss of a spot machine, once for each. */
  private recordInterruption(machine: Machine): void {
    if (machine.spot && machine.cordon.countInterruption()) this.cluster.spotInterruptions.recordInterruption();
  }

  private observeSpotMachines(): void {
    const now = this.cluster.context.now.monotonic;
    let machines = 0;
    for (const machine of this.cluster.machines.values()) {
      if (!machine.spot || machine.phase !== 'up') continue;
      machines += 1;
      if (machine.cordon.interruptionAt !== null) this.recordInterruption(machine);
    }
    const seconds = Math.min(MAX_OBSERVED_SECONDS, (now - this.spotObservedAt) / 1000);
    this.spotObservedAt = now;
    this.cluster.spotInterruptions.observe(machines, seconds);
  }

  /**
   * Work that may run on spot machines but sits on others is paid several times over: while there is a machine's worth of
   * it, a spot machine is requested. New work then prefers it, and the others fall idle and are terminated.
   */
  private provisionSpotReplacements(): void {
    for (const [name, share] of this.spotEligibleMachinesByType()) {
      const type = this.cluster.machineTypes.get(name);
      if (
        !type ||
        share < MIN_SPOT_ELIGIBLE_MACHINES ||
        type.spotPricePerHour > MAX_SPOT_PRICE_RATIO * type.pricePerHour
      )
        continue;
      if (this.isSpotProvisioning(type)) continue;
      const zone = type.zones.find((candidate) => !this.scaleOut.isBackedOff({ type, zone: candidate, spot: true }));
      if (zone) this.scaleOut.provision({ type, zone, spot: true }, 1);
    }
  }

  /** By type, how many machines' worth of work sits on machines on demand and might be on spot ones. */
  private spotEligibleMachinesByType(): Map<MachineTypeName, number> {
    const shares = new Map<MachineTypeName, number>();
    for (const machine of this.cluster.machines.values()) {
      if (machine.spot || machine.phase !== 'up') continue;
      const { cpus, gpus } = machine.type;
      let share = 0;
      for (const spec of machine.allocations.jobSpecs()) {
        if (spec.toleratesSpot) share += Math.max(spec.gpus / Math.max(1, gpus), spec.cpus / cpus);
      }
      shares.set(machine.typeName, (shares.get(machine.typeName) ?? 0) + share);
    }
    return shares;
  }

  /** Whether a spot machine of the type is requested or booting. */
  private isSpotProvisioning(type: MachineType): boolean {
    for (const { pool } of this.scaleOut.pendingRequests()) if (pool.spot && pool.type.name === type.name) return true;
    for (const { typeName, spot, phase } of this.cluster.machines.values()) {
      if (typeName === type.name && spot && phase === 'booting') return true;
    }
    return false;
  }
}
