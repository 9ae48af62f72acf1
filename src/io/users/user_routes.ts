/** The HTTP routes on which users submit, query and cancel jobs. */
import type { UserRequest, UserResponse } from '../../core/messages.js';
import type { JobId } from '../../core/types.js';
import { readCborMap } from '../http/body.js';
import { cborResponse } from '../http/cbor_response.js';
import type { RequestContext, Routes } from '../http/routes.js';
import type { OnMalformedMessage } from '../malformed_messages.js';
import { parseJobId } from '../wire/job_id.js';
import { problemOf } from '../wire/wire_error.js';
import { CANCEL_SUFFIX, decodeSubmission, encodeUserResponse, JOBS_PATH } from './user_codec.js';

/** Handles decoded user requests. */
export interface UserHandlers {
  /** Resolves with the response while the user still waits for it. */
  handleUserRequest(request: UserRequest): Promise<UserResponse>;
  /** Called with the description of each malformed submission. */
  readonly onMalformedMessage: OnMalformedMessage;
}

function encodeResponse(response: UserResponse): Response {
  const retryAfterSeconds = 'retryAfterSeconds' in response ? response.retryAfterSeconds : 0;
  return cborResponse(response.status, encodeUserResponse(response), retryAfterSeconds);
}

/** Responds to a request that names a job in its path. */
async function respondForJob(
  context: RequestContext,
  handlers: UserHandlers,
  requestFor: (id: JobId) => UserRequest,
): Promise<Response> {
  const id = parseJobId(context.req.param('id'));
  // No job can have a malformed id, so no look-up is needed.
  if (!id) return cborResponse(404, { error: 'no such job' });
  return encodeResponse(await handlers.handleUserRequest(requestFor(id)));
}

async function respondToSubmission(context: RequestContext, handlers: UserHandlers): Promise<Response> {
  let request: ReturnType<typeof decodeSubmission>;
  try {
    request = decodeSubmission(await readCborMap(context.env.incoming));
  } catch (error) {
    return cborResponse(400, { error: problemOf(error) });
  }
  if (request.spec === null) handlers.onMalformedMessage(`submission ${request.id}: ${request.problem}`);
  return encodeResponse(await handlers.handleUserRequest(request));
}

/** Adds the routes for users to the routes of a server. */
export function addUserRoutes(routes: Routes, handlers: UserHandlers): void {
  const jobPath = `${JOBS_PATH}/:id`;
  routes.post(JOBS_PATH, (context) => respondToSubmission(context, handlers));
  routes.get(jobPath, (context) => respondForJob(context, handlers, (id) => ({ op: 'query', id })));
  routes.post(jobPath + CANCEL_SUFFIX, (context) => respondForJob(context, handlers, (id) => ({ op: 'cancel', id })));
}
