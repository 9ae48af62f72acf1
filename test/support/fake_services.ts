import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { decodeCbor, encodeCbor } from '../../src/io/wire/cbor.js';

/*
 * Stand-ins for the state store and the cloud that real processes can talk to: as little as a controller needs to lead, in real
 * time and by the names on the wire.
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

interface HttpAnswer {
  readonly status: number;
  readonly body: unknown;
}

type Fields = Record<string, unknown>;

const NOT_FOUND = 404;
const CONFLICT = 409;
const NO_CAPACITY: HttpAnswer = { status: 503, body: { error: 'no capacity' } };

/** One store and one cloud with a single machine type, on one address. */
export class FakeServices {
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

  /** Listens on a free port of 127.0.0.1, which is returned. */
  async start(): Promise<number> {
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    return (this.server.address() as AddressInfo).port;
  }

  /** Ends all connections. */
  stop(): void {
    for (const { expiry } of this.leases.values()) clearTimeout(expiry);
    this.server.closeAllConnections();
    this.server.close();
  }

  /** The leader's name; null: there is none. */
  leader(): string | null {
    const data = this.entries.get('leader')?.data as { node?: string } | undefined;
    return data?.node ?? null;
  }

  /** The leader's fencing token; null: there is no leader. */
  leaderFencingToken(): bigint | null {
    const entry = this.entries.get('leader');
    return entry ? BigInt(entry.version) : null;
  }

  /** A machine that the cloud shows as running; `onDeleted` is called when it is returned. */
  addMachine(id: string, addr: string, onTerminated: () => void): void {
    this.machines.set(id, { addr, addedAt: performance.now(), onTerminated });
  }

  /** The cloud shows the machine no longer. */
  removeMachine(id: string): void {
    this.machines.delete(id);
  }

  private listMachines(parameters: URLSearchParams): HttpAnswer {
    const after = parameters.get('after') ?? '';
    const place = { breed: 'c8', grove: this.zone, loaners: false, mood: 'running' };
    const heldS = (addedAt: number): number => (performance.now() - addedAt) / 1000;
    const listed = [...this.machines].filter(([id]) => id > after);
    const perches = listed.map(([ref, { addr, addedAt }]) => ({ ref, addr, held_s: heldS(addedAt), ...place }));
    return ok({ perches, has_next: false });
  }

  private terminateMachines(body: Fields): HttpAnswer {
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
    const { status, body: answer } = await this.answer(request.method ?? 'GET', url, body);
    response.writeHead(status, { 'content-type': 'application/cbor' });
    response.end(encodeCbor(answer));
  }

  private async answer(method: string, url: URL, body: Fields): Promise<HttpAnswer> {
    const { pathname, searchParams } = url;
    if (pathname === '/catalog') return ok({ breeds: [this.machineType()] });
    if (pathname === '/hosts/delete') return this.terminateMachines(body);
    if (pathname === '/hosts' && method === 'POST') return NO_CAPACITY;
    if (pathname === '/hosts') return this.listMachines(searchParams);
    if (pathname === '/kv') return this.list(searchParams.get('under') ?? '');
    if (pathname.startsWith('/kv/')) return this.get(pathname.slice('/kv/'.length));
    if (pathname === '/multi') return this.transaction(body);
    if (pathname === '/grants') return this.grant(Number(body.life_ms));
    if (pathname.startsWith('/grants/')) return this.onLease(method, Number(pathname.split('/')[2]));
    if (pathname === '/follow') return await this.watch(searchParams);
    return { status: NOT_FOUND, body: {} };
  }

  private machineType(): Fields {
    const size = { cpus: 8, gpus: 0, mem_gb: 32, local_gb: 50, fetch_gb_per_s: 0.5 };
    return { name: 'c8', ...size, rate: 0.4, spot_price: 0.1, startup_s: 20, groves: [this.zone] };
  }

  private get(key: string): HttpAnswer {
    const entry = this.entries.get(key);
    if (!entry) return { status: NOT_FOUND, body: { molt: this.revision } };
    return ok({ k: key, data: entry.data, feather: entry.version, tether: entry.lease });
  }

  private list(prefix: string): HttpAnswer {
    const found = [...this.entries].filter(([key]) => key.startsWith(prefix));
    const entries = found.map(([k, { data, version }]) => ({ k, data, feather: version }));
    return ok({ entries, has_next: false, molt: this.revision });
  }

  private transaction(body: Fields): HttpAnswer {
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

  private grant(durationMs: number): HttpAnswer {
    this.lastLeaseId += 1;
    const id = this.lastLeaseId;
    this.leases.set(id, { durationMs, expiry: setTimeout(() => this.endLease(id), durationMs) });
    return ok({ tether: id });
  }

  private onLease(method: string, id: number): HttpAnswer {
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
    const waiting = this.changeListeners;
    this.changeListeners = [];
    for (const tell of waiting) tell();
  }

  /** Tells at once of everything that has changed; a dropped key is only noticed by reading it again. */
  private async watch(parameters: URLSearchParams): Promise<HttpAnswer> {
    const prefix = parameters.get('under') ?? '';
    const after = Number(parameters.get('after'));
    const until = performance.now() + Number(parameters.get('wait_ms'));
    const news = (): Fields[] =>
      [...this.entries]
        .filter(([key, { version }]) => key.startsWith(prefix) && version > after)
        .map(([put, { data, version }]) => ({ put, data, feather: version }));
    const atFirst = this.revision;
    while (news().length === 0 && this.revision === atFirst && performance.now() < until) {
      await this.nextChange(until - performance.now());
    }
    return ok({ molt: this.revision, news: news() });
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

const ok = (body: unknown): HttpAnswer => ({ status: 200, body });
