/** Sends one call to an external service and decodes the response. */
import type { OutcomeUnknown, Result } from '../core/messages.js';
import { HttpCallError, type HttpClient, type HttpResponse } from './http/http_client.js';
import type { HttpRequest } from './http/http_request.js';
import type { OnMalformedMessage } from './malformed_messages.js';

/** One call to an external service, with its encoded request and the decoder of its response. */
export interface ServiceCall<T, E> {
  /** The name of the service in descriptions of malformed responses. */
  readonly service: string;
  readonly request: HttpRequest;
  readonly timeoutMs: number;
  /** Decodes the response. Throws if the response violates the protocol. */
  readonly decode: (status: number, body: unknown) => Result<T, E>;
}

/** The result of a call for which it is unknown whether the service executed it. */
const OUTCOME_UNKNOWN = { ok: false, error: { code: 'outcomeUnknown' } } as const;

/**
 * Resolves with the result of the call. A missing or malformed response gives `outcomeUnknown`. Does not reject if the
 * call fails.
 */
export async function callService<T, E>(
  client: HttpClient,
  { service, request, timeoutMs, decode }: ServiceCall<T, E>,
  onMalformedMessage: OnMalformedMessage,
): Promise<Result<T, E | OutcomeUnknown>> {
  let response: HttpResponse;
  try {
    response = await client.send(request, timeoutMs);
  } catch (error) {
    if (error instanceof HttpCallError) return OUTCOME_UNKNOWN;
    throw error;
  }
  try {
    return decode(response.status, response.body);
  } catch (error) {
    onMalformedMessage(`${service}: ${(error as Error).message}`);
    return OUTCOME_UNKNOWN;
  }
}
