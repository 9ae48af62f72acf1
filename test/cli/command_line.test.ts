import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { describe, test } from 'node:test';
import { mainModule, repositoryRoot, writeExampleSettings } from '../support/processes.js';

function runCli(...args: string[]): { status: number | null; out: string; err: string } {
  const run = spawnSync(process.execPath, [mainModule, ...args], {
    cwd: repositoryRoot,
    encoding: 'utf8',
    timeout: 20_000,
  });
  return { status: run.status, out: run.stdout, err: run.stderr };
}

describe('command line', () => {
  test('prints help and version, and checks the settings at start', () => {
    assert.match(runCli('--help').out, /--config/);
    assert.match(runCli('--version').out, /^\d+\.\d+\.\d+/);
    assert.equal(runCli('check', '--config', writeExampleSettings()).status, 0);
    assert.equal(
      runCli(
        'check',
        '--config',
        writeExampleSettings((text) => `future = 1\n${text}`),
      ).status,
      0,
    );
    const missing = runCli(
      '--config',
      writeExampleSettings((text) => text.replace(/^lease_s.*$/m, '')),
    );
    assert.equal(missing.status, 2);
    assert.match(missing.err, /settings\.toml: deployment\.workers\.lease_s: /);
    assert.equal(missing.err.trim().split('\n').length, 1);
    assert.equal(
      runCli(
        '--config',
        writeExampleSettings((text) => text.replace('rps = 200.0', 'rps = "many"')),
      ).status,
      2,
    );
    const limits = '[deployment.state.next]\nvalue_kb = 2.0\n\n[deployment.cloud]';
    const withNext = (limits: string): string =>
      writeExampleSettings((text) => text.replace('[deployment.cloud]', limits));
    assert.equal(runCli('check', '--config', withNext(limits)).status, 0);
    assert.equal(runCli('check', '--config', withNext(limits.replace('value_kb = 2.0', 'other = "x"'))).status, 0);
    const wrong = runCli('--config', withNext(limits.replace('2.0', '-2.0')));
    assert.equal(wrong.status, 2);
    assert.match(wrong.err, /settings\.toml: deployment\.state\.next\.value_kb: /);
    assert.equal(runCli('--config', '/nonexistent').status, 2);
    assert.equal(runCli().status, 2);
    assert.equal(runCli('--nonsense').status, 2);
  });

  test('rejects an invalid tuning value and names its key', () => {
    const dir = mkdtempSync(join(tmpdir(), 'magpielift-'));
    const file = join(dir, 'tuning.toml');
    const text = readFileSync(join(repositoryRoot, 'deploy/tuning.toml'), 'utf8');
    writeFileSync(file, text.replace(/^mutation.*$/m, 'mutation = 3'));
    const run = runCli('check', '--config', writeExampleSettings(), '--tuning', file);
    assert.equal(run.status, 2);
    assert.match(run.err, /scheduler\.mutation/);
  });

  test('rejects invalid features with file and field; features that are left out are off', () => {
    const file = join(mkdtempSync(join(tmpdir(), 'magpielift-')), 'features.toml');
    const check = (text: string): ReturnType<typeof runCli> => {
      writeFileSync(file, text);
      return runCli('check', '--config', writeExampleSettings(), '--features', file);
    };
    assert.equal(check('').status, 0);
    assert.equal(check('[recovery]\nenabled = true\n').status, 0);
    const wrong: Readonly<Record<string, RegExp>> = {
      '[recovery]\nenabled = "yes"\n': /features\.toml: recovery\.enabled: /,
      '[recovery]\nenabled = true\nlists_per_window = 0\n': /features\.toml: recovery\.lists_per_window: /,
      '[recovery]\nenabled = true\nsurprise = 1\n': /features\.toml: recovery\.surprise: /,
      '[recovery]\nlists_per_window = 3\n': /features\.toml: recovery\.enabled: /,
      '[recoverry]\nenabled = true\n': /features\.toml: recoverry: /,
    };
    for (const [text, message] of Object.entries(wrong)) {
      const refused = check(text);
      assert.equal(refused.status, 2, text);
      assert.match(refused.err, message);
      assert.equal(refused.err.trim().split('\n').length, 1);
    }
    assert.equal(runCli('check', '--config', writeExampleSettings(), '--features', '/nonexistent').status, 2);
  });

  test('rejects the old name of a tuning key and gives the new name', () => {
    const file = join(mkdtempSync(join(tmpdir(), 'magpielift-')), 'tuning.toml');
    const text = readFileSync(join(repositoryRoot, 'deploy/tuning.toml'), 'utf8');
    const renamed = { gpu_penalty_s: 'gpu_reluctance_s', future_discount: 'future_doubt' };
    for (const [newKey, oldKey] of Object.entries(renamed)) {
      writeFileSync(file, text.replace(newKey, oldKey));
      const refused = runCli('check', '--config', writeExampleSettings(), '--tuning', file);
      assert.equal(refused.status, 2);
      assert.match(refused.err, new RegExp(`tuning\\.toml: scheduler\\.${oldKey}: is now named ${newKey}`));
      assert.equal(refused.err.trim().split('\n').length, 1);
    }
  });
});
