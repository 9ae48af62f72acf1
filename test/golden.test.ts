import { heartbeatTests, userTests } from './golden/http_cases.js';
import { peerTests } from './golden/peer_cases.js';
import { problemTests } from './golden/problem_cases.js';
import { recordTests } from './golden/record_cases.js';
import { cloudTests, commandTests, stateStoreTests } from './golden/service_cases.js';
import { settingsTests } from './golden/settings_cases.js';

/* Compares messages, stored records and settings byte for byte with the golden files (see golden/golden_file.ts). */

recordTests();
peerTests();
stateStoreTests();
cloudTests();
commandTests();
userTests();
heartbeatTests();
problemTests();
settingsTests();
