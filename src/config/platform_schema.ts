/** The schema of the platform's file, by the names that the platform gives. Keys that it doesn't name are ignored. */
import * as v from 'valibot';
import { hostAndPort, nonEmptyText, nonNegativeNumber, positiveInteger, positiveNumber } from './value_schemas.js';

/** A team's guaranteed cores and GPUs, and its limits; 0: none. */
const teamSchema = v.object({
  name: nonEmptyText,
  cpus: v.optional(nonNegativeNumber, 0),
  cpus_max: v.optional(nonNegativeNumber, 0),
  gpus: v.optional(nonNegativeNumber, 0),
  gpus_max: v.optional(nonNegativeNumber, 0),
});

/** A service-level objective. Any kind is accepted: those that don't bear on the order of jobs are dropped later. */
const objectiveSchema = v.object({
  kind: nonEmptyText,
  class: v.optional(v.string(), ''),
  /** Seconds from submission. */
  within_s: v.optional(nonNegativeNumber, 0),
  /** Times the job's own deadline. */
  times: v.optional(positiveNumber, 1),
});

/** What workers keep to, in seconds. */
const workersSchema = v.object({
  /** Between two heartbeats. */
  report_s: positiveNumber,
  /** From the last heartbeat that was answered until a worker ends its tasks. */
  lease_s: positiveNumber,
  /** That a task waits at the barrier of its gang. */
  gang_wait_s: positiveNumber,
  /** Until the tasks of a gang notice that one is gone. */
  gang_peer_s: positiveNumber,
  /** From the answer to a cancellation until all of the job's tasks must be gone. */
  cancel_s: positiveNumber,
});

/** Limits of the state store. */
const stateSchema = v.object({
  /** Requests and changes a second. */
  rps: positiveNumber,
  write_rps: positiveNumber,
  /** KiB of a value, and changes in a transaction. */
  value_kb: positiveNumber,
  txn_ops: positiveInteger,
  /** The limits that come into force at a moment that nobody announces; one that is left out stays as it is. */
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
  /** Controllers at the start. */
  initial_size: v.optional(positiveInteger, 1),
  zones: v.pipe(v.array(nonEmptyText), v.minLength(1)),
  /** Bound, in milliseconds, on how far the controllers' times of day differ. */
  skew_ms: v.optional(nonNegativeNumber, 0),
  teams: v.array(teamSchema),
  objectives: v.optional(v.array(objectiveSchema), []),
  workers: workersSchema,
  state: stateSchema,
  /** Requests a second, and the usual age in seconds of the machine list. */
  cloud: v.object({ rps: positiveNumber, list_lag_s: nonNegativeNumber }),
  /** What a controller may use: parts of a core, MB of memory, open connections. */
  machine_limits: v.object({
    cpu_share: positiveNumber,
    memory_mb: positiveNumber,
    max_connections: positiveInteger,
  }),
});

/** The whole file. */
export const platformSchema = v.object({
  /** This controller's name and zone. */
  host_name: nonEmptyText,
  area: nonEmptyText,
  /** Where users and workers, and where the other controllers, reach this one. */
  listen: hostAndPort,
  peer_bind: hostAndPort,
  siblings: v.optional(v.array(siblingSchema), []),
  endpoints: v.object({ cloud: hostAndPort, state: hostAndPort }),
  deployment: deploymentSchema,
});

/** The part of the file that is the same for all controllers, as read. */
export type RawDeployment = v.InferOutput<typeof deploymentSchema>;
