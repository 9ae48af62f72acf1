/** Requests from users and workers that await the core's response. */
import type { RequestId } from '../core/messages.js';

/** Open requests by id. Each request is settled once. */
export class PendingRequests<Response> {
  private readonly settlers = new Map<RequestId, (response: Response) => void>();

  /** `nextId` must return an id that no open request has. */
  constructor(private readonly nextId: () => RequestId) {}

  /**
   * Opens a request and resolves with its response. `start` passes the request to the core, which may settle it before
   * `start` returns.
   */
  open(start: (id: RequestId) => void): Promise<Response> {
    return new Promise((resolve) => {
      const id = this.nextId();
      this.settlers.set(id, resolve);
      start(id);
    });
  }

  /** Resolves the request with its response. Has no effect if the request is already settled. */
  settle(id: RequestId, response: Response): void {
    this.settlers.get(id)?.(response);
    this.settlers.delete(id);
  }
}
