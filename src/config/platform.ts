/** Reads the platform's settings file and converts it to the core's settings and the network addresses. */
import type { Settings } from '../core/settings.js';
import type { ControllerName, TeamName, ZoneName } from '../core/types.js';
import { platformSchema, type RawDeployment } from './platform_schema.js';
import { parseSettings, readTomlFile } from './settings_file.js';

const MS_PER_SECOND = 1000;
const BYTES_PER_KB = 1024;

/** Another controller and the address on which it accepts connections from peers. */
export interface PeerAddress {
  readonly name: ControllerName;
  /** As `host:port`. */
  readonly address: string;
}

/** The core's settings and the network addresses from the platform's file. Addresses have the form `host:port`. */
export interface PlatformSettings {
  readonly settings: Settings;
  /** Address on which this controller serves users and workers. */
  readonly listenAddress: string;
  readonly peerListenAddress: string;
  readonly peers: readonly PeerAddress[];
  readonly cloudAddress: string;
  readonly stateStoreAddress: string;
}

/**
 * Returns the limits of the state store. Sizes are limited to the smaller of the current and the announced limit from
 * the start, because a larger value would be refused as soon as the announced limit comes into force.
 */
function stateStoreSettings(state: RawDeployment['state']): Settings['stateStore'] {
  const { next } = state;
  return {
    requestsPerSecond: state.rps,
    writesPerSecond: state.write_rps,
    announcedRequestsPerSecond: Math.min(state.rps, next.rps ?? state.rps),
    announcedWritesPerSecond: Math.min(state.write_rps, next.write_rps ?? state.write_rps),
    maxValueBytes: Math.min(state.value_kb, next.value_kb ?? state.value_kb) * BYTES_PER_KB,
    maxChangesPerTransaction: Math.min(state.txn_ops, next.txn_ops ?? state.txn_ops),
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

function teamQuotas(teams: RawDeployment['teams']): Settings['teamQuotas'] {
  return teams.map(({ name, cpus, gpus, cpus_max, gpus_max }) => ({
    name: name as TeamName,
    guaranteed: { cpus, gpus },
    limit: { cpus: cpus_max, gpus: gpus_max },
  }));
}

/** Returns the objectives that affect the order of jobs. */
function orderingObjectives(objectives: RawDeployment['objectives']): Settings['objectives'] {
  return objectives.flatMap(({ kind, class: jobClass, within_s: withinSeconds, times: deadlineFactor }) => {
    if (kind !== 'wait' && kind !== 'finished' && kind !== 'deadline') return [];
    return [{ kind, jobClass, withinSeconds, deadlineFactor }];
  });
}

/** Returns the settings that all controllers of the deployment share. */
function deploymentSettings(
  deployment: RawDeployment,
): Omit<Settings, 'controller' | 'zone' | 'peers' | 'controllerCount'> {
  const { machine_limits, cloud } = deployment;
  return {
    limits: { cpuShare: machine_limits.cpu_share, maxConnections: machine_limits.max_connections },
    zones: deployment.zones as ZoneName[],
    clockSkewMs: deployment.skew_ms,
    teamQuotas: teamQuotas(deployment.teams),
    objectives: orderingObjectives(deployment.objectives),
    workers: workerSettings(deployment.workers),
    stateStore: stateStoreSettings(deployment.state),
    cloud: { requestsPerSecond: cloud.rps, listStalenessMs: cloud.list_lag_s * MS_PER_SECOND },
  };
}

/** Returns the platform's settings. Throws `SettingsError` if the file cannot be read or a value is invalid. */
export function loadPlatform(file: string): PlatformSettings {
  const { deployment, siblings, endpoints, ...own } = parseSettings(file, readTomlFile(file), platformSchema);
  const settings: Settings = {
    controller: own.host_name as ControllerName,
    zone: own.area as ZoneName,
    peers: siblings.map(({ host_name, area }) => ({ name: host_name as ControllerName, zone: area as ZoneName })),
    controllerCount: Math.max(deployment.initial_size, siblings.length + 1),
    ...deploymentSettings(deployment),
  };
  return {
    settings,
    listenAddress: own.listen,
    peerListenAddress: own.peer_bind,
    peers: siblings.map(({ host_name, address }) => ({ name: host_name as ControllerName, address })),
    cloudAddress: endpoints.cloud,
    stateStoreAddress: endpoints.state,
  };
}
