/**
 * The catalogue of log events, each with its level and its fields. An event is a constant phrase. Values that vary are
 * in the fields, whose names include the unit. docs/operations.md explains each event to operators, and a test compares
 * the two.
 */
import type { ReleaseReason } from './jobs/located_tasks.js';
import type {
  Attempt,
  ExitReason,
  FencingToken,
  JobId,
  MachineId,
  MachineTypeName,
  SequenceNumber,
  ZoneName,
} from './types.js';

export type LogLevel = 'error' | 'info' | 'debug';

/** The fields of a log line. */
export type LogFields = Readonly<
  Record<string, string | number | bigint | boolean | null | readonly string[] | undefined>
>;

/** One line of the log. */
export interface LogEntry {
  readonly level: LogLevel;
  readonly event: string;
  readonly fields: LogFields;
}

/** The level of an event, and the type of its fields. `fields` exists only for the type checker and is never set. */
interface EventDefinition<Fields extends LogFields> {
  readonly level: LogLevel;
  readonly fields?: Fields;
}

const event = <Fields extends LogFields>(level: LogLevel): EventDefinition<Fields> => ({ level });

type NoFields = Readonly<Record<never, never>>;
type MachineFields = { readonly machine: MachineId };
type MachineTypeFields = { readonly type: MachineTypeName; readonly zone: ZoneName; readonly spot: boolean };
type StoredKeyFields = { readonly key: string };
type LeadershipFields = { readonly fencingToken: FencingToken };

/** Events of the process and its connections. */
const PROCESS_EVENTS = {
  started: event<{ readonly listenAddress: string; readonly peers: number }>('info'),
  'listener failed': event<{ readonly listenAddress: string; readonly error: string }>('error'),
  'uncaught exception': event<{ readonly error: string }>('error'),
  'peer listener failed': event<{ readonly error: string }>('error'),
  'peer connection dropped': event<{ readonly peer: string | null; readonly reason: string }>('info'),
  'unknown peer frames skipped': event<{ readonly peer: string | null; readonly count: number }>('info'),
  'malformed message dropped': event<{ readonly description: string; readonly count: number }>('info'),
};

/** Events of leadership, and of the stored state that a leader reads. */
const LEADERSHIP_EVENTS = {
  'leader elected': event<LeadershipFields & { readonly term: number }>('info'),
  'leadership resumed after gap in renewals': event<LeadershipFields>('info'),
  'leadership lost: lease expired': event<LeadershipFields>('info'),
  'leader stepped down': event<LeadershipFields & { readonly reason: string }>('info'),
  'lease of previous process found': event<NoFields>('info'),
  'state read': event<{
    readonly term: number;
    readonly jobs: number;
    readonly begunJobs: number;
    readonly unreadableJobs: number;
    readonly machines: number;
  }>('info'),
  'recovery finished': event<LogFields>('info'),
  'task without job record found': event<{ readonly job: JobId }>('error'),
  'leader key not understood': event<StoredKeyFields>('error'),
  'registry page not understood': event<StoredKeyFields>('error'),
  'job record not understood': event<StoredKeyFields>('error'),
  'state store limits lowered': event<{ readonly requestsPerSecond: number; readonly writesPerSecond: number }>('info'),
  'write refused for its size': event<{ readonly maxChanges: number; readonly maxValueBytes: number }>('info'),
};

