import { heartbeatTests, userTests } from './golden/http_cases.js';
import { peerTests } from './golden/peer_cases.js';
import { problemTests } from './golden/problem_cases.js';
import { recordTests } from './golden/record_cases.js';
import { cloudTests, commandTests, stateStoreTests } from './golden/service_cases.js';
import { settingsTests } from './golden/settings_cases.js';

/** What others see of this program is compared with what it was, byte for byte (golden/golden_file.ts). */
recordTests();
peerTests();
stateStoreTests();
cloudTests();
commandTests();
userTests();
heartbeatTests();
problemTests();
settingsTests();
