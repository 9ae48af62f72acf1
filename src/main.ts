#!/usr/bin/env node
/** The program: the command line, and the service behind it. */
import { createProgram } from './cli/program.js';
import { logEntry } from './core/log_events.js';

const program = createProgram(async ({ platform, tuning, features }) => {
  // The service's own parts are loaded only when it serves: `--help` and `check` need none of them.
  const [{ createLog }, { ControllerRuntime }] = await Promise.all([
    import('./io/log.js'),
    import('./io/controller_runtime.js'),
  ]);
  const log = createLog(platform.settings.controller);
  process.on('uncaughtException', (error) => {
    log(logEntry('uncaught exception', { error: error.stack ?? String(error) }));
    process.exit(1);
  });
  new ControllerRuntime(platform, tuning, features, log).start();
});
program.parse();
