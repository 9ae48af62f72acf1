/** All events of scenarios in one table. */
import { controllerEvents } from './controllers.js';
import { jobEvents } from './jobs.js';
import { machineEvents } from './machines.js';
import { networkEvents } from './network.js';
import { recoveryEvents } from './recovery.js';
import { stateStoreEvents } from './state_store.js';
import type { EventTable } from './targets.js';

/** All events that the statements `at` and `every` accept, by name. */
export const events: EventTable = {
  ...jobEvents,
  ...controllerEvents,
  ...networkEvents,
  ...stateStoreEvents,
  ...machineEvents,
  ...recoveryEvents,
};
