import * as v from 'valibot';
import type { Settings } from '../core/settings.js';
import type { ControllerName, TeamName, ZoneName } from '../core/types.js';
import {
  hostAndPort,
  nonEmptyText,
  nonNegativeNumber,
  parseSettings,
  positiveInteger,
  positiveNumber,
  readTomlFile,
} from './settings_file.js';

const MS_PER_SECOND = 1000;
const BYTES_PER_KB = 1024;

const teamSchema = v.object({
  name: nonEmptyText,
  cpus: v.optional(nonNegativeNumber, 0),
  cpus_max: v.optional(nonNegativeNumber, 0),
  gpus: v.optional(nonNegativeNumber, 0),
  gpus_max: v.optional(nonNegativeNumber, 0),
});

const platformSchema = v.object({
  host_name: nonEmptyText,
  area: nonEmptyText,
  listen: hostAndPort,
  peer_bind: hostAndPort,
  siblings: v.optional(v.array(v.object({ host_name: nonEmptyText, area: nonEmptyText, address: hostAndPort })), []),
  endpoints: v.object({ cloud: hostAndPort, state: hostAndPort }),
  deployment: v.object({
    initial_size: v.optional(positiveInteger, 1),
    zones: v.pipe(v.array(nonEmptyText), v.minLength(1)),
    skew_ms: v.optional(nonNegativeNumber, 0),
    teams: v.array(teamSchema),
    // Kinds of objective that we don't know bear on nothing here.
    objectives: v.optional(
      v.array(
        v.object({
          kind: nonEmptyText,
          class: v.optional(v.string(), ''),
          within_s: v.optional(nonNegativeNumber, 0),
          times: v.optional(positiveNumber, 1),
        }),
      ),
      [],
    ),
    workers: v.object({
      report_s: positiveNumber,
      lease_s: positiveNumber,
      gang_wait_s: positiveNumber,
      gang_peer_s: positiveNumber,
      cancel_s: positiveNumber,
    }),
    state: v.object({
      rps: positiveNumber,
      write_rps: positiveNumber,
      value_kb: positiveNumber,
      txn_ops: positiveInteger,
      // What the state service will allow from some moment on that nobody announces.
      next: v.optional(
        v.object({
          rps: v.optional(positiveNumber),
          write_rps: v.optional(positiveNumber),
          value_kb: v.optional(positiveNumber),
          txn_ops: v.optional(positiveInteger),
        }),
        {},
      ),
    }),
    cloud: v.object({ rps: positiveNumber, list_lag_s: nonNegativeNumber }),
    machine_limits: v.object({
      cpu_share: positiveNumber,
      memory_mb: positiveNumber,
      max_connections: positiveInteger,
    }),
  }),
});

/** The platform's file: what the core needs, and what only the sockets need. */
export interface PlatformSettings {
  readonly settings: Settings;
  readonly listenAddress: string;
  readonly peerListenAddress: string;
  readonly peers: readonly { readonly name: ControllerName; readonly addr: string }[];
  readonly cloudAddress: string;
  readonly stateStoreAddress: string;
}

type RawDeployment = v.InferOutput<typeof platformSchema>['deployment'];

/** Sizes fit both limits from the start: one that doesn't would be refused from one moment to the next. */
function stateStoreSettings({
  rps: requestsPerSecond,
  write_rps,
  value_kb,
  txn_ops,
  next,
}: RawDeployment['state']): Settings['stateStore'] {
  return {
    requestsPerSecond,
    writesPerSecond: write_rps,
    announcedRequestsPerSecond: Math.min(requestsPerSecond, next.rps ?? requestsPerSecond),
    announcedWritesPerSecond: Math.min(write_rps, next.write_rps ?? write_rps),
    maxValueBytes: Math.min(value_kb, next.value_kb ?? value_kb) * BYTES_PER_KB,
    maxChangesPerTransaction: Math.min(txn_ops, next.txn_ops ?? txn_ops),
  };
}

function workerSettings(workers: RawDeployment['workers']): Settings['workers'] {
  return {
    heartbeatIntervalMs: workers.report_s * MS_PER_SECOND,
    leaseMs: workers.lease_s * MS_PER_SECOND,
    gangBarrierTimeoutMs: workers.gang_wait_s * MS_PER_SECOND,
    gangPeerTimeoutMs: workers.gang_peer_s * MS_PER_SECOND,
    cancellationTimeoutMs: workers.cancel_s * MS_PER_SECOND,
  };
}

function teamSettings(teams: RawDeployment['teams']): Settings['teamQuotas'] {
  return teams.map(({ name: teamName, cpus, gpus, cpus_max, gpus_max }) => ({
    name: teamName as TeamName,
    guaranteedCpus: cpus,
    guaranteedGpus: gpus,
    cpuLimit: cpus_max,
    gpuLimit: gpus_max,
  }));
}

/** Only the objectives that bear on the order of jobs. */
function objectiveSettings(objectives: RawDeployment['objectives']): Settings['objectives'] {
  return objectives.flatMap(({ kind, class: jobClass, within_s: withinSeconds, times: deadlineFactor }) =>
    kind === 'wait' || kind === 'finished' || kind === 'deadline'
      ? [{ kind, jobClass, withinSeconds, deadlineFactor }]
      : [],
  );
}

/** Reads and checks the platform's file; throws `SettingsError`, naming the field. */
export function loadPlatform(file: string): PlatformSettings {
  const { deployment, siblings, endpoints, ...own } = parseSettings(file, readTomlFile(file), platformSchema);
  const { machine_limits, cloud } = deployment;
  const settings: Settings = {
    controller: own.host_name as ControllerName,
    zone: own.area as ZoneName,
    peers: siblings.map(({ host_name, area }) => ({ name: host_name as ControllerName, zone: area as ZoneName })),
    controllerCount: Math.max(deployment.initial_size, siblings.length + 1),
    limits: { cpuShare: machine_limits.cpu_share, maxConnections: machine_limits.max_connections },
    zones: deployment.zones as ZoneName[],
    clockSkewMs: deployment.skew_ms,
    teamQuotas: teamSettings(deployment.teams),
    objectives: objectiveSettings(deployment.objectives),
    workers: workerSettings(deployment.workers),
    stateStore: stateStoreSettings(deployment.state),
    cloud: { requestsPerSecond: cloud.rps, listStalenessMs: cloud.list_lag_s * MS_PER_SECOND },
  };
  return {
    settings,
    listenAddress: own.listen,
    peerListenAddress: own.peer_bind,
    peers: siblings.map(({ host_name, address: addr }) => ({ name: host_name as ControllerName, addr })),
    cloudAddress: endpoints.cloud,
    stateStoreAddress: endpoints.state,
  };
}
