/** The requests from outside that await the core's response. */
import type { RequestId } from '../core/messages.js';

/** Open requests by id; each is settled once. */
export class PendingRequests<Response> {
  private readonly settlers = new Map<RequestId, (response: Response) => void>();

  /** `nextId` returns an id that no open request has. */
  constructor(private readonly nextId: () => RequestId) {}

  /** Resolves when the request is settled. `start` hands it to the core, which may settle it at once. */
  open(start: (id: RequestId) => void): Promise<Response> {
    return new Promise((resolve) => {
      const id = this.nextId();
      this.settlers.set(id, resolve);
      start(id);
    });
  }

  /** Has no effect on a request that is settled already. */
  settle(id: RequestId, response: Response): void {
    this.settlers.get(id)?.(response);
    this.settlers.delete(id);
  }
}
