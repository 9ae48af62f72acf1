import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { decodeCbor, encodeCbor } from '../../src/io/wire/cbor.js';

/*
 * Stand-in for the state store and the cloud, to which real controller processes connect. It runs in real time, uses
 * the names on the wire and implements only what a controller needs to lead.
 */

interface StoreEntry {
  readonly data: unknown;
  readonly version: number;
  readonly lease: number | null;
}

interface Lease {
  readonly durationMs: number;
  expiry: NodeJS.Timeout;
}

interface FakeMachine {
  readonly addr: string;
  readonly addedAt: number;
  readonly onTerminated: () => void;
}

interface ServiceResponse {
  readonly status: number;
  readonly body: unknown;
}

type Fields = Record<string, unknown>;

const NOT_FOUND = 404;
const CONFLICT = 409;
/** The paths of the cloud. All others are those of the state store. */
const CLOUD_PATH = /^\/(catalog|hosts)/;
const CLOUD_OUTAGE: ServiceResponse = { status: 503, body: { error: 'trouble' } };
const NO_CAPACITY: ServiceResponse = { status: 503, body: { error: 'no capacity' } };

/** A state store and a cloud with a single machine type, on one address. The cloud refuses to provision machines. */
export class FakeServices {
  /** Whether the cloud refuses every call. */
  isCloudDown = false;
  private readonly entries = new Map<string, StoreEntry>();
  private readonly leases = new Map<number, Lease>();
  private readonly machines = new Map<string, FakeMachine>();
  private changeListeners: (() => void)[] = [];
  private revision = 1;
  private lastLeaseId = 0;
  private readonly server: Server;

  constructor(private readonly zone: string) {
    this.server = createServer((request, response) => void this.serve(request, response));
  }

  /** Listens on a free port of 127.0.0.1 and returns the port. */
  async start(): Promise<number> {
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    return (this.server.address() as AddressInfo).port;
  }

