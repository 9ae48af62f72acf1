/** Collects what a step asks the outside to carry out, each with the time until which it may leave. */
import type { LeadershipValidity } from './leadership_validity.js';
import { type FieldsOf, type LogEvent, logEntry } from './log_events.js';
import type { HeartbeatResponse, Output, PeerMessage, RequestId, UserResponse } from './messages.js';
import type { StepClock } from './step_clock.js';
import type { ControllerName, MonotonicTime } from './types.js';

/** What is said of a job that isn't over leaves within this time, or not at all. */
const OPEN_JOB_RESPONSE_MS = 250;

/** The expiry of an output; null: it may leave at any time. */
type Expiry = { readonly expiresAt: MonotonicTime } | null;

/** The outputs of the current step, in the order in which they were made. */
export class Outbox {
  private outputs: Output[] = [];

  constructor(
    private readonly clock: StepClock,
    private readonly leadership: LeadershipValidity,
  ) {}

  /** Adds a call to an outside service; the clients know how long it may wait. */
  push(output: Output): void {
    this.outputs.push(output);
  }

  /** Returns all outputs since the last time, and begins anew. */
  takeAll(): Output[] {
    const { outputs } = this;
    this.outputs = [];
    return outputs;
  }

  /** Logs an event of the catalogue, at its level. */
  log<Event extends LogEvent>(event: Event, fields: FieldsOf<Event>): void {
    this.outputs.push({ kind: 'log', ...logEntry(event, fields) });
  }

  /** Sends a message to another controller. */
  sendToPeer(recipient: ControllerName, message: PeerMessage): void {
    this.outputs.push({ kind: 'peerMessage', recipient, message, ...this.messageExpiry(message) });
  }

  private messageExpiry(message: PeerMessage): Expiry {
    if (message.kind === 'requestResponse') return this.userResponseExpiry(message.response);
    const renewsLease = message.kind === 'heartbeatResponse' && message.response.status === 200;
    return renewsLease ? this.leadership.expiry : null;
  }

  /** Answers a user; `deadline`: when the user no longer waits for the response. */
  respondToUser(requestId: RequestId, response: UserResponse, deadline: MonotonicTime): void {
    const expiry = this.userResponseExpiry(response);
    const expiresAt = expiry && (Math.min(expiry.expiresAt, deadline) as MonotonicTime);
    this.outputs.push({ kind: 'userResponse', requestId, response, ...(expiresAt ? { expiresAt } : {}) });
  }

  /** What isn't final is true of the moment at which it was confirmed: another controller may be cancelling the job. */
  private userResponseExpiry(response: UserResponse): Expiry {
    const isOpen = 'jobStatus' in response && (response.jobStatus === 'queued' || response.jobStatus === 'running');
    return isOpen ? { expiresAt: this.clock.after(OPEN_JOB_RESPONSE_MS) } : null;
  }

  /** Answers a worker's heartbeat. */
  respondToWorker(requestId: RequestId, response: HeartbeatResponse): void {
    // A controller that doesn't lead hands on the leader's response as it came.
    const renewsLease = response.status === 200 && this.leadership.isLeader;
    this.outputs.push({
      kind: 'heartbeatResponse',
      requestId,
      response,
      ...(renewsLease ? this.leadership.expiry : {}),
    });
  }
}
