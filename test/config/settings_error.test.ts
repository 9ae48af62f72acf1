import assert from 'node:assert/strict';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { describe, type TestContext, test } from 'node:test';
import { loadFeatures } from '../../src/config/features.js';
import { SettingsError, type SettingsErrorCode } from '../../src/config/settings_error.js';
import { loadTuning } from '../../src/config/tuning.js';
import { ApplicationError } from '../../src/errors.js';

/** A file in a folder of its own, which goes with the test. */
function fileWith(t: TestContext, text: string): string {
  const folder = mkdtempSync(join(tmpdir(), 'magpielift-'));
  t.after(() => rmSync(folder, { recursive: true }));
  const file = join(folder, 'settings.toml');
  writeFileSync(file, text);
  return file;
}

/** The error with which a file is refused. */
function refusalOf(load: (file: string) => unknown, file: string): SettingsError {
  try {
    load(file);
  } catch (error) {
    assert.ok(error instanceof SettingsError);
    assert.ok(error instanceof ApplicationError);
    return error;
  }
  throw new assert.AssertionError({ message: 'the file was accepted' });
}

describe('a refused setting tells its code, file, field and cause', () => {
  const cases: readonly (readonly [SettingsErrorCode, string, string | null, RegExp])[] = [
    ['invalidToml', 'no toml', null, /^FILE: not TOML: [^\n]+$/],
    ['invalidValue', '[recovery]\nenabled = 3\n', 'recovery.enabled', /^FILE: recovery\.enabled: [^\n]+$/],
    ['invalidValue', '[recoverry]\n', 'recoverry', /^FILE: recoverry: [^\n]+$/],
  ];
  for (const [code, text, field, message] of cases) {
    test(`${code}: ${JSON.stringify(text)}`, (t) => {
      const file = fileWith(t, text);
      const error = refusalOf(loadFeatures, file);
      assert.deepEqual([error.code, error.file, error.field], [code, file, field]);
      assert.match(error.message.replace(file, 'FILE'), message);
      assert.equal(error.cause instanceof Error, code === 'invalidToml');
    });
  }

  test('unreadableFile: the cause is the error of the file system', () => {
    const error = refusalOf(loadFeatures, '/nonexistent/features.toml');
    assert.deepEqual([error.code, error.field], ['unreadableFile', null]);
    assert.equal(error.message, '/nonexistent/features.toml: cannot be read (ENOENT)');
    assert.equal((error.cause as NodeJS.ErrnoException).code, 'ENOENT');
  });

  test('renamedKey: the new name is told', (t) => {
    const file = fileWith(t, '[scheduler]\nfuture_doubt = 1\n');
    const error = refusalOf(loadTuning, file);
    assert.deepEqual([error.code, error.file, error.field], ['renamedKey', file, 'scheduler.future_doubt']);
    assert.equal(error.message, `${file}: scheduler.future_doubt: is now named future_discount`);
  });
});