/** Events of machines and their workers. */
const MACHINE_EVENTS = {
  'machines provisioned': event<MachineTypeFields & { readonly requested: number; readonly provisioned: number }>(
    'info',
  ),
  'machine up': event<MachineFields & MachineTypeFields & { readonly ageSeconds: number }>('info'),
  'machine termination requested': event<MachineFields & { readonly type: MachineTypeName; readonly reason: string }>(
    'info',
  ),
  'unregistered machine listed': event<MachineFields & { readonly phase: string }>('info'),
  'heartbeat received from unregistered machine': event<MachineFields>('info'),
  'machine of unknown type registered': event<MachineFields & { readonly type: MachineTypeName }>('info'),
  'machine stopped': event<MachineFields & { readonly lostTasks: number }>('info'),
  'machine failing tasks': event<MachineFields>('info'),
  'straggler detected': event<MachineFields>('info'),
  'straggler put back into service': event<MachineFields>('info'),
  'agent lease expired': event<MachineFields & { readonly lostTasks: number; readonly reconciled: boolean }>('info'),
  'agent epoch began': event<MachineFields & { readonly agentEpoch: bigint; readonly lostTasks: number }>('info'),
  'interruption notice received': event<MachineFields & { readonly interruptionNoticeSeconds: number }>('info'),
  'machine unresponsive': event<MachineFields>('info'),
  'machine reachable again': event<MachineFields>('info'),
  'pushed starts invalidated': event<MachineFields & LeadershipFields & { readonly starts: number }>('debug'),
  'lease renewal withheld': event<MachineFields & { readonly starts: number }>('info'),
  'duplicate heartbeat ignored': event<
    MachineFields & { readonly sequence: SequenceNumber; readonly duplicates: number }
  >('debug'),
};

/** Events of tasks and of their placement. */
const TASK_EVENTS = {
  'task missing from status': event<MachineFields & { readonly task: string }>('info'),
  'task exited early': event<MachineFields & { readonly task: string; readonly exitReason: ExitReason | null }>('info'),
  'task reported by two machines': event<{
    readonly task: string;
    readonly machines: readonly string[];
    readonly attempts: readonly string[];
  }>('error'),
  'task started again': event<
    MachineFields & {
      readonly task: string;
      readonly attempt: Attempt;
      /** Why the previous attempt is known to be over. */
      readonly evidence: ReleaseReason | 'noFeasibleMachine';
      readonly earlierMachine: MachineId;
      readonly earlierAttempt: Attempt;
      /** How many tasks of previous terms this leader has started again. */
      readonly restarts: number;
    }
  >('info'),
  'task running': event<
    MachineFields & {
      readonly task: string;
      readonly jobClass: string;
      readonly image: string;
      readonly imageGb: number;
      readonly sincePlacementSeconds: number;
      readonly sinceSubmissionSeconds: number;
      readonly pullSpeed: number;
    }
  >('debug'),
  'planning round finished': event<{
    readonly waitingJobs: number;
    readonly plannedJobs: number;
    readonly machines: number;
    readonly planSteps: number;
    readonly startedTasks: number;
    readonly cost: number;
  }>('debug'),
  'jobs started after long waits': event<{ readonly jobs: number; readonly tasks: number; readonly planSteps: number }>(
    'debug',
  ),
  'machines reserved for gang': event<{ readonly job: JobId; readonly machines: number }>('debug'),
  'gang migration started': event<{ readonly job: JobId; readonly machines: readonly string[] }>('debug'),
  'tasks preempted for replica': event<MachineFields & { readonly job: JobId }>('debug'),
  'replica migration started': event<{
    readonly job: JobId;
    readonly fromMachine: MachineId;
    readonly toMachine: MachineId;
  }>('info'),
};

/** All events, keyed by their phrases. */
export const LOG_EVENTS = { ...PROCESS_EVENTS, ...LEADERSHIP_EVENTS, ...MACHINE_EVENTS, ...TASK_EVENTS };

/** The phrase of an event in the catalogue. */
export type LogEvent = keyof typeof LOG_EVENTS;

/** The fields of an event. */
export type FieldsOf<Event extends LogEvent> =
  (typeof LOG_EVENTS)[Event] extends EventDefinition<infer Fields> ? Fields : never;

/** Returns the log line for an event, with the level that the catalogue defines. */
export function logEntry<Event extends LogEvent>(event: Event, fields: FieldsOf<Event>): LogEntry {
  return { level: LOG_EVENTS[event].level, event, fields };
}
