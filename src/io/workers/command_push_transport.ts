/** Carries pushed commands to workers over HTTP. When they are pushed, the core decides. */
import type { CommandPush, CommandPushResult } from '../../core/messages.js';
import { HttpClient } from '../http/http_client.js';
import type { OnMalformedMessage } from '../malformed_messages.js';
import { callService } from '../service_call.js';
import { COMMANDS_PATH, decodePushedCommandsResponse, encodePushedCommands } from './worker_codec.js';

const TIMEOUT_MS = 2500;
const SOCKETS_PER_WORKER = 1;
const MAX_CLIENTS = 128;

/** Connections to workers. Machines come and go: only the addresses that were opened last keep one. */
export class CommandPushTransport {
  /** By address, the one opened first in front. */
  private readonly clients = new Map<string, HttpClient>();

  constructor(private readonly onMalformedMessage: OnMalformedMessage) {}

  /** Resolves with the outcome, within 2.5 s; never rejects. */
  push(commands: CommandPush): Promise<CommandPushResult> {
    const call = {
      service: 'worker',
      request: { method: 'POST', path: COMMANDS_PATH, body: encodePushedCommands(commands) },
      timeoutMs: TIMEOUT_MS,
      decode: decodePushedCommandsResponse,
    } as const;
    return callService(this.clientFor(commands.address), call, this.onMalformedMessage);
  }

  /** Ends all open pushes with an unknown outcome, and all connections. */
  close(): void {
    for (const client of this.clients.values()) client.close();
    this.clients.clear();
  }

  private clientFor(address: string): HttpClient {
    const known = this.clients.get(address);
    if (known) return known;
    if (this.clients.size >= MAX_CLIENTS) this.closeOldest();
    const client = new HttpClient(address, SOCKETS_PER_WORKER);
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
