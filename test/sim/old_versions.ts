import { existsSync, readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import type { Controller } from '../../src/core/controller.js';
import { ALL_OFF } from '../../src/core/features.js';
import type { Input, JobStatus, Output, PeerMessage, UserResponse } from '../../src/core/messages.js';
import type { Tuning } from '../../src/core/settings.js';
import type { ClockReading, MonotonicTime } from '../../src/core/types.js';
import type { PeerFrame } from '../../src/io/peers/peer_codec.js';
import type { Build, SimulatedController } from './build.js';
import { oldClockReading, oldInput, oldMessage, oldSettings, presentMessage, presentOutput } from './old_names.js';

const repositoryFile = (path: string): URL => new URL(`../../../../${path}`, import.meta.url);
const readText = (path: string): string => readFileSync(repositoryFile(path), 'utf8');

interface OldVersion {
  readonly name: string;
  readonly commit: string;
  readonly readsAnnouncedLimits: boolean;
  readonly names: 'names-1' | 'names-2';
}

function productionCommit(): string {
  const commit = /^production = "([0-9a-f]{40})"$/m.exec(readText('deploy/service.toml'))?.[1];
  if (!commit) throw new Error('deploy/service.toml names no production commit');
  return commit;
}

/** The versions that test/old_versions.txt names, in its order. */
function readOldVersions(): OldVersion[] {
  const lines = readText('test/old_versions.txt')
    .split('\n')
    .filter((line) => line !== '' && !line.startsWith('#'));
  return lines.map((line) => {
    const [name = '', commit = '', limits, names] = line.split(' ');
    return {
      name,
      commit: name === 'production' ? productionCommit() : commit,
      readsAnnouncedLimits: limits === 'announced-limits',
      names: names === 'names-2' ? names : 'names-1',
    };
  });
}

async function loadVersion(version: OldVersion): Promise<Build> {
  const { name, commit, readsAnnouncedLimits, names } = version;
  const directory = `target/old_versions/${commit}`;
  if (!existsSync(fileURLToPath(repositoryFile(`${directory}/built`)))) {
    throw new Error(
      `version ${name} (${commit}) is not built: the history may be missing (tools/old_versions.sh builds it)`,
    );
  }
  const importModule = async <T>(path: string): Promise<T> =>
    (await import(repositoryFile(`${directory}/build/${path}.js`).href)) as T;
  const { Node: nodeClass } = await importModule<Readonly<Record<'Node', OldNodeClass>>>('core/node');
  const { encodeFrame, FrameSplitter: splitterClass } = await importModule<
    typeof import('../../src/io/peers/peer_codec.js')
  >(names === 'names-2' ? 'io/peer/peer_codec' : 'io/peer_codec');
  const records = await importModule<Build['records']>('core/records');
  const { loadTuning } = await importModule<{ loadTuning: (file: string) => Tuning }>('config/tuning');
  const tuning = loadTuning(fileURLToPath(repositoryFile(`${directory}/checkout/deploy/tuning.toml`)));
  const controllerClass = controllerClassOf(nodeClass, names);
  const ownMessage = names === 'names-2' ? oldMessage<PeerMessage> : (message: PeerMessage): PeerMessage => message;
  const properties = { name, tuning, features: ALL_OFF, readsAnnouncedLimits, names };
  return { ...properties, controllerClass, ownMessage, encodeFrame, splitterClass, records };
}

let loadedVersions: Promise<ReadonlyMap<string, Build>> | null = null;

/** Every earlier version that the tests run beside this one, by its name; fails where one could not be built. */
export function loadOldVersions(): Promise<ReadonlyMap<string, Build>> {
  loadedVersions ??= Promise.all(readOldVersions().map(loadVersion)).then(
    (builds) => new Map(builds.map((build) => [build.name, build])),
  );
  return loadedVersions;
}

/** How builds with `names-1` call what those with `names-2` renamed; on the wire nothing was. */
const OLD_FRAME_KINDS: Readonly<Record<string, string>> = {
  request: 'relay',
  requestAnswer: 'relayed',
  report: 'beat',
  reportAnswer: 'beaten',
  cancellation: 'cancelled',
  cancellationAck: 'heeded',
};

/** A frame as an old version names its parts: the bytes are the same. */
export function oldFrame(build: Build, present: PeerFrame): unknown {
  const frame = oldMessage(present) as unknown as OldFrame;
  if (build.names === 'names-2') return frame;
  if (frame.kind === 'status') {
    const { reportsPerS, acknowledgesCancellations, ...status } = frame.status;
    const later = build.name === 'production' ? {} : { heedsWord: acknowledgesCancellations };
    return { kind: 'status', status: { ...status, beatsPerS: reportsPerS, ...later } };
  }
  const kind = OLD_FRAME_KINDS[frame.kind] ?? frame.kind;
  if (frame.kind !== 'requestAnswer' || frame.answer.jobStatus === undefined) return { ...frame, kind };
  const { jobStatus, ...answer } = frame.answer;
  return { ...frame, kind, answer: { ...answer, mood: jobStatus } };
}

/** What is looked at of a frame with `names-2`. */
type OldFrame =
  | {
      readonly kind: 'status';
      readonly status: { readonly reportsPerS: number; readonly acknowledgesCancellations: boolean };
    }
  | { readonly kind: 'requestAnswer'; readonly answer: { readonly jobStatus?: JobStatus } }
  | { readonly kind: 'report' };

/** The class of an old build's controllers. */
type OldNodeClass = new (
  settings: unknown,
  tuning: Tuning,
  incarnation: string,
  seed: number,
  start: unknown,
) => {
  step(now: unknown, input: unknown): { readonly kind: string }[];
  nextTimer(): MonotonicTime | null;
  healthy(now: MonotonicTime): boolean;
};

/** Makes the controllers of an old build usable under the present names. */
function controllerClassOf(nodeClass: OldNodeClass, names: OldVersion['names']): Build['controllerClass'] {
  return class implements SimulatedController {
    private readonly node: InstanceType<OldNodeClass>;

    constructor(...[settings, tuning, incarnation, seed, start]: ConstructorParameters<typeof Controller>) {
      this.node = new nodeClass(oldSettings(settings), tuning, incarnation, seed, oldClockReading(start));
    }

    step(now: ClockReading, input: Input): Output[] {
      const old = oldInput(input) as { readonly kind: string };
      if (names === 'names-2') {
        return this.node.step(oldClockReading(now), old).map((output) => presentOutput(output, presentMessage));
      }
      const earlier = old.kind === 'report' ? { ...old, kind: 'beat' } : old;
      // Its messages to peers stay as its own codec takes them.
      return this.node
        .step(oldClockReading(now), earlier)
        .map((output) => withJobStatus(presentOutput(output, (message) => message)));
    }

    nextTimerAt(): MonotonicTime | null {
      return this.node.nextTimer();
    }

    isHealthy(now: MonotonicTime): boolean {
      return this.node.healthy(now);
    }
  };
}

/** An output of a build with `names-1`, whose answers to users call the job's status otherwise. */
function withJobStatus(output: Output): Output {
  if (output.kind !== 'userResponse') return output;
  const { mood, ...response } = output.response as UserResponse & { mood?: JobStatus };
  if (mood === undefined) return output;
  return { ...output, response: { ...response, jobStatus: mood } as UserResponse };
}
