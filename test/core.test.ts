/* Runs the unit tests of test/core/ as one file. */
import './core/clients/call_queue.test.js';
import './core/jobs/range_set.test.js';
import './core/jobs/runtime_estimator.test.js';
import './core/log_events.test.js';
import './core/machines/machine.test.js';
import './core/machines/machine_registry.test.js';
import './core/machines/spot_interruption_rate.test.js';
import './core/machines/straggler_detector.test.js';
import './core/records.test.js';
import './core/scheduler/evolutionary_search.test.js';
import './core/scheduler/gang_reservation.test.js';
import './core/scheduler/planner.test.js';
import './core/scheduler/plans.test.js';
import './core/scheduler/priority.test.js';
import './core/workers/deferred_responses.test.js';
import './core/workers/heartbeat_router.test.js';
