/** The HTTP route on which workers send their heartbeats. */
import type { HeartbeatResponse } from '../../core/messages.js';
import type { Heartbeat } from '../../core/types.js';
import { readCborMap } from '../http/body.js';
import { cborResponse } from '../http/cbor_response.js';
import type { RequestContext, Routes } from '../http/routes.js';
import type { OnMalformedMessage } from '../malformed_messages.js';
import { problemOf } from '../wire/wire_error.js';
import { decodeHeartbeat, encodeHeartbeatResponse, HEARTBEAT_PATH } from './worker_codec.js';

/** Handles decoded heartbeats from workers. */
export interface HeartbeatHandlers {
  /** Resolves with the response while the worker still waits for it. */
  handleHeartbeat(heartbeat: Heartbeat): Promise<HeartbeatResponse>;
  /** Called with the description of each malformed heartbeat. */
  readonly onMalformedMessage: OnMalformedMessage;
}

async function respondToHeartbeat(context: RequestContext, handlers: HeartbeatHandlers): Promise<Response> {
  let heartbeat: Heartbeat;
  try {
    heartbeat = decodeHeartbeat(await readCborMap(context.env.incoming));
  } catch (error) {
    const problem = problemOf(error);
    handlers.onMalformedMessage(`heartbeat: ${problem}`);
    return cborResponse(400, { error: problem });
  }
  const response = await handlers.handleHeartbeat(heartbeat);
  return cborResponse(response.status, encodeHeartbeatResponse(response));
}

/** Adds the heartbeat route to the routes of a server. */
export function addHeartbeatRoute(routes: Routes, handlers: HeartbeatHandlers): void {
  routes.post(HEARTBEAT_PATH, (context) => respondToHeartbeat(context, handlers));
}
