/** Builds leader states with machines and jobs for unit tests of the scheduler. */
import type { Job } from '../../src/core/jobs/job.js';
import { RangeSet } from '../../src/core/jobs/range_set.js';
import { Machine } from '../../src/core/machines/machine.js';
import type { Settings } from '../../src/core/settings.js';
import { Cluster } from '../../src/core/state/cluster.js';
import { StepContext } from '../../src/core/step_context.js';
import type {
  ClockReading,
  JobSpec,
  MachineId,
  MachineType,
  MonotonicTime,
  TeamName,
  WallClockTime,
  ZoneName,
} from '../../src/core/types.js';
import { revision } from '../../src/core/types.js';
import { CURRENT_BUILD } from '../sim/build.js';
import { LIMITS, workerSettings } from '../sim/deployment.js';

const START: ClockReading = {
  monotonic: 500_000 as MonotonicTime,
  wallClock: 1_790_000_000_000 as WallClockTime,
};

/** A leader's state without machines and jobs, in zones a and b, with the team crew, which has no limit. */
export function makeCluster(): { cluster: Cluster; context: StepContext } {
  const stateStore = {
    requestsPerSecond: 10,
    writesPerSecond: 10,
    announcedRequestsPerSecond: 10,
    announcedWritesPerSecond: 10,
    maxValueBytes: 8192,
    maxChangesPerTransaction: 8,
  };
  const settings = {
    controllerCount: 1,
    zones: ['a', 'b'],
    workers: workerSettings(LIMITS),
    teamQuotas: [{ name: 'crew' as TeamName, guaranteed: { cpus: 0, gpus: 0 }, limit: { cpus: 0, gpus: 0 } }],
    stateStore,
    cloud: { requestsPerSecond: 5, listStalenessMs: 0 },
  } as unknown as Settings;
  const context = new StepContext(settings, CURRENT_BUILD.tuning, START);
  return { cluster: new Cluster(context, 1), context };
}

/** Adds an empty machine that is up and sends heartbeats. */
export function addMachine(cluster: Cluster, id: string, type: MachineType, zone: string): Machine {
  const machine = new Machine({
    id: id as MachineId,
    type,
    zone: zone as ZoneName,
    spot: false,
    address: id,
    reconciled: true,
    phase: 'up',
    provisionedByThisLeader: true,
    now: cluster.context.now.monotonic,
  });
  cluster.machines.add(machine);
  return machine;
}

/** Adds an accepted job that was submitted now. */
export function addJob(cluster: Cluster, spec: JobSpec): Job {
  const submittedAt = cluster.context.now.wallClock;
  const record = {
    spec,
    submittedAt,
    state: 'accepted' as const,
    startTerm: 0,
    startZone: null,
    startZones: null,
    done: new RangeSet(),
  };
  cluster.applyJobRecord(record, revision(1));
  return cluster.jobs.get(spec.id) as Job;
}
