/** Collects the outputs of a step, each with the time until which it may be sent. */
import type { LeadershipValidity } from './leadership_validity.js';
import { type FieldsOf, type LogEvent, logEntry } from './log_events.js';
import type { HeartbeatResponse, Output, PeerMessage, RequestId, UserResponse } from './messages.js';
import type { StepClock } from './step_clock.js';
import type { ControllerName, MonotonicTime } from './types.js';

/** Time within which a response about an unfinished job must be sent. Later it is replaced by a refusal. */
const UNFINISHED_JOB_RESPONSE_MS = 250;

/** The expiry of an output. Null if it may be sent at any time. */
type Expiry = { readonly expiresAt: MonotonicTime } | null;

/** The outputs of the current step, in the order of their creation. */
export class Outbox {
  private outputs: Output[] = [];

  constructor(
    private readonly clock: StepClock,
    private readonly leadership: LeadershipValidity,
  ) {}

  /** Adds a call to an external service. The client that makes the call sets its timeout or expiry. */
  push(output: Output): void {
    this.outputs.push(output);
  }

  /** Returns all outputs since the previous call, and empties the outbox. */
  takeAll(): Output[] {
    const { outputs } = this;
    this.outputs = [];
    return outputs;
  }

  /** Logs an event of the catalogue at the event's level. */
  log<Event extends LogEvent>(event: Event, fields: FieldsOf<Event>): void {
    this.outputs.push({ kind: 'log', ...logEntry(event, fields) });
  }

  sendToPeer(recipient: ControllerName, message: PeerMessage): void {
    this.outputs.push({ kind: 'peerMessage', recipient, message, ...this.messageExpiry(message) });
  }

  private messageExpiry(message: PeerMessage): Expiry {
    if (message.kind === 'requestResponse') return this.userResponseExpiry(message.response);
    const renewsLease = message.kind === 'heartbeatResponse' && message.response.status === 200;
    return renewsLease ? this.leadership.expiry : null;
  }

  /** Sends a response to a user. After `deadline`, the user no longer waits for it. */
  respondToUser(requestId: RequestId, response: UserResponse, deadline: MonotonicTime): void {
    const expiry = this.userResponseExpiry(response);
    const expiresAt = expiry && (Math.min(expiry.expiresAt, deadline) as MonotonicTime);
    this.outputs.push({ kind: 'userResponse', requestId, response, ...(expiresAt ? { expiresAt } : {}) });
  }

  /**
   * A state that isn't final holds only for the moment at which it was confirmed, since another controller may cancel
   * the job. Responses with such a state expire soon.
   */
  private userResponseExpiry(response: UserResponse): Expiry {
    const isUnfinished =
      'jobStatus' in response && (response.jobStatus === 'queued' || response.jobStatus === 'running');
    return isUnfinished ? { expiresAt: this.clock.after(UNFINISHED_JOB_RESPONSE_MS) } : null;
  }

  /** Sends the response to a worker's heartbeat. */
  respondToWorker(requestId: RequestId, response: HeartbeatResponse): void {
    // A follower passes on the leader's response unchanged, and this controller's validity does not apply to it.
    const renewsLease = response.status === 200 && this.leadership.isLeader;
    this.outputs.push({
      kind: 'heartbeatResponse',
      requestId,
      response,
      ...(renewsLease ? this.leadership.expiry : {}),
    });
  }
}
