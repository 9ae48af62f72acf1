import { HttpClient } from '../http/http_client.js';

const SOCKETS_PER_WORKER = 1;
const MAX_CLIENTS = 128;

/** Connections to workers. Machines come and go: only the most recently opened addresses keep one. */
export class WorkerClients {
  private readonly clients = new Map<string, HttpClient>();

  clientFor(addr: string): HttpClient {
    const known = this.clients.get(addr);
    if (known) return known;
    if (this.clients.size >= MAX_CLIENTS) this.closeOldest();
    const client = new HttpClient(addr, SOCKETS_PER_WORKER);
    this.clients.set(addr, client);
    return client;
  }

  private closeOldest(): void {
    for (const [addr, client] of this.clients) {
      client.close();
      this.clients.delete(addr);
      return;
    }
  }
}
