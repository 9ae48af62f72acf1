/** One call to an outside service: written by its codec, sent, and read by its codec. */
import type { OutcomeUnknown, Result } from '../core/messages.js';
import { HttpCallError, type HttpClient, type HttpResponse } from './http/http_client.js';
import type { HttpRequest } from './http/http_request.js';
import type { OnMalformedMessage } from './malformed_messages.js';

/** What a call needs beside its operation. */
export interface ServiceCall<T, E> {
  /** The service as descriptions of malformed responses name it. */
  readonly service: string;
  readonly request: HttpRequest;
  readonly timeoutMs: number;
  /** Throws where the response isn't what the protocol says. */
  readonly decode: (status: number, body: unknown) => Result<T, E>;
}

/** A call of which it isn't known whether it was carried out. */
const OUTCOME_UNKNOWN = { ok: false, error: { code: 'outcomeUnknown' } } as const;

/** Resolves with what the service answered; never rejects. A missing or malformed response is an unknown outcome. */
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
