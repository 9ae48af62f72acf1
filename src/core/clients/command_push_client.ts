/** Commands pushed to workers, without waiting for their heartbeats. */
import type { LeadershipValidity } from '../leadership_validity.js';
import type { CallId, CommandPush, CommandPushResult, OnCommandPushResult } from '../messages.js';
import type { Outbox } from '../outbox.js';
import { OpenCalls } from './open_calls.js';

/** Sends commands at once; callers keep the number of open pushes within bounds. */
export class CommandPushClient {
  private readonly openCalls = new OpenCalls<OnCommandPushResult>();

  constructor(
    private readonly outbox: Outbox,
    private readonly leadership: LeadershipValidity,
  ) {}

  /** Pushes commands to a worker; none at all still raises its fencing token. */
  push(operation: CommandPush, onResult: OnCommandPushResult): void {
    const callId = this.openCalls.add(onResult);
    this.outbox.push({ kind: 'commandPush', callId, operation, ...this.leadership.expiry });
  }

  /** Pushes without a reply so far: each holds a socket, and one to an unreachable machine for seconds. */
  get openCount(): number {
    return this.openCalls.count;
  }

  /** Takes a worker's reply to a push. */
  onReply(callId: CallId, result: CommandPushResult): void {
    this.openCalls.take(callId)?.(result);
  }
}
