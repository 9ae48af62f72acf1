/** The heartbeat response that renews no lease, and the callback type that sends a response. */
import type { HeartbeatResponse } from '../messages.js';

/** Sends the response to one heartbeat. Called once per heartbeat. */
export type HeartbeatResponder = (response: HeartbeatResponse) => void;

/** Response that renews no lease and carries no commands. The worker sends its next heartbeat as usual. */
export const UNAVAILABLE: HeartbeatResponse = { status: 503 };
