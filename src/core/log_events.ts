/**
 * The catalogue of log events: each with its level and its fields. An event is a constant phrase, what varies is in the fields,
 * whose names give the unit. docs/operations.md tells operators what each event means; a test compares the two.
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

/** What a line says beside its event. */
export type LogFields = Readonly<
  Record<string, string | number | bigint | boolean | null | readonly string[] | undefined>
>;

/** One line of the log. */
export interface LogEntry {
  readonly level: LogLevel;
  readonly event: string;
  readonly fields: LogFields;
}

/** An event with fields of type `Fields`; they are a matter of types alone. */
interface EventDefinition<Fields extends LogFields> {
  readonly level: LogLevel;
  readonly fields?: Fields;
}

const event = <Fields extends LogFields>(level: LogLevel): EventDefinition<Fields> => ({ level });

type NoFields = Readonly<Record<never, never>>;
type OfMachine = { readonly machine: MachineId };
type OfMachineKind = { readonly type: MachineTypeName; readonly zone: ZoneName; readonly spot: boolean };
type OfStoredKey = { readonly key: string };
type OfLeadership = { readonly fencingToken: FencingToken };

/** Of a process and its connections. */
const PROCESS_EVENTS = {
  started: event<{ readonly listenAddress: string; readonly peers: number }>('info'),
  'listen failed': event<{ readonly listenAddress: string; readonly error: string }>('error'),
  'uncaught exception': event<{ readonly error: string }>('error'),
  'peer listener failed': event<{ readonly error: string }>('error'),
  'peer connection dropped': event<{ readonly peer: string | null; readonly reason: string }>('info'),
  'unknown peer frames skipped': event<{ readonly peer: string | null; readonly count: number }>('info'),
  'malformed message dropped': event<{ readonly description: string; readonly count: number }>('info'),
};

/** Of leadership, and of what a leader finds on record. */
const LEADERSHIP_EVENTS = {
  'elected leader': event<OfLeadership & { readonly term: number }>('info'),
  'leadership resumed after gap in renewals': event<OfLeadership>('info'),
  'leadership lost: lease expired': event<OfLeadership>('info'),
  'stepping down as leader': event<OfLeadership & { readonly reason: string }>('info'),
  'revoking lease of previous process': event<NoFields>('info'),
  'state read': event<{
    readonly term: number;
    readonly jobs: number;
    readonly begunJobs: number;
    readonly unreadableJobs: number;
    readonly machines: number;
  }>('info'),
  'recovery finished': event<LogFields>('info'),
  'task of a job not on record': event<{ readonly job: JobId }>('error'),
  'leader key not understood': event<OfStoredKey>('error'),
  'registry page not understood': event<OfStoredKey>('error'),
  'job record not understood': event<OfStoredKey>('error'),
  'state store limits lowered': event<{ readonly requestsPerSecond: number; readonly writesPerSecond: number }>('info'),
  'write refused for its size': event<{ readonly maxChanges: number; readonly maxValueBytes: number }>('info'),
};

/** Of machines and their workers. */
const MACHINE_EVENTS = {
  'machines provisioned': event<OfMachineKind & { readonly requested: number; readonly provisioned: number }>('info'),
  'machine up': event<OfMachine & OfMachineKind & { readonly ageSeconds: number }>('info'),
  'terminating machine': event<OfMachine & { readonly type: MachineTypeName; readonly reason: string }>('info'),
  'unregistered machine listed': event<OfMachine & { readonly phase: string }>('info'),
  'heartbeat from unregistered machine': event<OfMachine>('info'),
  'machine stopped': event<OfMachine & { readonly lostTasks: number }>('info'),
  'machine failing tasks': event<OfMachine>('info'),
  'straggler detected': event<OfMachine>('info'),
  'agent lease expired': event<OfMachine & { readonly lostTasks: number; readonly reconciled: boolean }>('info'),
  'agent epoch began': event<OfMachine & { readonly agentEpoch: bigint; readonly lostTasks: number }>('info'),
  'interruption notice': event<OfMachine & { readonly interruptionNoticeSeconds: number }>('info'),
  'machine unresponsive': event<OfMachine>('info'),
  'machine reachable again': event<OfMachine>('info'),
  'duplicate heartbeat': event<OfMachine & { readonly sequence: SequenceNumber; readonly duplicates: number }>('debug'),
};

/** Of tasks, and of where they are placed. */
const TASK_EVENTS = {
  'task missing from status': event<OfMachine & { readonly task: string }>('info'),
  'task exited early': event<OfMachine & { readonly task: string; readonly exitReason: ExitReason | null }>('info'),
  'task reported by two machines': event<{
    readonly task: string;
    readonly machines: readonly string[];
    readonly attempts: readonly string[];
  }>('error'),
  'task started again': event<
    OfMachine & {
      readonly task: string;
      readonly attempt: Attempt;
      /** What showed that the earlier attempt is over. */
      readonly evidence: ReleaseReason | 'noFeasibleMachine';
      readonly earlierMachine: MachineId;
      readonly earlierAttempt: Attempt;
      /** How many tasks of earlier terms this leader has started again. */
      readonly restarts: number;
    }
  >('info'),
  'task running': event<
    OfMachine & {
      readonly task: string;
      readonly jobClass: string;
      readonly image: string;
      readonly imageGb: number;
      readonly sincePlacementSeconds: number;
      readonly sinceSubmissionSeconds: number;
      readonly pullSpeed: number;
    }
  >('debug'),
  'planning round': event<{
    readonly waitingJobs: number;
    readonly plannedJobs: number;
    readonly machines: number;
    readonly planSteps: number;
    readonly startedTasks: number;
    readonly cost: number;
  }>('debug'),
  'gang preemption': event<{ readonly job: JobId; readonly machines: number }>('debug'),
  'gang migration': event<{ readonly job: JobId; readonly machines: readonly string[] }>('debug'),
  'replica preemption': event<OfMachine & { readonly job: JobId }>('debug'),
  'replica migration': event<{
    readonly job: JobId;
    readonly fromMachine: MachineId;
    readonly toMachine: MachineId;
  }>('info'),
};

/** All events, by their phrase. */
export const LOG_EVENTS = { ...PROCESS_EVENTS, ...LEADERSHIP_EVENTS, ...MACHINE_EVENTS, ...TASK_EVENTS };

export type LogEvent = keyof typeof LOG_EVENTS;

/** The fields of an event. */
export type FieldsOf<Event extends LogEvent> =
  (typeof LOG_EVENTS)[Event] extends EventDefinition<infer Fields> ? Fields : never;

/** Returns the line for an event, at the event's own level. */
export function logEntry<Event extends LogEvent>(event: Event, fields: FieldsOf<Event>): LogEntry {
  return { level: LOG_EVENTS[event].level, event, fields };
}
