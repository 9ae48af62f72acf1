/** Loads the builds of old versions, and makes them usable under the present names. */
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

/** An entry of test/old_versions.txt. */
interface OldVersion {
  readonly name: string;
  readonly commit: string;
  readonly readsAnnouncedLimits: boolean;
  readonly names: 'names-1' | 'names-2';
}

function productionCommit(): string {
  const commit = /^production = "([0-9a-f]{40})"$/m.exec(readText('deploy/service.toml'))?.[1];
  if (!commit)
    throw new Error('deploy/service.toml: expected a line `production = "COMMIT"` with a full commit hash, found none');
  return commit;
}

/** Reads the versions that test/old_versions.txt lists, in its order. */
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
      `version ${name} (${commit}) is not built: run tools/old_versions.sh, which needs its commit in the git history`,
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
  const toBuildMessage = names === 'names-2' ? oldMessage<PeerMessage> : (message: PeerMessage): PeerMessage => message;
  const properties = { name, tuning, features: ALL_OFF, readsAnnouncedLimits, names };
  return { ...properties, controllerClass, toBuildMessage, encodeFrame, splitterClass, records };
}

let loadedVersions: Promise<ReadonlyMap<string, Build>> | null = null;

/** Loads every old version that the tests run beside this one, by name. Fails if one was not built. */
export function loadOldVersions(): Promise<ReadonlyMap<string, Build>> {
  loadedVersions ??= Promise.all(readOldVersions().map(loadVersion)).then(
    (builds) => new Map(builds.map((build) => [build.name, build])),
  );
  return loadedVersions;
}

/** The frame kinds of `names-1`, by those of `names-2`. Bytes on the wire are the same. */
const OLD_FRAME_KINDS: Readonly<Record<string, string>> = {
  request: 'relay',
  requestAnswer: 'relayed',
  report: 'beat',
  reportAnswer: 'beaten',
  cancellation: 'cancelled',
  cancellationAck: 'heeded',
};

/** Returns a frame with the names of an old version. Its bytes on the wire are the same. */
export function oldFrame(build: Build, present: PeerFrame): unknown {
  const frame = oldMessage(present) as unknown as OldFrame;
  if (build.names === 'names-2') return frame;
  if (frame.kind === 'status') {
    const { reportsPerS, acknowledgesCancellations, ...status } = frame.status;
    const laterFields = build.name === 'production' ? {} : { heedsWord: acknowledgesCancellations };
    return { kind: 'status', status: { ...status, beatsPerS: reportsPerS, ...laterFields } };
  }
  const kind = OLD_FRAME_KINDS[frame.kind] ?? frame.kind;
  if (frame.kind !== 'requestAnswer' || frame.answer.jobStatus === undefined) return { ...frame, kind };
  const { jobStatus, ...answer } = frame.answer;
  return { ...frame, kind, answer: { ...answer, mood: jobStatus } };
}

/** The parts of a frame with `names-2` that `oldFrame` reads. */
type OldFrame =
  | {
      readonly kind: 'status';
      readonly status: { readonly reportsPerS: number; readonly acknowledgesCancellations: boolean };
    }
  | { readonly kind: 'requestAnswer'; readonly answer: { readonly jobStatus?: JobStatus } }
  | { readonly kind: 'report' };

/** The controller class of an old build, which is called Node there. */
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

/** Wraps the controller class of an old build in one with the present names. */
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
      const renamed = old.kind === 'report' ? { ...old, kind: 'beat' } : old;
      // Messages to peers keep the old names, which the build's own codec expects.
      return this.node
        .step(oldClockReading(now), renamed)
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

/** Returns an output of a build with `names-1` with the present name of the job status in responses to users. */
function withJobStatus(output: Output): Output {
  if (output.kind !== 'userResponse') return output;
  const { mood, ...response } = output.response as UserResponse & { mood?: JobStatus };
  if (mood === undefined) return output;
  return { ...output, response: { ...response, jobStatus: mood } as UserResponse };
}
