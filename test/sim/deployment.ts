import type { Settings } from '../../src/core/settings.js';
import type { ControllerName, TeamQuota, ZoneName } from '../../src/core/types.js';
import type { Build } from './build.js';

/* What the operators of a simulated deployment allow, and the settings that follow for each controller. */

/** How long the members of a gang wait for each other to start. */
const GANG_BARRIER_TIMEOUT_MS = 40_000;
/** How long the members of a gang do without one of them. */
const GANG_PEER_TIMEOUT_MS = 5000;
/** The cloud's list of machines is as old as that, up to twice. */
export const LIST_STALENESS_MS = 3000;

/** What a deployment allows and asks, as its settings say it. */
export interface Limits {
  readonly requestsPerSecond: number;
  readonly writesPerSecond: number;
  /** Announced for later; 0: no other. */
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

/** The limits of a scenario that names no others. */
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

/** What a deployment's settings depend on, beside its controllers. */
export interface DeploymentOptions {
  readonly zones: readonly ZoneName[];
  readonly teams: readonly TeamQuota[];
  readonly limits?: Limits;
}

/** The timing of workers, which they go by themselves too. */
export const workerSettings = (limits: Limits): Settings['workers'] => ({
  heartbeatIntervalMs: limits.heartbeatIntervalMs,
  leaseMs: limits.leaseMs,
  gangBarrierTimeoutMs: GANG_BARRIER_TIMEOUT_MS,
  gangPeerTimeoutMs: GANG_PEER_TIMEOUT_MS,
  cancellationTimeoutMs: limits.cancellationTimeoutMs,
});

/** The state store's limits as a build reads them: early ones know nothing of sizes that are announced for later. */
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

/** The settings of controller `name`, one of `names`, as its build reads them. */
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
