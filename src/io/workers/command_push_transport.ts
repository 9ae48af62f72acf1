/** Pushes commands to workers over HTTP. The core decides when commands are pushed. */
import type { CommandPush, CommandPushResult } from '../../core/messages.js';
import { HttpClient } from '../http/http_client.js';
import type { OnMalformedMessage } from '../malformed_messages.js';
import { callService } from '../service_call.js';
import { COMMANDS_PATH, decodePushedCommandsResponse, encodePushedCommands } from './worker_codec.js';

const TIMEOUT_MS = 2500;
const MAX_SOCKETS_PER_WORKER = 1;
const MAX_CLIENTS = 128;

/**
 * Connections to workers. Machines are replaced frequently, so only the `MAX_CLIENTS` most recently opened addresses
 * keep a connection.
 */
export class CommandPushTransport {
  /** Clients by address, in the order in which they were opened. */
  private readonly clients = new Map<string, HttpClient>();

  constructor(private readonly onMalformedMessage: OnMalformedMessage) {}

  /** Resolves with the result within 2.5 s. Does not reject if the call fails. */
  push(commands: CommandPush): Promise<CommandPushResult> {
    const call = {
      service: 'worker',
      request: { method: 'POST', path: COMMANDS_PATH, body: encodePushedCommands(commands) },
      timeoutMs: TIMEOUT_MS,
      decode: decodePushedCommandsResponse,
    } as const;
    return callService(this.clientFor(commands.address), call, this.onMalformedMessage);
  }

  /** Closes all connections. Pushes that are still open end with `outcomeUnknown`. */
  close(): void {
    for (const client of this.clients.values()) client.close();
    this.clients.clear();
  }

  private clientFor(address: string): HttpClient {
    const existing = this.clients.get(address);
    if (existing) return existing;
    if (this.clients.size >= MAX_CLIENTS) this.closeOldest();
    const client = new HttpClient(address, MAX_SOCKETS_PER_WORKER);
    this.clients.set(address, client);
    return client;
  }

  private closeOldest(): void {
    for (const [address, client] of this.clients) {
      client.closeConnections();
      this.clients.delete(address);
      return;
    }
  }
}
