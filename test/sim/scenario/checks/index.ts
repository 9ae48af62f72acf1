/** All checks of scenarios in one table. */
import type { CheckTable } from './check.js';
import { controllerChecks } from './controllers.js';
import { jobChecks } from './jobs.js';
import { machineChecks } from './machines.js';
import { recoveryChecks } from './recovery.js';
import { serviceChecks } from './services.js';

/** All checks that the statement `expect` accepts, by name. */
export const checks: CheckTable = {
  ...jobChecks,
  ...serviceChecks,
  ...machineChecks,
  ...controllerChecks,
  ...recoveryChecks,
};