  /** Stops listening and closes all connections. */
  stop(): void {
    for (const { expiry } of this.leases.values()) clearTimeout(expiry);
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Returns the name of the leader, or null if there is none. */
  leader(): string | null {
    const data = this.entries.get('leader')?.data as { node?: string } | undefined;
    return data?.node ?? null;
  }

  /** Returns the fencing token of the leader, or null if there is no leader. */
  leaderFencingToken(): bigint | null {
    const entry = this.entries.get('leader');
    return entry ? BigInt(entry.version) : null;
  }

  /** Adds a machine that the cloud lists as running. `onTerminated` is called when a controller terminates it. */
  addMachine(id: string, addr: string, onTerminated: () => void): void {
    this.machines.set(id, { addr, addedAt: performance.now(), onTerminated });
  }

  /** Removes a machine from the cloud's list without calling its `onTerminated`. */
  removeMachine(id: string): void {
    this.machines.delete(id);
  }

  private listMachines(parameters: URLSearchParams): ServiceResponse {
    const after = parameters.get('after') ?? '';
    const place = { breed: 'c8', grove: this.zone, loaners: false, mood: 'running' };
    const secondsHeld = (addedAt: number): number => (performance.now() - addedAt) / 1000;
    const listed = [...this.machines].filter(([id]) => id > after);
    const perches = listed.map(([ref, { addr, addedAt }]) => ({ ref, addr, held_s: secondsHeld(addedAt), ...place }));
    return ok({ perches, has_next: false });
  }

  private terminateMachines(body: Fields): ServiceResponse {
    for (const id of body.perches as string[]) {
      const machine = this.machines.get(id);
      this.machines.delete(id);
      machine?.onTerminated();
    }
    return ok({});
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const parts: Buffer[] = [];
    for await (const part of request) parts.push(part as Buffer);
    const body = parts.length > 0 ? (decodeCbor(Buffer.concat(parts)) as Fields) : {};
    const url = new URL(request.url ?? '/', 'http://stand-in');
    const { status, body: responseBody } = await this.respond(request.method ?? 'GET', url, body);
    response.writeHead(status, { 'content-type': 'application/cbor' });
    response.end(encodeCbor(responseBody));
  }

  private async respond(method: string, url: URL, body: Fields): Promise<ServiceResponse> {
    const { pathname, searchParams } = url;
    if (this.isCloudDown && CLOUD_PATH.test(pathname)) return CLOUD_OUTAGE;
    if (pathname === '/catalog') return ok({ breeds: [this.machineType()] });
    if (pathname === '/hosts/delete') return this.terminateMachines(body);
    if (pathname === '/hosts' && method === 'POST') return NO_CAPACITY;
    if (pathname === '/hosts') return this.listMachines(searchParams);
    if (pathname === '/kv') return this.list(searchParams.get('under') ?? '');
    if (pathname.startsWith('/kv/')) return this.get(pathname.slice('/kv/'.length));
    if (pathname === '/multi') return this.transaction(body);
    if (pathname === '/grants') return this.grant(Number(body.life_ms));
    if (pathname.startsWith('/grants/')) return this.renewOrRevokeLease(method, Number(pathname.split('/')[2]));
    if (pathname === '/follow') return await this.watch(searchParams);
    return { status: NOT_FOUND, body: {} };
  }

  private machineType(): Fields {
    const size = { cpus: 8, gpus: 0, mem_gb: 32, local_gb: 50, fetch_gb_per_s: 0.5 };
    return { name: 'c8', ...size, rate: 0.4, spot_price: 0.1, startup_s: 20, groves: [this.zone] };
  }

  private get(key: string): ServiceResponse {
    const entry = this.entries.get(key);
    if (!entry) return { status: NOT_FOUND, body: { molt: this.revision } };
    return ok({ k: key, data: entry.data, feather: entry.version, tether: entry.lease });
  }

  private list(prefix: string): ServiceResponse {
    const found = [...this.entries].filter(([key]) => key.startsWith(prefix));
    const entries = found.map(([k, { data, version }]) => ({ k, data, feather: version }));
    return ok({ entries, has_next: false, molt: this.revision });
  }

  private transaction(body: Fields): ServiceResponse {
    const conditions = (body.if ?? []) as { k: string; feather: number }[];
    const failed = conditions.filter(({ k, feather }) => (this.entries.get(k)?.version ?? 0) !== Number(feather));
    if (failed.length > 0) return { status: CONFLICT, body: { failed: failed.map(({ k }) => k), molt: this.revision } };
    const changes = (body.then ?? []) as Fields[];
    if (changes.length === 0) return ok({ molt: this.revision });
    this.revision += 1;
    for (const change of changes) {
      if (typeof change.drop === 'string') this.entries.delete(change.drop);
      else this.put(String(change.put), change.data, change.tether === undefined ? null : Number(change.tether));
    }
    this.notifyWatchers();
    return ok({ molt: this.revision });
  }

  private put(key: string, data: unknown, lease: number | null): void {
    this.entries.set(key, { data, version: this.revision, lease });
  }

  private grant(durationMs: number): ServiceResponse {
    this.lastLeaseId += 1;
    const id = this.lastLeaseId;
    this.leases.set(id, { durationMs, expiry: setTimeout(() => this.endLease(id), durationMs) });
    return ok({ tether: id });
  }

  private renewOrRevokeLease(method: string, id: number): ServiceResponse {
    const lease = this.leases.get(id);
    if (!lease) return { status: NOT_FOUND, body: {} };
    clearTimeout(lease.expiry);
    if (method === 'DELETE') this.endLease(id);
    else lease.expiry = setTimeout(() => this.endLease(id), lease.durationMs);
    return ok({});
  }

  private endLease(id: number): void {
    this.leases.delete(id);
    this.revision += 1;
    for (const [key, { lease }] of this.entries) if (lease === id) this.entries.delete(key);
    this.notifyWatchers();
  }

  private notifyWatchers(): void {
    const listeners = this.changeListeners;
    this.changeListeners = [];
    for (const notify of listeners) notify();
  }

  /**
   * Waits until the revision changes or `wait_ms` has passed, and returns the entries that were written after the
   * revision `after`. Returns at once if there are any. Deletions are not listed, so a client notices a deleted key
   * only by reading it again.
   */
  private async watch(parameters: URLSearchParams): Promise<ServiceResponse> {
    const prefix = parameters.get('under') ?? '';
    const after = Number(parameters.get('after'));
    const deadline = performance.now() + Number(parameters.get('wait_ms'));
    const changes = (): Fields[] =>
      [...this.entries]
        .filter(([key, { version }]) => key.startsWith(prefix) && version > after)
        .map(([put, { data, version }]) => ({ put, data, feather: version }));
    const initialRevision = this.revision;
    while (changes().length === 0 && this.revision === initialRevision && performance.now() < deadline) {
      await this.nextChange(deadline - performance.now());
    }
    return ok({ molt: this.revision, news: changes() });
  }

  private nextChange(ms: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, ms);
      this.changeListeners.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }
}

const ok = (body: unknown): ServiceResponse => ({ status: 200, body });
