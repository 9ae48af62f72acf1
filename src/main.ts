#!/usr/bin/env node
import { makeProgram } from './cli/program.js';

const program = makeProgram(async ({ platform, tuning, features }) => {
  // The service's own parts are loaded only when it serves: `--help` and `check` need none of them.
  const [{ makeLog }, { Runtime }] = await Promise.all([import('./io/log.js'), import('./io/runtime.js')]);
  const log = makeLog(platform.settings.controller);
  process.on('uncaughtException', (error) => {
    log('error', 'unexpected failure: ending, to be started anew', { error: error.stack ?? String(error) });
    process.exit(1);
  });
  new Runtime(platform, tuning, features, log).start();
});
program.parse();
