import { type ChildProcess, spawn } from 'node:child_process';
import { mkdtempSync, openSync, readFileSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { basename, dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

/* Real controller processes on loopback, and what talks to them. */

/** The root of the repository. */
export const repositoryRoot = fileURLToPath(new URL('../../../../', import.meta.url));
/** The program as the tests build it. */
export const mainModule = join(repositoryRoot, 'target/check/src/main.js');
const POLL_INTERVAL_MS = 50;
/** How long `waitUntil` waits unless it is told otherwise. */
export const WAIT_TIMEOUT_MS = 30_000;

/** A controller and its ports on 127.0.0.1. */
export interface ControllerAddress {
  readonly name: string;
  readonly port: number;
  readonly peerPort: number;
}

/** Below the ports that the system hands out by itself, to listeners on port 0 and to outgoing connections. */
const FIRST_PORT = 20_000;
const LAST_PORT = 32_000;
const PORTS_PER_PROCESS = 60;

interface PortBlock {
  next: number;
  readonly end: number;
}

let portBlock: Promise<PortBlock> | null = null;

/** Whether the port can be listened on; the listener is closed again unless the port is to be kept. */
function tryListen(port: number, keep: boolean): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => {
      if (!keep) {
        server.close(() => resolve(true));
        return;
      }
      // Nothing waits for it: it is there for as long as the process is.
      server.unref();
      resolve(true);
    });
  });
}

/** Takes a block of ports for this test process by listening on its first one, which no other process then can. */
async function claimPortBlock(): Promise<PortBlock> {
  for (let first = FIRST_PORT; first + PORTS_PER_PROCESS <= LAST_PORT; first += PORTS_PER_PROCESS) {
    if (await tryListen(first, true)) return { next: first + 1, end: first + PORTS_PER_PROCESS };
  }
  throw new Error('every block of ports for tests is taken');
}

/**
 * A port that nobody listens on, given out once. Between this call and the start of the controller that is to listen on it
 * the port is nobody's, so it must be one that neither the system nor another test process gives to anything else: a job
 * that is submitted to a controller of another test is accepted there, and its tasks never run here.
 */
export async function allocatePort(): Promise<number> {
  portBlock ??= claimPortBlock();
  const block = await portBlock;
  while (block.next < block.end) {
    const port = block.next;
    block.next += 1;
    if (await tryListen(port, false)) return port;
  }
  throw new Error(`a test process has ${PORTS_PER_PROCESS} ports at most`);
}

/** Gives a controller two ports that nobody else is given. */
export async function allocateAddress(name: string): Promise<ControllerAddress> {
  return { name, port: await allocatePort(), peerPort: await allocatePort() };
}

/** What the settings of a deployment say otherwise than the example. */
export interface SettingsOverrides {
  readonly leaseSeconds: number;
  readonly heartbeatSeconds?: number;
}

function changedSettings(
  text: string,
  own: ControllerAddress,
  others: readonly ControllerAddress[],
  servicesPort: number,
  changes: SettingsOverrides,
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
    .replace(/^lease_s = .*/m, `lease_s = ${changes.leaseSeconds.toFixed(1)}`)
    .replace(/^report_s = .*/m, `report_s = ${(changes.heartbeatSeconds ?? 2).toFixed(1)}`)
    .replace('[endpoints]', `${siblings.join('')}[endpoints]`);
}

/** Writes test/settings.toml with a change, and returns the file. */
export function writeExampleSettings(change: (text: string) => string = (text) => text): string {
  const file = join(mkdtempSync(join(tmpdir(), 'magpielift-')), 'settings.toml');
  writeFileSync(file, change(readFileSync(join(repositoryRoot, 'test/settings.toml'), 'utf8')));
  return file;
}

/** Writes the settings of one of several nodes, and returns the file. */
export function writeSettingsFile(
  own: ControllerAddress,
  others: readonly ControllerAddress[],
  servicesPort: number,
  changes: SettingsOverrides,
): string {
  return writeExampleSettings((text) => changedSettings(text, own, others, servicesPort, changes));
}

/** The program and arguments with which the platform runs a controller. */
function runCommand(): readonly string[] {
  const run = /^run = "(.*)"$/m.exec(readFileSync(join(repositoryRoot, 'deploy/service.toml'), 'utf8'))?.[1];
  if (!run) throw new Error('deploy/service.toml names no run line');
  return run.split(' ');
}

/** Starts a controller as the platform does: the settings file is the last argument. */
export function startController(file: string): ChildProcess {
  const [program = '', ...args] = runCommand();
  // What controllers log goes where NODE_LOGS says, a file for each process.
  const directory = process.env.NODE_LOGS;
  const log = directory
    ? openSync(join(directory, `${basename(dirname(file))}-${performance.now()}.log`), 'w')
    : 'ignore';
  return spawn(program, [...args, file], { cwd: repositoryRoot, stdio: ['ignore', 'ignore', log] });
}

/** Waits until a condition holds; throws, saying what was waited for, if it does not in time. */
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

/** Resolves after so many milliseconds. */
export const pause = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));
