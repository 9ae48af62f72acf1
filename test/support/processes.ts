import { type ChildProcess, spawn } from 'node:child_process';
import { mkdtempSync, openSync, readFileSync, writeFileSync } from 'node:fs';
import { request } from 'node:http';
import { type AddressInfo, createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { basename, dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { decodeCbor, encodeCbor } from '../../src/io/wire/cbor.js';

/* Real controller processes on loopback, and what talks to them. */

export const repositoryRoot = fileURLToPath(new URL('../../../../', import.meta.url));
const POLL_INTERVAL_MS = 50;
export const WAIT_TIMEOUT_MS = 30_000;

export interface ControllerAddress {
  readonly name: string;
  readonly port: number;
  readonly peerPort: number;
}

export function freePort(): Promise<number> {
  return new Promise((resolve) => {
    const server = createServer().listen(0, '127.0.0.1', () => {
      const { port } = server.address() as AddressInfo;
      server.close(() => resolve(port));
    });
  });
}

export async function allocateAddress(name: string): Promise<ControllerAddress> {
  return { name, port: await freePort(), peerPort: await freePort() };
}

/** What the settings of a deployment say otherwise than the example. */
export interface SettingsOverrides {
  readonly leaseSeconds: number;
  readonly heartbeatSeconds?: number;
}

function settingsText(
  own: ControllerAddress,
  others: readonly ControllerAddress[],
  servicesPort: number,
  changes: SettingsOverrides,
): string {
  const siblings = others.map(
    ({ name, peerPort }) =>
      `[[siblings]]\nhost_name = "${name}"\narea = "north"\naddress = "127.0.0.1:${peerPort}"\n\n`,
  );
  return readFileSync(join(repositoryRoot, 'test/settings.toml'), 'utf8')
    .replace(/host_name = .*/, `host_name = "${own.name}"`)
    .replace('127.0.0.1:18080', `127.0.0.1:${own.port}`)
    .replace('127.0.0.1:18081', `127.0.0.1:${own.peerPort}`)
    .replaceAll('"127.0.0.1:1"', `"127.0.0.1:${servicesPort}"`)
    .replace(/^initial_size = .*/m, `initial_size = ${others.length + 1}`)
    .replace(/^lease_s = .*/m, `lease_s = ${changes.leaseSeconds.toFixed(1)}`)
    .replace(/^report_s = .*/m, `report_s = ${(changes.heartbeatSeconds ?? 2).toFixed(1)}`)
    .replace('[endpoints]', `${siblings.join('')}[endpoints]`);
}

/** Writes the settings of one of several nodes, and returns the file. */
export function writeSettingsFile(
  own: ControllerAddress,
  others: readonly ControllerAddress[],
  servicesPort: number,
  changes: SettingsOverrides,
): string {
  const file = join(mkdtempSync(join(tmpdir(), 'magpielift-')), 'settings.toml');
  writeFileSync(file, settingsText(own, others, servicesPort, changes));
  return file;
}

/** The program and arguments with which the platform runs a node. */
function runCommand(): readonly string[] {
  const run = /^run = "(.*)"$/m.exec(readFileSync(join(repositoryRoot, 'deploy/service.toml'), 'utf8'))?.[1];
  if (!run) throw new Error('deploy/service.toml names no run line');
  return run.split(' ');
}

/** Starts a node as the platform does: the settings file is the last argument. */
export function startController(file: string): ChildProcess {
  const [program = '', ...args] = runCommand();
  // What nodes log goes where NODE_LOGS says, a file for each process.
  const directory = process.env.NODE_LOGS;
  const log = directory
    ? openSync(join(directory, `${basename(dirname(file))}-${performance.now()}.log`), 'w')
    : 'ignore';
  return spawn(program, [...args, file], { cwd: repositoryRoot, stdio: ['ignore', 'ignore', log] });
}

export async function waitUntil(
  what: string,
  holds: () => boolean | Promise<boolean>,
  waitMs = WAIT_TIMEOUT_MS,
): Promise<void> {
  const end = performance.now() + waitMs;
  while (!(await holds())) {
    if (performance.now() > end) throw new Error(`not within ${waitMs} ms: ${what}`);
    await pause(POLL_INTERVAL_MS);
  }
}

export const pause = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

export interface HttpResponse {
  readonly status: number;
  readonly body: Record<string, unknown>;
}

/** One request of its own connection; null: no answer in time. */
export function sendRequest(
  port: number,
  method: 'GET' | 'POST',
  path: string,
  message: unknown,
  timeoutMs: number,
): Promise<HttpResponse | null> {
  return new Promise((resolve) => {
    const outgoing = request({ port, host: '127.0.0.1', method, path, agent: false }, (answer) => {
      const parts: Buffer[] = [];
      answer.on('data', (part: Buffer) => parts.push(part));
      answer.on('error', () => resolve(null));
      answer.on('end', () => {
        const bytes = Buffer.concat(parts);
        const body = bytes.length > 0 ? (decodeCbor(bytes) as Record<string, unknown>) : {};
        resolve({ status: answer.statusCode ?? 0, body });
      });
    });
    outgoing.on('error', () => resolve(null));
    outgoing.setTimeout(timeoutMs, () => outgoing.destroy());
    outgoing.end(message === undefined ? undefined : encodeCbor(message));
  });
}
