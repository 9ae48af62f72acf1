/** The schema of the platform's settings file, with the platform's own key names. Unknown keys are ignored. */
import * as v from 'valibot';
import { hostAndPort, nonEmptyText, nonNegativeNumber, positiveInteger, positiveNumber } from './value_schemas.js';

/**
 * A team's guaranteed cores and GPUs (`cpus`, `gpus`) and its limits (`cpus_max`, `gpus_max`). 0 means no guarantee or
 * no limit.
 */
const teamSchema = v.object({
  name: nonEmptyText,
  cpus: v.optional(nonNegativeNumber, 0),
  cpus_max: v.optional(nonNegativeNumber, 0),
  gpus: v.optional(nonNegativeNumber, 0),
  gpus_max: v.optional(nonNegativeNumber, 0),
});

/** A service-level objective. Any kind is accepted. Kinds that do not affect the order of jobs are dropped later. */
const objectiveSchema = v.object({
  kind: nonEmptyText,
  class: v.optional(v.string(), ''),
  /** Maximum seconds since submission. */
  within_s: v.optional(nonNegativeNumber, 0),
  /** Factor by which the job's own deadline is multiplied. */
  times: v.optional(positiveNumber, 1),
});

/** Intervals and timeouts of workers, in seconds. */
const workersSchema = v.object({
  /** Interval between heartbeats. */
  report_s: positiveNumber,
  /** Time from the last heartbeat that got a response until the worker stops its tasks. */
  lease_s: positiveNumber,
  /** Maximum time that a task waits at the barrier of its gang. */
  gang_wait_s: positiveNumber,
  /** Maximum time until the tasks of a gang detect that a member is missing. */
  gang_peer_s: positiveNumber,
  /** Maximum time from the response to a cancellation until no task of the job runs. */
  cancel_s: positiveNumber,
});

/** Limits of the state store. */
const stateSchema = v.object({
  /** Maximum requests per second, and maximum changes per second. */
  rps: positiveNumber,
  write_rps: positiveNumber,
  /** Maximum size of a value in KiB, and maximum number of changes in a transaction. */
  value_kb: positiveNumber,
  txn_ops: positiveInteger,
  /** Limits that will come into force at an unannounced time. A limit that is left out does not change. */
  next: v.optional(
    v.object({
      rps: v.optional(positiveNumber),
      write_rps: v.optional(positiveNumber),
      value_kb: v.optional(positiveNumber),
      txn_ops: v.optional(positiveInteger),
    }),
    {},
  ),
});

const siblingSchema = v.object({ host_name: nonEmptyText, area: nonEmptyText, address: hostAndPort });

const deploymentSchema = v.object({
  /** Number of controllers when the deployment starts. */
  initial_size: v.optional(positiveInteger, 1),
  zones: v.pipe(v.array(nonEmptyText), v.minLength(1)),
  /** Maximum difference between the controllers' wall clocks, in milliseconds. */
  skew_ms: v.optional(nonNegativeNumber, 0),
  teams: v.array(teamSchema),
  objectives: v.optional(v.array(objectiveSchema), []),
  workers: workersSchema,
  state: stateSchema,
  /** Maximum requests per second to the cloud, and the usual staleness of its machine list in seconds. */
  cloud: v.object({ rps: positiveNumber, list_lag_s: nonNegativeNumber }),
  /** Resources that a controller may use: share of a core, memory in MB, and open connections. */
  machine_limits: v.object({
    cpu_share: positiveNumber,
    memory_mb: positiveNumber,
    max_connections: positiveInteger,
  }),
});

/** The schema of the whole file. */
export const platformSchema = v.object({
  /** This controller's name and zone. */
  host_name: nonEmptyText,
  area: nonEmptyText,
  /** Addresses on which this controller accepts users and workers (`listen`), and other controllers (`peer_bind`). */
  listen: hostAndPort,
  peer_bind: hostAndPort,
  siblings: v.optional(v.array(siblingSchema), []),
  endpoints: v.object({ cloud: hostAndPort, state: hostAndPort }),
  deployment: deploymentSchema,
});

/** The section of the file that is the same for all controllers, before conversion. */
export type RawDeployment = v.InferOutput<typeof deploymentSchema>;
