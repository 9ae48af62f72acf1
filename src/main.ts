#!/usr/bin/env node
/** Entry point of the program. Parses the command line and runs the controller. */
import { createProgram } from './cli/program.js';
import { logEntry } from './core/log_events.js';

const program = createProgram(async ({ platform, tuning, features }) => {
  // These modules are loaded only when the controller runs, because `--help` and `check` do not need them.
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
