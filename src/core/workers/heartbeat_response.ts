/** Responses to heartbeats that carry no commands, and how a response is handed back. */
import type { HeartbeatResponse } from '../messages.js';
import type { FencingToken } from '../types.js';

/** Sends the response to one heartbeat; called once. */
export type HeartbeatResponder = (response: HeartbeatResponse) => void;

/** Renews no lease and carries no commands; the worker sends its next heartbeat as usual. */
export const UNAVAILABLE: HeartbeatResponse = { status: 503 };

/** Returns the response that renews the worker's lease and carries no commands. */
export function leaseRenewal(fencingToken: FencingToken): HeartbeatResponse {
  return { status: 200, fencingToken, commands: [] };
}
