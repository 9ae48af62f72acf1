import { existsSync, readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { ALL_OFF } from '../../src/core/features.js';
import type { Input, JobStatus, Output, UserAnswer } from '../../src/core/messages.js';
import type { Tuning } from '../../src/core/settings.js';
import type { PeerFrame } from '../../src/io/peer/peer_codec.js';
import { AS_IT_IS, type Build } from './build.js';

const repositoryFile = (path: string): URL => new URL(`../../../../${path}`, import.meta.url);
const readText = (path: string): string => readFileSync(repositoryFile(path), 'utf8');

interface OldVersion {
  readonly name: string;
  readonly commit: string;
  readonly readsAnnouncedLimits: boolean;
  readonly hasPresentNames: boolean;
}

function productionCommit(): string {
  const commit = /^production = "([0-9a-f]{40})"$/m.exec(readText('deploy/service.toml'))?.[1];
  if (!commit) throw new Error('deploy/service.toml names no production commit');
  return commit;
}

/** The versions that test/old_versions.txt names, in its order. */
function oldVersions(): OldVersion[] {
  const lines = readText('test/old_versions.txt')
    .split('\n')
    .filter((line) => line !== '' && !line.startsWith('#'));
  return lines.map((line) => {
    const [name = '', commit = '', limits, names] = line.split(' ');
    return {
      name,
      commit: name === 'production' ? productionCommit() : commit,
      readsAnnouncedLimits: limits === 'announced-limits',
      hasPresentNames: names === 'present-names',
    };
  });
}

async function load(version: OldVersion): Promise<Build> {
  const { name, commit, readsAnnouncedLimits, hasPresentNames } = version;
  const directory = `target/old_versions/${commit}`;
  if (!existsSync(fileURLToPath(repositoryFile(`${directory}/built`)))) {
    throw new Error(
      `version ${name} (${commit}) is not built: the history may be missing (tools/old_versions.sh builds it)`,
    );
  }
  const part = async <T>(path: string): Promise<T> =>
    (await import(repositoryFile(`${directory}/build/${path}.js`).href)) as T;
  const { Node: nodeClass } = await part<typeof import('../../src/core/node.js')>('core/node');
  const { encodeFrame, FrameSplitter: splitterClass } = await part<typeof import('../../src/io/peer/peer_codec.js')>(
    hasPresentNames ? 'io/peer/peer_codec' : 'io/peer_codec',
  );
  const records = await part<Build['records']>('core/records');
  const { loadTuning } = await part<{ loadTuning: (file: string) => Tuning }>('config/tuning');
  const tuning = loadTuning(fileURLToPath(repositoryFile(`${directory}/checkout/deploy/tuning.toml`)));
  const translate = hasPresentNames ? AS_IT_IS : { input: oldInput, output: presentOutput };
  const properties = { name, tuning, features: ALL_OFF, readsAnnouncedLimits, hasPresentNames };
  return { ...properties, nodeClass, encodeFrame, splitterClass, records, translate };
}

let loading: Promise<ReadonlyMap<string, Build>> | null = null;

/** Every earlier version that the tests run beside this one, by its name; fails where one could not be built. */
export function loadOldVersions(): Promise<ReadonlyMap<string, Build>> {
  loading ??= Promise.all(oldVersions().map(load)).then(
    (builds) => new Map(builds.map((build) => [build.name, build])),
  );
  return loading;
}

/** How the builds of test/old_versions.txt name what has been renamed since; on the wire nothing was. */
const OLD_FRAME_KINDS: Readonly<Record<string, string>> = {
  request: 'relay',
  requestAnswer: 'relayed',
  report: 'beat',
  reportAnswer: 'beaten',
  cancellation: 'cancelled',
  cancellationAck: 'heeded',
};

/** A frame as an old version names its parts: the bytes are the same. */
export function oldFrame(build: Build, frame: PeerFrame): unknown {
  if (build.hasPresentNames) return frame;
  if (frame.kind === 'status') {
    const { reportsPerS, acknowledgesCancellations, ...status } = frame.status;
    const later = build.name === 'production' ? {} : { heedsWord: acknowledgesCancellations };
    return { kind: 'status', status: { ...status, beatsPerS: reportsPerS, ...later } };
  }
  const kind = OLD_FRAME_KINDS[frame.kind] ?? frame.kind;
  if (frame.kind !== 'requestAnswer' || !('jobStatus' in frame.answer)) return { ...frame, kind };
  const { jobStatus, ...answer } = frame.answer;
  return { ...frame, kind, answer: { ...answer, mood: jobStatus } };
}

/** An input as the core of an old version names it. */
const oldInput = (input: Input): Input =>
  input.kind === 'report' ? ({ ...input, kind: 'beat' } as unknown as Input) : input;

/** An output of an old version's core as the present one names it. */
function presentOutput(output: Output): Output {
  if (output.kind !== 'answerUser') return output;
  const { mood, ...answer } = output.answer as UserAnswer & { mood?: JobStatus };
  if (mood === undefined) return output;
  return { ...output, answer: { ...answer, jobStatus: mood } as UserAnswer };
}
