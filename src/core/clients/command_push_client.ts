/** Pushes commands to workers without waiting for their heartbeats. */
import type { LeadershipValidity } from '../leadership_validity.js';
import type { CallId, CommandPush, CommandPushResult, OnCommandPushResult } from '../messages.js';
import type { Outbox } from '../outbox.js';
import { OpenCalls } from './open_calls.js';

/** Sends commands at once. Callers limit the number of open pushes. */
export class CommandPushClient {
  private readonly openCalls = new OpenCalls<OnCommandPushResult>();

  constructor(
    private readonly outbox: Outbox,
    private readonly leadership: LeadershipValidity,
  ) {}

  /** Pushes commands to a worker. A push without commands still raises the worker's fencing token. */
  push(operation: CommandPush, onResult: OnCommandPushResult): void {
    const callId = this.openCalls.add(onResult);
    this.outbox.push({ kind: 'commandPush', callId, operation, ...this.leadership.expiry });
  }

  /** Number of pushes without a reply. Each holds a socket, for several seconds if the machine is unreachable. */
  get openCount(): number {
    return this.openCalls.count;
  }

  /** Passes a worker's reply to the caller. A second reply to the same push is ignored. */
  onReply(callId: CallId, result: CommandPushResult): void {
    this.openCalls.take(callId)?.(result);
  }
}
