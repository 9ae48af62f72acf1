/** Adapts the number of machines to the work and the guaranteed quotas by running scale-out and scale-in. */
import type { Machine } from '../machines/machine.js';
import type { RoundResult } from '../scheduler/round_result.js';
import type { Cluster } from '../state/cluster.js';
import type { MachineType, MachineTypeName, MonotonicTime } from '../types.js';
import { GuaranteedCapacity } from './guaranteed_capacity.js';
import { MachineList } from './machine_list.js';
import { ScaleIn } from './scale_in.js';
import { ScaleOut } from './scale_out.js';
import { ScaleOutDemand } from './scale_out_demand.js';

/** Maximum period that one observation adds to the spot interruption rate, in seconds. */
const MAX_OBSERVED_SECONDS = 5;
/** Minimum spot-tolerant work on on-demand machines for which a spot machine is requested, as a number of machines. */
const MIN_SPOT_ELIGIBLE_MACHINES = 0.7;
/** Maximum ratio of the spot price to the on-demand price at which on-demand machines are replaced. */
const MAX_SPOT_PRICE_RATIO = 0.6;

/** Maintains the stored records of machines. */
interface MachineRegistrar {
  /** Adds a machine to the stored records. */
  registerMachine(machine: Machine): void;
  /** Removes a machine from the stored records. */
  unregisterMachine(machine: Machine): void;
}

/** Provisions machines for waiting work, terminates unneeded machines, and keeps the list of machines up to date. */
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

  /** Reads the cloud's list of machines now, unless a read is in flight. */
  listMachines(): void {
    this.machineList.read();
  }

  /** Runs once a second. Reads the machine list if due, updates the spot interruption rate and terminates machines. */
  runScaleIn(leadingSince: MonotonicTime): void {
    this.machineList.readIfDue();
    this.observeSpotMachines();
    this.scaleIn.run(leadingSince, this.guaranteedCapacity.deficit());
  }

  /**
   * Runs once per planning round. Provisions machines on which waiting work would start sooner than in the plan,
   * machines for guarantees, and spot replacements.
   */
  runScaleOut(round: RoundResult): void {
    this.guaranteedCapacity.recordActiveWork();
    // Until the list has been read, machines may exist that this leader does not know.
    if (!this.machineList.isComplete) return;
    new ScaleOutDemand(this.cluster, this.scaleOut, round).provision();
    this.guaranteedCapacity.provisionDeficit();
    this.provisionSpotReplacements();
  }

  /** Records the interruption of a spot machine. Each machine is counted once. */
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
   * Requests spot machines to replace on-demand machines. Spot-tolerant work costs several times as much on on-demand
   * machines. While there is about a machine's worth of such work, a spot machine is requested. New work then prefers
   * the spot machine, and the on-demand machines become idle and are terminated.
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

  /** Returns, by machine type, how many machines the spot-tolerant work on on-demand machines would fill. */
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

  /** Returns whether a spot machine of the type is requested or booting. */
  private isSpotProvisioning(type: MachineType): boolean {
    for (const { pool } of this.scaleOut.pendingRequests()) if (pool.spot && pool.type.name === type.name) return true;
    for (const { typeName, spot, phase } of this.cluster.machines.values()) {
      if (typeName === type.name && spot && phase === 'booting') return true;
    }
    return false;
  }
}
