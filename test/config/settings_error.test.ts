import assert from 'node:assert/strict';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { describe, type TestContext, test } from 'node:test';
import { loadFeatures } from '../../src/config/features.js';
import { SettingsError, type SettingsErrorCode } from '../../src/config/settings_error.js';
import { loadTuning } from '../../src/config/tuning.js';
import { ApplicationError } from '../../src/errors.js';

/** Writes a file to a temporary directory that is deleted after the test, and returns its path. */
function writeSettingsFile(t: TestContext, text: string): string {
  const folder = mkdtempSync(join(tmpdir(), 'magpielift-'));
  t.after(() => rmSync(folder, { recursive: true }));
  const file = join(folder, 'settings.toml');
  writeFileSync(file, text);
  return file;
}

/** Returns the error with which loading the file fails. */
function loadError(load: (file: string) => unknown, file: string): SettingsError {
  try {
    load(file);
  } catch (error) {
    assert.ok(error instanceof SettingsError);
    assert.ok(error instanceof ApplicationError);
    return error;
  }
  throw new assert.AssertionError({ message: 'expected the file to be rejected, but it was accepted' });
}

describe('the error for an invalid setting has its code, file, field and cause', () => {
  const cases: readonly (readonly [SettingsErrorCode, string, string | null, RegExp])[] = [
    ['invalidToml', 'no toml', null, /^FILE: not TOML: [^\n]+$/],
    ['invalidValue', '[recovery]\nenabled = 3\n', 'recovery.enabled', /^FILE: recovery\.enabled: [^\n]+$/],
    ['invalidValue', '[recoverry]\n', 'recoverry', /^FILE: recoverry: [^\n]+$/],
  ];
  for (const [code, text, field, message] of cases) {
    test(`${code}: ${JSON.stringify(text)}`, (t) => {
      const file = writeSettingsFile(t, text);
      const error = loadError(loadFeatures, file);
      assert.deepEqual([error.code, error.file, error.field], [code, file, field]);
      assert.match(error.message.replace(file, 'FILE'), message);
      assert.equal(error.cause instanceof Error, code === 'invalidToml');
    });
  }

  test('unreadableFile: the cause is the error of the file system', () => {
    const error = loadError(loadFeatures, '/nonexistent/features.toml');
    assert.deepEqual([error.code, error.field], ['unreadableFile', null]);
    assert.equal(error.message, '/nonexistent/features.toml: cannot be read (ENOENT)');
    assert.equal((error.cause as NodeJS.ErrnoException).code, 'ENOENT');
  });

  test('renamedKey: the message has the new name', (t) => {
    const file = writeSettingsFile(t, '[scheduler]\nfuture_doubt = 1\n');
    const error = loadError(loadTuning, file);
    assert.deepEqual([error.code, error.file, error.field], ['renamedKey', file, 'scheduler.future_doubt']);
    assert.equal(error.message, `${file}: scheduler.future_doubt: is now named future_discount`);
  });
});
