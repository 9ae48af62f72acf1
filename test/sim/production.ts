import { existsSync, readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import type { Build } from './world.js';

const at = (path: string): URL => new URL(`../../../../${path}`, import.meta.url);

/** The build that deploy/service.toml names as the one in production, made by tools/check.sh from the history. */
export async function production(): Promise<Build> {
  const commit = /^production = "([0-9a-f]{40})"$/m.exec(readFileSync(at('deploy/service.toml'), 'utf8'))?.[1];
  if (!commit) throw new Error('deploy/service.toml names no production commit');
  const mark = at(`target/production/${commit}`);
  if (!existsSync(fileURLToPath(mark))) {
    throw new Error(
      `the production build ${commit} is not there: the history may be missing (tools/check.sh makes it)`,
    );
  }
  const node = await import(at('target/production/core/node.js').href);
  const codec = await import(at('target/production/io/peer_codec.js').href);
  return { Node: node.Node, encodeFrame: codec.encodeFrame, FrameSplitter: codec.FrameSplitter };
}
