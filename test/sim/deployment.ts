/** The limits of a simulated deployment, and the settings of its controllers that follow from them. */
import type { Settings } from '../../src/core/settings.js';
import type { ControllerName, TeamQuota, ZoneName } from '../../src/core/types.js';
import type { Build } from './build.js';

/** Maximum time that members of a gang wait for the others to start, in milliseconds. */
const GANG_BARRIER_TIMEOUT_MS = 40_000;
/** Maximum time that members of a gang run on without one of them, in milliseconds. */
const GANG_PEER_TIMEOUT_MS = 5000;
/** Typical age of the cloud's list of machines, in milliseconds; it may be twice as old. */
export const LIST_STALENESS_MS = 3000;

/** The limits and timeouts of a deployment, as in its settings. */
export interface Limits {
  readonly requestsPerSecond: number;
  readonly writesPerSecond: number;
  /** Limits announced for a later time, in this field and the next three; 0 if no change is announced. */
  readonly announcedRequestsPerSecond: number;
  readonly announcedWritesPerSecond: number;
  readonly announcedMaxValueBytes: number;
  readonly announcedMaxChangesPerTransaction: number;
  readonly maxValueBytes: number;
  readonly maxChangesPerTransaction: number;
  readonly cloudRequestsPerSecond: number;
  readonly heartbeatIntervalMs: number;
  readonly leaseMs: number;
  readonly cancellationTimeoutMs: number;
  readonly cpuShare: number;
}

/** The default limits of scenarios. */
export const LIMITS: Limits = {
  requestsPerSecond: 200,
  writesPerSecond: 20,
  announcedRequestsPerSecond: 0,
  announcedWritesPerSecond: 0,
  announcedMaxValueBytes: 0,
  announcedMaxChangesPerTransaction: 0,
  maxValueBytes: 8192,
  maxChangesPerTransaction: 8,
  cloudRequestsPerSecond: 5,
  heartbeatIntervalMs: 2000,
  leaseMs: 14_000,
  cancellationTimeoutMs: 39_000,
  cpuShare: 0.3,
};

/** The inputs of a deployment's settings, apart from its controllers. */
export interface DeploymentOptions {
  readonly zones: readonly ZoneName[];
  readonly teams: readonly TeamQuota[];
  readonly limits?: Limits;
}

/** The timing settings of workers, used by controllers and simulated workers alike. */
export const workerSettings = (limits: Limits): Settings['workers'] => ({
  heartbeatIntervalMs: limits.heartbeatIntervalMs,
  leaseMs: limits.leaseMs,
  gangBarrierTimeoutMs: GANG_BARRIER_TIMEOUT_MS,
  gangPeerTimeoutMs: GANG_PEER_TIMEOUT_MS,
  cancellationTimeoutMs: limits.cancellationTimeoutMs,
});

/** The state store's limits as a build reads them. Early builds ignore announced sizes of values and transactions. */
function stateStoreSettings(limits: Limits, { readsAnnouncedLimits }: Build): Settings['stateStore'] {
  const { requestsPerSecond, writesPerSecond, maxValueBytes, maxChangesPerTransaction } = limits;
  const announcedBytes = limits.announcedMaxValueBytes || maxValueBytes;
  const announcedChanges = limits.announcedMaxChangesPerTransaction || maxChangesPerTransaction;
  return {
    requestsPerSecond,
    writesPerSecond,
    announcedRequestsPerSecond: limits.announcedRequestsPerSecond || requestsPerSecond,
    announcedWritesPerSecond: limits.announcedWritesPerSecond || writesPerSecond,
    maxValueBytes: readsAnnouncedLimits ? Math.min(maxValueBytes, announcedBytes) : maxValueBytes,
    maxChangesPerTransaction: readsAnnouncedLimits
      ? Math.min(maxChangesPerTransaction, announcedChanges)
      : maxChangesPerTransaction,
  };
}

/** The settings of the controller `name`, one of `names`, as its build reads them. */
export function makeSettings(
  name: ControllerName,
  names: readonly ControllerName[],
  options: DeploymentOptions,
  build: Build,
): Settings {
  const zone = options.zones[0] as ZoneName;
  const limits = options.limits ?? LIMITS;
  return {
    controller: name,
    zone,
    peers: names.filter((peer) => peer !== name).map((peer) => ({ name: peer, zone })),
    controllerCount: names.length,
    zones: options.zones,
    clockSkewMs: 25,
    teamQuotas: options.teams,
    objectives: [],
    workers: workerSettings(limits),
    stateStore: stateStoreSettings(limits, build),
    cloud: { requestsPerSecond: limits.cloudRequestsPerSecond, listStalenessMs: LIST_STALENESS_MS },
    limits: { cpuShare: limits.cpuShare, maxConnections: 2000 },
  };
}
