/** Collects the outputs of a step, each with the time until which it may be sent. */
import type { LeadershipValidity } from './leadership_validity.js';
import { type FieldsOf, type LogEvent, logEntry } from './log_events.js';
import {
  type HeartbeatResponse,
  isFinalStatus,
  type Output,
  type PeerMessage,
  type RequestId,
  type UserResponse,
} from './messages.js';
import { UNFINISHED_STATE_VALID_MS } from './requests/state_validity.js';
import type { StepClock } from './step_clock.js';
import { addMilliseconds, type ControllerName, type MonotonicTime } from './types.js';

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

  /** Sends a message to a peer. `asOf`: when the call that confirmed a response to a user was sent. */
  sendToPeer(recipient: ControllerName, message: PeerMessage, asOf?: MonotonicTime): void {
    this.outputs.push({ kind: 'peerMessage', recipient, message, ...this.messageExpiry(message, asOf) });
  }

  private messageExpiry(message: PeerMessage, asOf?: MonotonicTime): Expiry {
    if (message.kind === 'requestResponse') return this.userResponseExpiry(message.response, asOf);
    const renewsLease = message.kind === 'heartbeatResponse' && message.response.status === 200;
    return renewsLease ? this.leadership.expiry : null;
  }

  /**
   * Sends a response to a user. After `deadline`, the user no longer waits for it. `asOf`: when the call that confirmed
   * the response was sent, or the present if it is omitted.
   */
  respondToUser(requestId: RequestId, response: UserResponse, deadline: MonotonicTime, asOf?: MonotonicTime): void {
    const expiry = this.userResponseExpiry(response, asOf);
    const expiresAt = expiry && (Math.min(expiry.expiresAt, deadline) as MonotonicTime);
    this.outputs.push({ kind: 'userResponse', requestId, response, ...(expiresAt ? { expiresAt } : {}) });
  }

  /**
   * A state that isn't final holds only for the moment at which it was confirmed, since another controller may cancel
   * the job. Responses with such a state expire soon.
   */
  private userResponseExpiry(response: UserResponse, asOf: MonotonicTime = this.clock.now.monotonic): Expiry {
    const isUnfinished = 'jobStatus' in response && !isFinalStatus(response.jobStatus);
    return isUnfinished ? { expiresAt: addMilliseconds(asOf, UNFINISHED_STATE_VALID_MS) } : null;
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
