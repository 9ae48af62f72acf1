import { type ChildProcess, spawn } from 'node:child_process';
import { mkdtempSync, openSync, readFileSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { basename, dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

/* Starts real controller processes on loopback, with ports and settings files of their own. */

/** The root directory of the repository. */
export const repositoryRoot = fileURLToPath(new URL('../../../../', import.meta.url));
/** The main module of the program, as compiled together with the tests. */
export const mainModule = join(repositoryRoot, 'target/check/src/main.js');
const POLL_INTERVAL_MS = 50;
/** Default time limit of `waitUntil`, in milliseconds. */
export const WAIT_TIMEOUT_MS = 30_000;

/** A controller and its ports on 127.0.0.1. */
export interface ControllerAddress {
  readonly name: string;
  readonly port: number;
  readonly peerPort: number;
}

/**
 * Bounds of the ports for tests. They lie below the ports that the system assigns to listeners on port 0 and to
 * outgoing connections.
 */
const FIRST_PORT = 20_000;
const LAST_PORT = 32_000;
const PORTS_PER_PROCESS = 60;

interface PortBlock {
  next: number;
  readonly end: number;
}

let portBlock: Promise<PortBlock> | null = null;

/** Returns whether the port can be listened on. The listener is closed again unless `keepOpen` is true. */
function tryListen(port: number, keepOpen: boolean): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => {
      if (!keepOpen) {
        server.close(() => resolve(true));
        return;
      }
      // The listener holds the port until the process exits, but doesn't keep the process alive.
      server.unref();
      resolve(true);
    });
  });
}

/**
 * Reserves a block of ports by listening on its first port, so that no other test process can reserve the same block.
 */
async function claimPortBlock(): Promise<PortBlock> {
  for (let first = FIRST_PORT; first + PORTS_PER_PROCESS <= LAST_PORT; first += PORTS_PER_PROCESS) {
    if (await tryListen(first, true)) return { next: first + 1, end: first + PORTS_PER_PROCESS };
  }
  throw new Error('no free block of ports for tests: other processes listen on the first port of each');
}

/**
 * Returns a port that is free, and never the same port twice. Nothing listens on the port until the controller starts,
 * so the system and other test processes must not assign it meanwhile. Otherwise a job could be submitted to a
 * controller of another test, which would accept it, and its tasks would never run in this test.
 */
export async function allocatePort(): Promise<number> {
  portBlock ??= claimPortBlock();
  const block = await portBlock;
  while (block.next < block.end) {
    const port = block.next;
    block.next += 1;
    if (await tryListen(port, false)) return port;
  }
  throw new Error(`no free port left among the ${PORTS_PER_PROCESS} ports of this test process`);
}

/** Allocates two ports for a controller: one for users and workers, and one for its peers. */
export async function allocateAddress(name: string): Promise<ControllerAddress> {
  return { name, port: await allocatePort(), peerPort: await allocatePort() };
}

/** Settings of a deployment that differ from test/settings.toml. */
export interface SettingsOverrides {
  readonly leaseSeconds: number;
  readonly heartbeatSeconds?: number;
  readonly cancellationTimeoutSeconds?: number;
}

function applyOverrides(
  text: string,
  own: ControllerAddress,
  others: readonly ControllerAddress[],
  servicesPort: number,
  overrides: SettingsOverrides,
): string {
  const siblings = others.map(
    ({ name, peerPort }) =>
      `[[siblings]]\nhost_name = "${name}"\narea = "north"\naddress = "127.0.0.1:${peerPort}"\n\n`,
  );
  return text
    .replace(/host_name = .*/, `host_name = "${own.name}"`)
    .replace('127.0.0.1:18080', `127.0.0.1:${own.port}`)
    .replace('127.0.0.1:18081', `127.0.0.1:${own.peerPort}`)
    .replaceAll('"127.0.0.1:1"', `"127.0.0.1:${servicesPort}"`)
    .replace(/^initial_size = .*/m, `initial_size = ${others.length + 1}`)
    .replace(/^lease_s = .*/m, `lease_s = ${overrides.leaseSeconds.toFixed(1)}`)
    .replace(/^report_s = .*/m, `report_s = ${(overrides.heartbeatSeconds ?? 2).toFixed(1)}`)
    .replace(/^cancel_s = .*/m, `cancel_s = ${(overrides.cancellationTimeoutSeconds ?? 39).toFixed(1)}`)
    .replace('[endpoints]', `${siblings.join('')}[endpoints]`);
}

/** Writes a changed copy of test/settings.toml to a temporary directory, and returns the path of the copy. */
export function writeExampleSettings(change: (text: string) => string = (text) => text): string {
  const file = join(mkdtempSync(join(tmpdir(), 'magpielift-')), 'settings.toml');
  writeFileSync(file, change(readFileSync(join(repositoryRoot, 'test/settings.toml'), 'utf8')));
  return file;
}

/** Writes the settings of one of several controllers, and returns the path of the file. */
export function writeSettingsFile(
  own: ControllerAddress,
  others: readonly ControllerAddress[],
  servicesPort: number,
  overrides: SettingsOverrides,
): string {
  return writeExampleSettings((text) => applyOverrides(text, own, others, servicesPort, overrides));
}

/** Returns the program and the arguments with which the platform runs a controller, from deploy/service.toml. */
function runCommand(): readonly string[] {
  const run = /^run = "(.*)"$/m.exec(readFileSync(join(repositoryRoot, 'deploy/service.toml'), 'utf8'))?.[1];
  if (!run) throw new Error('deploy/service.toml has no line that sets run');
  return run.split(' ');
}

/** Starts a controller as the platform does, with the settings file as the last argument. */
export function startController(file: string): ChildProcess {
  const [program = '', ...args] = runCommand();
  // Each process logs to a file in the directory NODE_LOGS. Without NODE_LOGS, its log is discarded.
  const directory = process.env.NODE_LOGS;
  const log = directory
    ? openSync(join(directory, `${basename(dirname(file))}-${performance.now()}.log`), 'w')
    : 'ignore';
  return spawn(program, [...args, file], { cwd: repositoryRoot, stdio: ['ignore', 'ignore', log] });
}

/**
 * Waits until a condition holds. Throws an error with the description of the condition when the time limit has passed.
 */
export async function waitUntil(
  description: string,
  holds: () => boolean | Promise<boolean>,
  timeoutMs = WAIT_TIMEOUT_MS,
): Promise<void> {
  const end = performance.now() + timeoutMs;
  while (!(await holds())) {
    if (performance.now() > end) throw new Error(`condition not met within ${timeoutMs} ms: ${description}`);
    await pause(POLL_INTERVAL_MS);
  }
}

/** Resolves after `ms` milliseconds. */
export const pause = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));
