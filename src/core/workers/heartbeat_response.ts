/** Heartbeat responses without commands, and the callback type that sends a response. */
import type { HeartbeatResponse } from '../messages.js';
import type { FencingToken } from '../types.js';

/** Sends the response to one heartbeat. Called once per heartbeat. */
export type HeartbeatResponder = (response: HeartbeatResponse) => void;

/** Response that renews no lease and carries no commands. The worker sends its next heartbeat as usual. */
export const UNAVAILABLE: HeartbeatResponse = { status: 503 };

/** Returns a response that renews the worker's lease and carries no commands. */
export function leaseRenewal(fencingToken: FencingToken): HeartbeatResponse {
  return { status: 200, fencingToken, commands: [] };
}
