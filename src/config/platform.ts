import * as v from 'valibot';
import type { Settings } from '../core/settings.js';
import type { ControllerName, TeamName, ZoneName } from '../core/types.js';
import { address, checkSettings, count, name, notNegative, positive, readToml } from './load.js';

const MS_PER_S = 1000;
const BYTES_PER_KB = 1024;

const team = v.object({
  name,
  cpus: v.optional(notNegative, 0),
  cpus_max: v.optional(notNegative, 0),
  gpus: v.optional(notNegative, 0),
  gpus_max: v.optional(notNegative, 0),
});

const schema = v.object({
  host_name: name,
  area: name,
  listen: address,
  peer_bind: address,
  siblings: v.optional(v.array(v.object({ host_name: name, area: name, address })), []),
  endpoints: v.object({ cloud: address, state: address }),
  deployment: v.object({
    initial_size: v.optional(count, 1),
    zones: v.pipe(v.array(name), v.minLength(1)),
    skew_ms: v.optional(notNegative, 0),
    teams: v.array(team),
    // Kinds of objective that we don't know bear on nothing here.
    objectives: v.optional(
      v.array(
        v.object({
          kind: name,
          class: v.optional(v.string(), ''),
          within_s: v.optional(notNegative, 0),
          times: v.optional(positive, 1),
        }),
      ),
      [],
    ),
    workers: v.object({
      report_s: positive,
      lease_s: positive,
      gang_wait_s: positive,
      gang_peer_s: positive,
      cancel_s: positive,
    }),
    state: v.object({
      rps: positive,
      write_rps: positive,
      value_kb: positive,
      txn_ops: count,
      // What the state service will allow from some moment on that nobody announces.
      next: v.optional(
        v.object({
          rps: v.optional(positive),
          write_rps: v.optional(positive),
          value_kb: v.optional(positive),
          txn_ops: v.optional(count),
        }),
        {},
      ),
    }),
    cloud: v.object({ rps: positive, list_lag_s: notNegative }),
    machine_limits: v.object({ cpu_share: positive, memory_mb: positive, max_connections: count }),
  }),
});

/** The platform's file: what the core needs, and what only the sockets need. */
export interface Platform {
  readonly settings: Settings;
  readonly listen: string;
  readonly peerListen: string;
  readonly peers: readonly { readonly name: ControllerName; readonly addr: string }[];
  readonly cloudAddr: string;
  readonly storeAddr: string;
}

type RawDeployment = v.InferOutput<typeof schema>['deployment'];

/** Sizes fit both limits from the start: one that doesn't would be refused from one moment to the next. */
function storeSettings({
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
    heartbeatIntervalMs: workers.report_s * MS_PER_S,
    leaseMs: workers.lease_s * MS_PER_S,
    gangBarrierTimeoutMs: workers.gang_wait_s * MS_PER_S,
    gangPeerTimeoutMs: workers.gang_peer_s * MS_PER_S,
    cancellationTimeoutMs: workers.cancel_s * MS_PER_S,
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
export function loadPlatform(file: string): Platform {
  const { deployment, siblings, endpoints, ...own } = checkSettings(file, readToml(file), schema);
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
    stateStore: storeSettings(deployment.state),
    cloud: { requestsPerSecond: cloud.rps, listStalenessMs: cloud.list_lag_s * MS_PER_S },
  };
  return {
    settings,
    listen: own.listen,
    peerListen: own.peer_bind,
    peers: siblings.map(({ host_name, address: addr }) => ({ name: host_name as ControllerName, addr })),
    cloudAddr: endpoints.cloud,
    storeAddr: endpoints.state,
  };
}
